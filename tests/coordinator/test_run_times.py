"""Tests of run time estimates and of the interval between polls."""

from __future__ import annotations

import math
import random
import statistics

import pytest

from chiveledge.coordinator import CoordinatorTiming, _run_times
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.workload import JobRequest, Step

REQUEST = JobRequest("j", "q", "team", "", (), 0)


def test_declared_time_is_used_before_any_run_completed():
    assert RunTimeEstimator().expected_s(REQUEST, Step(estimate_s=4.0)) == 4.0


def test_constant_ratio_to_declared_times_is_estimated():
    estimator = RunTimeEstimator()
    for estimate_s in (1.0, 5.0, 2.0, 9.0, 3.0, 7.0):
        estimator.update(REQUEST, Step(estimate_s=estimate_s), 3 * estimate_s)
    assert estimator.expected_s(REQUEST, Step(estimate_s=2.0)) == pytest.approx(
        6.0, rel=0.2
    )


def test_typical_time_is_used_if_declared_times_are_noise():
    estimator = RunTimeEstimator()
    rng = random.Random(1)
    for _ in range(40):
        step = Step(estimate_s=rng.uniform(0.2, 40.0))
        estimator.update(REQUEST, step, rng.uniform(2.0, 3.0))
    assert estimator.expected_s(REQUEST, Step(estimate_s=40.0)) == pytest.approx(
        2.5, rel=0.2
    )


def test_wide_step_does_not_displace_the_steps_before():
    """The members of one gang of 0.3 s made all later jobs look ten times shorter."""
    estimator = RunTimeEstimator()
    for _ in range(10):
        estimator.update(REQUEST, Step(), 3.0)
    for _ in range(20):
        estimator.update(REQUEST, Step(count=20), 0.3)
    assert estimator.expected_s(REQUEST, Step()) > 1.5


@pytest.mark.parametrize("seed", range(5))
def test_estimate_is_nearer_than_each_of_its_parts(seed):
    """Run times vary within a queue, and declared times miss them by chance."""
    rng = random.Random(seed)
    estimator = RunTimeEstimator()
    errors = {"both": 0.0, "typical": 0.0, "declared": 0.0}
    for number in range(200):
        run_s = 2.5 * math.exp(rng.gauss(0.0, 0.5))
        step = Step(estimate_s=run_s * math.exp(rng.gauss(0.0, 0.5)))
        if number >= 20:
            for name, expected_s in (
                ("both", estimator.expected_s(REQUEST, step)),
                ("typical", estimator.typical_s(REQUEST)),
                ("declared", step.estimate_s),
            ):
                errors[name] += abs(math.log(expected_s / run_s))
        estimator.update(REQUEST, step, run_s)
    assert errors["both"] < min(errors["typical"], errors["declared"])


def draw_times(rng, number, tail_s=7.0):
    """Return a declared and an actual time; 3 in 100 take seven times as long."""
    declared_s = 2.5 * math.exp(rng.gauss(0.0, 0.3))
    slow = tail_s if number % 33 == 20 else 1.0
    return declared_s, declared_s * slow * math.exp(rng.gauss(0.0, 0.1))


@pytest.mark.parametrize("seed", range(5))
def test_one_run_of_many_times_the_usual_length_hardly_moves_the_estimate(seed):
    """Each of them made the jobs after it look half as long again."""
    rng = random.Random(seed)
    estimator = RunTimeEstimator()
    for number in range(20):
        declared_s, run_s = draw_times(rng, number)
        estimator.update(REQUEST, Step(estimate_s=declared_s), run_s)
    step = Step(estimate_s=2.5)
    before_s = estimator.expected_s(REQUEST, step)
    estimator.update(REQUEST, Step(estimate_s=2.5), 7 * 2.5)
    assert estimator.expected_s(REQUEST, step) < 1.2 * before_s


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("factor", [0.25, 1.0, 4.0])
def test_estimate_is_good_after_five_runs(seed, factor):
    """Declared times are wrong by a factor; a job in 33 takes seven times as long."""
    rng = random.Random(seed)
    estimator = RunTimeEstimator()
    errors = []
    for number in range(100):
        declared_s, run_s = draw_times(rng, number)
        step = Step(estimate_s=declared_s / factor)
        if number >= 5:
            expected_s = estimator.expected_s(REQUEST, step)
            errors.append(abs(math.log(expected_s / run_s)))
        estimator.update(REQUEST, step, run_s)
    assert statistics.median(errors) < 0.2


def test_restored_estimate_is_that_of_the_earlier_leader():
    earlier = RunTimeEstimator()
    for estimate_s in (1.0, 5.0, 2.0, 9.0, 3.0, 7.0):
        earlier.update(REQUEST, Step(estimate_s=estimate_s), 3 * estimate_s)
    estimator = RunTimeEstimator()
    estimator.restore(earlier.list_known())
    step = Step(estimate_s=2.0)
    assert estimator.expected_s(REQUEST, step) == earlier.expected_s(REQUEST, step)
    for _ in range(12):
        estimator.update(REQUEST, Step(estimate_s=2.0), 1.0)
    assert estimator.expected_s(REQUEST, step) == pytest.approx(1.0, rel=0.3)
    estimator.restore(earlier.list_known())
    assert estimator.expected_s(REQUEST, step) == pytest.approx(1.0, rel=0.3)


def test_queues_without_runs_for_long_are_forgotten(monkeypatch):
    monkeypatch.setattr(_run_times, "MAX_QUEUES", 2)
    estimator = RunTimeEstimator()
    for queue in ("a", "b", "a", "c"):
        estimator.update(REQUEST._replace(queue=queue), Step(estimate_s=1.0), 2.0)
    assert list(estimator.list_known()) == ["a", "c"]


def test_chain_adds_the_times_of_dependent_steps():
    steps = (
        Step(estimate_s=1.0),
        Step(estimate_s=2.0, after=(0,)),
        Step(estimate_s=5.0, after=(0,)),
        Step(estimate_s=1.0, after=(1,)),
    )
    assert RunTimeEstimator().expected_chain_s(REQUEST._replace(steps=steps)) == 6.0


def test_polls_in_a_second_are_bounded():
    timing = CoordinatorTiming()
    assert timing.poll_wait_s(24, busy=True) == timing.poll_wait_busy_s
    assert timing.poll_wait_s(180, busy=True) == 1.5
    assert timing.poll_wait_s(800, busy=True) == timing.poll_wait_idle_s
    assert timing.poll_wait_s(24, busy=False) == timing.poll_wait_idle_s


def test_tiny_declared_time_does_not_overflow_the_estimate_of_other_jobs():
    # The exception ended the term: each plan estimates all jobs of the queue.
    estimator = RunTimeEstimator()
    for run_time_s in (0.1, 10.0, 0.1, 10.0):
        estimator.update(REQUEST, Step(estimate_s=run_time_s * 1e-321), run_time_s)
    usual = Step(estimate_s=10.0)
    assert estimator.expected_s(REQUEST, usual) < 2**53
