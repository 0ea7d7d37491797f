"""Tests of how workspaces take turns.

They guard against a large workspace's burst that is placed as a whole before the jobs
which others hand in a little later.
"""

from __future__ import annotations

from chiveledge.placement import make_plan, may_compete, order_fairly, sort_demands
from chiveledge.workload import Usage
from tests.placement.fleets import CAPACITY, make_demand, make_fleet, make_worker

CAPACITIES = {"pool": CAPACITY}


def make_job(job_id, workspace, due_s, **options):
    return make_demand(
        job_id, workspace=workspace, due_s=due_s, zero_value_s=99.0, **options
    )


def list_ids(turns):
    return [turn.demand.job_id for turn in turns]


def list_demands(turns):
    return [turn.demand for turn in turns]


def make_burst():
    """Return a burst of one workspace and a later job of another."""
    burst = [make_job(f"large-{n}", "large", 5.0 + n) for n in range(3)]
    return [*burst, make_job("small", "small", 9.0)]


def test_workspace_with_nothing_in_use_comes_before_the_rest_of_a_burst():
    order = list_ids(order_fairly(make_burst(), {}, CAPACITIES))
    assert order == ["large-0", "small", "large-1", "large-2"]


def test_workspace_that_runs_much_already_comes_last():
    """A new leader knows the open runs, so it doesn't forget who was served."""
    in_use = {("pool", "large"): Usage(1000, 1000, 4)}
    order = list_ids(order_fairly(make_burst(), in_use, CAPACITIES))
    assert order == ["small", "large-0", "large-1", "large-2"]


def test_share_is_that_of_the_scarcest_resource():
    demands = [
        make_job("many-cores", "a", 1.0, usage=Usage(16000, 1, 0)),
        make_job("next", "a", 2.0, usage=Usage(1, 1, 0)),
        make_job("accelerators", "b", 3.0, usage=Usage(1, 1, 2)),
        make_job("last", "b", 4.0, usage=Usage(1, 1, 0)),
    ]
    order = order_fairly(demands, {}, CAPACITIES)
    assert list_ids(order) == ["many-cores", "accelerators", "last", "next"]
    assert [turn.share for turn in order] == [0.0, 0.0, 0.25, 0.5]


def test_order_of_one_workspace_is_unchanged():
    demands = [make_job(str(n), "only", 9.0 - n) for n in range(4)]
    assert not may_compete(demands)
    order = order_fairly(demands, {}, CAPACITIES)
    assert list_demands(order) == sort_demands(demands)


def test_urgent_and_guaranteed_jobs_take_no_turns():
    demands = [
        make_job(f"{workspace}-{n}", workspace, n, priority=priority, guaranteed=sure)
        for n, workspace in enumerate(["large", "large", "small"])
        for priority, sure in ((0, False), (0, True), (1, True))
    ]
    assert not may_compete(demands)
    order = order_fairly(demands, {}, CAPACITIES)
    assert list_demands(order) == sort_demands(demands)


def test_turns_end_at_priority_and_timeliness():
    """A job that can be in time never waits for one of a workspace with less in use."""
    late = make_job("late", "small", -1.0)
    lower = make_job("lower", "small", 1.0, priority=2)
    demands = [late, lower, make_job("a", "large", 3.0), make_job("b", "large", 4.0)]
    in_use = {("pool", "large"): Usage(1000, 1000, 4)}
    order = list_ids(order_fairly(demands, in_use, CAPACITIES))
    assert order == ["a", "b", "late", "lower"]


def test_services_have_shares_of_their_own():
    demands = [
        make_job("a", "large", 1.0),
        make_job("b", "small", 2.0),
        make_job("c", "large", 1.0)._replace(service="other"),
        make_job("d", "small", 2.0)._replace(service="other"),
    ]
    in_use = {("other", "large"): Usage(0, 0, 8)}
    capacities = {"pool": CAPACITY, "other": CAPACITY}
    assert list_ids(order_fairly(demands, in_use, capacities)) == ["a", "b", "d", "c"]


def test_plan_gives_the_last_free_worker_to_the_workspace_without_runs():
    demands = [
        make_job("first", "large", 1.0, accelerators=8),
        make_job("second", "large", 2.0, accelerators=8),
        make_job("small", "small", 3.0, accelerators=8),
    ]
    fleet = make_fleet(make_worker("w1"), make_worker("w2"))
    plan = make_plan(fleet, demands)
    assert [start.demand.job_id for start in plan.starts] == ["first", "small"]


def test_without_workers_nothing_is_placed_and_nothing_fails():
    assert make_plan(make_fleet(), make_burst()).starts == []
