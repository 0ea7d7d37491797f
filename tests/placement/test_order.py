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


def test_jobs_that_cannot_be_in_time_do_not_make_others_late():
    demands = [
        make_demand("worthless", due_s=-9.0, hopeless_s=1.0, rest_s=2.0),
        make_demand("late", due_s=1.0, hopeless_s=9.0, rest_s=2.0),
        make_demand("in-time", due_s=3.0, hopeless_s=9.0, rest_s=2.0),
    ]
    order = [demand.job_id for demand in sort_demands(demands)]
    assert order == ["in-time", "late", "worthless"]


def play_overload(choose, jobs=60, every_s=1.0, run_s=2.0, patience_s=5.0):
    """Run jobs one at a time, twice as many as can be done; return those in time."""
    now_s, in_time, waiting, arrived = 0.0, 0, [], 0
    while arrived < jobs or waiting:
        while arrived < jobs and arrived * every_s <= now_s:
            waiting.append(arrived * every_s + patience_s)
            arrived += 1
        if not waiting:
            now_s = arrived * every_s
            continue
        due_at_s = choose(waiting, now_s, run_s)
        waiting.remove(due_at_s)
        now_s += run_s
        in_time += now_s <= due_at_s
    return in_time


def choose_by_rank(waiting, now_s, run_s):
    demands = [
        make_demand(str(due_at_s), due_s=due_at_s - now_s, hopeless_s=1e9, rest_s=run_s)
        for due_at_s in waiting
    ]
    return float(sort_demands(demands)[0].job_id)


def test_overloaded_fleet_serves_in_time_what_it_can_carry():
    by_due_time = play_overload(lambda waiting, now_s, run_s: min(waiting))
    by_rank = play_overload(choose_by_rank)
    # The fleet can carry half of the load; by due time alone all soon come late.
    assert by_due_time < 10
    assert by_rank >= 28
