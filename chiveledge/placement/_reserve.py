"""Number of workers to reserve for urgent jobs that are yet to arrive.

If queued long jobs fill all free capacity at once, each urgent job has to stop runs: it
waits for the stop, and the stopped work is lost and done again. Therefore as much
capacity is reserved as arriving urgent jobs need within the time of a stop; runs that
finish free it. While no urgent jobs arrive, nothing is reserved.
"""

from __future__ import annotations

import math

from chiveledge.workload import JobRequest, Usage

DECAY_S = 8.0
"""Time constant of the decay of past arrivals; as long as several bursts."""

MAX_RESERVED_SHARE = 0.15
"""Largest share of workers to reserve; other waiting work can do without it."""


class UrgentArrivals:
    """Estimates how much capacity of a service arriving urgent jobs need."""

    def __init__(self) -> None:
        self._usage_sum: list[float] = [0.0, 0.0, 0.0]
        self._updated_s = 0.0

    def record(self, request: JobRequest, now_s: float) -> None:
        """Record an accepted urgent job.

        Only steps that can start at once count, since later ones don't need capacity on
        arrival.
        """
        self._decay(now_s)
        for step in request.steps:
            if step.after:
                continue
            for number, amount in enumerate(step.usage):
                self._usage_sum[number] += amount * step.count

    def forecast(self, span_s: float, now_s: float) -> Usage:
        """Return the capacity that urgent jobs arriving within `span_s` will need."""
        self._decay(now_s)
        share = span_s / DECAY_S
        return Usage(*(round(amount * share) for amount in self._usage_sum))

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self._updated_s - now_s) / DECAY_S)
        self._usage_sum = [amount * factor for amount in self._usage_sum]
        self._updated_s = now_s


def count_reserved(expected: Usage, capacity: Usage, workers: int) -> int:
    """Return how many workers to reserve for urgent jobs.

    Parameters
    ----------
    expected : Usage
        Capacity that arriving urgent jobs will need.
    capacity : Usage
        Capacity of one worker.
    workers : int
        Number of workers of the service.

    Examples
    --------
    >>> count_reserved(Usage(4000, 4000, 20), Usage(32000, 64000, 8), 24)
    2
    """
    shares = [
        need / have for need, have in zip(expected, capacity, strict=True) if have
    ]
    wanted = math.floor(max(shares, default=0.0))
    return min(wanted, int(workers * MAX_RESERVED_SHARE))
