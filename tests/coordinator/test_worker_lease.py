"""When the lease of a worker that a leader can't hear has surely expired."""

from __future__ import annotations

import pytest

from chiveledge.coordinator._worker_lease import CLOCK_RATE, WorkerLease
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL

LEASE_S = 6.0
LONGEST_S = 10.0


def test_lease_is_over_only_on_the_slowest_clock():
    lease = WorkerLease()
    lease.record_clock(60_000, 10.0)
    assert lease.extend(10.0, LEASE_S) == 66_000
    assert not lease.is_over(10.0 + LEASE_S / CLOCK_RATE)
    assert lease.is_over(10.01 + LEASE_S / CLOCK_RATE)


def test_lease_is_never_over_before_its_clock_was_read():
    lease = WorkerLease()
    assert lease.extend(10.0, LEASE_S) is None
    assert not lease.is_over(1000.0)
    assert lease.left_s(1000.0) is None


def test_lease_that_another_leader_may_have_granted_counts_from_the_first_reading():
    lease = WorkerLease(LEASE_S)
    lease.record_clock(60_000, 10.0)
    assert not lease.is_over(15.9)
    assert lease.is_over(16.2)


@pytest.mark.parametrize("is_known", [False, True])
def test_longer_grant_that_is_assumed_later_is_waited_for(is_known):
    lease = WorkerLease(LEASE_S)
    if is_known:
        lease.record_clock(60_000, 10.0)
    lease.assume_granted(LONGEST_S, 10.0)
    if not is_known:
        lease.record_clock(60_000, 10.0)
    assert not lease.is_over(19.9)
    assert lease.is_over(20.3)


def test_reading_that_was_overtaken_does_not_turn_the_clock_back():
    lease = WorkerLease()
    lease.record_clock(60_000, 10.0)
    lease.record_clock(59_000, 10.1)
    assert lease.clock_ms == 60_000


async def test_run_adopted_on_a_later_incarnation_is_held_for_the_longest_lease(
    make_cluster,
):
    """Its order granted the next incarnation more than a leader extends at a time."""
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=60.0)
    await cluster.advance(1.0)
    node = cluster.leader
    worker = next(w for w in cluster.workers.values() if w.runs)
    await node.kill()
    worker.crash(incarnation_ms=2)
    cluster.list_worker(worker.entry)
    await cluster.restart(0)
    await cluster.advance(0.5)
    term = cluster.leader.coordinator.term
    lease = term.links[worker.entry.name].lease
    now_s = cluster.clock.monotonic()
    assert lease.left_s(now_s) > cluster.timing.longest_lease_s - 1.0


@pytest.mark.parametrize("outage_s", [5.0, 9.0])
async def test_runs_outlast_an_outage_of_the_store(make_cluster, outage_s):
    """A leader without the store extends leases for some seconds only."""
    cluster = make_cluster(workers=2, nodes=2)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=2, usage=SMALL), work_s=12.0)
    await cluster.advance(1.0)
    cluster.table.faults.down = True
    await cluster.advance(outage_s)
    cluster.table.faults.down = False
    await cluster.advance(13.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 2
