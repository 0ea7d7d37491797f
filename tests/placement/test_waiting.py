"""Tests of the reasons why tasks are not placed."""

from __future__ import annotations

import pytest

from chiveledge.placement import WaitCause, find_wait_cause, make_plan
from tests.placement.fleets import make_demand, make_fleet, make_run, make_worker

WIDE = make_demand(count=2, accelerators=8, gang=True)


@pytest.mark.parametrize(
    ("cause", "options", "demand"),
    [
        (WaitCause.TOO_LARGE, {}, make_demand(count=3, accelerators=8, gang=True)),
        (WaitCause.TOO_LARGE, {}, make_demand(accelerators=9)),
        (WaitCause.TOO_LARGE, {}, make_demand(required_label="b")),
        (WaitCause.TOO_LARGE, {}, make_demand(count=3, max_per_worker=1, gang=True)),
        (WaitCause.FULL, {"runs": [make_run("a", "w2")]}, WIDE),
        (WaitCause.EXCLUDED, {"isolated_job": "a"}, WIDE),
        (WaitCause.EXCLUDED, {"suspected": True}, WIDE._replace(avoids_suspected=True)),
        (WaitCause.EXCLUDED, {}, WIDE._replace(allowed_workers=frozenset({"w1"}))),
        (WaitCause.PREFERENCE, {}, WIDE),
    ],
)
def test_first_reason_that_holds_is_named(cause, options, demand):
    fleet = make_fleet(make_worker("w1"), make_worker("w2", **options))
    assert find_wait_cause(fleet, demand) is cause


def test_reservation_for_urgent_work_is_named_except_to_urgent_work():
    full = make_worker("w1", runs=[make_run("a", "w1", 8)])
    fleet = make_fleet(full, make_worker("w2"))
    fleet.workers["w2"].reserved = True
    demand = make_demand("b", accelerators=8)
    assert find_wait_cause(fleet, demand) is WaitCause.RESERVED
    assert find_wait_cause(fleet, demand._replace(priority=0)) is WaitCause.PREFERENCE


def test_plan_lists_tasks_that_neither_start_nor_wait_for_a_stop():
    fleet = make_fleet(make_worker("w1", runs=[make_run("a", "w1", 4)]))
    urgent = make_demand("u", count=1, accelerators=8, priority=0)
    plan = make_plan(fleet, [urgent, make_demand("b", count=2, accelerators=4)])
    assert [row.demand.job_id for row in plan.deferred_starts] == ["u"]
    (waiting,) = plan.waiting
    assert (waiting.job_id, waiting.indices) == ("b", (0, 1))
