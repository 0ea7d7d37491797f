"""A leader term: the period for which this process leads a shard."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from typing import NamedTuple

from result import Err, Ok

from chiveledge.cancellations import Cancellation
from chiveledge.coordinator._advice import TicketCache
from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._early_cancellations import EarlyCancellations
from chiveledge.coordinator._fleet_capacity import FleetCapacityKeeper
from chiveledge.coordinator._learnt_figures import LearntFigureKeeper
from chiveledge.coordinator._orders import OrderDispatcher
from chiveledge.coordinator._planning import PlanningController
from chiveledge.coordinator._progress_rows import (
    PROGRESS_PREFIX,
    StoredJob,
    group_rows,
)
from chiveledge.coordinator._progress_writer import ProgressWriter
from chiveledge.coordinator._reconciliation import Reconciler
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.coordinator._supervision import FleetSupervisor
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._upkeep import UpkeepController
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.coordinator._worker_loss import CrashRecorder
from chiveledge.coordinator._workers import POLL_RETRY_S, WorkerMonitor
from chiveledge.decoding import DECODE_ERRORS, describe_error
from chiveledge.intake import (
    INBOX_PREFIX,
    TableFollower,
    parse_cancel_key,
)
from chiveledge.leadership import Leadership
from chiveledge.placement import LearntSpeeds, WorkerSuspicion
from chiveledge.services import Row, parse_row_name
from chiveledge.tasks import cancel_and_wait
from chiveledge.workload import (
    JobProgress,
    JobState,
    OpenRun,
    Step,
    TaskName,
    TaskProgress,
    decode_progress,
    decode_request,
)

CLEANUP_INTERVAL_S = 10.0


class _RemovedJob(NamedTuple):
    """A job whose rows are removed.

    Attributes
    ----------
    request_version : int
        Version of the row of its request.
    removed_s : float
        Monotonic time after the removal.
    """

    request_version: int
    removed_s: float


class LeaderTerm:
    """Leads the jobs and workers of a shard until the leadership is lost.

    Parameters
    ----------
    context : TermContext
        Stores, clients, clock and timing.
    leadership : Leadership
        The leadership that this process holds.
    """

    def __init__(self, context: TermContext, leadership: Leadership) -> None:
        self.jobs: dict[str, JobProgress] = {}
        self.links: dict[str, WorkerLink] = {}
        self._context = context
        self._leadership = leadership
        self._clock = context.clock
        self._log = context.log
        self._ended = asyncio.Event()
        self._end_reason = ""
        self._tasks: set[asyncio.Task] = set()
        self._plan_due = asyncio.Event()
        self._began_s = self._clock.monotonic()
        self._unmatched_progress: dict[str, StoredJob] = {}
        self._unreadable_jobs: dict[str, tuple[Step, ...]] = {}
        self._early_cancellations = EarlyCancellations(
            context.table,
            context.clock,
            context.log,
            context.timing.keep_cancellations_s,
            lambda job_id: job_id in self.jobs,
        )
        self._request_versions: dict[str, int] = {}
        self._removed: dict[str, _RemovedJob] = {}
        self._submitted_again: dict[str, Row] = {}
        self._inbox = TableFollower(
            context.table,
            INBOX_PREFIX,
            self._clock,
            self._log,
            self._apply_inbox_changes,
        )
        suspicion = WorkerSuspicion()
        estimator = RunTimeEstimator()
        learnt_speeds = LearntSpeeds()
        self._learnt_figures = LearntFigureKeeper(
            context, leadership, learnt_speeds, estimator, self.end
        )
        self._fleet_capacity = FleetCapacityKeeper(
            context, leadership, self.links, self.end
        )
        self._progress_writer = ProgressWriter(
            context.table,
            leadership,
            self._clock,
            self._log,
            context.metrics,
            context.max_row_chars,
            self.end,
        )
        self._tickets = TicketCache(
            context.advice, self._clock, self._log, self._plan_due
        )
        self._orders = OrderDispatcher(
            context,
            leadership,
            self._progress_writer,
            self._tickets,
            self.jobs,
            self.links,
            self._spawn,
            self._plan_due.set,
            self.end,
        )
        reconciler = Reconciler(
            context,
            self._progress_writer,
            self._orders,
            self.jobs,
            self._unreadable_jobs,
            suspicion,
            estimator,
        )
        crashes = CrashRecorder(
            context, self.links, self.jobs, self._progress_writer.mark_dirty
        )
        self._workers = WorkerMonitor(
            context,
            leadership,
            self.links,
            reconciler,
            self._orders,
            suspicion,
            crashes,
            self._spawn,
            self._plan_due.set,
            self.end,
            self._ended.is_set,
        )
        self._worker_list = TableFollower(
            context.table,
            context.worker_prefix,
            self._clock,
            self._log,
            self._workers.apply_changes,
        )
        self._upkeep = UpkeepController(
            context, leadership, self.links, self.jobs, self._orders
        )
        self._planning = PlanningController(
            context,
            leadership,
            self.links,
            self.jobs,
            FleetSupervisor(
                context,
                self.links,
                self.jobs,
                reconciler,
                self._orders,
                estimator,
                learnt_speeds,
            ),
            self._orders,
            self._tickets,
            suspicion,
            crashes,
            estimator,
            self._plan_due,
            self._spawn,
            lambda: self._worker_list.age_s,
        )

    def end(self, reason: str) -> None:
        """End the term, so that no more orders are sent; the first reason is kept."""
        if not self._ended.is_set():
            self._end_reason = reason
            self._ended.set()

    async def run(self) -> str:
        """Lead until the leadership is lost; return the reason."""
        self._spawn(self._renew_loop())
        self._spawn(self._lead())
        await self._ended.wait()
        await cancel_and_wait(self._tasks)
        for link in self.links.values():
            await link.client.close()
        self._leadership.step_down(self._end_reason)
        return self._end_reason

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self._log.write("coordinator", "task_failed", error=repr(error))
        self.end(f"a task failed: {error!r}")

    async def _renew_loop(self) -> None:
        """Renew at a fixed interval, even while earlier renewals are unanswered."""
        while True:
            await self._clock.sleep(self._context.timing.renew_s)
            self._spawn(self._renew())

    async def _renew(self) -> None:
        await self._leadership.renew()
        if self._leadership.epoch == 0:
            self.end("another process took over")

    async def _lead(self) -> None:
        """Load the progress, workers and inbox, then run the loops of the term."""
        self._spawn(self._learnt_figures.run())
        await asyncio.gather(self._load_progress(), self._load_workers())
        self._spawn(self._progress_writer.run())
        # Jobs are admitted with their progress, onto workers that are known.
        while not await self._inbox.step():
            await self._clock.sleep(POLL_RETRY_S)
        self._workers.start_polling()
        self._log.write(
            "coordinator",
            "loaded",
            jobs=len(self.jobs),
            workers=len(self.links),
            took_s=round(self._clock.monotonic() - self._began_s, 3),
        )
        self._spawn(self._worker_list.run())
        self._spawn(self._inbox.run())
        self._spawn(self._cleanup_loop())
        self._spawn(self._tickets.run())
        self._spawn(self._fleet_capacity.run())
        if self._context.machines is not None:
            self._spawn(self._upkeep.run())
        await self._planning.run()

    async def _load_progress(self) -> None:
        while True:
            match await self._context.table.snapshot(PROGRESS_PREFIX):
                case Ok(snapshot):
                    self._unmatched_progress = group_rows(snapshot.rows)
                    for job_id, stored in self._unmatched_progress.items():
                        self._progress_writer.record_loaded(job_id, stored)
                    return
                case Err(_):
                    await self._clock.sleep(POLL_RETRY_S)

    async def _load_workers(self) -> None:
        while not await self._worker_list.step():
            await self._clock.sleep(POLL_RETRY_S)

    def _apply_inbox_changes(
        self, rows: Iterable[Row], deleted: Iterable[str], is_snapshot: bool
    ) -> None:
        """Admit new jobs and cancel jobs; deleted rows are those of expired jobs."""
        rows = list(rows)
        self._early_cancellations.discard(deleted)
        if is_snapshot:
            self._early_cancellations.retain(row.key for row in rows)
        for row in rows:
            job_id = parse_row_name(row.key)
            cancellation = parse_cancel_key(row.key)
            if cancellation is not None:
                self._apply_cancellation(row, cancellation)
            elif job_id in self.jobs:
                if row.version > self._request_versions[job_id]:
                    # The present job of this ID is being removed.
                    self._submitted_again[job_id] = row
            elif self._is_unseen(job_id, row):
                self._admit(job_id, row)
        self._plan_due.set()

    def _is_unseen(self, job_id: str, row: Row) -> bool:
        """Return whether a request is not that of an unreadable or a removed job.

        A read that began before the removal still returns the rows of the job.
        """
        if job_id in self._unreadable_jobs:
            return False
        removed = self._removed.get(job_id)
        return removed is None or row.version > removed.request_version

    def _admit(self, job_id: str, row: Row) -> None:
        stored = self._unmatched_progress.pop(job_id, None)
        try:
            job = _decode_job(row, stored)
        except DECODE_ERRORS as error:
            if stored is not None:
                # Without its progress, the job might run a second time.
                self._unreadable_jobs[job_id] = _decode_steps(row)
            reason = describe_error(error)
            self._log.write("coordinator", "bad_job", id=job_id, reason=reason)
            return
        request = job.request
        if stored is None:
            self._planning.record_admission(job)
        elif job.state.ended:
            self._progress_writer.record_loaded_end(job_id)
        self.jobs[job_id] = job
        self._request_versions[job_id] = row.version
        self._log.write(
            "coordinator",
            "admitted",
            id=job_id,
            state=job.state,
            known=bool(stored),
            runs=sum(1 for _ in job.open_runs()),
            stretch=request.stretch,
            target_s=request.target_s,
            after=[step.after for step in request.steps],
        )
        for name, task, run in job.open_runs():
            self._adopt(job, name, task, run)
        is_cancelled = self._early_cancellations.pop_applicable(
            job_id, request.workspace, row.version
        )
        if is_cancelled and not job.state.ended:
            self._cancel_job(job)

    def _adopt(
        self, job: JobProgress, name: TaskName, task: TaskProgress, run: OpenRun
    ) -> None:
        """Track an open run that an earlier leader started."""
        link = self._workers.find_or_add(run.worker, run.incarnation_ms, run.machine)
        tracked = TrackedRun(
            name,
            task,
            run,
            job.request.steps[name.step],
            resolved_s=float("-inf"),
            adopted=True,
        )
        link.add_run(tracked)
        if run.incarnation_ms != link.incarnation_ms:
            # Its start order may have reached the later incarnation and granted that
            # one the longest lease there is.
            longest_lease_s = self._context.timing.longest_lease_s
            link.lease.assume_granted(longest_lease_s, self._clock.monotonic())
        if job.state.ended:
            self._orders.stop(link, tracked, "the job has ended")

    def _apply_cancellation(self, row: Row, cancellation: Cancellation) -> None:
        job = self.jobs.get(cancellation.job_id)
        if (
            job is None
            or job.state.ended
            or not cancellation.applies_to(job.request.workspace)
        ):
            # An ended job may be about to be replaced by another one of its ID.
            self._early_cancellations.record(row)
        elif row.version > self._request_versions[job.job_id]:
            self._cancel_job(job)

    def _cancel_job(self, job: JobProgress) -> None:
        self._log.write("coordinator", "cancelled", id=job.job_id, state=job.state)
        self._orders.end_job(job, JobState.CANCELLED, "cancelled by the caller")

    async def _cleanup_loop(self) -> None:
        while True:
            await self._clock.sleep(CLEANUP_INTERVAL_S)
            self._forget_removed_jobs()
            await self._early_cancellations.remove_expired()
            for job in list(self.jobs.values()):
                if self._is_expired(job):
                    await self._remove_job(job)
            for job_id in list(self._unmatched_progress):
                # An earlier leader removed the request but not the progress.
                if await self._progress_writer.remove(job_id):
                    self._unmatched_progress.pop(job_id, None)

    def _forget_removed_jobs(self) -> None:
        """Forget removed jobs that no read of the inbox can return any more.

        The reads follow each other, so none from before the removal is open once a
        later one has been answered.
        """
        age_s = self._inbox.age_s
        now_s = self._clock.monotonic()
        self._removed = {
            job_id: removed
            for job_id, removed in self._removed.items()
            if now_s - removed.removed_s <= age_s
        }

    async def _remove_job(self, job: JobProgress) -> None:
        job_id = job.job_id
        version = self._request_versions[job_id]
        if not await self._progress_writer.remove_job(job, version):
            return
        self._removed[job_id] = _RemovedJob(version, self._clock.monotonic())
        del self.jobs[job_id]
        del self._request_versions[job_id]
        row = self._submitted_again.pop(job_id, None)
        if row is not None:
            self._admit(job_id, row)
            self._plan_due.set()

    def _is_expired(self, job: JobProgress) -> bool:
        # Counted on the monotonic clock, since wall clocks are set and differ.
        age_s = self._progress_writer.find_end_age_s(job.job_id)
        if age_s is None or age_s <= self._context.timing.keep_ended_s:
            return False
        return not any(job.open_runs())


def _decode_job(row: Row, stored: StoredJob | None) -> JobProgress:
    """Return a job from its request and its progress, None if it has none yet."""
    request = decode_request(row.value)
    if stored is None or stored.header is None:
        return JobProgress(request)
    header = stored.header
    return decode_progress(request, header.value, header.version, stored.part_texts)


def _decode_steps(row: Row) -> tuple[Step, ...]:
    """Return the steps of a request, none if it can't be decoded."""
    try:
        return decode_request(row.value).steps
    except DECODE_ERRORS:
        return ()
