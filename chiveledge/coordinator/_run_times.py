"""Estimates run times of tasks from completed runs of their queue.

Load pattern: declared times that are wrong by a factor, and a few jobs that take many
times as long as the others of their queue. The order of jobs, and what waits, counts as
stalled or is evacuated, depend on the estimate, so one such job must not raise that of
all later ones. A value far above the average therefore counts only up to a limit, while
shorter ones count in full.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from chiveledge.types import QueueName
from chiveledge.workload import JobRequest, Step

NEWEST_SHARE = 0.2
"""Share of the newest step in the moving averages."""

MIN_VARIANCE = 0.02
"""Variance below which an average is not trusted more: the runs of one step differ by
about as much."""

MIN_RUN_TIME_S = 0.01
"""Shortest run time that is distinguished, whether it was declared or observed."""

MAX_RISE_DEVIATIONS = 2.0
"""Number of mean deviations above the average up to which a value counts."""

MIN_RISE_LIMIT = 0.5
"""Smallest value of this limit, in a logarithm, as few values show too small a
deviation."""

MAX_STEPS = 1000.0
"""Weight up to which steps are counted; from far below it on, the count doesn't affect
an average any more."""

MAX_RESTORED_STEPS = 5.0
"""Largest weight of a restored average, which new runs soon outweigh."""

MAX_QUEUES = 1000
"""Number of queues kept, those with the newest runs."""


class LearntAverage(NamedTuple):
    """What is known of a logarithm of times.

    Attributes
    ----------
    mean, deviation : float
        Its average and its mean absolute deviation.
    steps : float
        Number of steps that show it; one of which some tasks were done counts in part.
    """

    mean: float
    deviation: float
    steps: float


class LearntRunTimes(NamedTuple):
    """What is known of the run times of a queue.

    Attributes
    ----------
    run_time : LearntAverage
        Of the run times in seconds.
    ratio : LearntAverage, optional
        Of the ratios of run times to declared times; None if none were declared.
    """

    run_time: LearntAverage
    ratio: LearntAverage | None


@dataclass
class _LogAverage:
    """Moving averages of a logarithm and of its absolute deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    steps: float = 0.0

    @classmethod
    def restore(cls, known: LearntAverage) -> _LogAverage:
        """Return an average of an earlier process."""
        steps = min(known.steps, MAX_RESTORED_STEPS)
        return cls(known.mean, known.deviation, steps)

    @property
    def precision(self) -> float:
        """Weight of the average among estimates: the inverse of its variance."""
        return 1 / (self.deviation**2 + MIN_VARIANCE)

    def update(self, value: float, weight: float) -> None:
        """Add a value that counts as `weight` steps."""
        if not self.steps:
            self.mean = value
        # The first few steps count alike.
        share = max(weight / (self.steps + weight), 1 - (1 - NEWEST_SHARE) ** weight)
        change = value - self.mean
        if self.steps >= 1:
            limit = max(MAX_RISE_DEVIATIONS * self.deviation, MIN_RISE_LIMIT)
            change = min(change, limit)
        self.steps = min(self.steps + weight, MAX_STEPS)
        self.deviation += share * (abs(change) - self.deviation)
        self.mean += share * change

    def describe(self) -> LearntAverage:
        """Return it as it is stored."""
        return LearntAverage(self.mean, self.deviation, self.steps)


class RunTimeEstimator:
    """Estimates run times from declared times or from past runs of the queue.

    Declared times are often far off. Both the ratio of actual to declared times and
    the actual times themselves are averaged for each queue. The estimate lies between
    what both averages predict, nearer to the one that deviates less.
    """

    def __init__(self) -> None:
        self._ratios: dict[QueueName, _LogAverage] = {}
        self._run_times: OrderedDict[QueueName, _LogAverage] = OrderedDict()

    def update(self, request: JobRequest, step: Step, run_time_s: float) -> None:
        """Record the run time of a task that ran from start to completion.

        All tasks of a step together count as much as a step of one task, as their run
        times are alike and would otherwise displace all that was seen before.
        """
        weight = 1 / step.count
        log_time = _log_time(run_time_s)
        self._run_times.setdefault(request.queue, _LogAverage()).update(
            log_time, weight
        )
        self._run_times.move_to_end(request.queue)
        self._trim()
        if step.estimate_s > 0:
            log_ratio = log_time - _log_time(step.estimate_s)
            self._ratios.setdefault(request.queue, _LogAverage()).update(
                log_ratio, weight
            )

    def list_known(self) -> dict[QueueName, LearntRunTimes]:
        """Return what is known of each queue, the one with the newest run last."""
        known = {}
        for queue, average in self._run_times.items():
            ratio = self._ratios.get(queue)
            known[queue] = LearntRunTimes(
                average.describe(), ratio.describe() if ratio else None
            )
        return known

    def restore(self, known: dict[QueueName, LearntRunTimes]) -> None:
        """Add what an earlier process learnt of queues that are unknown here."""
        for queue, learnt in known.items():
            if queue in self._run_times:
                continue
            self._run_times[queue] = _LogAverage.restore(learnt.run_time)
            self._run_times.move_to_end(queue, last=False)
            if learnt.ratio is not None:
                self._ratios[queue] = _LogAverage.restore(learnt.ratio)
        self._trim()

    def expected_s(self, request: JobRequest, step: Step) -> float:
        """Return the expected run time of one task of a step."""
        average = self._run_times.get(request.queue)
        if average is None:
            return step.estimate_s
        ratio = self._ratios.get(request.queue)
        if ratio is None or step.estimate_s <= 0:
            return math.exp(average.mean)
        by_ratio = _log_time(step.estimate_s) + ratio.mean
        share = ratio.precision / (ratio.precision + average.precision)
        return math.exp(average.mean + share * (by_ratio - average.mean))

    def typical_s(self, request: JobRequest) -> float:
        """Return the typical run time of the queue's tasks, 0 if none completed."""
        average = self._run_times.get(request.queue)
        return math.exp(average.mean) if average else 0.0

    def expected_chain_s(self, request: JobRequest) -> float:
        """Return the expected run time of the job's longest chain of steps."""
        return max(self.expected_remaining_s(request), default=0.0)

    def expected_remaining_s(self, request: JobRequest) -> list[float]:
        """Return for each step the expected time from its start to the job's end."""
        step_times_s = [self.expected_s(request, step) for step in request.steps]
        remaining_s = list(step_times_s)
        # A step depends on earlier steps only, so reverse order visits it before them.
        for number in reversed(range(len(request.steps))):
            for earlier in request.steps[number].after:
                chain_s = step_times_s[earlier] + remaining_s[number]
                remaining_s[earlier] = max(remaining_s[earlier], chain_s)
        return remaining_s

    def _trim(self) -> None:
        """Remove the queues with the oldest runs beyond `MAX_QUEUES`."""
        while len(self._run_times) > MAX_QUEUES:
            queue, _ = self._run_times.popitem(last=False)
            self._ratios.pop(queue, None)


def _log_time(time_s: float) -> float:
    return math.log(max(time_s, MIN_RUN_TIME_S))
