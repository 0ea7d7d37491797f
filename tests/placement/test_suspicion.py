"""Tests of the detection of failing workers, and of faulty jobs left out of it."""

from __future__ import annotations

from chiveledge.placement import WorkerSuspicion
from chiveledge.placement._suspicion import AVOID_S, TRUST_S
from chiveledge.workload import TaskName


def task(job: str, index: int = 0) -> TaskName:
    return TaskName(job, 0, 0, index)


def test_worker_that_fails_different_jobs_is_avoided_then_probed():
    suspicion = WorkerSuspicion()
    suspicion.record_failure("w1", task("a"), 0.0)
    assert suspicion.avoided(0.0, 24) == set()
    assert suspicion.suspected() == {"w1"}
    suspicion.record_failure("w1", task("b"), 1.0)
    assert suspicion.avoided(1.0, 24) == {"w1"}
    assert suspicion.probing(1.0 + AVOID_S) == {"w1"}
    suspicion.record_success("w1", task("c"))
    assert suspicion.probing(1.0 + AVOID_S) == set()
    assert suspicion.suspected() == set()


def test_worker_that_fails_many_tasks_of_one_job_is_avoided():
    suspicion = WorkerSuspicion()
    suspicion.record_success("w2", task("wide", 9))
    for index in range(4):
        suspicion.record_failure("w1", task("wide", index), 0.0)
    assert suspicion.avoided(0.0, 24) == {"w1"}


def test_job_that_fails_on_all_workers_makes_none_suspected():
    suspicion = WorkerSuspicion()
    for number in range(6):
        suspicion.record_failure(f"w{number}", task("poison", 0), 0.0)
        suspicion.record_failure(f"w{number}", task("poison", 1), 0.0)
    assert suspicion.avoided(0.0, 24) == set()
    assert suspicion.suspected() == set()


def test_gang_that_fails_on_two_workers_is_not_faulty():
    suspicion = WorkerSuspicion()
    suspicion.record_failure("w1", task("gang", 1), 0.0)
    suspicion.record_failure("w2", task("gang", 0), 0.3)
    assert suspicion.suspected() == {"w1", "w2"}


def test_success_between_failures_resets_worker():
    suspicion = WorkerSuspicion()
    suspicion.record_failure("w1", task("a"), 0.0)
    suspicion.record_success("w1", task("c"))
    suspicion.record_failure("w1", task("b"), 1.0)
    assert suspicion.avoided(1.0, 24) == set()


def test_avoided_workers_are_limited_to_a_share_of_all():
    suspicion = WorkerSuspicion()
    for number in range(24):
        suspicion.record_stall(f"w{number}", 0.0)
    assert len(suspicion.avoided(0.0, 24)) == 8


def test_workers_that_get_no_runs_do_not_count_as_avoided():
    """Suspects in drained failure domains left those elsewhere in use."""
    suspicion = WorkerSuspicion()
    suspicion.record_stall("w0", 0.0)
    for number in range(1, 4):
        suspicion.record_stall(f"w{number}", 1.0)
    assert suspicion.avoided(1.0, 3, {"w1", "w2", "w3"}) == {"w0"}


def test_worker_is_trusted_for_some_time_after_healthy_start():
    suspicion = WorkerSuspicion()
    suspicion.record_progress("w1", 10.0)
    suspicion.record_progress("w1", 2.0)
    suspicion.record_progress("w2", 10.0)
    suspicion.record_failure("w2", task("a"), 11.0)
    assert suspicion.trusted(12.0) == {"w1"}
    assert suspicion.trusted(10.0 + TRUST_S) == set()
    suspicion.record_progress("w1", 20.0)
    suspicion.forget_worker("w1")
    assert suspicion.trusted(21.0) == set()
