"""Set of the occurrences of a schedule that are finished."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class OccurrenceSet:
    """Set of whole numbers, most of them consecutive from 0.

    Occurrences finish roughly in their order, so only those after the first one that
    is not finished are kept one by one.

    Parameters
    ----------
    numbers : iterable of int, optional
        Numbers that the set holds at first.

    Examples
    --------
    >>> finished = OccurrenceSet([0, 1, 4])
    >>> finished.first_missing, 4 in finished, list(finished.ranges())
    (2, True, [(0, 1), (4, 4)])
    """

    def __init__(self, numbers: Iterable[int] = ()) -> None:
        self._first_missing = 0
        self._later: set[int] = set()
        for number in numbers:
            self.add(number)

    @classmethod
    def from_ranges(cls, ranges: Iterable[tuple[int, int]]) -> OccurrenceSet:
        """Return the set that `ranges` describes."""
        found = cls()
        for first, last in ranges:
            if first == 0:
                found._first_missing = last + 1
            else:
                found._later.update(range(first, last + 1))
        return found

    @property
    def first_missing(self) -> int:
        """Smallest number that is not in the set."""
        return self._first_missing

    def add(self, number: int) -> None:
        """Add a number."""
        if number >= self._first_missing:
            self._later.add(number)
        while self._first_missing in self._later:
            self._later.remove(self._first_missing)
            self._first_missing += 1

    def ranges(self) -> Iterator[tuple[int, int]]:
        """Yield the first and the last of each run of consecutive numbers."""
        if self._first_missing:
            yield 0, self._first_missing - 1
        first = last = None
        for number in sorted(self._later):
            if last is not None and number != last + 1:
                yield first, last
                first = number
            first = number if first is None else first
            last = number
        if last is not None:
            yield first, last

    def __contains__(self, number: int) -> bool:
        return number < self._first_missing or number in self._later

    def __len__(self) -> int:
        return self._first_missing + len(self._later)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, OccurrenceSet):
            return NotImplemented
        mine = self._first_missing, self._later
        return mine == (other._first_missing, other._later)

    def __repr__(self) -> str:
        return f"OccurrenceSet.from_ranges({list(self.ranges())})"
