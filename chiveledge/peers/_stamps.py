"""Bounds on the age of reports, which may be read long after they were sent."""

from __future__ import annotations

import secrets

from chiveledge.clock import Clock
from chiveledge.types import ProcessName

MS_PER_S = 1000
FIRST_STAMP_BITS = 62


class ReportStamps:
    """Stamps for outgoing reports, and those that came with incoming ones.

    A report repeats the newest stamp that its sender had received from this process, so
    it was made after that stamp, however long it was on its way or unread.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_s = clock.monotonic()
        # A stamp of an earlier process of the same name must be out of range.
        self._first = secrets.randbits(FIRST_STAMP_BITS) + 1
        self._received: dict[ProcessName, int] = {}

    def make(self) -> int:
        """Return the stamp of the present time."""
        elapsed_s = self._clock.monotonic() - self._started_s
        return self._first + int(elapsed_s * MS_PER_S)

    def record(self, peer: ProcessName, stamp: int) -> None:
        """Keep the stamp of a peer's report."""
        self._received[peer] = stamp

    def find_received(self, peer: ProcessName) -> int:
        """Return the stamp of the newest report of a peer, or 0."""
        return self._received.get(peer, 0)

    def bound_age_s(self, echoed: int) -> float:
        """Return the longest time since a report was made, in seconds.

        Parameters
        ----------
        echoed : int
            Stamp that the report repeats; one that this process didn't make bounds
            nothing, and the time is infinite.
        """
        age_ms = self.make() - echoed
        if echoed < self._first or age_ms < 0:
            return float("inf")
        return age_ms / MS_PER_S
