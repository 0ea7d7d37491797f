"""Lasting differences of speed between machines, learnt from the members of gangs.

Load pattern: urgent gangs arrive while most workers are busy. A gang ends with its
slowest member, so among workers of unlike speed nearly every gang is slowed down, and
is late if it also had to wait for stops. Once the slower workers are known,
urgent work is placed on the others where it would be late on these.

The members of a gang do equal work from one moment on, so their progress compares their
machines exactly, within the first second. Each member is compared with the pace of its
gang, corrected by what is known of the others. A machine's speed is the median of its
newest comparisons, so that seconds in which it was disturbed don't count. The faster
machines of the fleet have full speed. One that is unknown is expected to be as fast as
the known ones are on average: a burst then goes to machines that are known to be fast,
and not to those of which nothing is known.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from math import ceil, exp, log
from statistics import fmean, median
from typing import NamedTuple

from chiveledge.services.machines import MachineName

MIN_RATIO = 0.5
"""Smallest ratio of a member's rate to its gang's pace that counts, so that a worker
that is disturbed for some seconds isn't taken for a slow one for long."""

PRIOR_SAMPLES = 0.5
"""Number of comparisons without a difference with which each machine starts."""

MAX_SAMPLES = 12
"""Number of newest comparisons kept of each machine."""

MAX_RESTORED_SAMPLES = 4
"""Largest number of comparisons that restored knowledge counts for."""

UNKNOWN_WEIGHT = 0.3
"""Weight, in comparisons, of a machine without any in the pace of its gang."""

MAX_MACHINES = 2000
"""Number of machines kept, the newest compared; more than twice the largest fleet."""

FULL_SPEED_RANK = 0.9
"""Rank among the known machines, from 0 for the slowest to 1, of the one whose speed
is full speed."""

MIN_KNOWN = 8
"""Number of known machines from which their average is expected of an unknown one."""

MIN_SLOWDOWN = 1.1
"""Slowdown from which a worker is told from one at full speed; rounded percents alone
show up to half of this difference."""


class MemberRate(NamedTuple):
    """Mean rate of progress of a member of a gang.

    Attributes
    ----------
    run : tuple of str and int
        Task and number of the run.
    machine : str
        Machine of its worker.
    gang : tuple of str and int
        Step and number of the run, the same for all members.
    percent_per_s : float
        Its progress divided by the time since its start, in percent a second.
    """

    run: tuple[str, int]
    machine: MachineName
    gang: tuple[str, int]
    percent_per_s: float


class MachineSpeed(NamedTuple):
    """What is known of the speed of one machine.

    Attributes
    ----------
    log_speed : float
        Logarithm of its speed, on a scale that all machines share.
    samples : int
        Number of comparisons that show it.
    """

    log_speed: float
    samples: int


class LearntSpeeds:
    """Learns the speeds of machines by comparing the members of each gang.

    Examples
    --------
    >>> speeds = LearntSpeeds()
    >>> speeds.update(
    ...     MemberRate((m, 1), m, ("g.0.0", 1), rate)
    ...     for m, rate in (("a", 13.0), ("b", 13.0), ("c", 10.0))
    ... )
    >>> list(speeds.find_slowdowns())
    ['c']
    """

    def __init__(self) -> None:
        self._samples: OrderedDict[MachineName, OrderedDict[tuple[str, int], float]] = (
            OrderedDict()
        )

    def update(self, rates: Iterable[MemberRate]) -> None:
        """Compare the members of each gang; newer rates replace those of before."""
        gangs: dict[tuple[str, int], list[MemberRate]] = defaultdict(list)
        for rate in rates:
            gangs[rate.gang].append(rate)
        for members in gangs.values():
            if len({member.machine for member in members}) > 1:
                self._compare(members)

    def list_known(self) -> dict[MachineName, MachineSpeed]:
        """Return what is known of each machine, the newest compared last."""
        return {
            machine: MachineSpeed(_average(samples.values()), len(samples))
            for machine, samples in self._samples.items()
        }

    def restore(self, known: dict[MachineName, MachineSpeed]) -> None:
        """Add what an earlier process learnt of machines that are unknown here."""
        for machine, speed in known.items():
            if machine in self._samples:
                continue
            count = min(speed.samples, MAX_RESTORED_SAMPLES)
            # `_average` applies the prior again, so its first effect is undone.
            value = speed.log_speed * (count + PRIOR_SAMPLES) / count
            self._samples[machine] = OrderedDict(
                # Keys that no run has, one for each comparison.
                (("", -number), value)
                for number in range(count)
            )
            self._samples.move_to_end(machine, last=False)
        self._trim()

    def find_slowdowns(self) -> dict[MachineName, float]:
        """Return how many times as long runs take on the slower machines."""
        return {
            machine: slowdown
            for machine, slowdown in self._compute_slowdowns().items()
            if slowdown >= MIN_SLOWDOWN
        }

    def find_expected_slowdowns(
        self, machines: Iterable[MachineName]
    ) -> dict[MachineName, float]:
        """Return how many times as long runs are expected to take on each machine.

        It is 1 for machines that can't be told from those at full speed. A machine that
        isn't known has the average of the known ones once `MIN_KNOWN` are.
        """
        known = self._compute_slowdowns()
        unknown = fmean(known.values()) if len(known) >= MIN_KNOWN else 1.0
        slowdowns = {machine: known.get(machine, unknown) for machine in machines}
        return {
            machine: slowdown if slowdown >= MIN_SLOWDOWN else 1.0
            for machine, slowdown in slowdowns.items()
        }

    def _compute_slowdowns(self) -> dict[MachineName, float]:
        """Return the slowdown of each known machine, by the faster machines' speed."""
        speeds = {m: _average(rows.values()) for m, rows in self._samples.items()}
        if not speeds:
            return {}
        ordered = sorted(speeds.values())
        full_speed = ordered[ceil(FULL_SPEED_RANK * (len(ordered) - 1))]
        return {
            machine: max(1.0, exp(full_speed - speed))
            for machine, speed in speeds.items()
        }

    def _compare(self, members: list[MemberRate]) -> None:
        """Compare members with the rate that the gang has on an average machine."""
        log_pace = self._find_log_pace(members)
        for member in members:
            log_ratio = log(member.percent_per_s) - log_pace
            samples = self._samples.setdefault(member.machine, OrderedDict())
            self._samples.move_to_end(member.machine)
            samples[member.run] = max(log_ratio, log(MIN_RATIO))
            if len(samples) > MAX_SAMPLES:
                samples.popitem(last=False)
        self._trim()

    def _find_log_pace(self, members: list[MemberRate]) -> float:
        """Return the logarithm of the rate of a gang on an average machine.

        Members that differ by more than machines do are disturbed and don't count.
        """
        rows = []
        for member in members:
            # The comparisons within this gang must not correct themselves.
            others = [
                value
                for run, value in self._samples.get(member.machine, {}).items()
                if run != member.run
            ]
            log_rate = log(member.percent_per_s)
            weight = len(others) + UNKNOWN_WEIGHT
            rows.append((log_rate - _average(others), weight))
        middle = _find_weighted_median(rows)
        near = [row for row in rows if abs(row[0] - middle) < -log(MIN_RATIO)]
        total_weight = sum(weight for _, weight in near)
        return sum(value * weight for value, weight in near) / total_weight

    def _trim(self) -> None:
        """Remove the machines compared longest ago beyond `MAX_MACHINES`."""
        while len(self._samples) > MAX_MACHINES:
            self._samples.popitem(last=False)


def _average(samples: Iterable[float]) -> float:
    """Return the median of comparisons, drawn towards 0 while there are few."""
    values = list(samples)
    if not values:
        return 0.0
    return median(values) * len(values) / (len(values) + PRIOR_SAMPLES)


def _find_weighted_median(rows: list[tuple[float, float]]) -> float:
    """Return the largest value such that it and those above have half of the weight."""
    half = sum(weight for _, weight in rows) / 2
    total = 0.0
    for value, weight in sorted(rows, reverse=True):
        total += weight
        if total >= half:
            return value
    raise AssertionError("there are no values")
