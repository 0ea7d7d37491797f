"""The planning loop: starts placed tasks and stops the runs that they preempt."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterable
from typing import NamedTuple

from chiveledge.clock import run_with_timeout
from chiveledge.coordinator._advice import Candidate, TicketCache
from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._demands import find_policy, list_demands
from chiveledge.coordinator._fleet_view import FleetViewBuilder
from chiveledge.coordinator._orders import OrderDispatcher
from chiveledge.coordinator._reconciliation import Reconciler
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.coordinator._stragglers import should_restart_elsewhere
from chiveledge.coordinator._worker_link import TrackedRun, WorkerLink
from chiveledge.leadership import Leadership
from chiveledge.placement import (
    URGENT_PRIORITY,
    DeferredStart,
    FleetView,
    Placement,
    StepDemand,
    UrgentArrivals,
    WorkerSpeeds,
    WorkerSuspicion,
    charged_usage,
    count_reserved,
    make_plan,
    sort_demands,
)
from chiveledge.types import WorkerName
from chiveledge.workload import JobProgress, OpenRun, TaskName, Usage

PLAN_INTERVAL_S = 0.25
"""Longest pause between two plans, and shortest between two checks of all runs."""

MIN_DEBOUNCE_S = 0.005
"""Shortest pause before a plan, so that one plan serves events that coincide."""

MAX_DEBOUNCE_S = 0.1
"""Longest pause before a plan. The pause is as long as the last plan took, which
leaves at least half of the processor time to polls, renewals and orders, unless a plan
takes longer than this limit."""

PENDING_START_TIMEOUT_S = 1.5
"""How long preempted runs may take to release their capacity before a start is planned
again: longer than a stop, and short enough for a second preemption within the time
allowed for reclaiming a guarantee."""


class PendingStart(NamedTuple):
    """A deferred start whose preempted runs are being stopped, and since when.

    It is dropped after `PENDING_START_TIMEOUT_S`, so that its tasks are planned again.
    """

    deferred: DeferredStart
    since_s: float


class PlanningController:
    """Plans when something changed, and carries the plans out.

    Parameters
    ----------
    context : TermContext
        Clock, log, metrics and configuration.
    leadership : Leadership
        Nothing is planned while it is not valid.
    links, jobs : dict
        State of each worker by name, and all jobs by ID.
    reconciler : Reconciler
        Finds runs that stall, run slowly or have to leave their worker.
    orders : OrderDispatcher
        Sends start and stop orders.
    tickets : TicketCache
        Tickets for queues whose policy only the advice service knows.
    suspicion : WorkerSuspicion
        Workers that fail or stall what they run.
    estimator : RunTimeEstimator
        Predicts run times.
    plan_due : asyncio.Event
        Set when a plan is due.
    spawn : callable
        Starts a task that is cancelled when the term ends.
    """

    def __init__(
        self,
        context: TermContext,
        leadership: Leadership,
        links: dict[str, WorkerLink],
        jobs: dict[str, JobProgress],
        reconciler: Reconciler,
        orders: OrderDispatcher,
        tickets: TicketCache,
        suspicion: WorkerSuspicion,
        estimator: RunTimeEstimator,
        plan_due: asyncio.Event,
        spawn: Callable[[Coroutine], asyncio.Task],
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._leadership = leadership
        self._links = links
        self._jobs = jobs
        self._reconciler = reconciler
        self._orders = orders
        self._tickets = tickets
        self._suspicion = suspicion
        self._estimator = estimator
        self._speeds = WorkerSpeeds()
        self._view_builder = FleetViewBuilder(
            jobs, context.catalogue, context.timing.stop_s
        )
        self._plan_due = plan_due
        self._spawn = spawn
        self._pending_starts: list[PendingStart] = []
        self._arrivals: dict[str, UrgentArrivals] = defaultdict(UrgentArrivals)
        self._next_supervision_s = 0.0

    async def run(self) -> None:
        """Plan until cancelled."""
        plan_duration_s = 0.0
        while True:
            await run_with_timeout(self._clock, self._plan_due.wait(), PLAN_INTERVAL_S)
            await self._clock.sleep(
                min(max(MIN_DEBOUNCE_S, plan_duration_s), MAX_DEBOUNCE_S)
            )
            self._plan_due.clear()
            if self._leadership.valid:
                began_s = self._clock.monotonic()
                self._plan()
                plan_duration_s = self._clock.monotonic() - began_s
                self._context.metrics.observe("plan_s", plan_duration_s)

    def _plan(self) -> None:
        now_s = self._clock.monotonic()
        if now_s >= self._next_supervision_s:
            self._next_supervision_s = now_s + PLAN_INTERVAL_S
            self._supervise(now_s)
        reserved, pending_tasks = self._review_pending_starts(now_s)
        slow = self._speeds.slow_workers(now_s, len(self._links))
        fleet = self._view_builder.build(
            self._links.values(), self._suspicion, slow, reserved, now_s
        )
        self._reserve_for_urgent(fleet, now_s)
        demands = list_demands(
            self._jobs,
            self._context.catalogue(),
            self._estimator,
            {link.name: link.entry.rack for link in self._links.values()},
            pending_tasks,
            now_s,
            self._clock.now().timestamp() * 1000,
        )
        plan = make_plan(fleet, self._apply_advice(fleet, demands))
        for start in plan.starts:
            self._start_runs(start.demand, start.placements)
        for deferred in plan.deferred_starts:
            self._stop_for_deferred_start(deferred, now_s)
        if slow:
            self._move_off_slow_workers(fleet, slow, now_s)

    def record_admission(self, job: JobProgress) -> None:
        """Record the arrival of a job; urgent jobs raise the reserved capacity."""
        policy = find_policy(job, self._context.catalogue())
        if policy.priority == URGENT_PRIORITY:
            arrivals = self._arrivals[policy.service]
            arrivals.record(job.request, self._clock.monotonic())

    def _reserve_for_urgent(self, fleet: FleetView, now_s: float) -> None:
        span_s = self._context.timing.stop_s
        for service, arrivals in self._arrivals.items():
            workers = fleet.accepting(service)
            if workers:
                largest = max(worker.capacity for worker in workers)
                expected = arrivals.forecast(span_s, now_s)
                count = count_reserved(expected, largest, len(workers))
                fleet.reserve_for_urgent(service, count)

    def _move_off_slow_workers(
        self, fleet: FleetView, slow: set[WorkerName], now_s: float
    ) -> None:
        """Stop runs on slow workers whose jobs meet their due time only elsewhere."""
        for name in slow & self._links.keys():
            link = self._links[name]
            slow_left_s = self._speeds.slow_left_s(name, now_s)
            late = [
                tracked
                for tracked in link.runs.values()
                if self._should_restart_elsewhere(tracked, slow_left_s)
            ]
            for tracked in late:
                members = self._orders.find_gang_runs(tracked)
                service = link.entry.service
                if fleet.has_full_speed_capacity(service, tracked.step, len(members)):
                    for holder, member in members:
                        self._orders.stop(holder, member, f"{name} is slow")

    def _should_restart_elsewhere(
        self, tracked: TrackedRun, slow_left_s: float
    ) -> bool:
        return should_restart_elsewhere(
            tracked,
            self._jobs[tracked.name.job_id],
            self._context.catalogue(),
            self._estimator,
            slow_left_s,
            self._context.timing.stop_s,
            self._clock.now().timestamp() * 1000,
        )

    def _supervise(self, now_s: float) -> None:
        """Check all runs for stalls, slow workers and workers that leave."""
        self._reconciler.stop_stalled_runs(self._links, now_s)
        self._reconciler.evacuate_leaving_workers(self._links, now_s)
        run_speeds = self._reconciler.list_run_speeds(self._links)
        for name in self._speeds.update(run_speeds, now_s):
            self._log.write("workers", "slow", worker=name)

    def _apply_advice(
        self, fleet: FleetView, demands: Iterable[StepDemand]
    ) -> list[StepDemand]:
        """Restrict demands to workers with tickets, and request missing tickets."""
        ready = []
        wanted: dict[str, list[Candidate]] = {}
        for demand in sort_demands(demands):
            if not demand.needs_advice:
                ready.append(demand)
                continue
            workers = fleet.candidates(demand)
            workers.sort(key=lambda worker: (worker.free, worker.name), reverse=True)
            candidates = [
                Candidate(worker.name, self._links[worker.name].incarnation_ms)
                for worker in workers
            ]
            wanted[demand.step_name] = candidates
            allowed = self._tickets.find_allowed(demand.step_name, candidates)
            ready.append(demand._replace(allowed_workers=allowed))
        self._tickets.set_wanted(wanted)
        self._tickets.discard_steps(
            name for name in self._tickets.cached_steps() if name not in wanted
        )
        return ready

    def _review_pending_starts(
        self, now_s: float
    ) -> tuple[dict[str, Usage], set[TaskName]]:
        """Start the tasks of pending starts whose capacity is free by now.

        Returns
        -------
        reserved : dict
            Capacity on each worker that the remaining tasks wait for.
        pending_tasks : set of TaskName
            The remaining tasks.
        """
        reserved: dict[str, Usage] = {}
        pending_tasks: set[TaskName] = set()
        pending: list[PendingStart] = []
        for item in self._pending_starts:
            job = self._jobs[item.deferred.demand.job_id]
            if job.state.ended or now_s - item.since_s > PENDING_START_TIMEOUT_S:
                continue
            if not self._can_still_start(item.deferred):
                continue
            remaining = self._start_fitting_tasks(item.deferred, reserved)
            if remaining is None:
                continue
            pending.append(PendingStart(remaining, item.since_s))
            demand = remaining.demand
            usage = charged_usage(demand.step)
            for placement in remaining.placements:
                before = reserved.get(placement.worker, Usage())
                reserved[placement.worker] = before.plus(usage)
                pending_tasks.add(
                    TaskName(
                        demand.job_id,
                        demand.occurrence,
                        demand.step_number,
                        placement.index,
                    )
                )
        self._pending_starts = pending
        return reserved, pending_tasks

    def _can_still_start(self, deferred: DeferredStart) -> bool:
        for placement in deferred.placements:
            link = self._links.get(placement.worker)
            if link is None or not link.listed or link.entry.draining:
                return False
            if link.unresponsive_since_s is not None:
                return False
        return True

    def _start_fitting_tasks(
        self, deferred: DeferredStart, reserved: dict[str, Usage]
    ) -> DeferredStart | None:
        """Start those tasks of a deferred start that fit now, a gang only as a whole.

        Returns the deferred start of the remaining tasks, None if none remains.
        """
        usage = charged_usage(deferred.demand.step)
        free_after: dict[str, Usage] = {}
        fitting = []
        for placement in deferred.placements:
            link = self._links[placement.worker]
            reserved_usage = reserved.get(link.name, Usage())
            free = free_after.get(
                link.name, link.entry.capacity.minus(link.used).minus(reserved_usage)
            )
            if usage.fits(free):
                free_after[link.name] = free.minus(usage)
                fitting.append(placement)
        if deferred.demand.step.gang and len(fitting) < len(deferred.placements):
            fitting = []
        if fitting:
            self._start_runs(deferred.demand, fitting)
        remaining = [p for p in deferred.placements if p not in fitting]
        return deferred._replace(placements=remaining) if remaining else None

    def _stop_for_deferred_start(self, deferred: DeferredStart, now_s: float) -> None:
        self._pending_starts.append(PendingStart(deferred, now_s))
        self._log.write(
            "coordinator",
            "deferred",
            id=deferred.demand.job_id,
            step=deferred.demand.step_name,
            tasks=len(deferred.placements),
            groups=len(deferred.groups),
            due_s=round(deferred.demand.due_s, 3),
        )
        for link in self._links.values():
            for tracked in list(link.runs.values()):
                group = f"{tracked.name.step_name}#"
                if group in deferred.groups or str(tracked.name) in deferred.groups:
                    self._orders.stop(
                        link, tracked, f"preempted by {deferred.demand.step_name}"
                    )

    def _start_runs(self, demand: StepDemand, placements: list[Placement]) -> None:
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
                link.incarnation_ms,
                checkpoint=task.checkpoint,
                began_s=now_s,
                last_progress_s=now_s,
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
            tasks=[placement.index for placement in placements],
            workers=[placement.worker for placement in placements],
            cores=charged_usage(demand.step).core_equivalents,
            checkpoints=demand.step.checkpoints,
            expected_s=round(self._estimator.expected_s(job.request, demand.step), 3),
            waited_s=round(demand.waited_s, 3),
            due_s=round(demand.due_s, 3),
            guaranteed=demand.guaranteed,
        )
        self._spawn(self._orders.launch(job, demand.step, started))
