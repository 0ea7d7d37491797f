"""More ended runs on a worker than one report lists.

A run that neither works nor is among the listed ends was taken for one that never
started, and its task started again although it had ended done.
"""

from __future__ import annotations

import pytest

from chiveledge.workload import JobState, Step, Usage

TINY = Usage(5, 1, 0)
MANY = Step(count=1200, usage=TINY)
"""Tasks whose ends take three reports of one worker."""


async def test_ends_beyond_one_report_are_waited_for(make_cluster):
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", MANY, work_s=0.5)
    await cluster.advance(3.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == MANY.count


@pytest.mark.parametrize("away_s", [0.0, 1.0])
async def test_next_leader_waits_for_ends_beyond_one_report(make_cluster, away_s):
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", MANY, work_s=1.0)
    await cluster.advance(0.8)
    await cluster.nodes[0].kill()
    await cluster.advance(away_s)
    await cluster.restart(0)
    await cluster.advance(5.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == MANY.count
