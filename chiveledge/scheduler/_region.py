"""The leader of one region: takes jobs in, places them and follows their gangs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from result import Err, Ok

from chiveledge.cells import GuaranteeRisk, WorkerSize
from chiveledge.clock import Clock, run_with_timeout
from chiveledge.configuration import Document
from chiveledge.events import Timeline
from chiveledge.jobs import Attempt, Job, JobState
from chiveledge.leadership import Leadership
from chiveledge.logs import PartLogger
from chiveledge.metrics import Metrics
from chiveledge.scheduler._blame import BlameLedger
from chiveledge.scheduler._book import JobRows
from chiveledge.scheduler._endings import Cancelled, Reclaimed
from chiveledge.scheduler._gang import GangRun
from chiveledge.scheduler._planner import PlannedStart, Planner
from chiveledge.scheduler._pressure import (
    StopAttempt,
    ThrottleAttempt,
    choose_relief,
    is_short,
)
from chiveledge.scheduler._worker_link import WorkerLink
from chiveledge.services import GroupCommit, ObjectStore, TableService, Worker
from chiveledge.settings import TimingSettings
from chiveledge.types import AttemptId, JobId, RegionName, WorkerName

STORE_RETRY_S = 0.3
CLEAN_EVERY_S = 60.0
PLACE_AGAIN_S = 1.0
RESTART_PAUSE_S = 0.2
FULL_SCAN_ABOVE = 50

log = PartLogger("scheduler")


class ListedWorker(NamedTuple):
    """A worker of the region as the host list has it."""

    size: WorkerSize
    url: str
    leaving: bool


class RegionContext(NamedTuple):
    """What a region's leader is given."""

    region: RegionName
    table: TableService
    objects: ObjectStore
    clock: Clock
    timeline: Timeline
    metrics: Metrics
    timing: TimingSettings
    make_worker: Callable[[str], Worker]


class RegionLeader:
    """Leads one region for as long as the leadership lasts.

    Parameters
    ----------
    context : RegionContext
        Services and settings.
    leadership : Leadership
        Held by this process.
    document : Document
        The configuration in force.
    workers : sequence of ListedWorker
        Workers of the region.
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
        self._blame = BlameLedger()
        writes = GroupCommit(
            context.table, context.clock, context.metrics, patience_s=float("inf")
        )
        self._writes = writes
        self._rows = JobRows(
            writes, context.objects, leadership, self._blame, context.clock
        )
        self._links: dict[WorkerName, WorkerLink] = {}
        self._listed = tuple(workers)
        self._planner = Planner(
            context.region, [worker.size for worker in workers], document
        )
        self._runs: dict[AttemptId, GangRun] = {}
        self._runs_of_worker: dict[WorkerName, dict[AttemptId, GangRun]] = {}
        self._planned: set[JobId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake_inbox = asyncio.Event()
        self._wake_placing = asyncio.Event()
        self._risks: tuple[GuaranteeRisk, ...] = ()
        self._loaded = False
        self._attempt_number = 0
        self._lost: set[WorkerName] = set()
        self._silent: set[WorkerName] = set()
        self._statuses: dict[WorkerName, tuple[bool, bool]] = {}

    @property
    def planner(self) -> Planner:
        """Placement decisions, for status."""
        return self._planner

    @property
    def jobs(self) -> dict[JobId, Job]:
        """Known jobs, for status."""
        return self._rows.jobs

    @property
    def risks(self) -> tuple[GuaranteeRisk, ...]:
        """Guarantees at risk now."""
        return self._risks

    def notice_job(self) -> None:
        """Look into the inbox now."""
        self._wake_inbox.set()

    def set_document(self, document: Document) -> None:
        """Take another configuration into force."""
        self._document = document
        self._rebuild()

    def set_workers(self, workers: Sequence[ListedWorker]) -> None:
        """Take in the host list's workers of the region."""
        sizes_before = {worker.size for worker in self._listed}
        self._listed = tuple(workers)
        for worker in workers:
            self._link_worker(worker)
        if {worker.size for worker in workers} != sizes_before:
            self._rebuild()
        self._update_lost()

    async def run(self) -> None:
        """Lead until the leadership is lost."""
        started_s = self._context.clock.monotonic()
        loops = [self._renew_loop()]
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            await self._load()
            took_s = self._context.clock.monotonic() - started_s
            self._context.metrics.observe("rebuild_s", took_s)
            rest = (self._inbox_loop(), self._place_loop(), self._clean_loop())
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
            log.error("A task broke.", error=repr(task.exception()))
            self._leadership.step_down(f"a task broke: {task.exception()!r}")

    async def _renew_loop(self) -> None:
        while self._leadership.epoch:
            await self._context.clock.sleep(self._context.timing.leader_renew_s)
            if self._leadership.epoch:
                await self._leadership.renew()

    async def _load(self) -> None:
        """Read all rows of the region and adopt the gangs that run."""
        jobs = self._rows.load(await self._scan_jobs())
        for worker in self._listed:
            self._link_worker(worker)
        for job in jobs:
            if job.state is JobState.RUNNING:
                self._adopt(job)
            await self._refuse_impossible(job)
        self._loaded = True
        self._update_risks()
        log.info("Loaded the region.", region=self._context.region, jobs=len(jobs))

    async def _scan_jobs(self) -> list:
        prefix = f"job/{self._context.region}/"
        while True:
            match await self._context.table.scan(prefix):
                case Ok(rows):
                    return rows
                case Err(_):
                    await self._context.clock.sleep(STORE_RETRY_S)

    def _adopt(self, job: Job) -> None:
        attempt = job.attempt
        for worker in attempt.workers:
            if worker not in self._links:
                self._add_unlisted(worker)
        self._planner.adopt(job)
        run = self._make_run(job, attempt)
        self._spawn(self._follow(run, run.run_adopted()))

    def _add_unlisted(self, worker: WorkerName) -> None:
        size = WorkerSize(worker, "", 0, 0, 0)
        link = self._make_link(ListedWorker(size, "http://0.0.0.0:1", True))
        link.mark_lost()
        self._links[worker] = link

    def _make_run(self, job: Job, attempt: Attempt) -> GangRun:
        run = GangRun(
            job,
            attempt,
            self._links,
            self._leadership,
            self._rows,
            self._context.clock,
            self._context.timeline,
            self._context.timing,
        )
        self._runs[attempt.attempt_id] = run
        for worker in attempt.workers:
            self._runs_of_worker.setdefault(worker, {})[attempt.attempt_id] = run
        return run

    async def _follow(self, run: GangRun, life: Awaitable[None]) -> None:
        """Run an attempt to its end, then free its place."""
        await life
        self._runs.pop(run.attempt_id, None)
        for worker in run.attempt.workers:
            self._runs_of_worker[worker].pop(run.attempt_id, None)
        self._planner.release(run.attempt_id)
        self._planned.discard(run.job.job_id)
        self._update_lost()
        if run.job.state is JobState.QUEUED:
            await self._context.clock.sleep(RESTART_PAUSE_S)
        self._wake_placing.set()

    async def _inbox_loop(self) -> None:
        while True:
            await self._read_inbox()
            await self._read_cancels()
            await self._wait(self._wake_inbox, self._context.timing.inbox_poll_s)

    async def _read_inbox(self) -> None:
        region = self._context.region
        match await self._context.table.scan(f"inbox/{region}/"):
            case Err(_):
                return
            case Ok(notices):
                keys = [row.key for row in notices]
        unknown = [key for key in keys if _job_of(key) not in self._rows.jobs]
        fresh = self._rows.load(await self._read_jobs(unknown))
        for job in fresh:
            await self._refuse_impossible(job)
        if keys:
            await self._writes.commit(
                checks=(self._leadership.fence,), deletes=tuple(keys)
            )
        if fresh:
            self._wake_placing.set()

    async def _read_jobs(self, inbox_keys: list[str]) -> list:
        if len(inbox_keys) > FULL_SCAN_ABOVE:
            return await self._scan_jobs()
        keys = [f"job/{self._context.region}/{_job_of(key)}" for key in inbox_keys]
        results = await asyncio.gather(*(self._context.table.read(k) for k in keys))
        return [row for result in results if (row := result.unwrap_or(None))]

    async def _refuse_impossible(self, job: Job) -> None:
        why = self._planner.explain_never(job.spec)
        if why and job.state is JobState.QUEUED:
            await self._rows.commit_refusal(job, why)

    async def _read_cancels(self) -> None:
        region = self._context.region
        match await self._context.table.scan(f"cancel/{region}/"):
            case Ok(rows):
                ids = [_job_of(row.key) for row in rows]
            case Err(_):
                return
        await asyncio.gather(*(self._cancel(job_id) for job_id in ids))

    async def _cancel(self, job_id: JobId) -> None:
        for run in self._runs.values():
            if run.job.job_id == job_id:
                run.request_end(Cancelled())
                return
        job = self._rows.jobs.get(job_id)
        if job is not None and not job.state.ended:
            await self._rows.commit_cancel(job)
            self._context.timeline.add(
                "scheduler", "job_cancelled", job_id, epoch=self._leadership.epoch
            )
            return
        key = f"cancel/{self._context.region}/{job_id}"
        await self._writes.commit(checks=(self._leadership.fence,), deletes=(key,))

    async def _place_loop(self) -> None:
        while True:
            if self._leadership.valid:
                self._place_waiting()
            await self._wait(self._wake_placing, PLACE_AGAIN_S)

    def _place_waiting(self) -> None:
        waiting = [
            job
            for job in self._rows.jobs.values()
            if job.state is JobState.QUEUED and job.job_id not in self._planned
        ]
        self._update_lost()
        started_s = self._context.clock.monotonic()
        starts = self._planner.plan(
            waiting, self._context.clock.now(), make_attempt_id=self._name_attempt
        )
        for start in starts:
            self._begin(start)
        if starts:
            took_s = self._context.clock.monotonic() - started_s
            self._context.metrics.observe("placement_s", took_s / len(starts))

    def _name_attempt(self, job: Job) -> AttemptId:
        self._attempt_number += 1
        return f"{job.job_id}~{self._leadership.epoch}.{self._attempt_number}"

    def _begin(self, start: PlannedStart) -> None:
        now = self._context.clock.now()
        attempt = Attempt(
            start.attempt_id, self._leadership.epoch, now, start.members, start.cells
        )
        self._planned.add(start.job.job_id)
        run = self._make_run(start.job, attempt)
        self._blame.probed(attempt.workers, self._context.clock.monotonic())
        life = run.run_planned(start, lambda: self._stop_victims(start))
        self._spawn(self._follow(run, life))

    async def _stop_victims(self, start: PlannedStart) -> None:
        """Reclaim the place of a guaranteed gang from borrowers."""
        started_s = self._context.clock.monotonic()
        victims = [self._runs[name] for name in start.victims if name in self._runs]
        for victim in victims:
            victim.request_end(Reclaimed(f"reclaimed for {start.job.workspace}"))
        await asyncio.gather(*(victim.wait_ended() for victim in victims))
        took_s = self._context.clock.monotonic() - started_s
        self._context.metrics.observe("reclaim_s", took_s)

    async def _clean_loop(self) -> None:
        while True:
            await self._context.clock.sleep(CLEAN_EVERY_S)
            await self._rows.delete_ended()

    async def _wait(self, event: asyncio.Event, seconds: float) -> None:
        """Wait for an event, or until a time has passed."""
        await run_with_timeout(self._context.clock, event.wait(), seconds)
        event.clear()

    def _link_worker(self, worker: ListedWorker) -> None:
        link = self._links.get(worker.size.name)
        if link is None or not link.size.rack:
            link = self._make_link(worker)
            self._links[link.name] = link
            self._spawn(link.run())
        link.leaving = worker.leaving

    def _make_link(self, worker: ListedWorker) -> WorkerLink:
        return WorkerLink(
            worker.size,
            self._context.make_worker(worker.url),
            self._context.region,
            self._leadership,
            self._context.clock,
            self._context.timing,
            self._on_report,
        )

    def _on_report(self, link: WorkerLink) -> None:
        for run in self._runs_of_worker.get(link.name, {}).values():
            run.notify()
        if self._loaded:
            self._stop_orphans(link)
            self._relieve(link)
        status = (link.lost, link.synced)
        if self._statuses.get(link.name) != status:
            self._statuses[link.name] = status
            self._update_lost()

    def _stop_orphans(self, link: WorkerLink) -> None:
        """Stop and forget tasks of attempts that no row of ours names."""
        known = self._runs
        orphans = {task.attempt for task in link.tasks.values()} - known.keys()
        if orphans and self._leadership.valid:
            self._spawn(self._clear_orphans(link, tuple(sorted(orphans))))

    async def _clear_orphans(
        self, link: WorkerLink, attempts: tuple[AttemptId, ...]
    ) -> None:
        order = link.make_order(*attempts)
        stopped = await link.worker.stop(order)
        if stopped.is_ok():
            await link.worker.forget(order)

    def _relieve(self, link: WorkerLink) -> None:
        runs = self._runs_of_worker.get(link.name, {})
        tasks = link.tasks.values()
        if not is_short(link.size, tasks):
            return
        declared = {
            (run.attempt_id, member.member): member
            for run in runs.values()
            for member in run.attempt.members
            if member.worker == link.name
        }
        borrowers = {run.attempt_id for run in runs.values() if run.attempt.borrowed}
        for relief in choose_relief(link.size, tasks, declared, borrowers):
            match relief:
                case ThrottleAttempt(attempt):
                    self._spawn(self._throttle(link, attempt))
                case StopAttempt(attempt):
                    self._runs[attempt].request_end(
                        Reclaimed(f"used more memory than declared on {link.name}")
                    )

    async def _throttle(self, link: WorkerLink, attempt: AttemptId) -> None:
        await link.worker.throttle(link.make_order(attempt))

    def _update_lost(self) -> None:
        now_s = self._context.clock.monotonic()
        lost = {link.name for link in self._links.values() if link.lost or link.leaving}
        lost |= self._blame.quarantined(now_s)
        silent = {
            link.name
            for link in self._links.values()
            if not link.synced and not link.lost
        }
        if silent != self._silent:
            self._silent = silent
            self._planner.set_avoided(silent)
            self._wake_placing.set()
        if lost == self._lost:
            return
        self._lost = lost
        self._planner.set_lost(lost)
        self._update_risks()
        self._wake_placing.set()

    def _update_risks(self) -> None:
        risks = tuple(self._planner.at_risk())
        if risks == self._risks:
            return
        self._risks = risks
        detail = "; ".join(
            f"{r.workspace} misses {r.missing}x{r.shape.size}" for r in risks
        )
        name = "guarantee_at_risk" if risks else "guarantees_healed"
        self._context.timeline.add(
            "scheduler",
            name,
            self._context.region,
            epoch=self._leadership.epoch,
            detail=detail,
        )
        log.warning("Guarantees changed.", region=self._context.region, at_risk=detail)

    def _rebuild(self) -> None:
        self._planner.rebuild([worker.size for worker in self._listed], self._document)
        self._update_lost()
        self._update_risks()
        self._wake_placing.set()


def _job_of(key: str) -> JobId:
    return key.rpartition("/")[2]
