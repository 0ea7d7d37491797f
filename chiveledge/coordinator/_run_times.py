"""Estimates run times of tasks from completed runs of their queue."""

from __future__ import annotations

import math
from dataclasses import dataclass

from chiveledge.workload import JobRequest, Step

NEWEST_SHARE = 0.2
"""Share of the newest step in the moving averages."""

MIN_VARIANCE = 0.02
"""Variance below which an average is not trusted more: the runs of one step differ by
about as much."""

MIN_RUN_TIME_S = 0.01
"""Shortest run time that is distinguished, whether it was declared or observed."""


@dataclass
class _LogAverage:
    """Moving averages of a logarithm and of its absolute deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    has_value: bool = False

    @property
    def precision(self) -> float:
        return 1 / (self.deviation**2 + MIN_VARIANCE)

    def update(self, value: float, weight: float) -> None:
        if not self.has_value:
            self.mean = value
            self.has_value = True
        share = 1 - (1 - NEWEST_SHARE) ** weight
        self.deviation += share * (abs(value - self.mean) - self.deviation)
        self.mean += share * (value - self.mean)


class RunTimeEstimator:
    """Estimates run times from declared times or from past runs of the queue.

    Declared times are often far off. Both the ratio of actual to declared times and
    the actual times themselves are averaged for each queue. The estimate lies between
    what both averages predict, nearer to the one that deviates less.
    """

    def __init__(self) -> None:
        self._ratios: dict[str, _LogAverage] = {}
        self._run_times: dict[str, _LogAverage] = {}

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
        if step.estimate_s > 0:
            log_ratio = log_time - _log_time(step.estimate_s)
            self._ratios.setdefault(request.queue, _LogAverage()).update(
                log_ratio, weight
            )

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


def _log_time(time_s: float) -> float:
    return math.log(max(time_s, MIN_RUN_TIME_S))
