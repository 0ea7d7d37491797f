"""What operators of similar systems met, tried on the cluster within one process.

The other rows of the table in `docs/invariants.md` name tests that stand elsewhere.
"""

from __future__ import annotations

import pytest

from chiveledge.intake import Accepted
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL

WHOLE = SMALL._replace(accelerators=8)


@pytest.mark.parametrize("silent_s", [0.5, 2.0, 4.0])
@pytest.mark.parametrize("gang", [False, True])
async def test_worker_that_was_only_silent_keeps_its_work(make_cluster, silent_s, gang):
    cluster = make_cluster(workers=4)
    await cluster.advance(0.5)
    step = Step(count=2, usage=WHOLE, gang=gang)
    await cluster.submit("j1", step, work_s=6.0)
    await cluster.advance(1.0)
    worker = next(w for w in cluster.workers.values() if w.runs)
    worker.faults.silent = True
    await cluster.advance(silent_s)
    worker.faults.silent = False
    await cluster.advance(8.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 2


async def test_worker_that_left_while_nobody_led_is_not_used_again(make_cluster):
    cluster = make_cluster(workers=3)
    await cluster.advance(0.5)
    await cluster.nodes[0].kill()
    cluster.unlist_worker("w0")
    await cluster.restart(0)
    await cluster.advance(1.0)
    step = Step(count=3, usage=WHOLE)
    assert await cluster.submit("j1", step, work_s=0.5) == Accepted()
    await cluster.advance(4.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert not cluster.workers["w0"].faults.started


async def test_leader_paused_for_seconds_orders_nothing_after_it(make_cluster):
    """It is cut off as a paused process is: nothing of it arrives until it wakes."""
    cluster = make_cluster(workers=2, nodes=2)
    await cluster.advance(0.5)
    old = cluster.leader
    await cluster.submit("j1", Step(count=4, usage=SMALL), work_s=5.0)
    await cluster.advance(0.5)
    old.store.cut = True
    for link in old.workers.values():
        link.cut = True
    await cluster.advance(4.0)
    new = cluster.leader if cluster.leader is not old else cluster.nodes[1]
    assert new.leads and new is not old
    before = len(cluster.starts("j1"))
    for link in old.workers.values():
        link.cut = False
    old.store.cut = False
    await cluster.advance(1.0)
    assert not old.leads
    assert len(cluster.starts("j1")) == before == 4
    await cluster.advance(4.0)
    assert cluster.state("j1") is JobState.COMPLETED
