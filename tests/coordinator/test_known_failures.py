"""Failures that operators of similar systems reported, on the in-process cluster.

The table in `docs/invariants.md` lists further failures with tests in other modules.
"""

from __future__ import annotations

import pytest

from chiveledge.intake import Accepted
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL

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
