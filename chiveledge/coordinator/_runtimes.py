"""What tasks of each queue really take, learned from runs that ended well."""

from __future__ import annotations

from chiveledge.workload import JobRequest, Step

WEIGHT = 0.2
"""Share of the newest run in the learned factor."""

LOWEST_FACTOR = 0.1
HIGHEST_FACTOR = 20.0


class RunTimes:
    """Learns the factor between declared and real run times, by queue."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def note(self, request: JobRequest, step: Step, took_s: float) -> None:
        """A task of a step ran from its start to its end."""
        if step.estimate_s <= 0:
            return
        factor = min(max(took_s / step.estimate_s, LOWEST_FACTOR), HIGHEST_FACTOR)
        known = self._factors.get(request.queue, factor)
        self._factors[request.queue] = known + WEIGHT * (factor - known)

    def expect_s(self, request: JobRequest, step: Step) -> float:
        """Return the expected run time of a task."""
        return step.estimate_s * self._factors.get(request.queue, 1.0)

    def expect_chain_s(self, request: JobRequest) -> float:
        """Return the expected time of the longest chain of steps."""
        ends: list[float] = []
        for step in request.steps:
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(begin + self.expect_s(request, step))
        return max(ends, default=0.0)
