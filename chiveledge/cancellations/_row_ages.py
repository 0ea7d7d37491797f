"""Since when a leader knows rows that are kept for a time."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.clock import Clock


class _KnownRow(NamedTuple):
    """A row's version, and the monotonic time at which it was read first."""

    version: int
    seen_s: float


class RowAges:
    """Ages of rows, from the first read of their present version by this process.

    They count on the own monotonic clock, since wall clocks are set and differ. A
    takeover thus prolongs the time that a row is kept and never shortens it.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rows: dict[str, _KnownRow] = {}

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def record(self, key: str, version: int) -> None:
        """Record that a row was read; another version starts its age anew."""
        if not self.has(key, version):
            self._rows[key] = _KnownRow(version, self._clock.monotonic())

    def has(self, key: str, version: int) -> bool:
        """Return whether this version of a row is recorded."""
        known = self._rows.get(key)
        return known is not None and known.version == version

    def find_age_s(self, key: str) -> float:
        """Return the age of a recorded row, in seconds."""
        return self._clock.monotonic() - self._rows[key].seen_s

    def list_older(self, age_s: float) -> list[tuple[str, int]]:
        """Return keys and versions of the rows that are at least so old, in seconds."""
        limit_s = self._clock.monotonic() - age_s
        return [
            (key, known.version)
            for key, known in self._rows.items()
            if known.seen_s <= limit_s
        ]

    def discard(self, keys: Iterable[str]) -> None:
        """Forget rows that were removed."""
        for key in keys:
            self._rows.pop(key, None)

    def retain(self, keys: Iterable[str]) -> None:
        """Forget all rows but some, which a read of all rows found."""
        present = set(keys)
        self._rows = {key: row for key, row in self._rows.items() if key in present}
