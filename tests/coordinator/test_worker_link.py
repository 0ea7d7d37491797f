"""What is believed of a worker whose incarnation is in doubt."""

from __future__ import annotations

import pytest

from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_link import MAX_ANSWER_AGE_S, WorkerLink
from chiveledge.services.task_worker import EndedTask, WorkerEntry
from chiveledge.workload import OpenRun, RunEnd, Step, TaskName, TaskProgress, Usage

ENDS = [EndedTask(number, f"j.0.0.{number}", 1, RunEnd.DONE, "") for number in (6, 7)]


@pytest.fixture
def link():
    entry = WorkerEntry("w", "pool", "10.0.0.1:1", "z", "r", frozenset(), Usage())
    link = WorkerLink(entry, client=None)
    link.record_answer(60_000, 10.0, sent_s=9.5)
    link.ends.receive(ENDS)
    link.ends.record_stored(7)
    return link


def test_nothing_is_acknowledged_after_an_unanswered_poll(link):
    assert link.choose_acknowledgement(10.0) == 7
    link.record_no_answer(11.0, "no answer")
    assert link.choose_acknowledgement(11.0) == 0
    link.record_answer(62_000, 12.0, sent_s=11.5)
    assert link.choose_acknowledgement(12.0) == 7


@pytest.mark.parametrize("clock_ms,expected", [(300, 0), (59_500, 7), (60_100, 7)])
def test_nothing_is_acknowledged_after_the_clock_went_back(link, clock_ms, expected):
    """A worker may start again and run a task between two answered polls."""
    link.record_order_clock(clock_ms, 10.0)
    assert link.choose_acknowledgement(10.0) == expected


def test_late_answer_to_an_earlier_poll_does_not_end_the_doubt(link):
    """The answer to an order had shown already that the worker started again."""
    link.record_order_clock(300, 10.0)
    link.record_answer(60_200, 10.1, sent_s=9.9)
    assert link.choose_acknowledgement(10.1) == 0
    link.record_answer(60_400, 10.3, sent_s=10.2)
    assert link.choose_acknowledgement(10.3) == 7


@pytest.mark.parametrize("age_s,expected", [(0.1, 7), (MAX_ANSWER_AGE_S + 0.01, 0)])
def test_nothing_is_acknowledged_long_after_an_answer(link, age_s, expected):
    """A worker may start again while the leader waits for the store."""
    assert link.choose_acknowledgement(10.0 + age_s) == expected


def test_nothing_is_acknowledged_to_an_incarnation_that_never_answered(link):
    link.begin_incarnation(2, 10.1, longest_lease_s=10.0)
    assert link.choose_acknowledgement(10.1) == 0


def test_lease_of_an_order_to_the_earlier_incarnation_is_waited_for(link):
    """Such an order grants the next incarnation the longest lease there is."""
    task = TaskProgress(run=OpenRun(1, "w", 1))
    run = TrackedRun(TaskName("j", 0, 0, 0), task, task.run, Step())
    link.add_run(run)
    link.lease.extend(10.0, 6.0)
    link.begin_incarnation(2, 20.0, longest_lease_s=10.0)
    link.record_answer(500, 21.0, sent_s=20.5)
    link.lease.extend(21.0, 6.0)
    assert not link.lease.is_over(30.0)
    assert link.lease.is_over(32.0)


def test_lease_of_an_idle_worker_is_not_longer_after_a_restart(link):
    link.begin_incarnation(2, 20.0, longest_lease_s=10.0)
    link.record_answer(500, 21.0, sent_s=20.5)
    link.lease.extend(21.0, 6.0)
    assert link.lease.is_over(28.0)
