"""What tasks of each queue really take, learned from runs that ended well."""

from __future__ import annotations

import math
from dataclasses import dataclass

from chiveledge.workload import JobRequest, Step

WEIGHT = 0.2
"""Share of the newest run in what is learned."""

SHORTEST_S = 0.01


@dataclass
class _Predictor:
    """Learns the mean of a logarithm and how far it is off."""

    mean: float = 0.0
    error: float = 0.0
    known: bool = False

    def note(self, value: float) -> None:
        if not self.known:
            self.mean = value
            self.known = True
        self.error += WEIGHT * (abs(value - self.mean) - self.error)
        self.mean += WEIGHT * (value - self.mean)


class RunTimes:
    """Predicts run times from declared ones or from the queue's usual ones.

    Declared times are often far off. Both the factor between declared and real
    times and the real times themselves are learned for each queue; the one with
    the smaller error predicts.
    """

    def __init__(self) -> None:
        self._factors: dict[str, _Predictor] = {}
        self._times: dict[str, _Predictor] = {}

    def note(self, request: JobRequest, step: Step, took_s: float) -> None:
        """A task of a step ran from its start to its end."""
        took = math.log(max(took_s, SHORTEST_S))
        self._times.setdefault(request.queue, _Predictor()).note(took)
        if step.estimate_s > 0:
            factor = took - math.log(step.estimate_s)
            self._factors.setdefault(request.queue, _Predictor()).note(factor)

    def expect_s(self, request: JobRequest, step: Step) -> float:
        """Return the expected run time of a task."""
        time = self._times.get(request.queue)
        if time is None:
            return step.estimate_s
        factor = self._factors.get(request.queue)
        if factor is None or step.estimate_s <= 0 or time.error < factor.error:
            return math.exp(time.mean)
        return step.estimate_s * math.exp(factor.mean)

    def usual_s(self, request: JobRequest) -> float:
        """Return what tasks of the queue usually take; 0 if none has ended yet."""
        time = self._times.get(request.queue)
        return math.exp(time.mean) if time else 0.0

    def expect_chain_s(self, request: JobRequest) -> float:
        """Return the expected time of the longest chain of steps."""
        return max(self.expect_rest_s(request), default=0.0)

    def expect_rest_s(self, request: JobRequest) -> list[float]:
        """Return for each step the expected time from its start to the job's end."""
        owns_s = [self.expect_s(request, step) for step in request.steps]
        rests_s = list(owns_s)
        # Steps name earlier ones only, so later rests are known first.
        for number in reversed(range(len(request.steps))):
            for earlier in request.steps[number].after:
                chain_s = owns_s[earlier] + rests_s[number]
                rests_s[earlier] = max(rests_s[earlier], chain_s)
        return rests_s
