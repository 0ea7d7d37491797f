"""Jobs whose progress is larger than a row of the store.

The store rejects a row or a transaction over its limits. The leader sent it again and
again, and stored nothing else meanwhile, so one large job stopped the jobs of all.
"""

from __future__ import annotations

import pytest

from chiveledge.coordinator import CoordinatorTiming
from chiveledge.coordinator._progress_rows import PROGRESS_PREFIX
from chiveledge.intake import Refused
from chiveledge.workload import JobState, Step, Usage
from tests.coordinator.cluster import SMALL

TINY = Usage(18, 1, 0)
MAX_VALUE_CHARS = 600
"""Limit of the tests, so that a part has some 16 tasks."""

HUGE = Step(count=1700, usage=TINY)
"""Step whose parts take more entries than a transaction has."""


@pytest.fixture
def make_limited_cluster(make_cluster):
    def make(**options):
        return make_cluster(max_value_chars=MAX_VALUE_CHARS, **options)

    return make


def list_progress_keys(cluster) -> list[str]:
    return [row.key for row in cluster.table.find_all(PROGRESS_PREFIX)]


@pytest.mark.parametrize("gang", [False, True])
async def test_large_job_and_others_are_served(make_limited_cluster, gang):
    cluster = make_limited_cluster(workers=2)
    await cluster.advance(0.5)
    await cluster.submit("large", Step(count=300, usage=TINY, gang=gang), work_s=2.0)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=0.5)
    await cluster.advance(1.5)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(list_progress_keys(cluster)) > 2
    await cluster.advance(6.0)
    assert cluster.state("large") is JobState.COMPLETED
    assert len(cluster.starts("large")) == 300


async def test_next_leader_adopts_the_runs_of_a_large_job(make_limited_cluster):
    cluster = make_limited_cluster(workers=2, nodes=2)
    await cluster.advance(0.5)
    await cluster.submit("large", Step(count=300, usage=TINY), work_s=6.0)
    await cluster.advance(2.0)
    await cluster.leader.kill()
    await cluster.advance(12.0)
    assert cluster.state("large", node=1) is JobState.COMPLETED
    assert len(cluster.starts("large")) == 300


async def test_leader_lost_while_it_stores_a_large_job(make_limited_cluster):
    """Only some rows are stored then, and none of their runs was started."""
    cluster = make_limited_cluster(workers=4, nodes=2)
    await cluster.advance(0.5)
    leader = cluster.leader
    commit = cluster.table.commit

    def commit_once(transaction):
        if leader.store.cut or not any("~" in put.key for put in transaction.puts):
            return commit(transaction)
        leader.store.cut = True
        return commit(transaction)

    cluster.table.commit = commit_once
    await cluster.submit("large", HUGE, work_s=0.5)
    await cluster.advance(1.0)
    assert 90 < len(list_progress_keys(cluster)) < 100
    assert not cluster.starts("large")
    await leader.kill()
    await cluster.advance(9.0)
    assert (
        cluster.state("large", node=1 - cluster.nodes.index(leader))
        is JobState.COMPLETED
    )
    assert len(cluster.starts("large")) == HUGE.count


async def test_all_rows_of_a_large_job_are_removed(make_limited_cluster):
    timing = CoordinatorTiming(keep_ended_s=5.0)
    cluster = make_limited_cluster(workers=4, timing=timing)
    await cluster.advance(0.5)
    await cluster.submit("large", HUGE, work_s=1.0)
    await cluster.advance(0.5)
    assert len(list_progress_keys(cluster)) > 100
    await cluster.advance(20.0)
    assert list_progress_keys(cluster) == []


async def test_failures_of_a_lasting_job_do_not_fill_its_row(make_limited_cluster):
    """Each failure added the name of a worker to the progress of its task."""
    cluster = make_limited_cluster(workers=3)
    await cluster.advance(0.5)
    step = Step(count=2, usage=TINY, lasting=True)
    await cluster.submit("lasting", step, work_s=0.1, fails=True)
    await cluster.advance(60.0)
    starts = len(cluster.starts("lasting"))
    await cluster.advance(10.0)
    assert len(cluster.starts("lasting")) > starts > 100


async def test_job_that_can_never_be_stored_is_refused_at_once(make_limited_cluster):
    """The caller was told to come back, as if the store had been away."""
    cluster = make_limited_cluster(workers=1)
    outcome = await cluster.submit("j1", Step(count=1, required_label="a" * 3000))
    assert isinstance(outcome, Refused)
    assert not cluster.table.find_all("inbox/")
