"""Ends that are acknowledged although the leader has not stored them, or not seen them.

A worker forgets an end that is acknowledged, so its task starts again as soon as the
end is asked for: by the next leader, or by the same one if it never saw the end.
"""

from __future__ import annotations

from result import Err

from chiveledge.coordinator import CoordinatorTiming
from chiveledge.coordinator._progress_rows import progress_key
from chiveledge.services import Rejected
from chiveledge.workload import JobState, Step, Usage
from tests.coordinator.cluster import SMALL

TINY = Usage(5, 1, 0)
SLOW_S = 0.9
"""Time of a slow write; the leader waits for 0.5 s before it polls again."""

POLL_WAIT_S = 2.0

LONG_S = 20.0
"""Longer than all leases, so that the next leader places what it takes for open."""


def reject_progress(cluster, job_id: str) -> None:
    commit = cluster.table.commit

    def commit_others(transaction):
        if any(put.key == progress_key(job_id) for put in transaction.puts):
            return Err(Rejected("the progress of this job is not taken"))
        return commit(transaction)

    cluster.table.commit = commit_others


def slow_down_progress(cluster, seconds: float) -> None:
    transact = cluster.table.transact

    async def transact_slowly(transaction):
        if any(put.key.startswith(progress_key("")) for put in transaction.puts):
            await cluster.clock.sleep(seconds)
        return await transact(transaction)

    cluster.table.transact = transact_slowly


def restore_store(cluster) -> None:
    for name in ("commit", "transact"):
        cluster.table.__dict__.pop(name, None)


def is_noted(cluster, task: str) -> bool:
    return any(run.noted_s is not None for run in cluster.record.runs[task])


async def advance_until(cluster, condition, limit_s: float = 10.0) -> None:
    for _ in range(round(limit_s / 0.05)):
        if condition():
            return
        await cluster.advance(0.05)
    raise AssertionError("the condition was not met")


async def advance_until_noted(cluster, task: str) -> None:
    await advance_until(cluster, lambda: is_noted(cluster, task))


async def replace_leader(cluster) -> None:
    """Kill the only node, let the store work again, and start the node again."""
    await cluster.nodes[0].kill()
    restore_store(cluster)
    await cluster.restart(0)
    await cluster.advance(LONG_S)


async def test_end_whose_progress_is_rejected_is_not_acknowledged_with_a_later_one(
    make_cluster,
):
    """The end of j2 was stored; its number acknowledged that of j1 too."""
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=1.0)
    await cluster.submit("j2", Step(count=1, usage=SMALL), work_s=2.0)
    await cluster.advance(0.5)
    reject_progress(cluster, "j1")
    await cluster.advance(4.0)
    await replace_leader(cluster)
    assert cluster.record.started_after_done == []
    assert cluster.state("j1") is JobState.COMPLETED


async def test_end_in_a_later_batch_is_not_acknowledged_with_one_of_an_earlier_batch(
    make_cluster,
):
    """More jobs ended than fit into a transaction, and j2, in front of them, later."""
    cluster = make_cluster(workers=1, timing=CoordinatorTiming(stall_s=60.0))
    worker = cluster.workers["w0"]
    worker.faults.hangs = True
    await cluster.advance(0.5)
    step = Step(count=1, usage=TINY)
    for number in range(80):
        await cluster.submit(f"a{number}", step, work_s=0.5)
    await cluster.advance(0.5)
    slow_down_progress(cluster, SLOW_S)
    await cluster.submit("j2", step, work_s=0.3)
    await cluster.advance(0.5)
    # Its write is under way while j2 begins, so that j2 waits in front of the others.
    await cluster.submit("j3", step, work_s=5.0)
    worker.faults.hangs = False
    await advance_until_noted(cluster, "j2.0.0.0")
    await replace_leader(cluster)
    assert cluster.record.started_after_done == []


async def test_end_of_a_large_job_is_not_acknowledged_before_its_last_row(make_cluster):
    """Between two transactions of the large job, the end of j2 was stored."""
    cluster = make_cluster(workers=4, max_value_chars=300)
    await cluster.advance(0.5)
    await cluster.submit("large", Step(count=1700, usage=TINY), work_s=6.0)
    await cluster.submit("j2", Step(count=1, usage=TINY), work_s=6.3)
    await cluster.advance(3.0)
    slow_down_progress(cluster, SLOW_S)
    await advance_until_noted(cluster, "j2.0.0.0")
    await replace_leader(cluster)
    assert cluster.record.started_after_done == []
    assert cluster.state("large") is JobState.COMPLETED


async def restart_while_an_end_is_stored(cluster) -> None:
    """Let j2 run on the next incarnation of w0 while the end of j3 is being stored."""
    await advance_until_noted(cluster, "j1.0.0.0")
    slow_down_progress(cluster, 0.25)
    step = Step(count=1, usage=SMALL)
    await cluster.submit("j3", step, work_s=0.1)
    await cluster.submit("j2", step, work_s=0.1)
    worker = cluster.workers["w0"]
    await advance_until(cluster, lambda: worker.ended)
    assert not cluster.starts("j2")
    await cluster.advance(0.05)
    worker.crash(incarnation_ms=2)
    await cluster.advance(5.0)
    restore_store(cluster)
    await cluster.advance(5.0)


async def test_worker_that_restarts_early_while_an_end_is_stored_keeps_its_ends(
    make_cluster,
):
    """No poll failed, and the clock went back by less than a second."""
    cluster = make_cluster(workers=1)
    await cluster.advance(0.3)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=0.1)
    await restart_while_an_end_is_stored(cluster)
    assert cluster.record.started_after_done == []
    assert [run for _, run in cluster.starts("j2")] == [1]


async def test_worker_that_restarts_while_an_end_is_stored_keeps_its_ends(make_cluster):
    """No poll failed, and the answer to the start order that shows it came later."""
    cluster = make_cluster(workers=1)
    await cluster.advance(5.0)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=0.1)
    connection = cluster.leader.workers["w0"]
    start = connection.start

    async def start_with_late_answer(order):
        answer = await start(order)
        if order.task.startswith("j2."):
            await cluster.clock.sleep(0.6)
        return answer

    connection.start = start_with_late_answer
    await restart_while_an_end_is_stored(cluster)
    assert cluster.record.started_after_done == []
    assert [run for _, run in cluster.starts("j2")] == [1]


async def test_poll_that_reaches_the_next_incarnation_acknowledges_none_of_its_ends(
    make_cluster,
):
    """The poll was sent before the worker restarted, and arrived late."""
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=0.2)
    await advance_until_noted(cluster, "j1.0.0.0")
    connection = cluster.leader.workers["w0"]
    poll = connection.poll

    async def poll_late(request):
        await cluster.clock.sleep(1.0)
        return await poll(request)

    connection.poll = poll_late
    await cluster.advance(POLL_WAIT_S + 0.3)
    cluster.workers["w0"].crash(incarnation_ms=2)
    await cluster.submit("j2", Step(count=1, usage=SMALL), work_s=0.1)
    await cluster.advance(1.5)
    del connection.poll
    await cluster.advance(5.0)
    assert cluster.record.started_after_done == []
    assert [run for _, run in cluster.starts("j2")] == [1]


async def test_late_answer_of_an_earlier_incarnation_does_not_end_the_doubt(
    make_cluster,
):
    """It came after the answer to a start order that showed the restart."""
    cluster = make_cluster(workers=1)
    await cluster.advance(5.0)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=0.2)
    await advance_until_noted(cluster, "j1.0.0.0")
    worker = cluster.workers["w0"]
    connection = cluster.leader.workers["w0"]
    poll = connection.poll

    async def poll_with_late_answer(request):
        answer = await poll(request)
        await cluster.clock.sleep(0.6)
        return answer

    connection.poll = poll_with_late_answer
    await cluster.advance(POLL_WAIT_S)
    await cluster.submit("j3", Step(count=1, usage=SMALL), work_s=0.2)
    await advance_until(cluster, lambda: worker.ended)
    await cluster.advance(0.05)
    worker.crash(incarnation_ms=2)
    await cluster.submit("j2", Step(count=1, usage=SMALL), work_s=0.1)
    await cluster.advance(0.4)
    del connection.poll
    await cluster.advance(5.0)
    assert cluster.record.started_after_done == []
    assert [run for _, run in cluster.starts("j2")] == [1]


async def test_done_end_of_a_closed_run_is_not_acknowledged_without_effect(
    make_cluster,
):
    """Its run was closed as its draining worker counted as gone; the end came later."""
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    full = SMALL._replace(accelerators=8)
    await cluster.submit("j1", Step(count=1, usage=full), work_s=4.2)
    await cluster.submit("j2", Step(count=1, usage=full), work_s=9.0)
    await cluster.advance(2.5)
    name = cluster.record.runs["j1.0.0.0"][0].worker
    worker = cluster.workers[name]
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=30.0))
    await cluster.advance(0.5)
    cluster.unlist_worker(name)
    await cluster.advance(0.1)
    worker.faults.refuses_connections = True
    await cluster.advance(1.2)
    worker.faults.refuses_connections = False
    await cluster.advance(1.0)
    assert is_noted(cluster, "j1.0.0.0") and len(cluster.starts("j1")) == 1
    await cluster.advance(12.0)
    assert cluster.record.started_after_done == []
    assert cluster.state("j1") is JobState.COMPLETED


async def test_tasks_of_a_worker_taken_for_gone_do_not_run_again(make_cluster):
    """One ran twice at once, as there was room; one started after its noted end."""
    cluster = make_cluster(workers=2)
    worker = cluster.workers["w1"]
    cluster.unlist_worker("w1")
    await cluster.advance(0.5)
    half = SMALL._replace(accelerators=4)
    await cluster.submit("j2", Step(count=1, usage=half), work_s=9.0)
    await cluster.submit("j3", Step(count=1, usage=half), work_s=3.3)
    cluster.list_worker(worker.entry)
    await cluster.submit("j1", Step(count=2, usage=half), work_s=4.2)
    await cluster.advance(2.5)
    assert len(worker.runs) == 2
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=30.0))
    await cluster.advance(0.5)
    cluster.unlist_worker("w1")
    await cluster.advance(0.1)
    worker.faults.refuses_connections = True
    await cluster.advance(1.2)
    worker.faults.refuses_connections = False
    await cluster.advance(14.0)
    assert (cluster.record.double_runs, cluster.record.started_after_done) == ([], [])
