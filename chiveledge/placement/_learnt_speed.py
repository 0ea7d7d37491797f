"""Lasting differences of speed between workers, learnt from the members of gangs.

Load pattern: urgent gangs arrive while most workers are busy. A gang ends with its
slowest member, so among workers of unlike speed nearly every gang is slowed down, and
one that had to wait for stops besides is late. Once the slower workers are known,
urgent work is placed on the others where it would be late on these.

The members of a gang do equal work from one moment on, so their progress compares their
workers exactly, within the first second. A worker's speed is the mean over its newest
comparisons, drawn towards full speed while there are few.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.types import WorkerName

MIN_RATIO = 0.5
"""Smallest ratio of speeds that counts, so that a worker that is disturbed for some
seconds isn't taken for a slow one for long."""

PRIOR_SAMPLES = 0.5
"""Number of comparisons at full speed that each worker starts with."""

MAX_SAMPLES = 12
"""Number of newest comparisons kept of each worker."""

MIN_SLOWDOWN = 1.1
"""Slowdown from which a worker is told from one at full speed; rounded percents alone
show up to half of this difference."""


class MemberRate(NamedTuple):
    """Mean rate of progress of a member of a gang.

    Attributes
    ----------
    run : tuple of str and int
        Task and number of the run.
    gang : tuple of str and int
        Step and number of the run, the same for all members.
    """

    run: tuple[str, int]
    worker: WorkerName
    gang: tuple[str, int]
    percent_per_s: float


class LearntSpeeds:
    """Learns the speeds of workers by comparing the members of each gang.

    Examples
    --------
    >>> speeds = LearntSpeeds()
    >>> speeds.update(
    ...     MemberRate((w, 1), w, ("g.0.0", 1), rate)
    ...     for w, rate in (("a", 13.0), ("b", 13.0), ("c", 10.0))
    ... )
    >>> list(speeds.find_slowdowns())
    ['c']
    """

    def __init__(self) -> None:
        self._samples: dict[WorkerName, OrderedDict[tuple[str, int], float]] = (
            defaultdict(OrderedDict)
        )

    def update(self, rates: Iterable[MemberRate]) -> None:
        """Compare the members of each gang; newer rates replace those of before."""
        gangs: dict[tuple[str, int], list[MemberRate]] = defaultdict(list)
        for rate in rates:
            gangs[rate.gang].append(rate)
        for members in gangs.values():
            if len({member.worker for member in members}) > 1:
                self._compare(members)

    def forget_worker(self, worker: WorkerName) -> None:
        """Discard what was learnt of a worker that was restarted."""
        self._samples.pop(worker, None)

    def speed(self, worker: WorkerName) -> float:
        """Return a worker's speed; 1 is full speed, also if nothing is known of it."""
        samples = self._samples.get(worker)
        if not samples:
            return 1.0
        total = sum(samples.values()) + PRIOR_SAMPLES
        return total / (len(samples) + PRIOR_SAMPLES)

    def find_slowdowns(self) -> dict[WorkerName, float]:
        """Return how many times as long runs take on the slower workers."""
        slowdowns = {worker: 1 / self.speed(worker) for worker in self._samples}
        return {
            worker: slowdown
            for worker, slowdown in slowdowns.items()
            if slowdown >= MIN_SLOWDOWN
        }

    def _find_full_rate(self, members: list[MemberRate]) -> float:
        """Return the rate of a gang at full speed, even if no member has it."""
        full = [
            member.percent_per_s
            for member in members
            if self.speed(member.worker) * MIN_SLOWDOWN > 1.0
        ]
        corrected = [
            member.percent_per_s / self.speed(member.worker) for member in members
        ]
        return max(full or corrected)

    def _compare(self, members: list[MemberRate]) -> None:
        """Compare members with the rate that the gang would have at full speed."""
        full_rate = self._find_full_rate(members)
        for member in members:
            ratio = min(max(member.percent_per_s / full_rate, MIN_RATIO), 1.0)
            samples = self._samples[member.worker]
            samples[member.run] = ratio
            if len(samples) > MAX_SAMPLES:
                samples.popitem(last=False)
