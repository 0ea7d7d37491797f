"""What a leader does from its takeover until it loses the leadership."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import NamedTuple

from result import Err, Ok

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.coordinator._advice import AdviceBook, AdviceService, Candidate
from chiveledge.coordinator._demands import list_demands, view_fleet
from chiveledge.coordinator._ledger import PROGRESS_PREFIX, Ledger
from chiveledge.coordinator._orders import OrderDesk
from chiveledge.coordinator._runtimes import RunTimes
from chiveledge.coordinator._settlement import Settlement
from chiveledge.coordinator._timing import CoordinatorTiming
from chiveledge.coordinator._worker_link import (
    CLOCK_RATE,
    TrackedRun,
    WorkerLink,
)
from chiveledge.decision_log import DecisionLog
from chiveledge.intake import TableFollower, is_cancel_key
from chiveledge.intake._desk import CANCEL_SUFFIX, INBOX_PREFIX
from chiveledge.leadership import Leadership
from chiveledge.metrics import Metrics
from chiveledge.placement import (
    Claim,
    FleetView,
    StepDemand,
    WorkerSpeeds,
    WorkerSuspicion,
    make_plan,
    sort_demands,
)
from chiveledge.placement._fleet import charged_usage
from chiveledge.services import Row, Unavailable, WatchedTable
from chiveledge.services.task_worker import (
    Declined,
    DeclineReason,
    HoldRequest,
    TaskWorker,
    WorkerEntry,
)
from chiveledge.workload import (
    Catalogue,
    JobProgress,
    JobState,
    OpenRun,
    RunEnd,
    RunState,
    TaskName,
    Usage,
    decode_progress,
    decode_request,
)

PLAN_AGAIN_S = 0.25
"""Longest pause between two plans; times of rest and patience pass meanwhile."""

GATHER_S = 0.005
"""Pause before a plan, in which events that come together gather."""

LOOK_RETRY_S = 0.2
UNLISTED_GRACE_S = 3.0
ACK_PATIENCE_S = 0.5
CLEAN_EVERY_S = 10.0
CLAIM_PATIENCE_S = 2.5
"""How long stopped work may take to make room before a claim is decided anew."""

FORMER_LEADER_S = 3.0
"""How long a leader that lost its leadership may go on extending leases."""


class ReignContext(NamedTuple):
    """All that a reign works with.

    Attributes
    ----------
    decode_worker : callable
        Returns the entry of a row of the platform's list, or None if it names no
        worker to use.
    make_worker : callable
        Returns the client of a worker.
    catalogue : callable
        Returns the configuration in force.
    advice : AdviceService, optional
        Knows the workers of queues with a policy of their own.
    """

    table: WatchedTable
    worker_prefix: str
    decode_worker: Callable[[Row], WorkerEntry | None]
    make_worker: Callable[[WorkerEntry], TaskWorker]
    catalogue: Callable[[], Catalogue]
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    timing: CoordinatorTiming
    advice: AdviceService | None = None


class PendingClaim(NamedTuple):
    """Tasks that wait for stopped work to make room."""

    claim: Claim
    since_s: float


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
        self._claims: list[PendingClaim] = []
        self._loaded = asyncio.Event()
        self.jobs: dict[str, JobProgress] = {}
        self.links: dict[str, WorkerLink] = {}
        self.suspicion = WorkerSuspicion()
        self.speeds = WorkerSpeeds()
        self.run_times = RunTimes()
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
            self._spawn,
            self._wake.set,
            self.end,
        )
        self._orders.use_links(lambda: self.links)
        self._settlement = Settlement(
            context,
            self._ledger,
            self._orders,
            self.jobs,
            self.suspicion,
            self.run_times,
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
            self._on_worker_rows,
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
        self._loaded.set()
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
        await self._plan_loop()

    async def _load_progress(self) -> None:
        while True:
            match await self._context.table.snapshot(PROGRESS_PREFIX):
                case Ok(snapshot):
                    for row in snapshot.rows:
                        self._stored[row.key.removeprefix(PROGRESS_PREFIX)] = row
                    return
                case Err(_):
                    await self._clock.sleep(LOOK_RETRY_S)

    # Jobs that come in and cancels

    def _on_inbox_rows(
        self, rows: Iterable[Row], deleted: Iterable[str], whole: bool
    ) -> None:
        for row in rows:
            job_id = row.key.removeprefix(INBOX_PREFIX)
            if is_cancel_key(row.key):
                self._want_cancel(job_id.removesuffix(CANCEL_SUFFIX))
            elif job_id not in self.jobs:
                self._admit(job_id, row)
        self._wake.set()

    def _admit(self, job_id: str, row: Row) -> None:
        request = decode_request(row.value)
        stored = self._stored.pop(job_id, None)
        if stored is None:
            job = JobProgress(request)
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

    def _adopt(self, job: JobProgress, name: TaskName, task, run: OpenRun) -> None:
        link = self.links.get(run.worker) or self._add_ghost(run.worker, run.born_ms)
        tracked = TrackedRun(
            name,
            task,
            run,
            charged_usage(job.request.steps[name.step]),
            settled_s=float("-inf"),
            adopted=True,
        )
        link.runs[str(name), run.number] = tracked
        if job.state.ended:
            self._orders.stop(link, tracked, "the job has ended")

    def _add_ghost(self, name: str, born_ms: int) -> WorkerLink:
        """A worker that is not listed but may still run what it was told to."""
        entry = WorkerEntry(name, "", "", "", "", frozenset(), Usage(), born_ms)
        link = WorkerLink(entry, self._context.make_worker(entry), listed=False)
        link.born_ms = born_ms
        self.links[name] = link
        self._spawn(self._follow_worker(link))
        return link

    def _want_cancel(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None:
            self._cancel_wanted.add(job_id)
            return
        self._cancel_wanted.discard(job_id)
        if not job.state.ended:
            self._log.write("coordinator", "cancelled", id=job_id, state=job.state)
            self._orders.end_job(job, JobState.CANCELLED, "cancelled by the caller")

    # Workers that come, change and go

    def _on_worker_rows(
        self, rows: Iterable[Row], deleted: Iterable[str], whole: bool
    ) -> None:
        seen = set()
        for row in rows:
            entry = self._context.decode_worker(row)
            if entry is not None:
                seen.add(entry.name)
                self._note_entry(entry)
        prefix = self._context.worker_prefix
        gone = {key.removeprefix(prefix) for key in deleted}
        if whole:
            gone |= self.links.keys() - seen
        for name in gone:
            link = self.links.get(name)
            if link is not None and link.listed:
                link.listed = False
                self._log.write("workers", "unlisted", worker=name)
        self._wake.set()

    def _note_entry(self, entry: WorkerEntry) -> None:
        link = self.links.get(entry.name)
        if link is None:
            link = WorkerLink(entry, self._context.make_worker(entry))
            link.born_ms = entry.born_ms
            if entry.draining:
                link.drains_since_s = self._clock.monotonic()
            self.links[entry.name] = link
            self._spawn(self._follow_worker(link))
            return
        if entry.born_ms > link.born_ms:
            self._rebirth(link, entry.born_ms)
        if entry.draining and (
            link.drains_since_s is None or entry.leaves_s != link.entry.leaves_s
        ):
            link.drains_since_s = self._clock.monotonic()
            self._log.write(
                "workers", "draining", worker=entry.name, leaves_s=entry.leaves_s
            )
        if entry.address != link.entry.address:
            link.worker = self._context.make_worker(entry)
        link.entry = entry
        link.listed = True

    def _rebirth(self, link: WorkerLink, born_ms: int) -> None:
        self._log.write("workers", "reborn", worker=link.name, born_ms=born_ms)
        link.begin_life(born_ms, self._clock.monotonic())
        self.suspicion.forget_worker(link.name)
        for tracked in list(link.runs.values()):
            self._carry_over(link, tracked)
        self._wake.set()

    def _carry_over(self, link: WorkerLink, tracked: TrackedRun) -> None:
        """Decide on a run of a worker that started anew under its name.

        Orders name the worker and not its life, so a start that the earlier life
        never showed may have reached the present one.
        """
        if tracked.run.state is RunState.INTENDED:
            return
        if tracked.shown:
            self._settlement.close(link, tracked, RunEnd.LAPSED, "worker started anew")
        elif tracked.settled_s is None:
            self._orders.stop(link, tracked, "its worker started anew")
        else:
            tracked.settled_s = self._clock.monotonic()

    async def _follow_worker(self, link: WorkerLink) -> None:
        """Hold a worker's lease and settle what it reports.

        A report is compared with the open runs, so all jobs are loaded first.
        """
        await self._loaded.wait()
        while not self._ended.is_set():
            if link.entry.address:
                await self._look(link)
            else:
                await self._clock.sleep(LOOK_RETRY_S)
            self._expire(link)
            if not link.listed and not link.runs and self._long_silent(link):
                self.links.pop(link.name, None)
                await link.worker.close()
                return

    def _long_silent(self, link: WorkerLink) -> bool:
        heard_s = link.answered_s or self._began_s
        return self._clock.monotonic() - heard_s > UNLISTED_GRACE_S

    async def _look(self, link: WorkerLink) -> None:
        timing = self._context.timing
        storing = link.storing is not None and not link.storing.done()
        if storing:
            await asyncio.wait({link.storing}, timeout=ACK_PATIENCE_S)
            storing = not link.storing.done()
        now_s = self._clock.monotonic()
        lease = None
        wait_s = 0.0
        if link.failing_since_s is None and link.answered_s is not None:
            lease = link.lease_end_ms(now_s, timing.work_lease_s)
            wait_s = timing.look_wait_s(len(self.links), busy=bool(link.runs))
        if storing:
            wait_s = 0.0
        request = HoldRequest(self._leadership.epoch, link.last_seen, lease, wait_s)
        match await link.worker.hold(request):
            case Ok(report):
                if link.failing_since_s is not None:
                    self._log.write("workers", "regained", worker=link.name)
                if report.born_ms > link.born_ms:
                    self._rebirth(link, report.born_ms)
                if report.born_ms < link.born_ms:
                    # An answer of the life before; the next look meets the new one.
                    await self._clock.sleep(LOOK_RETRY_S)
                    return
                self._settle(link, report, now_s)
            case Err(Declined(DeclineReason.FENCE)):
                self.end(f"{link.name} has seen a higher fence")
            case Err(error):
                await self._note_silence(link, error)

    async def _note_silence(self, link: WorkerLink, error: object) -> None:
        if link.failing_since_s is None:
            self._log.write(
                "workers",
                "lost",
                worker=link.name,
                error=str(error),
                runs=len(link.runs),
            )
        link.note_failure(
            self._clock.monotonic(), refused=isinstance(error, Unavailable)
        )
        await self._clock.sleep(LOOK_RETRY_S)

    def _settle(self, link: WorkerLink, report, sent_s: float) -> None:
        acknowledge = self._settlement.settle(link, report, sent_s)
        self._wake.set()
        if acknowledge is not None:
            link.storing = self._spawn(acknowledge)

    def _expire(self, link: WorkerLink) -> None:
        """Give up runs of a silent worker once their lease is surely over."""
        now_s = self._clock.monotonic()
        if not link.runs or link.failing_since_s is None and link.entry.address:
            return
        if link.has_left:
            over = True
        elif link.answered_s is None:
            longest_s = self._context.timing.longest_lease_s / CLOCK_RATE
            since_s = max(self._began_s, link.life_began_s)
            over = now_s - since_s > longest_s + FORMER_LEADER_S
        else:
            over = link.lease_is_over(now_s)
        if not over:
            return
        why = "worker has left" if link.has_left else "lease is over"
        for tracked in list(link.runs.values()):
            self._settlement.close(link, tracked, RunEnd.LAPSED, why)
        self._wake.set()

    # Planning

    async def _plan_loop(self) -> None:
        while True:
            await run_with_timeout(self._clock, self._wake.wait(), PLAN_AGAIN_S)
            await self._clock.sleep(GATHER_S)
            self._wake.clear()
            if self._leadership.valid:
                self._plan()

    def _plan(self) -> None:
        now_s = self._clock.monotonic()
        self._settlement.stop_stalled(self.links, now_s)
        self._settlement.evacuate(self.links, now_s)
        for name in self.speeds.update(self._settlement.list_paces(self.links), now_s):
            self._log.write("workers", "slow", worker=name)
        promised, claimed = self._review_claims(now_s)
        fleet = view_fleet(
            self.links.values(),
            self.jobs,
            self._context.catalogue(),
            self.suspicion,
            self.speeds.slow(now_s, len(self.links)),
            promised,
            now_s,
        )
        demands = list_demands(
            self.jobs,
            self._context.catalogue(),
            self.run_times,
            {link.name: link.entry.rack for link in self.links.values()},
            claimed,
            now_s,
            self._clock.now().timestamp() * 1000,
        )
        plan = make_plan(fleet, self._apply_advice(fleet, demands))
        for start in plan.starts:
            self._begin(start.demand, start.placements)
        for claim in plan.claims:
            self._stop_for(claim, now_s)
        self._context.metrics.observe("plan_s", self._clock.monotonic() - now_s)

    def _apply_advice(
        self, fleet: FleetView, demands: Iterable[StepDemand]
    ) -> list[StepDemand]:
        """Bound demands to workers with tickets, and ask for what is missing."""
        ready = []
        wanted: dict[str, list[Candidate]] = {}
        for demand in sort_demands(demands):
            if not demand.needs_advice:
                ready.append(demand)
                continue
            workers = fleet.candidates(demand.service, demand.step)
            workers.sort(key=lambda worker: (worker.free, worker.name), reverse=True)
            candidates = [
                Candidate(worker.name, self.links[worker.name].born_ms)
                for worker in workers
            ]
            wanted[demand.step_name] = candidates
            allowed = self._advice.allowed(demand.step_name, candidates)
            ready.append(demand._replace(allowed=allowed))
        self._advice.want(wanted)
        self._advice.forget(
            name for name in self._advice.known_steps() if name not in wanted
        )
        return ready

    def _review_claims(self, now_s: float) -> tuple[dict[str, Usage], set[TaskName]]:
        """Start claims whose room is there; return what the others keep."""
        promised: dict[str, Usage] = {}
        claimed: set[TaskName] = set()
        pending: list[PendingClaim] = []
        for item in self._claims:
            job = self.jobs[item.claim.demand.job_id]
            if job.state.ended or now_s - item.since_s > CLAIM_PATIENCE_S:
                continue
            if not self._claim_stands(item.claim):
                continue
            rest = self._start_claimed(item.claim, promised)
            if rest is None:
                continue
            pending.append(PendingClaim(rest, item.since_s))
            demand = rest.demand
            usage = charged_usage(demand.step)
            for placement in rest.placements:
                before = promised.get(placement.worker, Usage())
                promised[placement.worker] = before.plus(usage)
                claimed.add(
                    TaskName(
                        demand.job_id,
                        demand.occurrence,
                        demand.step_number,
                        placement.index,
                    )
                )
        self._claims = pending
        return promised, claimed

    def _claim_stands(self, claim: Claim) -> bool:
        for placement in claim.placements:
            link = self.links.get(placement.worker)
            if link is None or not link.listed or link.entry.draining:
                return False
            if link.failing_since_s is not None:
                return False
        return True

    def _start_claimed(self, claim: Claim, promised: dict[str, Usage]) -> Claim | None:
        """Start those tasks of a claim that fit now; a gang starts whole."""
        usage = charged_usage(claim.demand.step)
        room: dict[str, Usage] = {}
        fitting = []
        for placement in claim.placements:
            link = self.links[placement.worker]
            kept = promised.get(link.name, Usage())
            free = room.get(link.name, link.entry.capacity.minus(link.used).minus(kept))
            if usage.fits(free):
                room[link.name] = free.minus(usage)
                fitting.append(placement)
        if claim.demand.step.gang and len(fitting) < len(claim.placements):
            fitting = []
        if fitting:
            self._begin(claim.demand, fitting)
        rest = [p for p in claim.placements if p not in fitting]
        return claim._replace(placements=rest) if rest else None

    def _stop_for(self, claim: Claim, now_s: float) -> None:
        self._claims.append(PendingClaim(claim, now_s))
        for link in self.links.values():
            for tracked in list(link.runs.values()):
                group = f"{tracked.name.step_name}#"
                if group in claim.groups or str(tracked.name) in claim.groups:
                    self._orders.stop(
                        link, tracked, f"makes room for {claim.demand.step_name}"
                    )

    def _begin(self, demand: StepDemand, placements: list) -> None:
        job = self.jobs[demand.job_id]
        step = job.open_occurrence(demand.occurrence)[demand.step_number]
        number = max(task.last_run for task in step.tasks) + 1
        now_s = self._clock.monotonic()
        started = []
        for placement in placements:
            task = step.tasks[placement.index]
            link = self.links[placement.worker]
            run = OpenRun(
                number if demand.step.gang else task.last_run + 1,
                link.name,
                link.born_ms,
                checkpoint=task.checkpoint,
                began_s=now_s,
                last_gain_s=now_s,
            )
            task.last_run = run.number
            task.run = run
            name = TaskName(
                demand.job_id, demand.occurrence, demand.step_number, placement.index
            )
            tracked = TrackedRun(name, task, run, charged_usage(demand.step))
            link.runs[str(name), run.number] = tracked
            started.append((link, tracked))
        self._log.write(
            "coordinator",
            "placed",
            id=demand.job_id,
            step=demand.step_name,
            workers=[placement.worker for placement in placements],
            waited_s=round(demand.waited_s, 3),
            due_s=round(demand.due_s, 3),
            guaranteed=demand.guaranteed,
        )
        self._spawn(self._orders.launch(job, demand.step, started))

    async def _clean_loop(self) -> None:
        while True:
            await self._clock.sleep(CLEAN_EVERY_S)
            now_ms = self._clock.now().timestamp() * 1000
            keep_ms = self._context.timing.keep_ended_s * 1000
            for job in list(self.jobs.values()):
                old = job.state.ended and now_ms - job.ended_ms > keep_ms
                if old and not any(job.open_runs()):
                    del self.jobs[job.job_id]
                    await self._ledger.remove(job)
