"""The planning loop: starts placed tasks and stops the runs that they preempt."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterable

from chiveledge.clock import run_with_timeout
from chiveledge.coordinator._advice import Candidate, TicketCache
from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._demands import find_policy, list_demands
from chiveledge.coordinator._drain_monitor import DrainMonitor
from chiveledge.coordinator._fleet_view import FleetViewBuilder
from chiveledge.coordinator._orders import OrderDispatcher
from chiveledge.coordinator._pending_starts import PendingStarts
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.coordinator._supervision import FleetSupervisor
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._wait_monitor import WaitMonitor
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.coordinator._worker_loss import CrashRecorder
from chiveledge.coordinator._workspace_usage import sum_usage
from chiveledge.leadership import Leadership
from chiveledge.placement import (
    URGENT_PRIORITY,
    DeferredStart,
    FleetView,
    Placement,
    Start,
    StepDemand,
    UrgentArrivals,
    WorkerSuspicion,
    charged_usage,
    count_reserved,
    make_plan,
    may_compete,
    sort_demands,
)
from chiveledge.workload import JobProgress, OpenRun, TaskName

PLAN_INTERVAL_S = 0.25
"""Longest pause between two plans."""

MIN_DEBOUNCE_S = 0.005
"""Shortest pause before a plan, so that one plan serves events that coincide."""

MAX_DEBOUNCE_S = 0.1
"""Longest pause before a plan. The pause is as long as the last plan took, which
leaves at least half of the processor time to polls, renewals and orders, unless a plan
takes longer than this limit."""

MAX_LIST_AGE_S = 3.0
"""Age of the list of workers up to which they get whatever fits by it: longer than two
reads from a slow store, and the attempts of a start end before a capacity counts that
shrank unseen."""


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
    supervisor : FleetSupervisor
        Checks runs between plans and knows which workers are slow.
    orders : OrderDispatcher
        Sends start and stop orders.
    tickets : TicketCache
        Tickets for queues whose policy only the advice service knows.
    suspicion : WorkerSuspicion
        Workers that fail or stall what they run.
    crashes : CrashRecorder
        Record of the tasks under which workers crashed.
    estimator : RunTimeEstimator
        Predicts run times.
    plan_due : asyncio.Event
        Set when a plan is due.
    spawn : callable
        Starts a task that is cancelled when the term ends.
    list_age_s : callable
        Returns the age of the platform's list of workers as this leader knows it.
    """

    def __init__(
        self,
        context: TermContext,
        leadership: Leadership,
        links: dict[str, WorkerLink],
        jobs: dict[str, JobProgress],
        supervisor: FleetSupervisor,
        orders: OrderDispatcher,
        tickets: TicketCache,
        suspicion: WorkerSuspicion,
        crashes: CrashRecorder,
        estimator: RunTimeEstimator,
        plan_due: asyncio.Event,
        spawn: Callable[[Coroutine], asyncio.Task],
        list_age_s: Callable[[], float],
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._leadership = leadership
        self._links = links
        self._jobs = jobs
        self._supervisor = supervisor
        self._orders = orders
        self._tickets = tickets
        self._suspicion = suspicion
        self._crashes = crashes
        self._estimator = estimator
        self._view_builder = FleetViewBuilder(
            jobs, context.catalogue, context.timing.stop_s, context.drains
        )
        self._plan_due = plan_due
        self._spawn = spawn
        self._list_age_s = list_age_s
        self._pending_starts = PendingStarts(
            links, jobs, self._start_runs, context.drains
        )
        self._drain_monitor = DrainMonitor(context, links)
        self._wait_monitor = WaitMonitor(context)
        self._arrivals: dict[str, UrgentArrivals] = defaultdict(UrgentArrivals)

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
        self._drain_monitor.check_age(now_s)
        self._supervisor.check_runs(now_s)
        reservations = self._pending_starts.review(now_s)
        slow = self._supervisor.find_slow_workers(now_s)
        fleet = self._view_builder.build(
            self._links.values(), self._suspicion, slow, reservations.usage, now_s
        )
        fleet.count_as_placed(reservations.placed)
        self._reserve_for_urgent(fleet, now_s)
        demands = list_demands(
            self._jobs,
            self._context.catalogue(),
            self._estimator,
            {link.name: link.entry.rack for link in self._links.values()},
            reservations.tasks
            | self._orders.restart_pauses.list_resting(now_s)
            | self._crashes.list_resting(),
            now_s,
            self._clock.now().timestamp() * 1000,
        )
        ready = [
            demand
            for demand in demands
            if self._may_start(demand.service)
            and not self._orders.is_resting(demand.step_name, now_s)
        ]
        self._drain_monitor.check_waits(ready, now_s)
        in_use = sum_usage(self._links, self._jobs) if may_compete(ready) else {}
        plan = make_plan(fleet, self._apply_advice(fleet, ready), in_use)
        for start in plan.starts:
            self._start_runs(start.demand, start.placements)
            if start.share is not None:
                self._record_turn(start)
        for deferred in plan.deferred_starts:
            self._stop_for_deferred_start(deferred, now_s)
        self._wait_monitor.check(fleet, plan.waiting, now_s)
        if slow.now:
            self._supervisor.move_off_slow_workers(fleet, slow.now, now_s)

    def _record_turn(self, start: Start) -> None:
        """Log whose turn it was, and count the turns."""
        self._context.metrics.count("turns_of_competing_workspaces")
        self._log.write(
            "coordinator",
            "turn",
            id=start.demand.job_id,
            step=start.demand.step_name,
            workspace=start.demand.workspace,
            share=round(start.share, 3),
            priority=start.demand.priority,
            timeliness=start.demand.timeliness.name,
            waited_s=round(start.demand.waited_s, 3),
        )

    def _may_start(self, service: str) -> bool:
        """Return whether the capacity of a service's workers is known or guarded."""
        if self._list_age_s() <= MAX_LIST_AGE_S:
            return True
        found = self._context.catalogue().services.get(service)
        return found is not None and found.checks_capacity

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

    def _stop_for_deferred_start(self, deferred: DeferredStart, now_s: float) -> None:
        self._pending_starts.add(deferred, now_s)
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
        if not self._may_start(demand.service):
            return
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
                machine=link.place,
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
            if demand.starts_apart:
                tracked.isolated_until_s = now_s + demand.apart_s
            link.add_run(tracked)
            started.append((link, tracked))
        self._log.write(
            "coordinator",
            "placed",
            id=demand.job_id,
            step=demand.step_name,
            tasks=[placement.index for placement in placements],
            workers=[placement.worker for placement in placements],
            runs=[tracked.run.number for _, tracked in started],
            cores=charged_usage(demand.step).core_equivalents,
            checkpoints=demand.step.checkpoints,
            expected_s=round(self._estimator.expected_s(job.request, demand.step), 3),
            waited_s=round(demand.waited_s, 3),
            due_s=round(demand.due_s, 3),
            guaranteed=demand.guaranteed,
            apart=demand.starts_apart,
        )
        self._spawn(self._orders.launch(job, demand.step, started))
