"""Tests of run time estimates and of the interval between polls."""

from __future__ import annotations

import random

import pytest

from chiveledge.coordinator import CoordinatorTiming
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
