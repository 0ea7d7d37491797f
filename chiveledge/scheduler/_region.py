"""The leader of one region: accepts and places jobs and runs their attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from chiveledge.cells import GuaranteeRisk, WorkerSize
from chiveledge.clock import Clock, run_with_timeout
from chiveledge.configuration import Document
from chiveledge.drains import KnownDrains
from chiveledge.events import Timeline
from chiveledge.jobs import Attempt, Job, JobState
from chiveledge.leadership import Leadership
from chiveledge.logs import PartLogger
from chiveledge.metrics import Metrics
from chiveledge.scheduler._attempt_outcomes import Cancelled, Reclaimed
from chiveledge.scheduler._attempt_runner import AttemptRunner
from chiveledge.scheduler._cancellations import CancellationHandler
from chiveledge.scheduler._drain_follower import DrainFollower
from chiveledge.scheduler._failure_tracker import FailureTracker
from chiveledge.scheduler._inbox import STORE_RETRY_S, InboxReader, parse_job_id
from chiveledge.scheduler._job_repository import JobRepository
from chiveledge.scheduler._planner import PlannedStart, Planner
from chiveledge.scheduler._pressure import (
    StopAttempt,
    ThrottleAttempt,
    choose_pressure_actions,
    is_overcommitted,
)
from chiveledge.scheduler._worker_session import WorkerSession
from chiveledge.services import (
    GroupCommit,
    ObjectStore,
    TableService,
    Worker,
)
from chiveledge.settings import TimingSettings
from chiveledge.types import AttemptId, DomainName, JobId, RegionName, WorkerName

CLEANUP_INTERVAL_S = 60.0
PLACEMENT_INTERVAL_S = 1.0
RESTART_PAUSE_S = 0.2
log = PartLogger("scheduler")


class ListedWorker(NamedTuple):
    """Entry of a worker in the host list."""

    size: WorkerSize
    url: str
    leaving: bool
    domain: DomainName = ""


class RegionContext(NamedTuple):
    """Services and settings of a region's leader."""

    region: RegionName
    table: TableService
    objects: ObjectStore
    clock: Clock
    timeline: Timeline
    metrics: Metrics
    timing: TimingSettings
    make_worker: Callable[[str], Worker]


class RegionLeader:
    """Leads one region until the leadership is lost.

    Parameters
    ----------
    context : RegionContext
        Services and settings.
    leadership : Leadership
        Leadership of the region, which this process has won.
    document : Document
        Configuration in force.
    workers : sequence of ListedWorker
        The region's workers in the host list.
    """

    def __init__(
        self,
        context: RegionContext,
        leadership: Leadership,
        document: Document,
        workers: Sequence[ListedWorker],
    ) -> None:
        self._context = context
        self._leadership = leadership
        self._document = document
        self._failure_tracker = FailureTracker()
        writes = GroupCommit(
            context.table, context.clock, context.metrics, timeout_s=float("inf")
        )
        self._writes = writes
        self._repository = JobRepository(
            writes, context.objects, leadership, self._failure_tracker, context.clock
        )
        self._drains = DrainFollower(
            context.table,
            context.clock,
            context.metrics,
            context.region,
            max_age_s=context.timing.drains_stale_s,
        )
        self._inbox = InboxReader(context.table, context.clock, context.region)
        self._cancellations = CancellationHandler(
            self._inbox,
            self._repository,
            writes,
            leadership,
            context.clock,
            self._cancel,
        )
        self._sessions: dict[WorkerName, WorkerSession] = {}
        self._listed_workers = tuple(workers)
        self._planner = Planner(
            context.region, [worker.size for worker in workers], document
        )
        self._runners: dict[AttemptId, AttemptRunner] = {}
        self._runners_by_worker: dict[WorkerName, dict[AttemptId, AttemptRunner]] = {}
        self._planned_jobs: set[JobId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake_inbox = asyncio.Event()
        self._wake_placement = asyncio.Event()
        self._guarantees_at_risk: tuple[GuaranteeRisk, ...] = ()
        self._loaded = False
        self._attempt_number = 0
        self._unavailable: set[WorkerName] = set()
        self._unreported: set[WorkerName] = set()
        self._worker_statuses: dict[WorkerName, tuple[bool, bool]] = {}

    @property
    def planner(self) -> Planner:
        """Planner of the region, for status."""
        return self._planner

    @property
    def jobs(self) -> dict[JobId, Job]:
        """Known jobs by ID, for status."""
        return self._repository.jobs

    @property
    def guarantees_at_risk(self) -> tuple[GuaranteeRisk, ...]:
        """Guaranteed cells that do not fit into the healthy workers."""
        return self._guarantees_at_risk

    @property
    def has_loaded(self) -> bool:
        """Whether the drains and the jobs of the region have been read."""
        return self._loaded

    @property
    def drains(self) -> KnownDrains:
        """Drains of failure domains as this leader knows them."""
        return self._drains.known

    def explain_waiting(self, job: Job) -> str:
        """Return a message for a job's owner that says why the job waits."""
        drains = self._drains.known
        if not drains.is_current:
            return f"nothing starts: drains were last read {drains.age_s:.0f} s ago"
        reason = self._planner.explain_waiting(job)
        drained = self._list_drained_sessions()
        if not drained:
            return reason
        domains = ", ".join(sorted({session.domain for session in drained}))
        return (
            f"{reason}; nothing starts on the {len(drained)} workers of the drained "
            f"failure domains {domains}"
        )

    def count_running_by_domain(self) -> dict[DomainName, int]:
        """Return the number of attempts with members in each drained domain."""
        running = {domain: 0 for domain in self._drains.known.drains}
        for runner in self._runners.values():
            domains = {self._sessions[w].domain for w in runner.attempt.workers}
            for domain in domains & running.keys():
                running[domain] += 1
        return running

    def notify_new_job(self) -> None:
        """Read the inbox now rather than at the next poll."""
        self._wake_inbox.set()

    def set_document(self, document: Document) -> None:
        """Apply another configuration."""
        self._document = document
        self._rebuild()

    def set_workers(self, workers: Sequence[ListedWorker]) -> None:
        """Apply a change of the region's workers in the host list."""
        sizes_before = {worker.size for worker in self._listed_workers}
        self._listed_workers = tuple(workers)
        for worker in workers:
            self._ensure_session(worker)
        if {worker.size for worker in workers} != sizes_before:
            self._rebuild()
        self._update_availability()

    async def run(self) -> None:
        """Lead until the leadership is lost."""
        started_s = self._context.clock.monotonic()
        loops = [self._renew_loop()]
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            await self._load()
            elapsed_s = self._context.clock.monotonic() - started_s
            self._context.metrics.observe("rebuild_s", elapsed_s)
            rest = (
                self._inbox_loop(),
                self._placement_loop(),
                self._drain_loop(),
                self._cleanup_loop(),
            )
            tasks += [asyncio.create_task(loop) for loop in rest]
            while self._leadership.epoch:
                ended = asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                await run_with_timeout(self._context.clock, ended, RESTART_PAUSE_S)
                for task in tasks:
                    if task.done():
                        task.result()
        finally:
            for task in [*tasks, *self._tasks]:
                task.cancel()
            await asyncio.gather(*tasks, *self._tasks, return_exceptions=True)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("A task raised an exception.", error=repr(task.exception()))
            self._leadership.step_down(
                f"a task raised an exception: {task.exception()!r}"
            )

    async def _renew_loop(self) -> None:
        while self._leadership.epoch:
            await self._context.clock.sleep(self._context.timing.leader_renew_s)
            if self._leadership.epoch:
                await self._leadership.renew()

    async def _load(self) -> None:
        """Read all job rows of the region, and adopt the running attempts.

        An adopted attempt may have members to start, so the drains are read first.
        """
        await self._read_first_drains()
        jobs = self._repository.load(await self._inbox.scan_jobs())
        for worker in self._listed_workers:
            self._ensure_session(worker)
        for job in jobs:
            if job.state is JobState.RUNNING:
                self._adopt(job)
            await self._reject_infeasible(job)
        self._loaded = True
        self._update_guarantees_at_risk()
        log.info("Loaded the region.", region=self._context.region, jobs=len(jobs))

    async def _read_first_drains(self) -> None:
        await self._drains.refresh()
        while not self._drains.was_read:
            await self._context.clock.sleep(STORE_RETRY_S)
            await self._drains.refresh()

    async def _drain_loop(self) -> None:
        while True:
            await self._context.clock.sleep(self._context.timing.drains_poll_s)
            if await self._drains.refresh():
                self._update_availability()
                self._wake_placement.set()

    def _adopt(self, job: Job) -> None:
        attempt = job.attempt
        for worker in attempt.workers:
            if worker not in self._sessions:
                self._add_unlisted_session(worker)
        self._planner.adopt(job)
        runner = self._make_runner(job, attempt)
        self._spawn(self._supervise(runner, runner.run_adopted()))

    def _add_unlisted_session(self, worker: WorkerName) -> None:
        """Add a session, marked as lost, with a worker that left the host list.

        Its empty rack makes `_ensure_session` replace it once the worker is listed.
        """
        size = WorkerSize(worker, "", 0, 0, 0)
        session = self._make_session(ListedWorker(size, "http://0.0.0.0:1", True))
        session.mark_lost()
        self._sessions[worker] = session

    def _make_runner(self, job: Job, attempt: Attempt) -> AttemptRunner:
        runner = AttemptRunner(
            job,
            attempt,
            self._sessions,
            self._drains,
            self._leadership,
            self._repository,
            self._context.clock,
            self._context.timeline,
            self._context.timing,
        )
        self._runners[attempt.attempt_id] = runner
        for worker in attempt.workers:
            self._runners_by_worker.setdefault(worker, {})[attempt.attempt_id] = runner
        return runner

    async def _supervise(
        self, runner: AttemptRunner, execution: Awaitable[None]
    ) -> None:
        """Await the end of an attempt, then free its allocation."""
        await execution
        self._runners.pop(runner.attempt_id, None)
        for worker in runner.attempt.workers:
            self._runners_by_worker[worker].pop(runner.attempt_id, None)
        self._planner.release(runner.attempt_id)
        self._planned_jobs.discard(runner.job.job_id)
        self._update_availability()
        if runner.job.state is JobState.QUEUED:
            await self._context.clock.sleep(RESTART_PAUSE_S)
        self._wake_placement.set()

    async def _inbox_loop(self) -> None:
        while True:
            await self._read_inbox()
            await self._cancellations.apply_all()
            await self._wait_for(self._wake_inbox, self._context.timing.inbox_poll_s)

    async def _read_inbox(self) -> None:
        keys = await self._inbox.scan_notices()
        if keys is None:
            return
        known = self._repository.jobs
        rows, unread = await self._inbox.read_jobs(
            [key for key in keys if parse_job_id(key) not in known]
        )
        new_jobs = self._repository.load(rows)
        for job in new_jobs:
            await self._reject_infeasible(job)
        deletes = tuple(key for key in keys if key not in unread)
        if deletes:
            await self._writes.commit(checks=(self._leadership.fence,), deletes=deletes)
        if new_jobs:
            self._wake_placement.set()

    async def _reject_infeasible(self, job: Job) -> None:
        reason = self._planner.explain_infeasible(job.spec)
        if reason and job.state is JobState.QUEUED:
            await self._repository.commit_rejection(job, reason)

    async def _cancel(self, job: Job) -> None:
        for runner in self._runners.values():
            if runner.job.job_id == job.job_id:
                runner.request_end(Cancelled())
                return
        await self._repository.commit_cancellation(job)
        self._context.timeline.add(
            "scheduler", "job_cancelled", job.job_id, epoch=self._leadership.epoch
        )

    async def _placement_loop(self) -> None:
        while True:
            if self._leadership.valid and self._drains.known.is_current:
                self._place_waiting()
            await self._wait_for(self._wake_placement, PLACEMENT_INTERVAL_S)

    def _place_waiting(self) -> None:
        waiting = [
            job
            for job in self._repository.jobs.values()
            if job.state is JobState.QUEUED and job.job_id not in self._planned_jobs
        ]
        self._update_availability()
        started_s = self._context.clock.monotonic()
        starts = self._planner.plan(
            waiting, self._context.clock.now(), make_attempt_id=self._make_attempt_id
        )
        for start in starts:
            self._start_attempt(start)
        if starts:
            elapsed_s = self._context.clock.monotonic() - started_s
            self._context.metrics.observe("placement_s", elapsed_s / len(starts))

    def _make_attempt_id(self, job: Job) -> AttemptId:
        self._attempt_number += 1
        return f"{job.job_id}~{self._leadership.epoch}.{self._attempt_number}"

    def _start_attempt(self, start: PlannedStart) -> None:
        now = self._context.clock.now()
        attempt = Attempt(
            start.attempt_id, self._leadership.epoch, now, start.members, start.cells
        )
        self._planned_jobs.add(start.job.job_id)
        runner = self._make_runner(start.job, attempt)
        self._failure_tracker.record_placement(
            attempt.workers, self._context.clock.monotonic()
        )
        execution = runner.run_planned(start, lambda: self._stop_victims(start))
        self._spawn(self._supervise(runner, execution))

    async def _stop_victims(self, start: PlannedStart) -> None:
        """Reclaim the cells of a planned start, and wait until its victims end."""
        started_s = self._context.clock.monotonic()
        victims = [
            self._runners[name] for name in start.victims if name in self._runners
        ]
        for victim in victims:
            victim.request_end(Reclaimed(f"reclaimed for {start.job.workspace}"))
        await asyncio.gather(*(victim.wait_ended() for victim in victims))
        elapsed_s = self._context.clock.monotonic() - started_s
        self._context.metrics.observe("reclaim_s", elapsed_s)

    async def _cleanup_loop(self) -> None:
        while True:
            await self._context.clock.sleep(CLEANUP_INTERVAL_S)
            await self._repository.delete_ended()

    async def _wait_for(self, event: asyncio.Event, timeout_s: float) -> None:
        """Wait for an event or a timeout, then clear the event."""
        await run_with_timeout(self._context.clock, event.wait(), timeout_s)
        event.clear()

    def _ensure_session(self, worker: ListedWorker) -> None:
        session = self._sessions.get(worker.size.name)
        if session is None or not session.size.rack:
            session = self._make_session(worker)
            self._sessions[session.name] = session
            self._spawn(session.run())
        session.leaving = worker.leaving
        session.domain = worker.domain

    def _make_session(self, worker: ListedWorker) -> WorkerSession:
        return WorkerSession(
            worker.size,
            self._context.make_worker(worker.url),
            self._context.region,
            self._leadership,
            self._context.clock,
            self._context.timing,
            self._handle_worker_change,
        )

    def _handle_worker_change(self, session: WorkerSession) -> None:
        for runner in self._runners_by_worker.get(session.name, {}).values():
            runner.notify()
        if self._loaded:
            self._stop_orphans(session)
            self._handle_pressure(session)
        status = (session.lost, session.has_reported)
        if self._worker_statuses.get(session.name) != status:
            self._worker_statuses[session.name] = status
            self._update_availability()

    def _stop_orphans(self, session: WorkerSession) -> None:
        """Stop and forget tasks of attempts that this leader does not run."""
        known = self._runners
        orphans = {task.attempt for task in session.tasks.values()} - known.keys()
        if orphans and self._leadership.valid:
            self._spawn(self._clear_orphans(session, tuple(sorted(orphans))))

    async def _clear_orphans(
        self, session: WorkerSession, attempts: tuple[AttemptId, ...]
    ) -> None:
        order = session.make_order(*attempts)
        stopped = await session.worker.stop(order)
        if stopped.is_ok():
            await session.worker.forget(order)

    def _handle_pressure(self, session: WorkerSession) -> None:
        runners = self._runners_by_worker.get(session.name, {})
        tasks = session.tasks.values()
        if not is_overcommitted(session.size, tasks):
            return
        declared = {
            (runner.attempt_id, member.member): member
            for runner in runners.values()
            for member in runner.attempt.members
            if member.worker == session.name
        }
        borrowers = {
            runner.attempt_id for runner in runners.values() if runner.attempt.borrowed
        }
        for action in choose_pressure_actions(session.size, tasks, declared, borrowers):
            match action:
                case ThrottleAttempt(attempt):
                    self._spawn(self._throttle(session, attempt))
                case StopAttempt(attempt):
                    self._runners[attempt].request_end(
                        Reclaimed(f"used more memory than declared on {session.name}")
                    )

    async def _throttle(self, session: WorkerSession, attempt: AttemptId) -> None:
        await session.worker.throttle(session.make_order(attempt))

    def _update_availability(self) -> None:
        now_s = self._context.clock.monotonic()
        unavailable = {
            session.name
            for session in self._sessions.values()
            if session.lost or session.leaving
        }
        unavailable |= self._failure_tracker.list_quarantined(now_s)
        # As on leaving workers, gangs go on there, and guarantees are reclaimed on
        # what is left.
        unavailable |= {session.name for session in self._list_drained_sessions()}
        unreported = {
            session.name
            for session in self._sessions.values()
            if not session.has_reported and not session.lost
        }
        if unreported != self._unreported:
            self._unreported = unreported
            self._planner.set_excluded(unreported)
            self._wake_placement.set()
        if unavailable == self._unavailable:
            return
        self._unavailable = unavailable
        self._planner.set_unavailable(unavailable)
        self._update_guarantees_at_risk()
        self._wake_placement.set()

    def _list_drained_sessions(self) -> list[WorkerSession]:
        """Return the sessions with workers in drained failure domains."""
        drains = self._drains.known.drains
        return [s for s in self._sessions.values() if s.domain in drains]

    def _update_guarantees_at_risk(self) -> None:
        at_risk = tuple(self._planner.list_guarantees_at_risk())
        if at_risk == self._guarantees_at_risk:
            return
        self._guarantees_at_risk = at_risk
        detail = "; ".join(
            f"{r.workspace} lacks {r.missing}x{r.shape.size}" for r in at_risk
        )
        name = "guarantee_at_risk" if at_risk else "guarantees_healed"
        self._context.timeline.add(
            "scheduler",
            name,
            self._context.region,
            epoch=self._leadership.epoch,
            detail=detail,
        )
        log.warning(
            "Guarantees at risk changed.", region=self._context.region, at_risk=detail
        )

    def _rebuild(self) -> None:
        self._planner.rebuild(
            [worker.size for worker in self._listed_workers], self._document
        )
        self._update_availability()
        self._update_guarantees_at_risk()
        self._wake_placement.set()
