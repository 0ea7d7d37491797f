"""State of one worker in a leader term: incarnation, clock, lease and open runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import isinf
from typing import TypedDict

from chiveledge.coordinator._end_sequence import EndSequence
from chiveledge.coordinator._loss_sign import LossSign
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_lease import CLOCK_RATE, WorkerLease
from chiveledge.services.task_worker import TaskWorker, WorkerEntry
from chiveledge.types import JobId, WorkerName
from chiveledge.workload import Usage

LATE_ORDER_S = 12.0
"""How long after it was sent an order without an answer may still be carried out."""

MAX_OVERTAKING_MS = 1000
"""How much earlier than a poll an order may have been answered whose answer arrives
after that of the poll; longer than the timeout of an order."""

MAX_ANSWER_AGE_S = 0.25
"""Age of the last answer up to which a poll acknowledges ends. A worker needs longer to
start again, to take an order and to end its run."""


def age_s(since_s: float | None, now_s: float) -> float | None:
    """Return the time since a monotonic time, rounded; None if that is not known."""
    if since_s is None or isinf(since_s):
        return None
    return round(now_s - since_s, 3)


class ContactRecord(TypedDict):
    """What was known of a worker when a decision on its runs was taken, for the log.

    Attributes
    ----------
    incarnation_ms : int
        Incarnation that the leader takes it for.
    listed, draining : bool
        Whether the platform lists it, and whether its last entry announced draining.
    unlisted_age_s, answer_age_s : float, optional
        Time since the platform ceased to list it, and since its last answered poll.
    lease_left_s : float, optional
        Time until its lease is surely over; None if its clock is not known.
    error : str
        Error of the last poll; empty if it was answered.
    sign : LossSign
        What the polls without an answer have shown; silent if there were none.
    """

    incarnation_ms: int
    listed: bool
    draining: bool
    unlisted_age_s: float | None
    answer_age_s: float | None
    lease_left_s: float | None
    error: str
    sign: LossSign


@dataclass(eq=False)
class WorkerLink:
    """State of one worker within one leader term, and its client.

    Attributes
    ----------
    entry : WorkerEntry
        Entry that the platform listed last.
    client : TaskWorker
        Sends orders and polls to the worker.
    listed : bool
        Whether the platform lists the worker now.
    unlisted_s : float
        Monotonic time at which the platform ceased to list it.
    error : str
        Error of the last poll; empty if it was answered.
    loss_sign : LossSign
        What the polls without an answer have shown.
    draining_since_s : float, optional
        Monotonic time at which the present entry announced draining.
    fence_raised : bool
        Whether the present incarnation has answered a poll with this term's fence.
    lease : WorkerLease
        Lease on the runs of the present incarnation.
    last_answer_s, unresponsive_since_s : float, optional
        Monotonic time of the last answered poll, and of the first unanswered one
        since then.
    avoid_until_s : float
        Monotonic time until which no new run is placed on the worker.
    cold_until_s : float
        Monotonic time until which the worker said that it is slow after its start.
    incarnation_ms : int
        Start time of the worker process, in milliseconds since 1970.
    past_incarnations : set of int
        Start times of its earlier incarnations.
    incarnation_began_s : float
        Monotonic time at which this incarnation was first seen.
    clock_went_back_s : float, optional
        Monotonic time at which the answer to an order showed an earlier time than the
        last poll, as that of a later incarnation does; None once a poll that was sent
        later is answered.
    ends : EndSequence
        Ends that the present incarnation has reported.
    sent_acknowledgement : int
        Highest number that a poll of the present incarnation carried.
    unanswered_starts : dict
        Monotonic time of the last start order of each run of which a copy got no
        answer, by task and number.
    emptying : bool
        Whether the machine is being emptied for its upkeep, so that nothing starts
        there.
    runs : dict
        Open runs by task and number; changed by `add_run` and `remove_run`.
    used : Usage
        Capacity that all open runs take, including those that are being stopped.
    stopping : Usage
        Capacity that the runs being stopped take.
    unknown_usage : Usage
        Capacity that those runs take which the last report shows and no job has open.
    serving_runs, filler_runs, isolated_runs : int
        Number of open runs that serve requests, of filler runs, and of those that
        were started apart from other jobs.
    """

    entry: WorkerEntry
    client: TaskWorker
    listed: bool = True
    unlisted_s: float = float("inf")
    fence_raised: bool = False
    ends: EndSequence = field(default_factory=EndSequence)
    sent_acknowledgement: int = 0
    lease: WorkerLease = field(default_factory=WorkerLease)
    runs: dict[tuple[str, int], TrackedRun] = field(default_factory=dict)
    last_answer_s: float | None = None
    unresponsive_since_s: float | None = None
    error: str = ""
    loss_sign: LossSign = LossSign.SILENT
    draining_since_s: float | None = None
    avoid_until_s: float = 0.0
    cold_until_s: float = 0.0
    incarnation_ms: int = 0
    past_incarnations: set[int] = field(default_factory=set)
    incarnation_began_s: float = float("-inf")
    clock_went_back_s: float | None = None
    unanswered_starts: dict[tuple[str, int], float] = field(default_factory=dict)
    emptying: bool = False
    used: Usage = Usage()
    stopping: Usage = Usage()
    unknown_usage: Usage = Usage()
    serving_runs: int = 0
    filler_runs: int = 0
    isolated_runs: int = 0

    @property
    def name(self) -> WorkerName:
        """Name of the worker."""
        return self.entry.name

    @property
    def place(self) -> str:
        """Machine of the worker, or its address if it names no machine."""
        return self.entry.machine or self.entry.address

    @property
    def speed_key(self) -> str:
        """Name under which the speed of its runs is learnt.

        The machine's, as it outlasts the worker. A worker that names none may be on
        another machine after each restart.
        """
        return self.entry.machine or f"{self.entry.name}@{self.incarnation_ms}"

    @property
    def is_described(self) -> bool:
        """Whether the entry is that of the present incarnation.

        The next incarnation may be of another kind, and its first poll may come before
        its entry.
        """
        return self.entry.incarnation_ms in (0, self.incarnation_ms)

    @property
    def occupied(self) -> Usage:
        """Capacity that all runs on it take."""
        return self.used.plus(self.unknown_usage)

    @property
    def is_over_capacity(self) -> bool:
        """Whether its runs exceed its capacity, which may shrink at any time."""
        return not self.occupied.fits(self.entry.capacity)

    def find_isolated_job(self, now_s: float) -> JobId | None:
        """Return the job that no other may join on the worker, or None."""
        if self.isolated_runs:
            for tracked in self.runs.values():
                if tracked.isolated_until_s > now_s:
                    return tracked.name.job_id
        return None

    def add_run(self, tracked: TrackedRun) -> None:
        """Add a run that is, or will be, on the worker."""
        self.runs[tracked.key] = tracked
        self.used = self.used.plus(tracked.usage)
        self.serving_runs += tracked.is_serving
        self.filler_runs += tracked.is_filler
        self.isolated_runs += tracked.is_isolated

    def mark_stopping(self, tracked: TrackedRun) -> None:
        """Mark a run whose stop order was issued."""
        tracked.stopping = True
        self.stopping = self.stopping.plus(tracked.usage)

    def remove_run(self, tracked: TrackedRun) -> bool:
        """Remove a run; return whether it was open."""
        if self.runs.pop(tracked.key, None) is None:
            return False
        self.used = self.used.minus(tracked.usage)
        if tracked.stopping:
            self.stopping = self.stopping.minus(tracked.usage)
        self.serving_runs -= tracked.is_serving
        self.filler_runs -= tracked.is_filler
        self.isolated_runs -= tracked.is_isolated
        return True

    def is_new_incarnation(self, incarnation_ms: int) -> bool:
        """Return whether a start time is that of an incarnation not seen before.

        In an answer to a poll, it may be lower than the present one, as the worker's
        wall clock may go back.
        """
        if not incarnation_ms or incarnation_ms == self.incarnation_ms:
            return False
        return incarnation_ms not in self.past_incarnations

    def record_answer(self, clock_ms: int, now_s: float, sent_s: float) -> None:
        """Record a poll that was answered, and the reading of the worker's clock."""
        self.last_answer_s = now_s
        self.unresponsive_since_s = None
        self.error = ""
        self.loss_sign = LossSign.SILENT
        if self.clock_went_back_s is not None and sent_s >= self.clock_went_back_s:
            self.clock_went_back_s = None
        self.lease.record_clock(clock_ms, now_s)

    def record_no_answer(
        self, now_s: float, error: str, sign: LossSign = LossSign.SILENT
    ) -> None:
        """Record an unanswered poll, and what it shows."""
        self.error = error
        if sign is not LossSign.SILENT:
            self.loss_sign = sign
        if self.unresponsive_since_s is None:
            self.unresponsive_since_s = now_s

    def record_order_clock(self, clock_ms: int, now_s: float) -> None:
        """Record the reading of the worker's clock in the answer to an order."""
        if clock_ms + MAX_OVERTAKING_MS < self.lease.clock_ms:
            self.clock_went_back_s = now_s

    def record_unanswered_start(self, tracked: TrackedRun, now_s: float) -> None:
        """Record that a copy of a run's start order got no answer."""
        self._forget_old_starts(now_s)
        self.unanswered_starts[tracked.key] = now_s

    def list_late_starts(self, now_s: float) -> list[tuple[str, int]]:
        """Return task and number of the runs whose start may still be carried out.

        The incarnation that was sent the order starts a run once. A later one knows
        nothing of that and would start it again.
        """
        self._forget_old_starts(now_s)
        return list(self.unanswered_starts)

    def _forget_old_starts(self, now_s: float) -> None:
        self.unanswered_starts = {
            key: sent_s
            for key, sent_s in self.unanswered_starts.items()
            if now_s - sent_s < LATE_ORDER_S
        }

    def choose_acknowledgement(self, now_s: float) -> int:
        """Return the number of the last end that a poll acknowledges now.

        Another incarnation numbers its ends anew and would forget ends that were not
        seen. Unless a poll was answered just before, there may be another one, so
        nothing is acknowledged until a poll is answered.
        """
        if self.unresponsive_since_s is not None or self.clock_went_back_s is not None:
            return 0
        if self.last_answer_s is None or now_s - self.last_answer_s > MAX_ANSWER_AGE_S:
            return 0
        return self.ends.unconfirmed

    def mark_unlisted(self, now_s: float) -> None:
        """Record that the platform does not list the worker any more."""
        self.listed = False
        self.unlisted_s = now_s

    def leaves_in_s(self, now_s: float, least_s: float) -> float | None:
        """Return for how long a draining worker stays at least; None if not draining.

        Parameters
        ----------
        least_s : float
            Shortest time that a worker stays if it announces none.
        """
        if self.draining_since_s is None:
            return None
        announced_s = self.entry.leaves_s
        total_s = least_s if announced_s is None else announced_s
        return max(0.0, total_s - (now_s - self.draining_since_s))

    def describe_contact(self, now_s: float) -> ContactRecord:
        """Return what is known of the worker, for the log."""
        lease_left_s = self.lease.left_s(now_s)
        return ContactRecord(
            incarnation_ms=self.incarnation_ms,
            listed=self.listed,
            draining=self.entry.draining,
            unlisted_age_s=None if self.listed else age_s(self.unlisted_s, now_s),
            answer_age_s=age_s(self.last_answer_s, now_s),
            lease_left_s=None if lease_left_s is None else round(lease_left_s, 3),
            error=self.error,
            sign=self.loss_sign,
        )

    def begin_incarnation(
        self, incarnation_ms: int, now_s: float, longest_lease_s: float
    ) -> None:
        """Reset the state that a restart of the worker process has lost.

        Orders carry the end of a lease on the clock of the incarnation that they are
        meant for. The next one, whose clock began anew, cuts it to `longest_lease_s`,
        counted from when the order arrives, be it to start a run or to be declined.
        """
        late_sent_s = max(self.unanswered_starts.values(), default=float("-inf"))
        self.lease = WorkerLease(
            longest_lease_s if self.runs else 0.0,
            not_over_before_s=late_sent_s + LATE_ORDER_S + longest_lease_s / CLOCK_RATE,
        )
        self.incarnation_began_s = now_s
        self.past_incarnations.add(self.incarnation_ms)
        self.incarnation_ms = incarnation_ms
        self.fence_raised = False
        self.ends = EndSequence()
        self.sent_acknowledgement = 0
        self.last_answer_s = None
        self.loss_sign = LossSign.SILENT
        self.clock_went_back_s = None
        self.draining_since_s = None
        self.emptying = False
        self.unknown_usage = Usage()
        for tracked in self.runs.values():
            tracked.percent_samples.clear()
