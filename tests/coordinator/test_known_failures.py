"""Failures that operators of similar systems reported, on the in-process cluster.

The table in `docs/invariants.md` lists further failures with tests in other modules.
"""

from __future__ import annotations

import pytest
from result import Err

from chiveledge.coordinator._progress_rows import progress_key
from chiveledge.intake import Accepted, job_key
from chiveledge.placement._suspicion import AVOID_S, TRUST_S
from chiveledge.services import Put, Transaction, Unavailable, Unsettled
from chiveledge.services.task_worker import EndedTask
from chiveledge.workload import JobRequest, JobState, RunEnd, Step
from standins.simulated_task import StandInTask
from tests.coordinator.cluster import SMALL, WORKER_PREFIX

POLL_WAIT_S = 2.0
POLL_TIMEOUT_S = 0.8
FULL_WORKER = SMALL._replace(accelerators=8)


@pytest.mark.parametrize("silent_s", [0.5, 2.0, 4.0])
@pytest.mark.parametrize("gang", [False, True])
async def test_worker_that_was_briefly_unresponsive_keeps_its_runs(
    make_cluster, silent_s, gang
):
    cluster = make_cluster(workers=4)
    await cluster.advance(0.5)
    step = Step(count=2, usage=FULL_WORKER, gang=gang)
    await cluster.submit("j1", step, work_s=6.0)
    await cluster.advance(1.0)
    worker = next(w for w in cluster.workers.values() if w.runs)
    worker.faults.unresponsive = True
    await cluster.advance(silent_s)
    worker.faults.unresponsive = False
    await cluster.advance(8.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 2


async def test_worker_that_left_without_a_leader_is_not_used_again(make_cluster):
    cluster = make_cluster(workers=3)
    await cluster.advance(0.5)
    await cluster.nodes[0].kill()
    cluster.unlist_worker("w0")
    await cluster.restart(0)
    await cluster.advance(1.0)
    step = Step(count=3, usage=FULL_WORKER)
    assert await cluster.submit("j1", step, work_s=0.5) == Accepted()
    await cluster.advance(4.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert not cluster.workers["w0"].faults.started


async def test_leader_paused_for_seconds_sends_no_orders_afterwards(make_cluster):
    """A pause is simulated by cutting all connections of the leader."""
    cluster = make_cluster(workers=2, nodes=2)
    await cluster.advance(0.5)
    old = cluster.leader
    await cluster.submit("j1", Step(count=4, usage=SMALL), work_s=5.0)
    await cluster.advance(0.5)
    old.store.cut = True
    for connection in old.workers.values():
        connection.cut = True
    await cluster.advance(4.0)
    new = cluster.leader if cluster.leader is not old else cluster.nodes[1]
    assert new.leads and new is not old
    before = len(cluster.starts("j1"))
    for connection in old.workers.values():
        connection.cut = False
    old.store.cut = False
    await cluster.advance(1.0)
    assert not old.leads
    assert len(cluster.starts("j1")) == before == 4
    await cluster.advance(4.0)
    assert cluster.state("j1") is JobState.COMPLETED


@pytest.mark.parametrize("key", [job_key("odd"), progress_key("j1")])
async def test_unreadable_job_row_does_not_end_the_term(make_cluster, key):
    """One unreadable row ended the term of each leader, so that no job ever ran."""
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=4.0)
    await cluster.advance(0.5)
    await cluster.nodes[0].kill()
    cluster.table.commit(Transaction("w", puts=(Put(key, "[" * 4000),)))
    await cluster.restart(0)
    await cluster.submit("j2", Step(count=1, usage=SMALL), work_s=0.5)
    await cluster.advance(4.0)
    assert cluster.state("j2") is JobState.COMPLETED
    assert cluster.leader.coordinator._leadership.epoch == 2


async def test_worker_whose_entry_becomes_unreadable_is_not_used(make_cluster):
    """The last readable entry was used on until the next snapshot of the list."""
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    cluster.table.commit(Transaction("w", puts=(Put("servers/w0", "no entry"),)))
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=2, usage=FULL_WORKER), work_s=0.5)
    await cluster.advance(2.0)
    assert not cluster.workers["w0"].faults.started
    cluster.list_worker(cluster.workers["w0"].entry)
    await cluster.submit("j2", Step(count=2, usage=FULL_WORKER), work_s=0.5)
    await cluster.advance(2.0)
    assert cluster.workers["w0"].faults.started


async def test_report_of_a_run_with_an_endless_number_does_not_end_the_term(
    make_cluster,
):
    """`int` refuses a text of more than 4,300 digits with a ValueError."""
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    worker = cluster.workers["w0"]
    end = EndedTask(1, "j9.0.0." + "9" * 5000, 1, RunEnd.DONE, "")
    worker.ended.append(end)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=0.5)
    await cluster.advance(3.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert cluster.leader.coordinator._leadership.epoch == 1


@pytest.mark.parametrize("lasting_probe", [False, True])
async def test_worker_with_a_lasting_task_is_used_again_after_failures(
    make_cluster, lasting_probe
):
    """A suspected worker was probed only once it was empty, so never."""
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    lasting = Step(count=1, usage=SMALL, lasting=True)
    await cluster.submit("lasting", lasting, work_s=1e6)
    await cluster.advance(0.5)
    failing = Step(count=4, usage=SMALL)
    await cluster.submit("j1", failing, work_s=0.05, fails=True)
    await cluster.advance(2.0)
    if lasting_probe:
        await cluster.submit("probe", lasting, work_s=1e6)
        cluster.tasks["probe"].ready_at_once = True
    await cluster.advance(AVOID_S + TRUST_S)
    await cluster.submit("j2", Step(count=4, usage=SMALL), work_s=0.5)
    await cluster.advance(6.0)
    assert cluster.state("j2") is JobState.COMPLETED


async def test_ends_of_a_restarted_worker_are_not_acknowledged_unseen(make_cluster):
    """The poll after an unanswered one acknowledged the end of another incarnation.

    The worker forgot that end, and its task was started again.
    """
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=0.2)
    await cluster.advance(1.5)
    connection = cluster.leader.workers["w0"]
    worker = cluster.workers["w0"]

    async def poll_without_answer(request):
        await cluster.clock.sleep(POLL_WAIT_S + POLL_TIMEOUT_S)
        return Err(Unsettled("the connection went silent"))

    connection.poll = poll_without_answer
    await cluster.advance(POLL_WAIT_S)
    del connection.poll
    worker.crash(incarnation_ms=2)
    await cluster.submit("j2", Step(count=1, usage=SMALL), work_s=0.2)
    await cluster.advance(POLL_WAIT_S + POLL_TIMEOUT_S + 2.0)
    assert cluster.state("j2") is JobState.COMPLETED
    assert len(cluster.starts("j2")) == 1


@pytest.mark.parametrize("lapse_s", [3.2, 4.5])
async def test_draining_worker_that_is_cut_off_is_not_taken_for_gone(
    make_cluster, lapse_s
):
    """Its connection was refused and its entry had lapsed, but its tasks ran on."""
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=2, usage=FULL_WORKER), work_s=9.0)
    await cluster.advance(0.5)
    worker = cluster.workers["w0"]
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=30.0))
    await cluster.advance(0.5)
    worker.faults.refuses_connections = True
    await cluster.advance(lapse_s)
    cluster.unlist_worker("w0")
    await cluster.advance(4.8 - lapse_s)
    worker.faults.refuses_connections = False
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=25.0))
    await cluster.advance(8.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 2


async def lose_draining_entry(cluster, *, work_s, unreadable=False):
    """Start two tasks; return a worker of one, draining without its entry.

    It has answered the leader for a second since its entry went.
    """
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=2, usage=FULL_WORKER), work_s=work_s)
    await cluster.advance(0.5)
    worker = next(w for w in cluster.workers.values() if w.runs)
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=30.0))
    await cluster.advance(0.5)
    if unreadable:
        put = Put(WORKER_PREFIX + worker.entry.name, "unreadable")
        cluster.table.commit(Transaction("another writer", puts=(put,)))
    else:
        cluster.unlist_worker(worker.entry.name)
    await cluster.advance(1.0)
    return worker


@pytest.mark.parametrize("unreadable", [False, True])
async def test_draining_worker_that_lost_its_entry_is_not_taken_for_gone(
    make_cluster, unreadable
):
    """It answered without its entry, then refused connections for a second."""
    cluster = make_cluster(workers=3)
    worker = await lose_draining_entry(cluster, work_s=9.0, unreadable=unreadable)
    worker.faults.refuses_connections = True
    await cluster.advance(1.0)
    worker.faults.refuses_connections = False
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=25.0))
    await cluster.advance(9.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 2


@pytest.mark.parametrize("ended", [False, True])
async def test_draining_worker_that_answers_503_is_not_taken_for_gone(
    make_cluster, ended
):
    """It lost its entry and answered one poll with 503, as an unhealthy one does."""
    cluster = make_cluster(workers=3)
    worker = await lose_draining_entry(cluster, work_s=3.0 if ended else 9.0)
    connection = cluster.leader.workers[worker.entry.name]

    async def answer_unhealthy(request):
        del connection.poll
        while ended and worker.runs:
            await cluster.clock.sleep(0.05)
        return Err(Unavailable("the worker returned status 503"))

    connection.poll = answer_unhealthy
    await cluster.advance(3.0)
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=25.0))
    await cluster.advance(8.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 2


async def test_schedule_that_began_long_ago_does_not_stop_other_jobs(make_cluster):
    """Each plan opened all due occurrences, for minutes, so that the lease lapsed."""
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    now_ms = int(cluster.clock.now().timestamp() * 1000)
    schedule = JobRequest(
        "j1",
        "standard",
        "cafes",
        "payload",
        (Step(count=1, usage=SMALL),),
        now_ms,
        occurrences=525_600,
        first_due_ms=now_ms - 300_000 * 60_000,
        interval_ms=60_000,
        service="pool",
        priority=1,
        max_attempts=3,
    )
    cluster.tasks["j1"] = StandInTask(0.5, SMALL)
    await cluster.call(cluster.nodes[0].job_store.submit(schedule, 2.0))
    await cluster.submit("j2", Step(count=3, usage=SMALL), queue="urgent", work_s=0.5)
    await cluster.advance(5.0)
    assert cluster.state("j2") is JobState.COMPLETED
    assert len(cluster.starts("j1")) > 50
    assert cluster.leader.coordinator._leadership.epoch == 1


async def test_pending_starts_count_against_the_bound_per_worker(make_cluster):
    """While runs were being stopped for two tasks, the third was placed beside one."""
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=16, usage=SMALL), queue="batch", work_s=60.0)
    await cluster.advance(1.0)
    spread = Step(count=3, usage=SMALL, max_per_worker=1)
    await cluster.submit("j2", spread, queue="urgent", work_s=3.0)
    # The arrival of another job makes the leader plan again.
    await cluster.submit("j3", Step(count=1, usage=SMALL), queue="batch", work_s=1.0)
    for _ in range(40):
        await cluster.advance(0.05)
        for worker in cluster.workers.values():
            assert sum(task.startswith("j2.") for task, _ in worker.runs) <= 1
    assert len(cluster.starts("j2")) == 2
