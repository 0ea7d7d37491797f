"""Tests of the order of demands and of which urgent jobs are guaranteed."""

from __future__ import annotations

from chiveledge.placement import find_guaranteed_jobs, sort_demands
from chiveledge.workload import JobProgress, JobRequest, Step, Usage
from tests.placement.fleets import make_demand


def test_order_is_guarantee_then_priority_then_due_time_then_value():
    demands = [
        make_demand("hopeless", priority=1, due_s=-9.0, zero_value_s=-1.0),
        make_demand("later", priority=1, due_s=5.0, zero_value_s=9.0),
        make_demand("sooner", priority=1, due_s=1.0, zero_value_s=9.0),
        make_demand("urgent", priority=0, due_s=9.0, zero_value_s=9.0),
        make_demand("sure", priority=0, due_s=9.5, zero_value_s=9.5, guaranteed=True),
    ]
    order = [demand.job_id for demand in sort_demands(demands)]
    assert order == ["sure", "urgent", "sooner", "later", "hopeless"]


def make_job(job_id: str, accelerators: int, accepted_ms: int) -> JobProgress:
    step = Step(count=2, usage=Usage(1, 1, accelerators))
    return JobProgress(JobRequest(job_id, "q", "team", "", (step,), accepted_ms))


def test_guarantee_is_filled_with_oldest_urgent_jobs():
    jobs = [make_job("c", 1, 3), make_job("a", 3, 1), make_job("b", 2, 2)]
    urgent = dict.fromkeys("abc", 0)
    assert find_guaranteed_jobs(jobs, {"team": 8}, urgent) == {"a", "c"}
    assert find_guaranteed_jobs(jobs, {}, urgent) == set()
    assert find_guaranteed_jobs(jobs, {"team": 8}, urgent | {"a": 1}) == {"b", "c"}


def test_late_jobs_come_after_jobs_that_can_finish_in_time():
    demands = [
        make_demand("worthless", due_s=-9.0, zero_value_s=1.0, remaining_s=2.0),
        make_demand("late", due_s=1.0, zero_value_s=9.0, remaining_s=2.0),
        make_demand("in-time", due_s=3.0, zero_value_s=9.0, remaining_s=2.0),
    ]
    order = [demand.job_id for demand in sort_demands(demands)]
    assert order == ["in-time", "late", "worthless"]


def simulate_overload(choose, jobs=60, every_s=1.0, run_s=2.0, objective_s=5.0):
    """Run jobs one at a time at twice the capacity; return how many finish in time."""
    now_s, in_time, waiting, arrived = 0.0, 0, [], 0
    while arrived < jobs or waiting:
        while arrived < jobs and arrived * every_s <= now_s:
            waiting.append(arrived * every_s + objective_s)
            arrived += 1
        if not waiting:
            now_s = arrived * every_s
            continue
        due_at_s = choose(waiting, now_s, run_s)
        waiting.remove(due_at_s)
        now_s += run_s
        in_time += now_s <= due_at_s
    return in_time


def choose_by_order(waiting, now_s, run_s):
    demands = [
        make_demand(
            str(due_at_s), due_s=due_at_s - now_s, zero_value_s=1e9, remaining_s=run_s
        )
        for due_at_s in waiting
    ]
    return float(sort_demands(demands)[0].job_id)


def test_overloaded_fleet_finishes_half_of_twofold_load_in_time():
    by_due_time = simulate_overload(lambda waiting, now_s, run_s: min(waiting))
    by_order = simulate_overload(choose_by_order)
    # Capacity is half of the load; by due time alone almost all jobs finish late.
    assert by_due_time < 10
    assert by_order >= 28
