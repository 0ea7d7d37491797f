"""One worker as the leader knows it: its life, its clock, its lease and its runs."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from chiveledge.placement import ALL_DONE_PERCENT, charged_usage
from chiveledge.services.task_worker import TaskWorker, WorkerEntry
from chiveledge.types import WorkerName
from chiveledge.workload import OpenRun, Step, TaskName, TaskProgress, Usage

CLOCK_RATE = 0.98
"""A worker's clock may run this much slower than ours."""

MARKS_KEPT = 8
RATE_SPAN_S = 0.4
"""Least time over which a rate is taken, as percents are whole numbers."""

OVERDUE_S = 0.5
"""How late a run may come to the end that its pace foretold: rounded percents, the
length of a look and the way of its answer."""


@dataclass(eq=False)
class TrackedRun:
    """An open run and what decides when it is gone.

    Attributes
    ----------
    settled_s : float, optional
        From this monotonic time on, a look that does not show the run proves that
        it is gone. None while the start order may still be carried out.
    stopping : bool
        Whether a stop is on its way.
    adopted : bool
        Whether an earlier leader started it, so that its start time is unknown.
    shown : bool
        Whether the present life of the worker has shown it.
    """

    name: TaskName
    task: TaskProgress
    run: OpenRun
    step: Step
    settled_s: float | None = None
    stopping: bool = False
    adopted: bool = False
    shown: bool = False
    marks: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MARKS_KEPT)
    )

    @property
    def usage(self) -> Usage:
        """What it takes of its worker's capacity."""
        return charged_usage(self.step)

    @property
    def serves(self) -> bool:
        """Whether it answers users of its own within a bound."""
        return self.step.latency_target_ms > 0

    @property
    def fills(self) -> bool:
        """Whether it uses only what the others leave."""
        return self.step.filler

    @property
    def key(self) -> tuple[str, int]:
        """Task and number of the run."""
        return str(self.name), self.run.number

    def ran_s(self, now_s: float) -> float | None:
        """Return for how long it has run; None if an earlier leader started it."""
        return None if self.adopted else round(now_s - self.run.began_s, 3)

    def note_percent(self, percent: int, now_s: float) -> None:
        """Remember how far the run has come."""
        self.marks.append((now_s, percent))

    @property
    def percent_per_s(self) -> float | None:
        """Rate over the last looks; None if they span too little time."""
        if len(self.marks) < 2:
            return None
        newest_s, newest = self.marks[-1]
        for began_s, percent in reversed(self.marks):
            if newest_s - began_s >= RATE_SPAN_S:
                return (newest - percent) / (newest_s - began_s)
        return None

    def ends_within(self, span_s: float, now_s: float) -> bool:
        """Whether it should come to its end by itself within a span.

        One that should have ended already, and has not, is no longer counted on.
        """
        rate = self.percent_per_s
        if not rate or self.step.lasting:
            return False
        newest_s, newest = self.marks[-1]
        left_s = (ALL_DONE_PERCENT - newest) / rate - (now_s - newest_s)
        return -OVERDUE_S <= left_s <= span_s


@dataclass(eq=False)
class WorkerLink:
    """State of one worker within one reign.

    Attributes
    ----------
    entry : WorkerEntry
        As the platform listed it last.
    listed : bool
        Whether the platform lists it now.
    refused : bool
        Whether the last look was refused at its address.
    drains_since_s : float, optional
        When its present entry said that it drains.
    fence_raised : bool
        Whether it has answered to our fence in this life.
    lease_end_ms : int
        Latest end of lease that any order of ours carried, on its clock.
    acknowledged : int
        Number of the last end that is stored.
    last_settled : int
        Number of the last end that was taken over.
    storing : asyncio.Task, optional
        Stores the ends that were taken over.
    emptying : bool
        Whether its machine is about to have its upkeep, so that nothing starts there.
    runs : dict
        Open runs by task and number; changed by `add_run` and `remove_run`.
    used : Usage
        What all open runs take, those that are being stopped too.
    stopping : Usage
        What those that are being stopped take.
    serving, filling : int
        How many open runs serve users of their own, and how many fill up.
    """

    entry: WorkerEntry
    worker: TaskWorker
    listed: bool = True
    fence_raised: bool = False
    acknowledged: int = 0
    last_settled: int = 0
    storing: asyncio.Task | None = None
    lease_end_ms: int = 0
    runs: dict[tuple[str, int], TrackedRun] = field(default_factory=dict)
    answered_s: float | None = None
    failing_since_s: float | None = None
    refused: bool = False
    drains_since_s: float | None = None
    avoid_until_s: float = 0.0
    clock_ms: int = 0
    clock_read_s: float = 0.0
    born_ms: int = 0
    life_began_s: float = float("-inf")
    emptying: bool = False
    used: Usage = Usage()
    stopping: Usage = Usage()
    serving: int = 0
    filling: int = 0

    @property
    def name(self) -> WorkerName:
        """Name of the worker."""
        return self.entry.name

    def add_run(self, tracked: TrackedRun) -> None:
        """A run is, or will be, on the worker."""
        self.runs[tracked.key] = tracked
        self.used = self.used.plus(tracked.usage)
        self.serving += tracked.serves
        self.filling += tracked.fills

    def note_stopping(self, tracked: TrackedRun) -> None:
        """A stop of a run is on its way."""
        tracked.stopping = True
        self.stopping = self.stopping.plus(tracked.usage)

    def remove_run(self, tracked: TrackedRun) -> bool:
        """A run is gone; return whether it was there."""
        if self.runs.pop(tracked.key, None) is None:
            return False
        self.used = self.used.minus(tracked.usage)
        if tracked.stopping:
            self.stopping = self.stopping.minus(tracked.usage)
        self.serving -= tracked.serves
        self.filling -= tracked.fills
        return True

    def note_answer(self, clock_ms: int, now_s: float) -> None:
        """Take over the worker's clock from an answer."""
        self.answered_s = now_s
        self.failing_since_s = None
        self.refused = False
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_s = now_s

    def note_failure(self, now_s: float, *, refused: bool) -> None:
        """A look got no answer; `refused` if nobody listens there any more."""
        self.refused = refused
        if self.failing_since_s is None:
            self.failing_since_s = now_s

    def extend_lease(self, now_s: float, lease_s: float) -> int | None:
        """Return the end of a lease from now on the worker's clock, once known."""
        if self.answered_s is None:
            return None
        clock_ms = self.clock_ms + (now_s - self.clock_read_s) * 1000
        self.lease_end_ms = max(self.lease_end_ms, int(clock_ms + lease_s * 1000))
        return self.lease_end_ms

    def lease_is_over(self, now_s: float) -> bool:
        """Whether all that ran there has surely lapsed, even on a slow clock."""
        if self.answered_s is None:
            return False
        passed_ms = (now_s - self.clock_read_s) * 1000 * CLOCK_RATE
        return self.clock_ms + passed_ms > self.lease_end_ms

    @property
    def has_left(self) -> bool:
        """Whether the worker announced that it leaves and is gone since."""
        return self.entry.draining and not self.listed and self.refused

    def leaves_in_s(self, now_s: float, least_s: float) -> float | None:
        """Return how long a draining worker surely stays; None if it does not drain.

        Parameters
        ----------
        least_s : float
            Time that a worker stays at least, where it does not say.
        """
        if self.drains_since_s is None:
            return None
        told_s = self.entry.leaves_s
        total_s = least_s if told_s is None else told_s
        return max(0.0, total_s - (now_s - self.drains_since_s))

    def begin_life(self, born_ms: int, now_s: float) -> None:
        """The worker started anew: it knows nothing of before."""
        self.life_began_s = now_s
        self.born_ms = born_ms
        self.fence_raised = False
        self.acknowledged = 0
        self.last_settled = 0
        self.lease_end_ms = 0
        self.answered_s = None
        self.clock_ms = 0
        self.drains_since_s = None
        self.emptying = False
        for tracked in self.runs.values():
            tracked.marks.clear()
