"""An open run on a worker, and what its reports tell about its progress."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from chiveledge.placement import COMPLETE_PERCENT, charged_usage
from chiveledge.workload import OpenRun, Step, TaskName, TaskProgress, Usage

MAX_PERCENT_SAMPLES = 8
MIN_RATE_SPAN_S = 0.4
"""Shortest time over which a rate is computed, as percents are whole numbers."""

MIN_PERCENT_GAIN = 15
"""Progress from which a mean rate is known within a few percent."""

MAX_OVERDUE_S = 0.5
"""How much later than predicted a run may end. Covers rounded percents, the duration
of a poll and the transmission of its answer."""


RECENT_START_S = 3.0
"""Age up to which a run is more suspect than older ones if its worker crashes."""

SETTLED_RUN_S = 6.0
"""Age from which a run is older than that, even if the crash is noticed only when a
poll gets no answer."""


@dataclass(eq=False)
class TrackedRun:
    """An open run and what is needed to detect its end.

    Attributes
    ----------
    resolved_s : float, optional
        A poll that is sent at this monotonic time or later and does not show the run
        proves that the run is gone. None while the start order may still be executed.
    stopping : bool
        Whether a stop order was issued.
    adopted : bool
        Whether an earlier leader started the run, so that its start time is unknown.
    reported : bool
        Whether the present incarnation of the worker has reported the run.
    isolated_until_s : float
        Monotonic time until which no other job may start on the worker, since the
        task may have crashed another one; 0 if it is under no suspicion.
    percent_samples : deque
        Monotonic times and percents of the last polls.
    """

    name: TaskName
    task: TaskProgress
    run: OpenRun
    step: Step
    resolved_s: float | None = None
    stopping: bool = False
    adopted: bool = False
    reported: bool = False
    isolated_until_s: float = 0.0
    percent_samples: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_PERCENT_SAMPLES)
    )

    @property
    def usage(self) -> Usage:
        """Capacity that the run takes on its worker."""
        return charged_usage(self.step)

    @property
    def is_serving(self) -> bool:
        """Whether the task answers requests under a latency target."""
        return self.step.latency_target_ms > 0

    @property
    def is_filler(self) -> bool:
        """Whether the task uses only capacity that other runs leave."""
        return self.step.filler

    @property
    def is_isolated(self) -> bool:
        """Whether it was started apart from other jobs."""
        return self.isolated_until_s > 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Task and number of the run."""
        return str(self.name), self.run.number

    def ran_s(self, now_s: float) -> float | None:
        """Return the run time so far; None if an earlier leader started the run."""
        return None if self.adopted else round(now_s - self.run.began_s, 3)

    def record_percent(self, percent: int, now_s: float) -> None:
        """Record the progress that a poll showed."""
        self.percent_samples.append((now_s, percent))

    @property
    def percent_per_s(self) -> float | None:
        """Rate over the last polls; None if they span less than `MIN_RATE_SPAN_S`."""
        if len(self.percent_samples) < 2:
            return None
        newest_s, newest = self.percent_samples[-1]
        for began_s, percent in reversed(self.percent_samples):
            if newest_s - began_s >= MIN_RATE_SPAN_S:
                return (newest - percent) / (newest_s - began_s)
        return None

    @property
    def mean_percent_per_s(self) -> float | None:
        """Rate since the start, or the first poll for a run that resumed.

        None while too little of the run is done, or if it stands still.
        """
        rows = [row for row in self.percent_samples if row[1] < COMPLETE_PERCENT]
        if not self.adopted and not self.task.checkpoint:
            rows.insert(0, (self.run.began_s, 0))
        if len(rows) < 2 or rows[-1][1] - rows[0][1] < MIN_PERCENT_GAIN:
            return None
        if rows[-1][1] == rows[-2][1]:
            return None
        return (rows[-1][1] - rows[0][1]) / (rows[-1][0] - rows[0][0])

    def ends_within(self, span_s: float, now_s: float) -> bool:
        """Return whether the run is expected to end by itself within a time span.

        False for a run that is overdue, as its prediction has failed.
        """
        rate = self.percent_per_s
        if not rate or self.step.lasting:
            return False
        newest_s, newest = self.percent_samples[-1]
        left_s = (COMPLETE_PERCENT - newest) / rate - (now_s - newest_s)
        return -MAX_OVERDUE_S <= left_s <= span_s
