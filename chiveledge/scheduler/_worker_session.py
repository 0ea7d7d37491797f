"""A leader's session with one worker: lease renewals and task reports."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Err, Ok, Result

from chiveledge.cells import WorkerSize
from chiveledge.clock import Clock
from chiveledge.leadership import Leadership
from chiveledge.services import (
    AttemptOrder,
    CallError,
    Conflict,
    Reservation,
    SyncRequest,
    TaskReport,
    TaskState,
    Unavailable,
    Worker,
    WorkerReport,
)
from chiveledge.services.worker import SYNC_TIMEOUT_MARGIN_S
from chiveledge.settings import TimingSettings
from chiveledge.types import AttemptId, DomainName, RegionName

T = TypeVar("T")

LOST_LEASE_SHARE = 0.5
"""Share of the task lease without a reply after which a worker counts as lost."""

MAX_RENEWAL_AFTER_LAPSE_S = 30.0
"""Time for which a leader whose own lease has lapsed still renews those of workers.

The tasks survive an outage of the store of this length. The next leader waits for this
time where it gets no answer from a worker.
"""

RETRY_S = 0.2
NO_EVENT = -1
"""Number before a worker's first event, so that a sync after it returns all tasks."""


class WorkerSession:
    """Renews the leases of one worker's attempts and receives its task reports.

    Parameters
    ----------
    size : WorkerSize
        Name and resources of the worker.
    worker : Worker
        Client of the worker.
    region : str
        Region that this process leads.
    leadership : Leadership
        Its epoch is sent with every call.
    clock : Clock
        Source of time.
    timing : TimingSettings
        Length of task leases and period of renewals.
    on_change : callable
        Called with the session after each report, and when the worker is lost.

    Attributes
    ----------
    leaving : bool
        Whether the host list says that the worker leaves.
    domain : str
        The worker's failure domain; empty if it was never listed.
    """

    def __init__(
        self,
        size: WorkerSize,
        worker: Worker,
        region: RegionName,
        leadership: Leadership,
        clock: Clock,
        timing: TimingSettings,
        on_change: Callable[[WorkerSession], None],
    ) -> None:
        self.size = size
        self.leaving = False
        self.domain: DomainName = ""
        self._worker = worker
        self._region = region
        self._leadership = leadership
        self._clock = clock
        self._timing = timing
        self._on_change = on_change
        self._renewed_attempts: set[AttemptId] = set()
        self._tasks: dict[tuple[AttemptId, int], TaskReport] = {}
        self._last_event = NO_EVENT
        self._last_contact_s = clock.monotonic()
        self._last_renewal_s = clock.monotonic()
        self._renewals_in_progress = 0
        self._report_requested_s = float("-inf")
        self._lost = False

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.size.name

    @property
    def worker(self) -> Worker:
        """Client of the worker."""
        return self._worker

    @property
    def has_reported(self) -> bool:
        """Whether the worker has reported to this leader."""
        return self._report_requested_s > float("-inf")

    def reported_since(self, time_s: float) -> bool:
        """Whether the last report was requested after a monotonic time."""
        return self._report_requested_s > time_s

    @property
    def lost(self) -> bool:
        """Whether the worker was unresponsive for `LOST_LEASE_SHARE` of a lease."""
        return self._lost

    @property
    def leases_end_s(self) -> float:
        """Monotonic time by which all leases on the worker have lapsed.

        A renewal may arrive at any time until its call ends.
        """
        renewed_s = self._last_renewal_s
        if self._renewals_in_progress:
            renewed_s = self._clock.monotonic()
        return renewed_s + self._timing.task_lease_s

    def adopted_leases_end_s(self, adopted_s: float) -> float:
        """Return the time by which leases that an earlier leader renewed have lapsed.

        A worker accepts renewals of the earlier leader until a call of this one has
        reached it.

        Parameters
        ----------
        adopted_s : float
            Monotonic time, after the earlier leader's own lease had lapsed.
        """
        if self.has_reported:
            return self.leases_end_s
        last_sent_s = adopted_s + MAX_RENEWAL_AFTER_LAPSE_S
        timeout_s = self._timing.worker_sync_s + SYNC_TIMEOUT_MARGIN_S
        end_s = last_sent_s + timeout_s + self._timing.task_lease_s
        return max(end_s, self.leases_end_s)

    @property
    def tasks(self) -> dict[tuple[AttemptId, int], TaskReport]:
        """Last reported tasks of the region on the worker, by attempt and member."""
        return self._tasks

    def member_state(self, attempt: AttemptId, member: int) -> TaskState | None:
        """Return the last reported state of a member; None if it was not reported."""
        task = self._tasks.get((attempt, member))
        return task.state if task else None

    def start_renewal(self, attempt: AttemptId) -> None:
        """Start to renew an attempt's lease."""
        self._renewed_attempts.add(attempt)
        self._last_renewal_s = self._clock.monotonic()

    def stop_renewal(self, attempt: AttemptId) -> None:
        """Stop renewing an attempt's lease."""
        self._renewed_attempts.discard(attempt)

    def make_order(self, *attempts: AttemptId) -> AttemptOrder:
        """Return an order on attempts under the current epoch."""
        return AttemptOrder(
            self._region,
            self._leadership.epoch,
            attempts,
            self._timing.task_lease_s,
        )

    async def reserve(self, reservation: Reservation) -> Result[None, CallError]:
        """Reserve resources for an attempt, under a lease."""
        return await self._make_renewing_call(self._worker.reserve(reservation))

    async def start(self, attempt: AttemptId) -> Result[None, CallError]:
        """Start the reserved members of an attempt, which renews their lease."""
        return await self._make_renewing_call(
            self._worker.start(self.make_order(attempt))
        )

    async def checkpoint(
        self, attempt: AttemptId
    ) -> Result[dict[int, float], CallError]:
        """Checkpoint an attempt; return the work saved of each member, in seconds.

        The worker measures it, by its own clock and over all leaders of the attempt.
        """
        saved = await self._worker.checkpoint(self.make_order(attempt))
        if saved.is_err():
            return saved
        request = self._make_request()._replace(renew=(), after=NO_EVENT, wait_s=0.0)
        result = await self._worker.sync(request)
        return result.map(
            lambda report: {
                task.member: task.saved_s
                for task in report.tasks or ()
                if task.attempt == attempt
            }
        )

    async def run(self) -> None:
        """Renew leases and receive reports until the leadership is lost."""
        while self._leadership.epoch:
            request = self._make_request()
            requested_s = self._clock.monotonic()
            call = self._worker.sync(request)
            if request.renew:
                call = self._make_renewing_call(call)
            match await call:
                case Ok(report):
                    self._record_report(report, requested_s)
                case Err(Conflict(_, reason)):
                    self._leadership.step_down(f"worker {self.name}: {reason}")
                case Err(_):
                    self._record_failed_sync()
                    await self._clock.sleep(RETRY_S)

    def mark_lost(self) -> None:
        """Mark a worker that is not in the host list as lost."""
        self._lost = True

    async def _make_renewing_call(
        self, call: Awaitable[Result[T, CallError]]
    ) -> Result[T, CallError]:
        """Make a call that begins or renews leases, unless it has no effect."""
        self._renewals_in_progress += 1
        try:
            result = await call
        finally:
            self._renewals_in_progress -= 1
        if not isinstance(result.err(), Unavailable | Conflict):
            self._last_renewal_s = self._clock.monotonic()
        return result

    def _make_request(self) -> SyncRequest:
        renewal_end_s = self._leadership.valid_until_s + MAX_RENEWAL_AFTER_LAPSE_S
        may_renew = self._clock.monotonic() < renewal_end_s
        return SyncRequest(
            region=self._region,
            epoch=self._leadership.epoch,
            renew=tuple(sorted(self._renewed_attempts)) if may_renew else (),
            lease_s=self._timing.task_lease_s,
            after=self._last_event,
            wait_s=0.0 if self._lost else self._timing.worker_sync_s,
        )

    def _record_report(self, report: WorkerReport, requested_s: float) -> None:
        self._last_contact_s = self._clock.monotonic()
        self._last_event = report.event
        if report.tasks is not None:
            self._tasks = {(task.attempt, task.member): task for task in report.tasks}
        if not self.has_reported:
            # An earlier leader may have renewed leases until this reply.
            self._last_renewal_s = self._last_contact_s
        self._report_requested_s = requested_s
        self._lost = False
        self._on_change(self)

    def _record_failed_sync(self) -> None:
        unresponsive_s = self._clock.monotonic() - self._last_contact_s
        if (
            not self._lost
            and unresponsive_s >= self._timing.task_lease_s * LOST_LEASE_SHARE
        ):
            self._lost = True
            self._tasks = {}
            self._last_event = NO_EVENT
            self._on_change(self)
