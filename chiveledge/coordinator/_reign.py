"""What a leader does from its takeover until it loses the leadership."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable

from result import Err, Ok

from chiveledge.coordinator._advice import AdviceBook
from chiveledge.coordinator._context import ReignContext
from chiveledge.coordinator._ledger import PROGRESS_PREFIX, Ledger
from chiveledge.coordinator._orders import OrderDesk
from chiveledge.coordinator._planning import PlanningDesk
from chiveledge.coordinator._runtimes import RunTimes
from chiveledge.coordinator._settlement import Settlement
from chiveledge.coordinator._upkeep import UpkeepDesk
from chiveledge.coordinator._worker_link import TrackedRun, WorkerLink
from chiveledge.coordinator._workers import LOOK_RETRY_S, WorkerDirectory
from chiveledge.intake import (
    CANCEL_SUFFIX,
    INBOX_PREFIX,
    TableFollower,
    is_cancel_key,
)
from chiveledge.leadership import Leadership
from chiveledge.placement import WorkerSuspicion
from chiveledge.services import Row, name_of
from chiveledge.workload import (
    JobProgress,
    JobState,
    OpenRun,
    TaskName,
    TaskProgress,
    decode_progress,
    decode_request,
)

CLEAN_EVERY_S = 10.0

READING_S = 60.0
"""Longest time after which a reading may still show rows that were removed since."""


class Reign:
    """Leads the jobs and workers of a shard.

    Parameters
    ----------
    context : ReignContext
        Stores, clients, clock and bounds.
    leadership : Leadership
        Held by this process.
    """

    def __init__(self, context: ReignContext, leadership: Leadership) -> None:
        self.jobs: dict[str, JobProgress] = {}
        self.links: dict[str, WorkerLink] = {}
        self._context = context
        self._leadership = leadership
        self._clock = context.clock
        self._log = context.log
        self._ended = asyncio.Event()
        self._why = ""
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        self._began_s = self._clock.monotonic()
        self._stored: dict[str, Row] = {}
        self._cancel_wanted: set[str] = set()
        self._removed: dict[str, float] = {}
        suspicion = WorkerSuspicion()
        run_times = RunTimes()
        self._ledger = Ledger(
            context.table,
            leadership,
            self._clock,
            self._log,
            context.metrics,
            self.end,
        )
        self._advice = AdviceBook(context.advice, self._clock, self._log, self._wake)
        self._orders = OrderDesk(
            context,
            leadership,
            self._ledger,
            self._advice,
            self.jobs,
            self.links,
            self._spawn,
            self._wake.set,
            self.end,
        )
        settlement = Settlement(
            context, self._ledger, self._orders, self.jobs, suspicion, run_times
        )
        self._workers = WorkerDirectory(
            context,
            leadership,
            self.links,
            settlement,
            self._orders,
            suspicion,
            self._spawn,
            self._wake.set,
            self.end,
            self._ended.is_set,
        )
        self._upkeep = UpkeepDesk(
            context, leadership, self.links, self.jobs, self._orders
        )
        self._planning = PlanningDesk(
            context,
            leadership,
            self.links,
            self.jobs,
            settlement,
            self._orders,
            self._advice,
            suspicion,
            run_times,
            self._wake,
            self._spawn,
        )

    def end(self, why: str) -> None:
        """Stop leading; nothing is sent any more."""
        if not self._ended.is_set():
            self._why = why
            self._ended.set()

    async def run(self) -> str:
        """Lead until the leadership is lost; return why it was."""
        self._spawn(self._renew_loop())
        self._spawn(self._lead())
        await self._ended.wait()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self.links.values():
            await link.worker.close()
        self._leadership.lose(self._why)
        return self._why

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
        """Renew at a steady pace; a renewal without an answer delays no other."""
        while True:
            await self._clock.sleep(self._context.timing.renew_s)
            self._spawn(self._renew())

    async def _renew(self) -> None:
        await self._leadership.renew()
        if self._leadership.epoch == 0:
            self.end("another process took over")

    async def _lead(self) -> None:
        await self._load_progress()
        self._spawn(self._ledger.run())
        workers = TableFollower(
            self._context.table,
            self._context.worker_prefix,
            self._clock,
            self._log,
            self._workers.on_rows,
        )
        while not await workers.step():
            await self._clock.sleep(LOOK_RETRY_S)
        inbox = TableFollower(
            self._context.table,
            INBOX_PREFIX,
            self._clock,
            self._log,
            self._on_inbox_rows,
        )
        while not await inbox.step():
            await self._clock.sleep(LOOK_RETRY_S)
        self._workers.start_looking()
        self._log.write(
            "coordinator",
            "loaded",
            jobs=len(self.jobs),
            workers=len(self.links),
            took_s=round(self._clock.monotonic() - self._began_s, 3),
        )
        self._spawn(workers.run())
        self._spawn(inbox.run())
        self._spawn(self._clean_loop())
        self._spawn(self._advice.run())
        if self._context.machines is not None:
            self._spawn(self._upkeep.run())
        await self._planning.run()

    async def _load_progress(self) -> None:
        while True:
            match await self._context.table.snapshot(PROGRESS_PREFIX):
                case Ok(snapshot):
                    for row in snapshot.rows:
                        self._stored[row.key.removeprefix(PROGRESS_PREFIX)] = row
                    return
                case Err(_):
                    await self._clock.sleep(LOOK_RETRY_S)

    def _on_inbox_rows(
        self, rows: Iterable[Row], deleted: Iterable[str], whole: bool
    ) -> None:
        for row in rows:
            job_id = name_of(row.key)
            if is_cancel_key(row.key):
                self._want_cancel(job_id.removesuffix(CANCEL_SUFFIX))
            elif job_id not in self.jobs and job_id not in self._removed:
                self._admit(job_id, row)
        self._wake.set()

    def _admit(self, job_id: str, row: Row) -> None:
        request = decode_request(row.value)
        stored = self._stored.pop(job_id, None)
        if stored is None:
            job = JobProgress(request)
            self._planning.note_admitted(job)
        else:
            job = decode_progress(request, stored.value, stored.version)
        self.jobs[job_id] = job
        self._log.write(
            "coordinator", "admitted", id=job_id, state=job.state, known=bool(stored)
        )
        for name, task, run in job.open_runs():
            self._adopt(job, name, task, run)
        if job_id in self._cancel_wanted:
            self._want_cancel(job_id)

    def _adopt(
        self, job: JobProgress, name: TaskName, task: TaskProgress, run: OpenRun
    ) -> None:
        link = self._workers.find_or_add(run.worker, run.born_ms)
        tracked = TrackedRun(
            name,
            task,
            run,
            job.request.steps[name.step],
            settled_s=float("-inf"),
            adopted=True,
        )
        link.add_run(tracked)
        if job.state.ended:
            self._orders.stop(link, tracked, "the job has ended")

    def _want_cancel(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None:
            self._cancel_wanted.add(job_id)
            return
        self._cancel_wanted.discard(job_id)
        if not job.state.ended:
            self._log.write("coordinator", "cancelled", id=job_id, state=job.state)
            self._orders.end_job(job, JobState.CANCELLED, "cancelled by the caller")

    async def _clean_loop(self) -> None:
        while True:
            await self._clock.sleep(CLEAN_EVERY_S)
            now_s = self._clock.monotonic()
            self._removed = {
                job_id: removed_s
                for job_id, removed_s in self._removed.items()
                if now_s - removed_s < READING_S
            }
            for job in list(self.jobs.values()):
                if self._is_outdated(job) and await self._ledger.remove(job.job_id):
                    self._removed[job.job_id] = self._clock.monotonic()
                    del self.jobs[job.job_id]
            for job_id in list(self._stored):
                # An earlier leader removed the request and ended before the rest.
                if await self._ledger.remove(job_id):
                    self._removed[job_id] = self._clock.monotonic()
                    self._stored.pop(job_id, None)

    def _is_outdated(self, job: JobProgress) -> bool:
        now_ms = self._clock.now().timestamp() * 1000
        keep_ms = self._context.timing.keep_ended_s * 1000
        old = job.state.ended and now_ms - job.ended_ms > keep_ms
        return old and not any(job.open_runs())
