"""Workspaces take turns on a full fleet, also under a leader that took over.

Guards against a leader that forgets who was served, and starts the burst of a large
workspace before the job of a small one.
"""

from __future__ import annotations

import pytest

from chiveledge.workload import Step
from tests.coordinator.cluster import CAPACITY

WHOLE_WORKER = Step(count=1, usage=CAPACITY, estimate_s=3.0)


async def fill(cluster):
    """Let a large workspace and another one take a worker each."""
    await cluster.advance(0.5)
    await cluster.submit("large0", WHOLE_WORKER, workspace="large", work_s=60.0)
    await cluster.submit("other", WHOLE_WORKER, workspace="other", work_s=9.0)
    await cluster.advance(1.0)


@pytest.mark.parametrize("takes_over", [False, True])
async def test_small_workspace_comes_before_a_burst_of_one_that_runs(
    make_cluster, takes_over
):
    cluster = make_cluster(workers=2, nodes=2)
    await fill(cluster)
    if takes_over:
        await cluster.restart(cluster.nodes.index(cluster.leader))
        await cluster.advance(3.0)
    await cluster.submit("large1", WHOLE_WORKER, workspace="large")
    await cluster.submit("large2", WHOLE_WORKER, workspace="large")
    await cluster.submit("small", WHOLE_WORKER, workspace="small")
    await cluster.advance(12.0)
    placed = cluster.leader.log.find("coordinator", "placed")
    order = [line["id"] for line in placed if line["id"] not in ("large0", "other")]
    assert order == ["small", "large1", "large2"]
    turn = cluster.leader.log.find("coordinator", "turn")[0]
    assert (turn["id"], turn["workspace"], turn["share"]) == ("small", "small", 0.0)
    assert cluster.leader.metrics.value("turns_of_competing_workspaces") >= 1


async def test_one_workspace_has_no_turns(make_cluster):
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    for number in range(3):
        await cluster.submit(f"j{number}", WHOLE_WORKER, workspace="only")
    await cluster.advance(8.0)
    assert len(cluster.leader.log.find("coordinator", "placed")) == 3
    assert not cluster.leader.log.find("coordinator", "turn")
