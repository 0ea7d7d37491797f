"""Who goes first, and which urgent jobs are within their guarantees."""

from __future__ import annotations

from chiveledge.placement import find_guaranteed_jobs, sort_demands
from chiveledge.workload import JobProgress, JobRequest, Step, Usage
from tests.placement.fleets import make_demand


def test_guaranteed_then_priority_then_due_then_hopeless():
    demands = [
        make_demand("hopeless", priority=1, due_s=-9.0, hopeless_s=-1.0),
        make_demand("later", priority=1, due_s=5.0, hopeless_s=9.0),
        make_demand("sooner", priority=1, due_s=1.0, hopeless_s=9.0),
        make_demand("urgent", priority=0, due_s=9.0, hopeless_s=9.0),
        make_demand("sure", priority=0, due_s=9.5, hopeless_s=9.5, guaranteed=True),
    ]
    order = [demand.job_id for demand in sort_demands(demands)]
    assert order == ["sure", "urgent", "sooner", "later", "hopeless"]


def make_job(job_id: str, accelerators: int, accepted_ms: int) -> JobProgress:
    step = Step(count=2, usage=Usage(1, 1, accelerators))
    return JobProgress(JobRequest(job_id, "q", "team", "", (step,), accepted_ms))


def test_oldest_urgent_jobs_fill_the_guarantee():
    jobs = [make_job("c", 1, 3), make_job("a", 3, 1), make_job("b", 2, 2)]
    urgent = dict.fromkeys("abc", 0)
    assert find_guaranteed_jobs(jobs, {"team": 8}, urgent) == {"a", "c"}
    assert find_guaranteed_jobs(jobs, {}, urgent) == set()
    assert find_guaranteed_jobs(jobs, {"team": 8}, urgent | {"a": 1}) == {"b", "c"}
