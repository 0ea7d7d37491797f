"""The leader's link to one worker: renews leases and follows its tasks."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok

from chiveledge.cells import WorkerSize
from chiveledge.clock import Clock
from chiveledge.leadership import Leadership
from chiveledge.services import (
    AttemptOrder,
    Conflict,
    SyncRequest,
    TaskReport,
    TaskState,
    Worker,
    WorkerReport,
)
from chiveledge.settings import TimingSettings
from chiveledge.types import AttemptId, RegionName

LOST_LEASE_SHARE = 0.5
"""Share of the task lease without contact after which a worker is lost."""

RETRY_S = 0.2


class WorkerSession:
    """Follows one worker for the region's leader.

    Parameters
    ----------
    size : WorkerSize
        The worker.
    worker : Worker
        Its client.
    region : str
        The region led.
    leadership : Leadership
        Its epoch goes with every call.
    clock : Clock
        Source of time.
    timing : TimingSettings
        Lease and period of renewals.
    on_change : callable
        Called with this link after each report, and when the worker is lost.
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
        self._worker = worker
        self._region = region
        self._leadership = leadership
        self._clock = clock
        self._timing = timing
        self._on_change = on_change
        self._renewed_attempts: set[AttemptId] = set()
        self._tasks: dict[tuple[AttemptId, int], TaskReport] = {}
        self._last_event = -1
        self._last_contact_s = clock.monotonic()
        self._last_renewal_s = clock.monotonic()
        self._report_requested_s = float("-inf")
        self._lost = False

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.size.name

    @property
    def worker(self) -> Worker:
        """Client for orders to the worker."""
        return self._worker

    @property
    def has_reported(self) -> bool:
        """Whether the worker reported to this leader at least once."""
        return self._report_requested_s > float("-inf")

    def reported_since(self, time_s: float) -> bool:
        """Whether the last report was asked for after a monotonic time."""
        return self._report_requested_s > time_s

    @property
    def lost(self) -> bool:
        """Whether the worker has been silent for too long."""
        return self._lost

    @property
    def leases_end_s(self) -> float:
        """Monotonic time at which all leases of the worker have surely lapsed."""
        return self._last_renewal_s + self._timing.task_lease_s

    @property
    def tasks(self) -> dict[tuple[AttemptId, int], TaskReport]:
        """The region's tasks on the worker, as last reported."""
        return self._tasks

    def member_state(self, attempt: AttemptId, member: int) -> TaskState | None:
        """Return the last reported state of a member, or None."""
        task = self._tasks.get((attempt, member))
        return task.state if task else None

    def start_renewal(self, attempt: AttemptId) -> None:
        """Renew an attempt's lease from now on."""
        self._renewed_attempts.add(attempt)
        self._last_renewal_s = self._clock.monotonic()

    def stop_renewal(self, attempt: AttemptId) -> None:
        """Renew an attempt's lease no longer."""
        self._renewed_attempts.discard(attempt)

    def make_order(self, *attempts: AttemptId) -> AttemptOrder:
        """Return an order to this worker under the present epoch."""
        return AttemptOrder(
            self._region,
            self._leadership.epoch,
            attempts,
            self._timing.task_lease_s,
        )

    async def run(self) -> None:
        """Renew and follow until cancelled."""
        while self._leadership.epoch:
            request = self._make_request()
            requested_s = self._clock.monotonic()
            if request.renew:
                self._last_renewal_s = self._clock.monotonic() + request.wait_s
            result = await self._worker.sync(request)
            match result:
                case Ok(report):
                    self._record_report(report, requested_s)
                case Err(Conflict(_, reason)):
                    self._leadership.lose(f"worker {self.name}: {reason}")
                case Err(_):
                    self._record_failed_sync()
                    await self._clock.sleep(RETRY_S)

    def mark_lost(self) -> None:
        """Treat the worker as lost from the start, since it is not listed."""
        self._lost = True

    def _make_request(self) -> SyncRequest:
        return SyncRequest(
            region=self._region,
            epoch=self._leadership.epoch,
            renew=tuple(sorted(self._renewed_attempts)),
            lease_s=self._timing.task_lease_s,
            after=self._last_event,
            wait_s=0.0 if self._lost else self._timing.worker_sync_s,
        )

    def _record_report(self, report: WorkerReport, requested_s: float) -> None:
        self._last_contact_s = self._clock.monotonic()
        self._last_event = report.event
        if report.tasks is not None:
            self._tasks = {(task.attempt, task.member): task for task in report.tasks}
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
            self._last_event = -1
            self._on_change(self)
