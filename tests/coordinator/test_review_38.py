"""Paths that the mends of incident 38 leave open, found by an independent review."""

from __future__ import annotations

from chiveledge.workload import JobState, Step, Usage
from tests.coordinator.cluster import SMALL, Cluster
from tests.coordinator.test_late_orders import (
    WHOLE,
    find_worker,
)

TINY = Usage(5, 1, 0)
LATE_S = 9.0


def find_link(cluster: Cluster, name: str):
    return cluster.leader.coordinator.term.links[name]


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
