"""Which ends are acknowledged when their jobs are stored in any order."""

from __future__ import annotations

from itertools import permutations

import pytest

from chiveledge.coordinator._end_sequence import EndSequence
from chiveledge.services.task_worker import EndedTask
from chiveledge.workload import RunEnd

BATCHES = ([1, 2], [3], [4, 5])


def make_ends(numbers: list[int]) -> list[EndedTask]:
    return [EndedTask(number, "j.0.0.0", 1, RunEnd.DONE, "") for number in numbers]


@pytest.fixture
def sequence():
    sequence = EndSequence()
    for numbers in BATCHES:
        assert len(sequence.receive(make_ends(numbers))) == len(numbers)
    return sequence


@pytest.mark.parametrize("order", list(permutations(range(len(BATCHES)))))
def test_no_end_is_acknowledged_before_all_lower_ones_are_stored(sequence, order):
    """The end of one job acknowledged that of another, which wasn't stored."""
    stored = set()
    for index in order:
        sequence.record_stored(BATCHES[index][-1])
        stored |= set(BATCHES[index])
        acknowledged = sequence.unconfirmed
        assert set(range(1, acknowledged + 1)) <= stored
        assert sequence.is_storing is (stored != {1, 2, 3, 4, 5})
    assert sequence.unconfirmed == 5


def test_ends_are_received_once(sequence):
    assert sequence.receive(make_ends([1, 2, 3])) == []
    assert [end.number for end in sequence.receive(make_ends([5, 6]))] == [6]


def test_number_is_acknowledged_until_an_answered_poll_has_carried_it(sequence):
    """Later polls would acknowledge ends of another incarnation without need."""
    sequence.record_stored(2)
    assert sequence.unconfirmed == 2
    sequence.record_answered(0)
    assert sequence.unconfirmed == 2
    sequence.record_answered(2)
    assert sequence.unconfirmed == 0
    sequence.record_stored(3)
    assert sequence.unconfirmed == 3


def test_ends_from_one_that_can_not_be_stored_on_are_not_acknowledged(sequence):
    """The job of end 4 can't be read; a number would cover it with all lower ones."""
    sequence.withhold(5)
    sequence.withhold(4)
    for numbers in BATCHES:
        sequence.record_stored(numbers[-1])
    assert sequence.unconfirmed == sequence.stored == 3
    assert sequence.is_withheld and not sequence.is_storing
    sequence.record_answered(3)
    assert sequence.unconfirmed == 0
    assert not sequence.has_unacknowledged
    sequence.receive(make_ends([6]))
    sequence.record_stored(6)
    assert sequence.unconfirmed == 0
