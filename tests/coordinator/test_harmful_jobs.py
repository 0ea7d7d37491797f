"""A job that ends each leader's term in turn, or takes all its time, stops all others.

The next leader loads the same job, so nothing bounds the number of terms it ends.
"""

from __future__ import annotations

from chiveledge.workload import JobState, Step
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
