"""Tests of how many workers are reserved for urgent jobs, and who may use them."""

from __future__ import annotations

import pytest

from chiveledge.placement import UrgentArrivals, count_reserved, make_plan
from chiveledge.placement._reserve import DECAY_S
from chiveledge.workload import JobRequest, Step, Usage
from tests.placement.fleets import (
    CAPACITY,
    make_demand,
    make_fleet,
    make_run,
    make_worker,
)

TASK = Usage(4000, 8000, 2)


def make_request(*steps: Step) -> JobRequest:
    return JobRequest("j", "q", "team", "", steps, 0)


def test_steady_arrivals_are_forecast_at_their_rate():
    arrivals = UrgentArrivals()
    for second in range(60):
        arrivals.record(make_request(Step(count=3, usage=TASK)), float(second))
    per_s = arrivals.forecast(1.0, 60.0).accelerators
    assert 5 <= per_s <= 7


def test_forecast_decays_to_nothing_without_arrivals():
    arrivals = UrgentArrivals()
    arrivals.record(make_request(Step(count=30, usage=TASK)), 0.0)
    assert arrivals.forecast(1.0, 30 * DECAY_S) == Usage()


def test_only_steps_that_start_at_once_count():
    arrivals = UrgentArrivals()
    later = Step(count=50, usage=TASK, after=(0,))
    arrivals.record(make_request(Step(count=4, usage=TASK), later), 0.0)
    assert arrivals.forecast(DECAY_S, 0.0).accelerators == 8


@pytest.mark.parametrize(
    "expected,workers,reserved",
    [
        (Usage(), 24, 0),
        (Usage(1000, 1000, 7), 24, 0),
        (Usage(1000, 1000, 8), 24, 1),
        (Usage(1000, 130_000, 8), 24, 2),
        (Usage(0, 0, 8000), 24, 3),
        (Usage(0, 0, 8000), 3, 0),
    ],
)
def test_scarcest_resource_sets_reserve_up_to_a_share_of_workers(
    expected, workers, reserved
):
    assert count_reserved(expected, CAPACITY, workers) == reserved


def make_busy_fleet(*free: int, labels=()):
    """Return workers with `free` accelerators each; the first ones get `labels`."""
    workers = [
        make_worker(f"w{number}", runs=[make_run(f"a{number}", f"w{number}", 8 - left)])
        for number, left in enumerate(free)
    ]
    for worker, label in zip(workers, labels, strict=False):
        worker.labels |= {label}
    return make_fleet(*workers)


def list_workers(plan) -> list[str]:
    return sorted(p.worker for start in plan.starts for p in start.placements)


def test_reserved_worker_is_the_emptiest_and_runs_urgent_work_only():
    fleet = make_busy_fleet(0, 2, 0, 8)
    fleet.reserve_for_urgent("pool", 1)
    batch = make_demand("b", count=3, accelerators=2, priority=2)
    urgent = make_demand("u", accelerators=8, priority=0)
    assert list_workers(make_plan(fleet, [batch])) == ["w1"]
    assert list_workers(make_plan(fleet, [urgent])) == ["w3"]


@pytest.mark.parametrize("label,placed", [("rare", ["w0"]), ("", [])])
def test_work_that_fits_only_reserved_workers_may_use_them(label, placed):
    fleet = make_busy_fleet(8, 0, 0, labels=["rare"])
    fleet.reserve_for_urgent("pool", 1)
    batch = make_demand("b", priority=2, required_label=label)
    assert list_workers(make_plan(fleet, [batch])) == placed


def make_reserved_fleet(*workers):
    """Return a fleet in which the workers whose names begin with r are reserved."""
    fleet = make_fleet(*workers)
    for worker in fleet.workers.values():
        worker.reserved = worker.name.startswith("r")
    return fleet


def test_gang_that_unreserved_workers_cannot_hold_uses_reserved_ones():
    """It was never placed as long as urgent jobs kept arriving."""
    names = [*(f"w{number}" for number in range(21)), "r1", "r2", "r3"]
    fleet = make_reserved_fleet(*(make_worker(name) for name in names))
    spread = make_demand("a", count=22, gang=True, max_per_worker=1)
    (start,) = make_plan(fleet, [spread]).starts
    assert len({placement.worker for placement in start.placements}) == 22


@pytest.mark.parametrize("count", [1, 2])
def test_gang_that_unreserved_workers_could_hold_waits_for_them(count):
    fleet = make_reserved_fleet(
        make_worker("w1", runs=[make_run("a", "w1", 8)]),
        make_worker("w2"),
        make_worker("r1"),
    )
    demand = make_demand("b", count=count, accelerators=8, gang=True)
    starts = make_plan(fleet, [demand]).starts
    assert [row.worker for start in starts for row in start.placements] == ["w2"][
        : 2 - count
    ]


@pytest.mark.parametrize(
    "options",
    [
        {"allowed_workers": frozenset({"r1"})},
        {"required_label": "gpu"},
        {"accelerators": 16},
        {"filler": True},
        {"count": 3, "required_label": "label", "max_per_worker": 1, "gang": True},
    ],
)
def test_full_unreserved_workers_are_no_reason_to_wait_for_work_that_never_runs_there(
    options,
):
    """The short cut for full fleets looked at unreserved workers alone, and turned work
    down that only reserved ones can run."""
    full = [make_run("a", "w1", 8)]
    fleet = make_reserved_fleet(
        make_worker("w1", runs=full, serving=True),
        make_worker("r1", capacity=Usage(64000, 64000, 16)),
        make_worker("r2", capacity=Usage(64000, 64000, 16)),
        make_worker("r3", capacity=Usage(64000, 64000, 16)),
    )
    fleet.workers["r1"].labels |= {"gpu"}
    for name in fleet.workers:
        fleet.workers[name].labels |= {"label"}
    assert len(make_plan(fleet, [make_demand("b", **options)]).starts) == 1
