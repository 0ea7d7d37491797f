"""A job that ends each leader's term in turn, or takes all its time, stops all others.

The next leader loads the same job, so nothing bounds the number of terms it ends.
"""

from __future__ import annotations

import pytest

from chiveledge.coordinator._restart_pauses import MAX_PAUSE_S
from chiveledge.platform._catalogue import MAX_TASKS
from chiveledge.services.task_worker import DeclineReason
from chiveledge.workload import (
    JobProgress,
    JobRequest,
    JobState,
    Step,
    can_store_checkpoint,
    encode_progress,
)
from chiveledge.workload._progress_codec import MAX_CHECKPOINT_CHARS
from standins.task_worker import MemoryTaskWorker
from tests.coordinator.cluster import SMALL


async def test_jobs_with_tiny_declared_times_end_no_term(make_cluster):
    # The estimate of another job of the queue overflowed while a plan was made.
    cluster = make_cluster(nodes=1)
    await cluster.advance(0.5)
    for number, work_s in enumerate((0.1, 10.0, 0.1, 10.0)):
        tiny = Step(usage=SMALL, estimate_s=work_s * 1e-321)
        await cluster.submit(f"tiny{number}", tiny, work_s=work_s)
        await cluster.advance(work_s + 0.5)
    usual = Step(usage=SMALL, estimate_s=10.0)
    await cluster.submit("usual", usual, work_s=0.5)
    await cluster.advance(8)
    assert cluster.nodes[0].log.find("leadership", "lost") == []
    assert cluster.state("usual") is JobState.COMPLETED


async def test_job_whose_orders_are_declined_as_bad_does_not_keep_workers_from_others(
    make_cluster, monkeypatch
):
    # It was placed first in each plan, on all workers, which were then avoided.
    start = MemoryTaskWorker.start

    async def decline_bad(worker, order):
        if order.task.startswith("bad."):
            return worker._decline(DeclineReason.BAD_ORDER)
        return await start(worker, order)

    monkeypatch.setattr(MemoryTaskWorker, "start", decline_bad)
    cluster = make_cluster(nodes=1, workers=4)
    await cluster.advance(0.5)
    bad = Step(count=32, usage=SMALL)
    await cluster.submit("bad", bad, queue="urgent", work_s=5.0)
    await cluster.advance(0.3)
    await cluster.submit("good", Step(count=4, usage=SMALL), work_s=1.0)
    await cluster.advance(5.0)
    assert cluster.state("good") is JobState.COMPLETED


@pytest.mark.parametrize("gang", [False, True])
async def test_lasting_task_that_fails_at_once_is_not_started_again_without_pause(
    make_cluster, gang
):
    # It was started 20 times a second: each start costs orders and store writes.
    cluster = make_cluster(nodes=1, workers=2)
    await cluster.advance(0.5)
    step = Step(count=2, usage=SMALL, lasting=True, gang=gang)
    await cluster.submit("j1", step, work_s=0.01, fails=True)
    await cluster.advance(20.0)
    starts = len(cluster.starts("j1")) / step.count
    # It goes on: 6 s after its last run, a lasting task has to be at work again.
    assert 20 / 6 < starts <= 20 / MAX_PAUSE_S + 4


def test_checkpoints_of_the_largest_job_fit_in_the_memory_of_a_process():
    # A process that exceeds its memory is killed, and the next leader loads the same
    # rows. For control, a node spends 128 MB at most.
    count = 100
    step = Step(count=count, checkpoints=True)
    job = JobProgress(JobRequest("j", "q", "cafes", "", (step,), 0))
    job.open_occurrence(0)
    text = "x" * (MAX_CHECKPOINT_CHARS - 2)
    assert can_store_checkpoint(text)
    for _, task in job.tasks():
        task.last_run = 1
        task.checkpoint = text
    parts = encode_progress(job, 65_536).parts
    largest = sum(map(len, parts.values())) * MAX_TASKS / count
    assert largest <= 128e6
