"""Paths that the mends of incident 38 leave open, found by an independent review."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from result import Err

from chiveledge.services import Unsettled
from chiveledge.workload import JobState, Step, Usage
from standins import task_worker
from tests.coordinator.cluster import SMALL, Cluster
from tests.coordinator.test_acknowledgement import slow_down_progress
from tests.coordinator.test_late_orders import (
    WHOLE,
    avoid,
    end_late_starts,
    find_worker,
    make_next_start_late,
)

TINY = Usage(5, 1, 0)
LATE_S = 9.0


def find_link(cluster: Cluster, name: str):
    return cluster.leader.coordinator.term.links[name]


async def run_on_worker_with_late_copy(cluster: Cluster, delay_s: float):
    """Start j1 so that a copy of its order is late; return its worker, up for 60 s."""
    await cluster.advance(60.0)
    make_next_start_late(cluster, delay_s)
    await cluster.submit("j1", WHOLE, work_s=40.0)
    while not any(worker.runs for worker in cluster.workers.values()):
        await cluster.advance(0.05)
    end_late_starts(cluster)
    await cluster.advance(1.0)
    name, worker = find_worker(cluster)
    return name, worker


async def close_run_with_late_copies(cluster: Cluster, delay_s: float) -> str:
    """Let a stop bar a run of which all copies are late; return its worker."""
    make_next_start_late(cluster, delay_s, starts=6)
    await cluster.submit("j1", WHOLE, work_s=20.0)
    name = tracked = None
    while tracked is None or tracked.resolved_s is None:
        await cluster.advance(0.05)
        for link in cluster.leader.coordinator.term.links.values():
            for run in link.runs.values():
                name, tracked = link.name, run
        if tracked is not None and tracked.stopping:
            avoid(cluster, name)
    end_late_starts(cluster)
    while find_link(cluster, name).runs:
        await cluster.advance(0.05)
    return name


async def test_stale_entry_with_a_lower_start_does_not_close_runs(make_cluster):
    # The store carried out a write of an earlier incarnation late.
    cluster = make_cluster(workers=2)
    for worker in cluster.workers.values():
        worker.crash(incarnation_ms=5)
        cluster.list_worker(worker.entry)
    await cluster.advance(0.5)
    await cluster.submit("j1", WHOLE, work_s=9.0)
    await cluster.advance(3.0)
    _, worker = find_worker(cluster)
    cluster.list_worker(worker.entry._replace(incarnation_ms=3))
    await cluster.advance(0.2)
    cluster.list_worker(worker.entry)
    await cluster.advance(2.0)
    assert not cluster.double_runs
    assert len(cluster.starts("j1")) == 1


async def test_worker_is_polled_on_after_a_stale_entry_with_a_lower_start(make_cluster):
    # Its own start time then counted as that of an earlier incarnation, for good.
    cluster = make_cluster(workers=1)
    worker = cluster.workers["w0"]
    worker.crash(incarnation_ms=5)
    cluster.list_worker(worker.entry)
    await cluster.advance(0.5)
    cluster.list_worker(worker.entry._replace(incarnation_ms=3))
    await cluster.advance(0.2)
    cluster.list_worker(worker.entry)
    await cluster.submit("j1", WHOLE, work_s=1.0)
    await cluster.advance(20.0)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_lost_stop_of_a_late_start_after_a_restart_is_sent_again(make_cluster):
    # The order that bars the run on the new incarnation was sent once.
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    name = await close_run_with_late_copies(cluster, 5.0)
    connection = cluster.leader.workers[name]
    connection.cut = True
    cluster.workers[name].crash(incarnation_ms=2)
    avoid(cluster, name)
    await cluster.advance(0.8)
    connection.cut = False
    await cluster.advance(6.0)
    assert not cluster.double_runs


async def test_late_start_is_remembered_while_its_worker_is_away(make_cluster):
    # The state of an unlisted silent worker was dropped, and with it the late order.
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    name = await close_run_with_late_copies(cluster, LATE_S)
    worker = cluster.workers[name]
    worker.faults.unresponsive = True
    cluster.unlist_worker(name)
    await cluster.advance(8.0 - cluster.clock.monotonic())
    worker.crash(incarnation_ms=2)
    worker.faults.unresponsive = False
    avoid(cluster, name)
    await cluster.advance(8.0)
    assert not cluster.double_runs


async def test_run_on_a_silent_restarted_worker_outlives_its_late_start(make_cluster):
    # The lease that a late copy grants was counted from the restart.
    cluster = make_cluster(workers=2)
    name, worker = await run_on_worker_with_late_copy(cluster, LATE_S)
    cluster.leader.workers[name].cut = True
    worker.crash(incarnation_ms=2)
    avoid(cluster, name)
    await cluster.advance(25.0)
    assert len(cluster.starts("j1")) == 3
    assert not cluster.double_runs


async def test_lease_of_a_late_start_to_a_restarted_worker(make_cluster):
    # A barred copy still granted all runs there the longest lease.
    cluster = make_cluster(workers=2)
    name, worker = await run_on_worker_with_late_copy(cluster, LATE_S)
    other = next(w for w in cluster.workers.values() if w is not worker)
    cluster.unlist_worker(other.entry.name)
    worker.crash(incarnation_ms=2)
    cluster.list_worker(worker.entry)
    await cluster.advance(LATE_S - 1.0)
    assert worker.runs
    worker.advance()
    while worker.clock_ms + 9_000 > worker._lease_end_ms:
        await cluster.advance(0.05)
        assert cluster.clock.monotonic() < 75.0
    worker.faults.unresponsive = True
    cluster.list_worker(other.entry)
    await cluster.advance(15.0)
    assert len(cluster.starts("j1")) == 3
    assert not cluster.double_runs


async def test_ends_are_acknowledged_while_others_are_stored_slowly(make_cluster):
    # Each poll after a slow write was too late to acknowledge and brought new ends.
    cluster = make_cluster(workers=1)
    worker = cluster.workers["w0"]
    await cluster.advance(0.5)
    slow_down_progress(cluster, 0.3)
    for number in range(60):
        step = Step(count=1, usage=TINY)
        await cluster.submit(f"a{number}", step, work_s=0.5 + 0.1 * number)
    await cluster.advance(2.0)
    now_s = cluster.clock.monotonic()
    ages = [
        now_s - run.ended_s
        for runs in cluster.record.runs.values()
        for run in runs
        if run.ended_s is not None and run.noted_s is None
    ]
    assert worker.runs
    assert max(ages, default=0.0) < 2.0


async def test_pending_start_of_a_task_that_turned_out_done_is_not_sent(
    make_cluster, monkeypatch
):
    # Its end came while the runs that were preempted for it were being stopped.
    monkeypatch.setattr(task_worker, "STOP_DELAY_S", 0.8)
    cluster = make_cluster(workers=2)
    half = SMALL._replace(accelerators=4)
    for worker in cluster.workers.values():
        find_task = worker._find_task
        worker._find_task = lambda task, find_task=find_task: replace(
            find_task(task), work_s=3.0 if task == "j1.0.0.0" else 60.0
        )
    cluster.unlist_worker("w1")
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=2, usage=half), queue="urgent")
    await cluster.advance(1.0)
    worker = cluster.workers["w0"]
    assert len(worker.runs) == 2
    cluster.list_worker(cluster.workers["w1"].entry)
    await cluster.advance(0.3)
    await cluster.submit("b", WHOLE, queue="batch", work_s=60.0)
    await cluster.advance(0.7)
    worker.faults.refuses_connections = True
    (batch,) = cluster.record.runs["b.0.0.0"]
    while batch.stop_ordered_s is None:
        await cluster.advance(0.05)
        assert cluster.clock.monotonic() < 20.0
    worker.faults.refuses_connections = False
    await cluster.advance(4.0)
    assert [run for task, run in cluster.starts("j1") if task == "j1.0.0.0"] == [1]


async def test_stale_draining_entry_does_not_mark_the_next_incarnation(make_cluster):
    # The list still had the earlier one's entry; every run there was then evacuated.
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    worker = cluster.workers["w0"]
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=2.5))
    await cluster.advance(1.0)
    worker.crash(incarnation_ms=2)
    await cluster.advance(2.5)
    # The watch of the list fails once, so that a snapshot follows.
    cluster.table.faults.down = True
    await cluster.advance(1.2)
    cluster.table.faults.down = False
    await cluster.advance(1.0)
    cluster.list_worker(worker.entry)
    step = Step(count=1, usage=SMALL, checkpoints=True)
    await cluster.submit("j1", step, work_s=6.0)
    await cluster.advance(20.0)
    assert len(cluster.starts("j1")) == 1
    assert cluster.state("j1") is JobState.COMPLETED


async def test_answer_of_an_earlier_incarnation_does_not_settle_a_start(make_cluster):
    # The run then counted as absent, and a copy of its order was still on its way.
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    name = "w0"
    cluster.unlist_worker("w1")
    await cluster.advance(0.5)
    worker = cluster.workers[name]
    connection = cluster.leader.workers[name]
    start = connection.start
    orders = []

    async def start_with_late_answer(order):
        orders.append(order)
        if len(orders) > 1:
            asyncio.ensure_future(worker._start_delayed(order, 5.0))
            await cluster.clock.sleep(0.8)
            return Err(Unsettled("no reply"))
        answer = await start(order)
        await cluster.clock.sleep(0.6)
        return answer

    async def lose_stop(order):
        await cluster.clock.sleep(0.8)
        return Err(Unsettled("no reply"))

    connection.start = start_with_late_answer
    connection.stop = lose_stop
    await cluster.submit("j1", WHOLE, work_s=20.0)
    await cluster.advance(0.4)
    assert len(orders) == 2
    worker.crash(incarnation_ms=2)
    avoid(cluster, name)
    await cluster.advance(1.5)
    del connection.start, connection.stop
    cluster.list_worker(cluster.workers["w1"].entry)
    await cluster.advance(8.0)
    assert len(cluster.starts("j1")) == 2
    assert not cluster.double_runs
