"""What a leader learnt outlasts it, and never ends or delays a term.

Each leader learnt anew, so one that took over at the height of a burst started urgent
gangs on slow machines until it had seen enough of them.
"""

from __future__ import annotations

import pytest
from result import Err

from chiveledge.coordinator._learnt_figures import (
    REJECTED_PAUSE_S,
    STORE_INTERVAL_S,
    has_changed,
)
from chiveledge.coordinator._learnt_rows import LEARNT_PREFIX, LearntFigures
from chiveledge.coordinator._run_times import LearntAverage, LearntRunTimes
from chiveledge.placement import MachineSpeed
from chiveledge.services import Put, Rejected, Transaction, Unavailable, Unsettled
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL, Reboot

SLOW = frozenset({"w0", "w1", "w2"})
WIDE = Step(count=6, usage=SMALL._replace(accelerators=8), gang=True, estimate_s=1.0)
URGENT = WIDE._replace(count=3)
TAKEOVER_S = 4.0


def make_mixed_cluster(make_cluster, **options):
    """Return a cluster of six workers, half of which are always slower."""
    cluster = make_cluster(workers=6, reboot=Reboot(after_s=0.5), **options)
    for name in SLOW:
        cluster.workers[name].faults.slowdown_factor = 1.3
    return cluster


async def learn(cluster):
    """Run gangs on all workers until the leader has stored what they show."""
    await cluster.advance(0.5)
    for number in range(3):
        await cluster.submit(f"g{number}", WIDE, work_s=1.5)
        await cluster.advance(3.0)
    await cluster.advance(STORE_INTERVAL_S)


async def find_workers(cluster, job_id):
    """Return the workers on which the next leader starts an urgent gang."""
    await cluster.submit(job_id, URGENT, queue="urgent", work_s=0.5)
    await cluster.advance(2.5)
    assert cluster.state(job_id) is JobState.COMPLETED
    return {
        name
        for name, worker in cluster.workers.items()
        if any(task.startswith(job_id) for _, task, _ in worker.faults.started)
    }


async def test_next_leader_starts_an_urgent_gang_at_full_speed_at_once(make_cluster):
    cluster = make_mixed_cluster(make_cluster, nodes=2)
    await learn(cluster)
    await cluster.restart(cluster.nodes.index(cluster.leader))
    await cluster.advance(TAKEOVER_S)
    assert await find_workers(cluster, "u") == {"w3", "w4", "w5"}
    (line,) = cluster.leader.log.find("learnt", "loaded")
    assert (line["machines"], line["queues"], line["unreadable"]) == (6, 1, 0)


async def test_run_times_are_known_to_the_next_leader(make_cluster):
    cluster = make_mixed_cluster(make_cluster)
    await learn(cluster)
    await cluster.restart(0)
    await cluster.advance(TAKEOVER_S)
    await cluster.submit("j", WIDE._replace(estimate_s=10.0), work_s=1.5)
    await cluster.advance(1.0)
    (line,) = cluster.leader.log.find("coordinator", "placed")
    assert line["expected_s"] < 6.0


async def test_without_the_rows_the_slow_workers_are_taken(make_cluster):
    """Shows that the tests above depend on the rows."""
    cluster = make_mixed_cluster(make_cluster)
    await learn(cluster)
    keys = tuple(row.key for row in cluster.table.find_all(LEARNT_PREFIX))
    cluster.table.commit(Transaction("w", deletes=keys))
    await cluster.restart(0)
    await cluster.advance(TAKEOVER_S)
    assert await find_workers(cluster, "u") & SLOW


@pytest.mark.parametrize("value", ["{", '{"m-w0":[1e999,1]}', "", "[" * 50_000])
async def test_rows_that_cannot_be_decoded_do_not_end_the_term(make_cluster, value):
    cluster = make_mixed_cluster(make_cluster)
    await learn(cluster)
    keys = [row.key for row in cluster.table.find_all(LEARNT_PREFIX)]
    puts = tuple(Put(key, value) for key in (*keys, LEARNT_PREFIX + "later~0"))
    cluster.table.commit(Transaction("w", puts=puts))
    await cluster.restart(0)
    await cluster.advance(TAKEOVER_S)
    term = cluster.leader.coordinator.term
    (line,) = cluster.leader.log.find("learnt", "loaded")
    assert line["unreadable"] == len(keys)
    await learn_more(cluster)
    assert cluster.leader.coordinator.term is term
    # They are replaced once something is known again, but not those of other versions.
    assert all(cluster.table.find(key).value != value for key in keys)
    assert cluster.table.find(LEARNT_PREFIX + "later~0").value == value


async def learn_more(cluster):
    await cluster.submit("more", WIDE, work_s=3.0)
    await cluster.advance(5.0 + 2 * STORE_INTERVAL_S)


async def test_rows_that_cannot_be_read_delay_nothing(make_cluster, monkeypatch):
    cluster = make_mixed_cluster(make_cluster)
    await learn(cluster)
    stored = cluster.table.find_all(LEARNT_PREFIX)
    snapshot = cluster.table.snapshot

    async def refuse(prefix):
        if prefix == LEARNT_PREFIX:
            return Err(Unavailable("the store is away"))
        return await snapshot(prefix)

    with monkeypatch.context() as patched:
        patched.setattr(cluster.table, "snapshot", refuse)
        await cluster.restart(0)
        await cluster.advance(TAKEOVER_S)
        await learn_more(cluster)
        assert cluster.state("more") is JobState.COMPLETED
        # What is in the store may be more than what this leader knows by now.
        assert cluster.table.find_all(LEARNT_PREFIX) == stored
    await cluster.advance(1.0)
    assert cluster.leader.log.find("learnt", "loaded")


@pytest.mark.parametrize(
    "error,pause_s",
    [
        (Unavailable("away"), STORE_INTERVAL_S),
        (Unsettled("no answer"), STORE_INTERVAL_S),
        (Rejected("too long"), REJECTED_PAUSE_S),
    ],
)
async def test_write_that_fails_is_repeated_rarely(
    make_cluster, monkeypatch, error, pause_s
):
    cluster = make_mixed_cluster(make_cluster)
    transact = cluster.table.transact
    tries = []

    async def refuse(transaction):
        if any(put.key.startswith(LEARNT_PREFIX) for put in transaction.puts):
            tries.append(cluster.clock.monotonic())
            return Err(error)
        return await transact(transaction)

    with monkeypatch.context() as patched:
        patched.setattr(cluster.table, "transact", refuse)
        await learn(cluster)
        term = cluster.leader.coordinator.term
        await cluster.advance(pause_s)
        assert all(cluster.state(f"g{number}") for number in range(3))
        assert len(tries) >= 2
        gaps = [after - before for before, after in zip(tries, tries[1:], strict=False)]
        assert min(gaps) >= pause_s
    await cluster.advance(pause_s + 1.0)
    assert cluster.leader.coordinator.term is term
    assert cluster.table.find_all(LEARNT_PREFIX)


async def test_late_write_of_a_former_leader_has_no_effect(make_cluster, monkeypatch):
    cluster = make_mixed_cluster(make_cluster, nodes=2)
    transact = cluster.table.transact
    late = []

    async def delay(transaction):
        if any(put.key.startswith(LEARNT_PREFIX) for put in transaction.puts):
            late.append(transaction)
            return Err(Unsettled("no answer"))
        return await transact(transaction)

    with monkeypatch.context() as patched:
        patched.setattr(cluster.table, "transact", delay)
        await learn(cluster)
        await cluster.restart(cluster.nodes.index(cluster.leader))
        await cluster.advance(TAKEOVER_S)
    await learn_more(cluster)
    stored = cluster.table.find_all(LEARNT_PREFIX)
    assert stored and late
    assert all(isinstance(cluster.table.commit(row), Err) for row in late)
    assert cluster.table.find_all(LEARNT_PREFIX) == stored


async def test_nothing_is_written_while_nothing_changes(make_cluster):
    cluster = make_mixed_cluster(make_cluster)
    await learn(cluster)
    writes = len(cluster.leader.log.find("learnt", "stored"))
    assert 1 <= writes <= 4
    await cluster.advance(10 * STORE_INTERVAL_S)
    assert len(cluster.leader.log.find("learnt", "stored")) == writes


def find_slowdowns(cluster):
    term = cluster.leader.coordinator.term
    supervisor = term._planning._supervisor
    slowdowns = supervisor.find_slow_workers(cluster.clock.monotonic()).slowdowns
    return {name for name, slowdown in slowdowns.items() if slowdown > 1.0}


async def test_worker_that_restarts_on_its_machine_keeps_its_speed(make_cluster):
    cluster = make_mixed_cluster(make_cluster)
    await learn(cluster)
    cluster.crash_worker("w1")
    await cluster.advance(3.0)
    assert cluster.workers["w1"].entry.incarnation_ms > 1
    assert find_slowdowns(cluster) == SLOW


async def test_worker_that_restarts_on_another_machine_is_unknown(make_cluster):
    cluster = make_mixed_cluster(make_cluster)
    await learn(cluster)
    cluster.crash_worker("w1")
    worker = cluster.workers["w1"]
    worker.entry = worker.entry._replace(machine="m-new")
    await cluster.advance(3.0)
    assert find_slowdowns(cluster) == SLOW - {"w1"}


async def test_worker_without_a_machine_is_unknown_after_its_restart(make_cluster):
    """Nothing tells whether it is on the same machine."""
    cluster = make_cluster(workers=6)
    for name in SLOW:
        cluster.workers[name].faults.slowdown_factor = 1.3
    await learn(cluster)
    assert find_slowdowns(cluster) == SLOW
    cluster.workers["w1"].crash(incarnation_ms=12_000)
    cluster.list_worker(cluster.workers["w1"].entry)
    await cluster.advance(3.0)
    assert find_slowdowns(cluster) == SLOW - {"w1"}


def test_small_changes_are_not_worth_a_write():
    average = LearntAverage(1.0, 0.2, 3.0)
    stored = LearntFigures(
        {"m": MachineSpeed(-0.2, 3)}, {"q": LearntRunTimes(average, None)}
    )
    near = LearntAverage(1.02, 0.3, 9.0)
    assert not has_changed(
        stored,
        LearntFigures(
            {"m": MachineSpeed(-0.22, 12)}, {"q": LearntRunTimes(near, near)}
        ),
    )
    assert has_changed(stored, stored._replace(speeds={"m": MachineSpeed(-0.3, 3)}))
    assert has_changed(stored, stored._replace(speeds={"n": MachineSpeed(0.0, 1)}))
    far = LearntRunTimes(average._replace(mean=1.1), None)
    assert has_changed(stored, stored._replace(run_times={"q": far}))
