"""Carries plans out: starts what has room and keeps room that stops will make."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterable
from typing import NamedTuple

from chiveledge.clock import run_with_timeout
from chiveledge.coordinator._advice import AdviceBook, Candidate
from chiveledge.coordinator._context import ReignContext
from chiveledge.coordinator._demands import find_policy, list_demands
from chiveledge.coordinator._fleet_view import FleetViewer
from chiveledge.coordinator._orders import OrderDesk
from chiveledge.coordinator._runtimes import RunTimes
from chiveledge.coordinator._settlement import Settlement
from chiveledge.coordinator._stragglers import is_late_if_left
from chiveledge.coordinator._worker_link import TrackedRun, WorkerLink
from chiveledge.leadership import Leadership
from chiveledge.placement import (
    URGENT_PRIORITY,
    Claim,
    FleetView,
    Placement,
    StepDemand,
    UrgentArrivals,
    WorkerSpeeds,
    WorkerSuspicion,
    charged_usage,
    count_kept,
    make_plan,
    sort_demands,
)
from chiveledge.types import WorkerName
from chiveledge.workload import JobProgress, OpenRun, TaskName, Usage

PLAN_AGAIN_S = 0.25
"""Longest pause between two plans, and shortest between two looks at all runs."""

GATHER_S = 0.005
"""Shortest pause before a plan, in which events that come together gather."""

LONGEST_GATHER_S = 0.1
"""Longest such pause; it is as long as the last plan took, so that looks, renewals
and orders get half of the processor at least."""

CLAIM_PATIENCE_S = 1.5
"""How long stopped work may take to make room before a claim is decided anew: longer
than a stop, and short enough for another one within the time to reclaim a guarantee."""


class PendingClaim(NamedTuple):
    """Tasks that wait for stopped work to make room."""

    claim: Claim
    since_s: float


class PlanningDesk:
    """Plans whenever something changed.

    Parameters
    ----------
    context : ReignContext
        Clock, log, metrics and configuration.
    leadership : Leadership
        Nothing is planned while it is not valid.
    links, jobs : dict
        Workers and jobs of the reign.
    settlement : Settlement
        Finds runs that stall, crawl or have to leave.
    orders : OrderDesk
        Sends starts and stops.
    advice : AdviceBook
        Tickets for queues with a policy of their own.
    suspicion, run_times
        What was learned of workers and queues.
    wake : asyncio.Event
        Set when a plan is due.
    spawn : callable
        Runs work until the reign ends.
    """

    def __init__(
        self,
        context: ReignContext,
        leadership: Leadership,
        links: dict[str, WorkerLink],
        jobs: dict[str, JobProgress],
        settlement: Settlement,
        orders: OrderDesk,
        advice: AdviceBook,
        suspicion: WorkerSuspicion,
        run_times: RunTimes,
        wake: asyncio.Event,
        spawn: Callable[[Coroutine], asyncio.Task],
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._leadership = leadership
        self._links = links
        self._jobs = jobs
        self._settlement = settlement
        self._orders = orders
        self._advice = advice
        self._suspicion = suspicion
        self._run_times = run_times
        self._speeds = WorkerSpeeds()
        self._viewer = FleetViewer(jobs, context.catalogue, context.timing.stop_s)
        self._wake = wake
        self._spawn = spawn
        self._claims: list[PendingClaim] = []
        self._arrivals: dict[str, UrgentArrivals] = defaultdict(UrgentArrivals)
        self._supervise_at_s = 0.0

    async def run(self) -> None:
        """Plan until cancelled."""
        took_s = 0.0
        while True:
            await run_with_timeout(self._clock, self._wake.wait(), PLAN_AGAIN_S)
            await self._clock.sleep(min(max(GATHER_S, took_s), LONGEST_GATHER_S))
            self._wake.clear()
            if self._leadership.valid:
                began_s = self._clock.monotonic()
                self._plan()
                took_s = self._clock.monotonic() - began_s
                self._context.metrics.observe("plan_s", took_s)

    def _plan(self) -> None:
        now_s = self._clock.monotonic()
        if now_s >= self._supervise_at_s:
            self._supervise_at_s = now_s + PLAN_AGAIN_S
            self._supervise(now_s)
        promised, claimed = self._review_claims(now_s)
        slow = self._speeds.slow(now_s, len(self._links))
        fleet = self._viewer.view(
            self._links.values(), self._suspicion, slow, promised, now_s
        )
        self._keep_for_urgent(fleet, now_s)
        demands = list_demands(
            self._jobs,
            self._context.catalogue(),
            self._run_times,
            {link.name: link.entry.rack for link in self._links.values()},
            claimed,
            now_s,
            self._clock.now().timestamp() * 1000,
        )
        plan = make_plan(fleet, self._apply_advice(fleet, demands))
        for start in plan.starts:
            self._begin(start.demand, start.placements)
        for claim in plan.claims:
            self._stop_for(claim, now_s)
        if slow:
            self._leave_slow(fleet, slow, now_s)

    def note_admitted(self, job: JobProgress) -> None:
        """A job was accepted lately."""
        policy = find_policy(job, self._context.catalogue())
        if policy.priority == URGENT_PRIORITY:
            arrivals = self._arrivals[policy.service]
            arrivals.note(job.request, self._clock.monotonic())

    def _keep_for_urgent(self, fleet: FleetView, now_s: float) -> None:
        span_s = self._context.timing.stop_s
        for service, arrivals in self._arrivals.items():
            workers = fleet.accepting(service)
            if workers:
                largest = max(worker.capacity for worker in workers)
                expected = arrivals.expect(span_s, now_s)
                count = count_kept(expected, largest, len(workers))
                fleet.keep_for_urgent(service, count)

    def _leave_slow(
        self, fleet: FleetView, slow: set[WorkerName], now_s: float
    ) -> None:
        """Start work of slow workers anew where that makes its job be in time."""
        for name in slow & self._links.keys():
            link = self._links[name]
            spell_left_s = self._speeds.spell_left_s(name, now_s)
            late = [
                tracked
                for tracked in link.runs.values()
                if self._is_late_if_left(tracked, spell_left_s)
            ]
            for tracked in late:
                members = self._orders.find_members(tracked)
                service = link.entry.service
                if fleet.has_sound_room(service, tracked.step, len(members)):
                    for holder, member in members:
                        self._orders.stop(holder, member, f"{name} is slow")

    def _is_late_if_left(self, tracked: TrackedRun, spell_left_s: float) -> bool:
        return is_late_if_left(
            tracked,
            self._jobs[tracked.name.job_id],
            self._context.catalogue(),
            self._run_times,
            spell_left_s,
            self._context.timing.stop_s,
            self._clock.now().timestamp() * 1000,
        )

    def _supervise(self, now_s: float) -> None:
        """Look after what runs: stalls, slow workers and workers that leave."""
        self._settlement.stop_stalled(self._links, now_s)
        self._settlement.evacuate(self._links, now_s)
        paces = self._settlement.list_paces(self._links)
        for name in self._speeds.update(paces, now_s):
            self._log.write("workers", "slow", worker=name)

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
            workers = fleet.candidates(demand)
            workers.sort(key=lambda worker: (worker.free, worker.name), reverse=True)
            candidates = [
                Candidate(worker.name, self._links[worker.name].born_ms)
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
            job = self._jobs[item.claim.demand.job_id]
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
            link = self._links.get(placement.worker)
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
            link = self._links[placement.worker]
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
        for link in self._links.values():
            for tracked in list(link.runs.values()):
                group = f"{tracked.name.step_name}#"
                if group in claim.groups or str(tracked.name) in claim.groups:
                    self._orders.stop(
                        link, tracked, f"makes room for {claim.demand.step_name}"
                    )

    def _begin(self, demand: StepDemand, placements: list[Placement]) -> None:
        job = self._jobs[demand.job_id]
        step = job.open_occurrence(demand.occurrence)[demand.step_number]
        number = max(task.last_run for task in step.tasks) + 1
        now_s = self._clock.monotonic()
        started = []
        for placement in placements:
            task = step.tasks[placement.index]
            link = self._links[placement.worker]
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
            tracked = TrackedRun(name, task, run, demand.step)
            link.add_run(tracked)
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
