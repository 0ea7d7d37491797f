"""More ended runs on a worker than one report lists.

A run that neither works nor is among the listed ends was taken for one that never
started, and its task started again although it had ended done.
"""

from __future__ import annotations

import pytest

from chiveledge.coordinator._progress_rows import progress_key
from chiveledge.services import Put, Transaction
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


async def test_withheld_end_does_not_hide_the_ends_of_other_jobs_for_good(make_cluster):
    """The end of an unreadable job filled the worker's list with all later ends."""
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=1, usage=TINY), work_s=3.0)
    await cluster.advance(1.0)
    put = Put(progress_key("j1"), "unreadable")
    cluster.table.commit(Transaction("odd", puts=(put,)))
    await cluster.restart(0)
    await cluster.advance(4.0)
    assert cluster.workers["w0"].ended
    await cluster.submit("j2", MANY, work_s=0.5)
    await cluster.advance(12.0)
    assert cluster.state("j2") is JobState.COMPLETED
    assert len(cluster.starts("j2")) == MANY.count
