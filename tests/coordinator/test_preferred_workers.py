"""Gangs that no preferred set of workers holds alone start on several sets together."""

from __future__ import annotations

import pytest

from chiveledge.workload import JobState, Step, Usage
from tests.coordinator.cluster import CAPACITY

WHOLE_WORKER = Usage(1000, 100, CAPACITY.accelerators)


@pytest.mark.parametrize("queue", ["urgent", "standard", "batch"])
@pytest.mark.parametrize(
    "step",
    [
        Step(count=8, usage=WHOLE_WORKER, gang=True, data_rack="r0"),
        Step(
            count=7, usage=Usage(1, 1, 0), gang=True, data_rack="r0", max_per_worker=1
        ),
        Step(count=8, usage=WHOLE_WORKER, gang=True, data_rack="r0", same_rack=True),
    ],
)
async def test_gang_starts_on_workers_near_and_far_from_its_data(
    make_cluster, queue, step
):
    """It fitted neither on the workers near its data nor on the others, and was never
    started on an idle fleet (review/6)."""
    cluster = make_cluster(workers=8)
    await cluster.advance(1.0)
    await cluster.submit("j1", step, queue=queue, work_s=1.0)
    await cluster.advance(6.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert not cluster.leader.log.find("coordinator", "waits")


async def test_gang_of_the_whole_fleet_starts_while_urgent_jobs_keep_arriving(
    make_cluster,
):
    """A worker is reserved for urgent jobs as long as they arrive, and without it the
    gang fitted nowhere."""
    cluster = make_cluster(workers=8)
    await cluster.advance(1.0)
    gang = Step(count=8, usage=Usage(1, 1, 1), gang=True, max_per_worker=1)
    urgent = Step(count=6, usage=Usage(1, 1, 4))
    for number in range(16):
        await cluster.submit(f"u{number}", urgent, queue="urgent", work_s=0.2)
        if number == 6:
            await cluster.submit("j1", gang, queue="batch", work_s=0.5)
        await cluster.advance(0.5)
    assert cluster.state("j1") is JobState.COMPLETED
