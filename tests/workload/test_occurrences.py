"""Schedules with very many due occurrences cost no more than what may run of them."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from chiveledge.workload import JobProgress, JobRequest, OccurrenceSet, Step

YEAR_OF_MINUTES = 525_600


def make_schedule(step: Step) -> JobProgress:
    return JobProgress(
        JobRequest("j", "q", "w", "", (step,), 0, YEAR_OF_MINUTES, 0, 60_000)
    )


def test_due_occurrences_are_bounded_by_what_may_run():
    """All that were due were opened and planned, so that no process answered."""
    job = make_schedule(Step(count=20))
    assert list(job.due_occurrences(1e15)) == list(range(100))
    assert list(job.due_occurrences(120_000)) == [0, 1, 2]
    for occurrence in (0, 1, 3):
        job.finished_occurrences.add(occurrence)
    assert list(job.due_occurrences(1e15))[:3] == [2, 4, 5]
    assert len(list(job.due_occurrences(1e15))) == 100


def test_wide_occurrences_may_overlap():
    job = make_schedule(Step(count=10_000))
    assert list(job.due_occurrences(1e15)) == [0, 1, 2, 3]


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(0, 20)))
def test_occurrence_set_behaves_like_a_set(numbers):
    found, expected = OccurrenceSet(), set()
    for number in numbers:
        found.add(number)
        expected.add(number)
        assert len(found) == len(expected)
        assert [n for n in range(25) if n in found] == sorted(expected)
        assert OccurrenceSet.from_ranges(found.ranges()) == found
    assert found.first_missing == min(set(range(25)) - expected)


def test_ranges_do_not_grow_with_the_schedule():
    found = OccurrenceSet(range(YEAR_OF_MINUTES))
    found.add(YEAR_OF_MINUTES + 5)
    last = YEAR_OF_MINUTES - 1
    assert list(found.ranges()) == [(0, last), (last + 6, last + 6)]
