"""Tests of the detection of slow workers and of restarts elsewhere."""

from __future__ import annotations

import random

import pytest

from chiveledge.placement import (
    RunSpeed,
    Straggler,
    WorkerSpeeds,
    place_step,
    should_restart,
)
from tests.placement.fleets import make_demand, make_fleet, make_run, make_worker


def test_worker_of_member_slower_than_its_gang_is_slow():
    paces = [
        RunSpeed(f"w{i}", "g.0.0", rate, 0.0) for i, rate in enumerate([30, 28, 6])
    ]
    speeds = WorkerSpeeds()
    assert speeds.update(paces, 0.0) == ["w2"]
    assert speeds.slow_workers(1.0, 24) == {"w2"}
    assert speeds.slow_workers(3.5, 24) == set()


def make_straggler(**fields):
    values = {
        "percent_left": 50,
        "percent_per_s": 7.0,
        "usual_percent_per_s": 40.0,
        "slow_left_s": 5.0,
        "saved": False,
        "due_s": 3.5,
    }
    return Straggler(**(values | fields))


@pytest.mark.parametrize(
    "fields,restarts",
    [
        ({}, True),
        ({"due_s": 9.0}, False),
        ({"due_s": 2.0}, False),
        ({"due_s": 2.0, "saved": True}, True),
        ({"percent_per_s": 0.0}, True),
        ({"slow_left_s": 0.0}, False),
        ({"percent_left": 0}, False),
        ({"percent_left": 0, "percent_per_s": 0.0}, False),
        ({"percent_left": 0, "percent_per_s": 0.0, "slow_left_s": 0.0}, False),
        ({"usual_percent_per_s": 0.0}, False),
    ],
)
def test_run_is_restarted_only_if_that_makes_its_job_in_time(fields, restarts):
    assert should_restart(make_straggler(**fields), stop_s=0.4) is restarts


def test_worker_back_at_usual_speed_is_no_longer_slow():
    speeds = WorkerSpeeds()
    speeds.update([RunSpeed("w1", "j.0.0", 2.0, 20.0)], 0.0)
    assert speeds.slow_workers(0.1, 24) == {"w1"}
    speeds.update([RunSpeed("w1", "j.0.0", 19.0, 20.0)], 0.2)
    assert speeds.slow_workers(0.3, 24) == set()


def test_no_worker_is_slow_if_all_are():
    speeds = WorkerSpeeds()
    speeds.update([RunSpeed(f"w{i}", f"j{i}.0.0", 1.0, 20.0) for i in range(24)], 0.0)
    assert speeds.slow_workers(0.1, 24) == set()


@pytest.mark.parametrize("seed", range(20))
def test_uneven_steps_make_at_most_one_worker_appear_slow(seed):
    rng = random.Random(seed)
    slow = {"w0", "w1", "w2", "w3"}
    paces = [
        RunSpeed(
            worker,
            f"j{job}.0.0",
            10.0 * rng.uniform(0.75, 1.3) * (0.2 if worker in slow else 1.0),
            10.0,
        )
        for job in range(12)
        for worker in rng.sample([f"w{i}" for i in range(24)], 5)
    ]
    found = set(WorkerSpeeds().update(paces, 0.0))
    assert len(found - slow) <= 1
    assert len(found & slow) >= 3


def test_slow_workers_are_filled_last():
    fleet = make_fleet(
        make_worker("w1", slow=True, runs=[make_run("a", "w1", 7)]), make_worker("w2")
    )
    placed = place_step(fleet, make_demand(count=9))
    assert [p.worker for p in placed] == ["w2"] * 8 + ["w1"]
