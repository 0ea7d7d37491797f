"""Waves of upkeep end in time, within their bound on machines down, and kill no run."""

from __future__ import annotations

import json

import pytest
from result import Ok

from chiveledge.services import Put, Transaction
from chiveledge.services.machines import MachineState, Wave
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL, Cluster

WAVE = Wave(1, ("m-w0", "m-w1", "m-w2", "m-w3"), within_s=24.0, max_down=1)
FIRST_ORDER_S = 4.0
"""Longest time until a leader sends its first upkeep order."""

MAX_DRAINS_AGE_S = 3.5


@pytest.fixture
async def cluster():
    cluster = Cluster(workers=4, nodes=2)
    cluster.waves = [WAVE]
    yield cluster
    await cluster.close()
    assert not cluster.double_runs


def read_state(cluster) -> str | None:
    row = cluster.table.find(f"status/wave/{WAVE.number}")
    return json.loads(row.value)["state"] if row else None


def check_upkeeps(cluster, wave: Wave = WAVE) -> None:
    upkeeps = cluster.machines.upkeeps
    assert [upkeep.killed for upkeep in upkeeps] == [0] * len(wave.machines)
    assert sorted(upkeep.order.machine for upkeep in upkeeps) == sorted(wave.machines)
    assert all(upkeep.others_down < wave.max_down for upkeep in upkeeps)


async def test_idle_machines_have_their_upkeep_in_time(cluster):
    await cluster.advance(FIRST_ORDER_S)
    assert read_state(cluster) == "running"
    await cluster.advance(WAVE.within_s - FIRST_ORDER_S)
    check_upkeeps(cluster)
    assert read_state(cluster) == "completed"


async def test_runs_end_or_move_but_are_not_killed(cluster):
    await cluster.advance(0.5)
    await cluster.submit("short", Step(count=12, usage=SMALL), work_s=2.0)
    long = Step(count=6, usage=SMALL, checkpoints=True)
    await cluster.submit("long", long, work_s=30.0)
    await cluster.advance(WAVE.within_s + FIRST_ORDER_S)
    check_upkeeps(cluster)
    assert read_state(cluster) == "completed"
    assert cluster.state("short") is JobState.COMPLETED
    await cluster.advance(30.0)
    assert cluster.state("long") is JobState.COMPLETED


@pytest.mark.parametrize("all_domains", [False, True])
async def test_wave_in_a_drained_domain_completes(make_cluster, all_domains):
    """Upkeep empties its machines there as elsewhere, and nothing starts on them."""
    cluster = make_cluster(
        workers=4, nodes=2, domains=("a", "b"), drain_max_age_s=MAX_DRAINS_AGE_S
    )
    cluster.waves = [WAVE]
    await cluster.advance(0.5)
    step = Step(count=8, usage=SMALL._replace(accelerators=2), checkpoints=True)
    await cluster.submit("long", step, work_s=12.0)
    await cluster.advance(0.5)
    drained = ("a", "b") if all_domains else ("a",)
    for domain in drained:
        cluster.drain(domain)
    await cluster.advance(1.0)
    since_s = cluster.clock.monotonic()
    await cluster.advance(WAVE.within_s + FIRST_ORDER_S)
    check_upkeeps(cluster)
    assert read_state(cluster) == "completed"
    started_in = {
        worker.entry.domain
        for worker in cluster.workers.values()
        for start_s, _, _ in worker.faults.started
        if start_s >= since_s
    }
    assert not started_in & set(drained)
    for domain in drained:
        cluster.undrain(domain)
    await cluster.advance(30.0)
    assert cluster.state("long") is JobState.COMPLETED


async def test_machine_missing_from_one_list_still_has_its_upkeep(cluster):
    """The list comes in pages, and a change between them may leave a machine out.

    The wave was reported as completed without the upkeep of such a machine.
    """
    await cluster.advance(FIRST_ORDER_S)
    list_machines = cluster.machines.list_machines
    is_left_out = False

    async def list_without_last():
        nonlocal is_left_out
        machines = (await list_machines()).unwrap()
        up = [m for m in machines if m.state is MachineState.UP]
        done = {upkeep.order.machine for upkeep in cluster.machines.upkeeps}
        is_left_out = not is_left_out and len(done) == 3 and len(up) == 4
        last = set(WAVE.machines) - done if is_left_out else set()
        return Ok(tuple(m for m in machines if m.name not in last))

    cluster.machines.list_machines = list_without_last
    await cluster.advance(WAVE.within_s)
    check_upkeeps(cluster)
    assert read_state(cluster) == "completed"


@pytest.mark.parametrize("kill_at_s", [3.2, 4.0, 6.0, 9.0])
async def test_next_leader_completes_the_wave_within_its_bound(cluster, kill_at_s):
    await cluster.advance(kill_at_s)
    await cluster.nodes[0].kill()
    await cluster.advance(WAVE.within_s + FIRST_ORDER_S)
    check_upkeeps(cluster)
    assert read_state(cluster) == "completed"
    lease_s = cluster.timing.machine_lease_s
    orders = cluster.machines.upkeeps
    for earlier, later in zip(orders, orders[1:], strict=False):
        if earlier.order.holder != later.order.holder:
            assert later.at_s - earlier.at_s >= lease_s
            assert later.order.fence > earlier.order.fence


async def test_machines_with_unanswered_orders_count_as_down(cluster):
    cluster.machines.lose_replies = 3
    await cluster.advance(WAVE.within_s + FIRST_ORDER_S)
    check_upkeeps(cluster)
    assert read_state(cluster) == "completed"


async def test_lost_store_replies_do_not_complete_a_wave_early(cluster):
    await cluster.advance(FIRST_ORDER_S)
    for _ in range(5):
        cluster.table.faults.lose_replies = 2
        await cluster.advance(2.0)
        if read_state(cluster) == "completed":
            assert len(cluster.machines.upkeeps) == len(WAVE.machines)
    await cluster.advance(WAVE.within_s)
    check_upkeeps(cluster)
    assert read_state(cluster) == "completed"


async def test_no_more_lasting_tasks_are_away_than_allowed(cluster):
    await cluster.advance(0.5)
    step = Step(count=4, usage=SMALL, lasting=True, may_be_away=1, max_per_worker=2)
    await cluster.submit("serve", step, work_s=1e9)
    cluster.tasks["serve"].ready_at_once = True
    fewest = step.count
    await cluster.advance(1.5)
    for _ in range(600):
        await cluster.advance(0.05)
        running = sum(
            task.startswith("serve.")
            for worker in cluster.workers.values()
            for task, _ in worker.runs
        )
        fewest = min(fewest, running)
    check_upkeeps(cluster)
    assert fewest >= step.count - step.may_be_away


async def test_wave_does_not_wait_for_removed_machines(cluster):
    cluster.waves = [WAVE._replace(machines=("m-w0", "m-gone"))]
    await cluster.advance(FIRST_ORDER_S + 6.0)
    assert read_state(cluster) == "completed"
    assert [u.order.machine for u in cluster.machines.upkeeps] == ["m-w0"]


async def test_waves_that_share_machines_keep_their_own_bounds(cluster):
    """A machine that one wave had emptied got the upkeep of the other, too."""
    waves = [
        Wave(1, ("m-w0", "m-w1", "m-w2", "m-w3"), within_s=40.0, max_down=1),
        Wave(2, ("m-w0", "m-w1", "m-w2"), within_s=40.0, max_down=3),
    ]
    cluster.waves = waves
    await cluster.advance(0.5)
    full = Step(count=4, usage=SMALL._replace(accelerators=8))
    await cluster.submit("j1", full, work_s=5.0)
    await cluster.advance(45.0)
    upkeeps = cluster.machines.upkeeps
    for wave in waves:
        own = [upkeep for upkeep in upkeeps if upkeep.order.wave == wave.number]
        assert sorted(u.order.machine for u in own) == sorted(wave.machines)
        for upkeep in own:
            began_s = upkeep.at_s - cluster.timing.upkeep_s
            others = [
                other
                for other in own
                if other is not upkeep and began_s < other.at_s <= upkeep.at_s
            ]
            assert len(others) < wave.max_down


async def test_gang_that_starts_while_an_order_is_stored_is_not_killed(monkeypatch):
    # A machine without runs before its order was stored was taken to have none after.
    monkeypatch.setattr("standins.task_worker.STOP_DELAY_S", 0.8)
    cluster = Cluster(workers=2)
    await cluster.advance(0.5)
    whole = Step(usage=SMALL._replace(accelerators=8))
    await cluster.submit("j1", whole, queue="batch", work_s=60.0)
    await cluster.advance(0.5)
    busy = next(name for name, worker in cluster.workers.items() if worker.runs)
    idle = next(name for name in cluster.workers if name != busy)
    transact = cluster.table.transact

    async def transact_slowly(transaction):
        if any(f"m-{idle}" in put.value for put in transaction.puts):
            await cluster.clock.sleep(1.0)
        return await transact(transaction)

    cluster.table.transact = transact_slowly
    await cluster.advance(FIRST_ORDER_S)
    gang = whole._replace(count=2, gang=True)
    await cluster.submit("u1", gang, queue="urgent", work_s=5.0)
    cluster.waves = [Wave(1, (f"m-{idle}",), within_s=60.0, max_down=1)]
    await cluster.advance(8.0)
    upkeeps = cluster.machines.upkeeps
    await cluster.close()
    assert cluster.starts("u1")
    assert [upkeep.killed for upkeep in upkeeps] in ([], [0])


async def test_machine_whose_worker_answers_is_not_taken_for_a_removed_one(cluster):
    # A machine that two lists on end left out was taken to be gone, and the wave done.
    for worker in cluster.workers.values():
        cluster.list_worker(worker.entry._replace(machine=f"m-{worker.entry.name}"))
    list_machines = cluster.machines.list_machines
    left_out = 4

    async def list_without_last():
        nonlocal left_out
        machines = (await list_machines()).unwrap()
        done = {upkeep.order.machine for upkeep in cluster.machines.upkeeps}
        up = [machine for machine in machines if machine.state is MachineState.UP]
        if len(done) < 3 or len(up) < 4 or not left_out:
            return Ok(machines)
        left_out -= 1
        return Ok(tuple(machine for machine in machines if machine.name in done))

    cluster.machines.list_machines = list_without_last
    await cluster.advance(WAVE.within_s + FIRST_ORDER_S)
    assert read_state(cluster) == "completed"
    check_upkeeps(cluster)


@pytest.mark.parametrize("key", ["upkeep/1", "upkeep/x"])
@pytest.mark.parametrize("text", ["", "{", "[]", '{"completed":false}'])
async def test_unreadable_progress_of_a_wave_does_not_end_each_term(cluster, key, text):
    # The exception ended the term of each leader in turn, and no job ran any more.
    cluster.table.commit(Transaction("odd", puts=(Put(key, text),)))
    await cluster.advance(FIRST_ORDER_S)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.5)
    await cluster.advance(20.0)
    ended = [node.log.find("leadership", "lost") for node in cluster.nodes]
    assert ended == [[], []]
    assert cluster.state("j1") is JobState.COMPLETED
    if key == "upkeep/1":
        # Its orders may be in flight, which the bound on machines down includes.
        assert not cluster.machines.upkeeps
