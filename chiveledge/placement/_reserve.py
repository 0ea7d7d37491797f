"""How many workers are kept for urgent jobs that are still to come.

Load answered: urgent jobs arrive all the time over a standing queue of long ones. If
every free place is filled at once, each urgent job has to stop something: it waits for
the stop, and the work stopped is lost and started again. So as much room as urgent jobs
take up within the time of a stop is left to them; work that ends by itself makes it.
While no urgent job arrives, nothing is kept.
"""

from __future__ import annotations

import math

from chiveledge.workload import JobRequest, Usage

MEMORY_S = 8.0
"""Arrivals count less by a factor of e after this time: several bursts' length."""

LARGEST_SHARE = 0.15
"""Most of a service's workers that are kept; less than what waiting work may miss."""


class UrgentArrivals:
    """Learns how much room of one service urgent jobs take up in a second."""

    def __init__(self) -> None:
        self._usage_sum: list[float] = [0.0, 0.0, 0.0]
        self._noted_s = 0.0

    def note(self, request: JobRequest, now_s: float) -> None:
        """An urgent job was accepted."""
        self._fade(now_s)
        for step in request.steps:
            if step.after:
                continue
            for number, amount in enumerate(step.usage):
                self._usage_sum[number] += amount * step.count

    def expect(self, span_s: float, now_s: float) -> Usage:
        """Return the room that urgent jobs will take up within a span."""
        self._fade(now_s)
        share = span_s / MEMORY_S
        return Usage(*(round(amount * share) for amount in self._usage_sum))

    def _fade(self, now_s: float) -> None:
        factor = math.exp((self._noted_s - now_s) / MEMORY_S)
        self._usage_sum = [amount * factor for amount in self._usage_sum]
        self._noted_s = now_s


def count_kept(expected: Usage, capacity: Usage, workers: int) -> int:
    """Return how many workers are kept for urgent jobs.

    Parameters
    ----------
    expected : Usage
        Room that urgent jobs will take up.
    capacity : Usage
        Capacity of one worker.
    workers : int
        Workers of the service.

    Examples
    --------
    >>> count_kept(Usage(4000, 4000, 20), Usage(32000, 64000, 8), 24)
    2
    """
    shares = [
        need / have for need, have in zip(expected, capacity, strict=True) if have
    ]
    wanted = math.floor(max(shares, default=0.0))
    return min(wanted, int(workers * LARGEST_SHARE))
