"""Speeds of workers learnt from gangs, and how placement uses them."""

from __future__ import annotations

import random

import pytest

from chiveledge.placement import (
    LearntSpeeds,
    MemberRate,
    choose_victims,
    place_step,
)
from tests.placement.fleets import make_demand, make_fleet, make_run, make_worker


def compare(speeds, gang, rates):
    speeds.update(
        MemberRate((f"{gang}.{worker}", 1), worker, (gang, 1), rate)
        for worker, rate in rates.items()
    )


def test_slower_member_is_known_after_one_gang():
    speeds = LearntSpeeds()
    compare(speeds, "g", {"a": 13.0, "b": 13.0, "c": 10.0})
    assert set(speeds.find_slowdowns()) == {"c"}


def test_gang_of_slower_workers_only_does_not_hide_them():
    speeds = LearntSpeeds()
    for number in range(3):
        compare(speeds, f"g{number}", {"a": 13.0, "c": 10.0, "d": 10.0})
    for number in range(9):
        compare(speeds, f"h{number}", {"c": 10.0, "d": 10.0})
    assert set(speeds.find_slowdowns()) == {"c", "d"}


def test_member_that_was_disturbed_once_is_at_full_speed_again():
    speeds = LearntSpeeds()
    compare(speeds, "g", {"a": 13.0, "b": 1.0})
    assert set(speeds.find_slowdowns()) == {"b"}
    for number in range(6):
        compare(speeds, f"h{number}", {"a": 13.0, "b": 13.0})
    assert not speeds.find_slowdowns()


def test_newer_rate_of_a_run_replaces_the_earlier_one():
    speeds = LearntSpeeds()
    compare(speeds, "g", {"a": 13.0, "b": 9.0})
    compare(speeds, "g", {"a": 13.0, "b": 12.9})
    assert not speeds.find_slowdowns()


def test_single_worker_and_restarted_worker_are_unknown():
    speeds = LearntSpeeds()
    speeds.update([MemberRate(("t", n), "a", ("g", 1), 1.0 + n) for n in range(3)])
    assert not speeds.find_slowdowns()
    compare(speeds, "g", {"a": 13.0, "c": 10.0})
    speeds.forget_worker("c")
    assert not speeds.find_slowdowns()


@pytest.mark.parametrize("seed", range(5))
def test_mixed_fleet_is_told_apart_by_gangs_of_random_members(seed):
    rng = random.Random(seed)
    slow = {f"w{n}" for n in range(24) if n % 3 == 0}
    speeds = LearntSpeeds()
    for number in range(60):
        members = rng.sample([f"w{n}" for n in range(24)], 4)
        pace = rng.uniform(8.0, 50.0)
        compare(
            speeds,
            f"g{number}",
            {
                w: pace / (1.3 if w in slow else 1.0) * rng.uniform(0.97, 1.03)
                for w in members
            },
        )
    assert set(speeds.find_slowdowns()) == slow


def test_urgent_gang_takes_free_workers_at_full_speed():
    workers = [make_worker(f"w{n}", slowdown=1.3 if n < 2 else 1.0) for n in range(4)]
    demand = make_demand(priority=0, count=2, accelerators=8, gang=True)
    placed = place_step(make_fleet(*workers), demand)
    assert {row.worker for row in placed} == {"w2", "w3"}


@pytest.mark.parametrize("due_s,worker", [(2.8, "fast"), (3.5, "slower")])
def test_run_is_stopped_at_full_speed_only_if_the_job_is_late_elsewhere(due_s, worker):
    """On a slower worker the job takes 2.6 s, and 0.3 s until its caller sees it."""
    fleet = make_fleet(
        make_worker("slower", runs=[make_run("a", "slower", 8)], slowdown=1.3),
        make_worker("fast", runs=[make_run("b", "fast", 8, unsaved_s=9.0)]),
    )
    times = {"run_s": 2.0, "remaining_s": 2.0, "due_s": due_s}
    demand = make_demand(priority=0, accelerators=8, **times)
    found = choose_victims(fleet, demand)
    assert [row.worker for row in found.placements] == [worker]
