"""Speeds of workers learnt from gangs, and how placement uses them."""

from __future__ import annotations

import random

import pytest

from chiveledge.placement import (
    LearntSpeeds,
    MachineSpeed,
    MemberRate,
    _learnt_speed,
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


def test_single_worker_is_unknown():
    speeds = LearntSpeeds()
    speeds.update([MemberRate(("t", n), "a", ("g", 1), 1.0 + n) for n in range(3)])
    assert not speeds.find_slowdowns()
    assert not speeds.list_known()


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


def learn(rng, slowdowns, gangs, *, disturbed=0.0):
    """Return speeds learnt from gangs of five random machines each."""
    speeds = LearntSpeeds()
    for number in range(gangs):
        pace = rng.uniform(8.0, 50.0)
        members = rng.sample(sorted(slowdowns), 5)
        rates = {m: pace / slowdowns[m] * rng.uniform(0.97, 1.03) for m in members}
        for machine in members:
            if rng.random() < disturbed:
                rates[machine] /= 5.0
        compare(speeds, f"g{number}", rates)
    return speeds


@pytest.mark.parametrize("seed", range(5))
def test_burst_goes_to_machines_that_are_known_to_be_fast(seed):
    """Gangs went to machines of which nothing was known, and most of those are slow.

    A large fleet of three speeds, of which a few gangs of a new leader have shown less
    than all; a gang then finds a fifth of the fleet free.
    """
    rng = random.Random(seed)
    slowdowns = {f"m{n}": rng.choice([0.8, 1.0, 1.25]) for n in range(175)}
    speeds = learn(rng, slowdowns, 60)
    found = speeds.find_expected_slowdowns(slowdowns)
    slowest = []
    for _ in range(100):
        free = rng.sample(sorted(slowdowns), 35)
        chosen = sorted(free, key=lambda machine: found[machine])[:5]
        slowest.append(max(slowdowns[machine] for machine in chosen))
    assert sum(slowest) / len(slowest) < 0.9


@pytest.mark.parametrize("seed", range(5))
def test_machine_that_is_disturbed_at_times_is_not_slower(seed):
    """A fifth of its runs are five times slower; their mean made it look 1.4 times."""
    rng = random.Random(seed)
    slowdowns = {f"m{n}": 1.3 if n % 3 == 0 else 1.0 for n in range(24)}
    speeds = learn(rng, slowdowns, 120)
    for number in range(12):
        rate = 2.0 if number % 5 == 1 else 10.0
        compare(speeds, f"d{number}", {"m1": rate, "m2": 10.0, "m4": 10.0})
    assert set(speeds.find_slowdowns()) == {m for m, s in slowdowns.items() if s > 1}


def test_restored_speeds_tell_machines_apart_at_once():
    rng = random.Random(1)
    slowdowns = {f"m{n}": 1.3 if n % 3 == 0 else 1.0 for n in range(24)}
    learnt = learn(rng, slowdowns, 60)
    speeds = LearntSpeeds()
    speeds.restore(learnt.list_known())
    assert speeds.find_slowdowns().keys() == learnt.find_slowdowns().keys()


def test_own_comparisons_outweigh_restored_ones():
    """The machine was mended while nobody led."""
    speeds = LearntSpeeds()
    known = {"a": MachineSpeed(0.0, 12), "b": MachineSpeed(-0.3, 12)}
    speeds.restore(known)
    assert set(speeds.find_slowdowns()) == {"b"}
    for number in range(6):
        compare(speeds, f"g{number}", {"a": 13.0, "b": 13.0})
    assert not speeds.find_slowdowns()
    speeds.restore(known)
    assert not speeds.find_slowdowns()


def test_machines_that_were_not_compared_for_long_are_forgotten(monkeypatch):
    monkeypatch.setattr(_learnt_speed, "MAX_MACHINES", 3)
    speeds = LearntSpeeds()
    compare(speeds, "g", {"a": 13.0, "b": 13.0})
    compare(speeds, "h", {"c": 13.0, "b": 13.0})
    compare(speeds, "i", {"d": 13.0, "b": 13.0})
    assert set(speeds.list_known()) == {"b", "c", "d"}
    speeds.restore({"e": MachineSpeed(0.0, 1)})
    assert set(speeds.list_known()) == {"b", "c", "d"}


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
