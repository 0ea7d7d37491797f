"""Discrete-event emulation of a fleet that runs the real placement code.

Synthetic jobs arrive, `make_plan` places them and their tasks run for a drawn time on
workers of unlike speed. Run times and speeds are estimated by the product's estimators.
Orders to workers and writes to the store take constant times. The results compare
variants of placement on the same load; they don't predict a real fleet's performance.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from benchmarks.credit import sum_credit
from benchmarks.load import ARRIVALS_S, Burst, Job, Site, draw_jobs
from chiveledge.coordinator import RunTimeEstimator
from chiveledge.placement import (
    FleetView,
    LearntSpeeds,
    MemberRate,
    RunView,
    StepDemand,
    UrgentArrivals,
    WorkerView,
    count_reserved,
    make_plan,
)
from chiveledge.workload import ZERO_VALUE_FACTOR, TaskName, Usage

SERVICE = "pool"
SUBMIT_DELAY_S = 0.08
"""Time from a caller's request until the job can be planned."""

RESULT_DELAY_S = 0.12
"""Time from a job's end until callers can see its result."""

REPLAN_S = 0.25
"""Time between two plans while jobs are unfinished and nothing else happens."""

PLAN_DELAY_S = 0.005
"""Time from an event until the plan that covers it and all events in between."""

CHECKPOINT_INTERVAL_S = 0.5
"""Most work that a stop of a task with checkpoints is expected to lose."""

RATE_SPAN_S = 0.5
"""How long a run goes on before its rate of progress is known."""

SPREAD_SLOWDOWN = 3.0
"""How much longer tasks take that belong on one rack and are spread over several."""


class Variant(NamedTuple):
    """Settings of placement that are compared.

    Attributes
    ----------
    reserve_span_s : float, optional
        Capacity is reserved for the urgent jobs expected within this time; 0 reserves
        none. None for the time of a stop.
    reserve_span_factor : float
        Factor of that time.
    learns_speeds : bool
        Whether slower workers are told from others.
    """

    name: str
    reserve_span_s: float | None = None
    reserve_span_factor: float = 1.0
    learns_speeds: bool = True


class EmulationResult(NamedTuple):
    """Figures of one emulation.

    Attributes
    ----------
    credits : dict
        Earned share of the possible credit by kind, over all kinds as "all", less the
        price of lost work as "net", and of the worst-served workspace as "worst".
    wasted_share : float
        Core-seconds lost by stopped runs, as a share of the fleet's core-seconds.
    stops : int
        Number of tasks stopped for work of a higher priority.
    urgent_wait_s : float
        Median time from the arrival of an urgent job to its start.
    """

    credits: dict[str, float]
    wasted_share: float
    stops: int
    urgent_wait_s: float


@dataclass(eq=False)
class _Run:
    job: Job
    indices: tuple[int, ...]
    workers: tuple[str, ...]
    started_s: float
    end_s: float
    stopping: bool = False


class Emulator:
    """Emulation of one variant of placement at one site.

    All random draws derive from `seed`, so that it repeats exactly. Without `jobs`, the
    load is drawn.
    """

    def __init__(
        self,
        site: Site,
        variant: Variant,
        bursts: tuple[Burst, ...],
        seed: int,
        jobs: list[Job] | None = None,
    ) -> None:
        self._site = site
        self._variant = variant
        self._rng = random.Random(seed)
        self._jobs = draw_jobs(site, bursts, self._rng) if jobs is None else jobs
        self._runs: list[_Run] = []
        self._unfinished: dict[str, Job] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._pending_starts: list[tuple[StepDemand, list, float]] = []
        self._arrivals = UrgentArrivals()
        self._estimator = RunTimeEstimator()
        self._speeds = LearntSpeeds()
        self._next_check_s = 0.0
        self._now_s = 0.0
        self._plan_at_s: float | None = None
        self._wasted_core_s = 0.0
        self._stops = 0

    def run(self) -> EmulationResult:
        """Emulate until every job has finished or no longer earns credit."""
        for job in self._jobs:
            self._schedule(
                job.arrival_s + SUBMIT_DELAY_S, lambda job=job: self._admit(job)
            )
        end_s = ARRIVALS_S + 40.0
        while self._events and self._events[0][0] < end_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self._summarize()

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _schedule_plan(self, delay_s: float = PLAN_DELAY_S) -> None:
        at_s = self._now_s + delay_s
        if self._plan_at_s is None or at_s < self._plan_at_s:
            self._plan_at_s = at_s
            self._schedule(at_s, lambda at_s=at_s: self._plan_if_due(at_s))

    def _plan_if_due(self, at_s: float) -> None:
        if self._plan_at_s == at_s:
            self._plan_at_s = None
            self._plan()
            if self._unfinished:
                self._schedule_plan(REPLAN_S)

    def _admit(self, job: Job) -> None:
        self._unfinished[job.name] = job
        if job.kind.priority == 0:
            self._arrivals.record(job.request, self._now_s)
        self._schedule_plan()

    def _plan(self) -> None:
        self._start_pending()
        if self._variant.learns_speeds and self._now_s >= self._next_check_s:
            self._next_check_s = self._now_s + REPLAN_S
            self._speeds.update(self._list_member_rates())
        fleet = self._make_fleet_view()
        span_s = self._variant.reserve_span_s
        span_s = self._site.max_stop_s if span_s is None else span_s
        span_s *= self._variant.reserve_span_factor
        if span_s:
            expected = self._arrivals.forecast(span_s, self._now_s)
            count = count_reserved(expected, self._site.capacity, self._site.workers)
            fleet.reserve_for_urgent(SERVICE, count)
        plan = make_plan(fleet, self._list_demands(), self._sum_usage())
        for start in plan.starts:
            self._start(start.demand, start.placements)
        for deferred in plan.deferred_starts:
            self._pending_starts.append(
                (deferred.demand, deferred.placements, self._now_s)
            )
            for run in self._runs:
                if not run.stopping and deferred.groups & set(_list_groups(run)):
                    self._stop(run)

    def _sum_usage(self) -> dict[tuple[str, str], Usage]:
        in_use: dict[tuple[str, str], Usage] = {}
        for run in self._runs:
            if not run.stopping:
                key = SERVICE, run.job.workspace
                usage = in_use.get(key, Usage())
                for _ in run.indices:
                    usage = usage.plus(run.job.step.usage)
                in_use[key] = usage
        return in_use

    def _make_fleet_view(self) -> FleetView:
        used: dict[str, Usage] = {}
        stopping: dict[str, Usage] = {}
        views: dict[str, list[RunView]] = {}
        for run in self._runs:
            elapsed_s = self._now_s - run.started_s
            unsaved_s = (
                min(elapsed_s, CHECKPOINT_INTERVAL_S)
                if run.job.step.checkpoints
                else elapsed_s
            )
            groups = _list_groups(run)
            for index, worker in zip(run.indices, run.workers, strict=True):
                usage = run.job.step.usage
                used[worker] = used.get(worker, Usage()).plus(usage)
                if run.stopping:
                    stopping[worker] = stopping.get(worker, Usage()).plus(usage)
                views.setdefault(worker, []).append(
                    RunView(
                        TaskName(run.job.name, 0, 0, index),
                        worker,
                        usage,
                        groups[0],
                        run.job.kind.priority,
                        unsaved_s,
                        movable=not run.stopping,
                        ending=self._is_ending(run),
                    )
                )
        reserved: dict[str, Usage] = {}
        for demand, placements, _ in self._pending_starts:
            for placement in placements:
                earlier = reserved.get(placement.worker, Usage())
                reserved[placement.worker] = earlier.plus(demand.step.usage)
        names = [f"w{number:04}" for number in range(self._site.workers)]
        slowdowns = self._speeds.find_expected_slowdowns(names)
        workers = (
            self._make_worker_view(number, used, stopping, reserved, views, slowdowns)
            for number in range(self._site.workers)
        )
        return FleetView(workers, self._site.max_stop_s)

    def _list_member_rates(self) -> Iterator[MemberRate]:
        for run in self._runs:
            if not run.job.step.gang or self._now_s - run.started_s < RATE_SPAN_S:
                continue
            name = run.job.name
            gang = f"{name}.0.0", int(run.started_s * 1000)
            for index, worker in zip(run.indices, run.workers, strict=True):
                rate = 100.0 / self._site.find_slowdown(worker)
                yield MemberRate((f"{name}.0.0.{index}", gang[1]), worker, gang, rate)

    def _is_ending(self, run: _Run) -> bool:
        return not run.stopping and run.end_s - self._now_s <= self._site.max_stop_s

    def _make_worker_view(
        self, number: int, used, stopping, reserved, views, slowdowns
    ) -> WorkerView:
        name = f"w{number:04}"
        zero = Usage()
        free = self._site.capacity.minus(used.get(name, zero))
        future_free = free.plus(stopping.get(name, zero))
        future_free = future_free.minus(reserved.get(name, zero))
        return WorkerView(
            name=name,
            service=SERVICE,
            rack=f"r{number // self._site.workers_per_rack}",
            labels=frozenset(),
            capacity=self._site.capacity,
            free=free.elementwise_min(future_free),
            future_free=future_free,
            slowdown=slowdowns.get(name, 1.0),
            list_runs=lambda: views.get(name, []),
        )

    def _list_demands(self) -> Iterator[StepDemand]:
        pending = {
            (demand.job_id, placement.index)
            for demand, placements, _ in self._pending_starts
            for placement in placements
        }
        for job in self._unfinished.values():
            indices = tuple(
                index
                for index in range(job.step.count)
                if index not in job.done
                and index not in job.running
                and (job.name, index) not in pending
            )
            if not indices or (job.step.gang and len(indices) < job.step.count):
                continue
            expected_s = self._estimator.expected_s(job.request, job.step)
            objective_s = job.kind.stretch * expected_s + job.kind.target_s
            age_s = self._now_s - job.arrival_s
            yield StepDemand(
                job_id=job.name,
                occurrence=0,
                step_number=0,
                step=job.step,
                service=SERVICE,
                priority=job.kind.priority,
                indices=indices,
                due_s=objective_s - age_s,
                zero_value_s=ZERO_VALUE_FACTOR * objective_s - age_s,
                remaining_s=expected_s,
                run_s=expected_s,
                waited_s=age_s,
                workspace=job.workspace,
            )

    def _start_pending(self) -> None:
        used: dict[str, Usage] = {}
        for run in self._runs:
            for worker in run.workers:
                used[worker] = used.get(worker, Usage()).plus(run.job.step.usage)
        waiting = []
        for demand, placements, since_s in self._pending_starts:
            planned = dict(used)
            for placement in placements:
                earlier = planned.get(placement.worker, Usage())
                planned[placement.worker] = earlier.plus(demand.step.usage)
            if all(planned[p.worker].fits(self._site.capacity) for p in placements):
                self._start(demand, placements)
                used = planned
            else:
                waiting.append((demand, placements, since_s))
        self._pending_starts = waiting

    def _start(self, demand: StepDemand, placements: list) -> None:
        job = self._unfinished[demand.job_id]
        placement_groups = [placements] if job.step.gang else [[p] for p in placements]
        for group in placement_groups:
            indices = tuple(placement.index for placement in group)
            workers = tuple(placement.worker for placement in group)
            racks = {
                int(worker[1:]) // self._site.workers_per_rack for worker in workers
            }
            spread = job.step.same_rack and len(racks) > 1
            slowdown = max(self._site.find_slowdown(worker) for worker in workers)
            slowdown *= SPREAD_SLOWDOWN if spread else 1.0
            end_s = self._now_s + slowdown * max(job.remaining_s[i] for i in indices)
            run = _Run(job, indices, workers, self._now_s, end_s)
            job.running |= set(indices)
            self._runs.append(run)
            self._schedule(end_s, lambda run=run: self._finish(run))
        if job.started_s is None and job.running | job.done == set(
            range(job.step.count)
        ):
            job.started_s = self._now_s

    def _finish(self, run: _Run) -> None:
        if run.stopping or run not in self._runs:
            return
        self._runs.remove(run)
        job = run.job
        job.running -= set(run.indices)
        job.done |= set(run.indices)
        run_time_s = self._now_s - run.started_s
        for _ in run.indices:
            self._estimator.update(job.request, job.step, run_time_s)
        if len(job.done) == job.step.count:
            job.finished_s = self._now_s + RESULT_DELAY_S
            self._unfinished.pop(job.name, None)
        self._schedule_plan()

    def _stop(self, run: _Run) -> None:
        run.stopping = True
        self._stops += len(run.indices)
        pause_s = self._rng.uniform(0.3, 1.0) * self._site.max_stop_s
        self._schedule(self._now_s + pause_s, lambda: self._finish_stop(run))

    def _finish_stop(self, run: _Run) -> None:
        self._runs.remove(run)
        elapsed_s = self._now_s - run.started_s
        saved_s = elapsed_s if run.job.step.checkpoints else 0.0
        cores = run.job.step.usage.core_equivalents
        self._wasted_core_s += cores * (elapsed_s - saved_s) * len(run.indices)
        for index in run.indices:
            run.job.remaining_s[index] = max(0.3, run.job.remaining_s[index] - saved_s)
        run.job.running -= set(run.indices)
        self._schedule_plan()

    def _summarize(self) -> EmulationResult:
        shares = sum_credit(self._jobs, self._wasted_core_s)
        waits = sorted(
            job.started_s - job.arrival_s
            for job in self._jobs
            if job.kind.priority == 0 and job.started_s is not None
        )
        capacity = self._site.capacity.core_equivalents * self._site.workers
        return EmulationResult(
            shares.by_kind
            | {
                "all": shares.total,
                "net": shares.net,
                "worst": shares.worst_workspace,
            },
            self._wasted_core_s / (capacity * ARRIVALS_S),
            self._stops,
            waits[len(waits) // 2] if waits else 0.0,
        )


def _list_groups(run: _Run) -> list[str]:
    name = f"{run.job.name}.0.0"
    return [f"{name}#" if run.job.step.gang else f"{name}.{run.indices[0]}"]
