"""Pauses of lasting tasks that fail again and again."""

from __future__ import annotations

from chiveledge.coordinator._restart_pauses import MAX_PAUSE_S, RestartPauses
from chiveledge.workload import Step, TaskName

NAME = TaskName("j", 0, 0, 1)
OTHER = NAME._replace(index=0)
LASTING = Step(count=2, lasting=True)


def test_single_failure_causes_no_pause():
    # The worker may be the cause, and another one should be tried at once.
    pauses = RestartPauses()
    pauses.record_failure(NAME, 1, LASTING, 0.1, 0.0)
    assert pauses.list_resting(0.0) == set()


def test_task_rests_alone_and_not_longer_than_the_longest_pause():
    pauses = RestartPauses()
    for run in range(1, 9):
        pauses.record_failure(NAME, run, LASTING, 0.1, 0.0)
    assert pauses.list_resting(MAX_PAUSE_S - 0.01) == {NAME}
    assert pauses.list_resting(MAX_PAUSE_S) == set()


def test_failure_after_a_long_run_begins_anew():
    pauses = RestartPauses()
    for run, ran_s in ((1, 0.1), (2, 0.1), (3, 60.0), (4, 0.1)):
        pauses.record_failure(NAME, run, LASTING, ran_s, 0.0)
    assert pauses.list_resting(0.0) == set()


def test_members_of_a_gang_rest_together_and_fail_once_a_run():
    pauses = RestartPauses()
    gang = LASTING._replace(gang=True)
    for name in (NAME, OTHER):
        pauses.record_failure(name, 1, gang, 0.1, 0.0)
    assert pauses.list_resting(0.0) == set()
    pauses.record_failure(OTHER, 2, gang, 0.1, 0.0)
    assert pauses.list_resting(0.0) == {NAME, OTHER}


def test_ended_job_is_forgotten():
    pauses = RestartPauses()
    for run in (1, 2):
        pauses.record_failure(NAME, run, LASTING, 0.1, 0.0)
    pauses.forget_job("j")
    assert pauses.list_resting(0.0) == set()
