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

LOST_SHARE = 0.5
"""Share of the task lease without contact after which a worker is lost."""

RETRY_S = 0.2


class WorkerLink:
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
        on_change: Callable[[WorkerLink], None],
    ) -> None:
        self.size = size
        self.leaving = False
        self._worker = worker
        self._region = region
        self._leadership = leadership
        self._clock = clock
        self._timing = timing
        self._on_change = on_change
        self._held: set[AttemptId] = set()
        self._tasks: dict[tuple[AttemptId, int], TaskReport] = {}
        self._event = -1
        self._contact_s = clock.monotonic()
        self._renewed_s = clock.monotonic()
        self._report_asked_s = float("-inf")
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
    def synced(self) -> bool:
        """Whether the worker reported to this leader at least once."""
        return self._report_asked_s > float("-inf")

    def reported_since(self, time_s: float) -> bool:
        """Whether the last report was asked for after a monotonic time."""
        return self._report_asked_s > time_s

    @property
    def lost(self) -> bool:
        """Whether the worker has been silent for too long."""
        return self._lost

    @property
    def leases_end_s(self) -> float:
        """Monotonic time at which all leases of the worker have surely lapsed."""
        return self._renewed_s + self._timing.task_lease_s

    @property
    def tasks(self) -> dict[tuple[AttemptId, int], TaskReport]:
        """The region's tasks on the worker, as last reported."""
        return self._tasks

    def state_of(self, attempt: AttemptId, member: int) -> TaskState | None:
        """Return the last reported state of a member, or None."""
        task = self._tasks.get((attempt, member))
        return task.state if task else None

    def hold(self, attempt: AttemptId) -> None:
        """Renew an attempt's lease from now on."""
        self._held.add(attempt)
        self._renewed_s = self._clock.monotonic()

    def release(self, attempt: AttemptId) -> None:
        """Renew an attempt's lease no longer."""
        self._held.discard(attempt)

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
            asked_s = self._clock.monotonic()
            if request.renew:
                self._renewed_s = self._clock.monotonic() + request.wait_s
            result = await self._worker.sync(request)
            match result:
                case Ok(report):
                    self._take(report, asked_s)
                case Err(Conflict(_, reason)):
                    self._leadership.step_down(f"worker {self.name}: {reason}")
                case Err(_):
                    self._miss()
                    await self._clock.sleep(RETRY_S)

    def mark_lost(self) -> None:
        """Treat the worker as lost from the start, since it is not listed."""
        self._lost = True

    def _make_request(self) -> SyncRequest:
        return SyncRequest(
            region=self._region,
            epoch=self._leadership.epoch,
            renew=tuple(sorted(self._held)),
            lease_s=self._timing.task_lease_s,
            after=self._event,
            wait_s=0.0 if self._lost else self._timing.worker_sync_s,
        )

    def _take(self, report: WorkerReport, asked_s: float) -> None:
        self._contact_s = self._clock.monotonic()
        self._event = report.event
        if report.tasks is not None:
            self._tasks = {(task.attempt, task.member): task for task in report.tasks}
        self._report_asked_s = asked_s
        self._lost = False
        self._on_change(self)

    def _miss(self) -> None:
        silent_s = self._clock.monotonic() - self._contact_s
        if not self._lost and silent_s >= self._timing.task_lease_s * LOST_SHARE:
            self._lost = True
            self._tasks = {}
            self._event = -1
            self._on_change(self)
