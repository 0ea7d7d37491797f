"""Emulates a fleet on a manual clock: real decisions, made-up load, no processes.

Jobs arrive, `make_plan` decides, tasks run and end. Orders and the store take fixed
times. It is meant for comparing rules of choice on the same load, not for forecasts.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from chiveledge.placement import (
    FleetView,
    RunView,
    StepDemand,
    UrgentArrivals,
    WorkerView,
    count_reserved,
    make_plan,
)
from chiveledge.workload import JobRequest, Step, TaskName, Usage

SERVICE = "pool"
TRAFFIC_S = 34.0
HAND_IN_S = 0.08
"""Time from a caller's send until the job can be planned."""

SHOW_S = 0.12
"""Time from a task's end until callers can see it."""

PLAN_AGAIN_S = 0.25
GATHER_S = 0.005
SAVE_S = 0.5


class Kind(NamedTuple):
    """One kind of job.

    Attributes
    ----------
    per_s : float
        Arrivals in a second.
    width : float
        Mean number of tasks of a job; exponentially distributed.
    work_s, work_spread : float
        Mean and relative spread of a task's run time.
    accelerators : tuple of int
        Each job draws what its tasks ask for.
    gang, same_rack, saves : float
        Shares of jobs.
    stretch, target_s : float
        Due `stretch` times its work plus `target_s` after it was handed in.
    worth, late_worth : float
        What a job of mean size earns in time, and up to three times later.
    """

    name: str
    priority: int
    per_s: float
    width: float
    widest: int
    work_s: float
    work_spread: float
    longest_s: float
    millicores: int
    memory_mb: int
    accelerators: tuple[int, ...]
    gang: float
    same_rack: float
    saves: float
    stretch: float
    target_s: float
    worth: float
    late_worth: float


class Site(NamedTuple):
    """A fleet and its load."""

    name: str
    workers: int
    rack: int
    capacity: Usage
    stop_s: float
    kinds: tuple[Kind, ...]


class Burst(NamedTuple):
    """A kind arrives `factor` times as often for a while."""

    kind: str
    begin_s: float
    length_s: float
    factor: float


class Rules(NamedTuple):
    """What is compared.

    Attributes
    ----------
    kept_span_s : float
        Urgent arrivals of this span are kept room for; 0 keeps nothing.
    """

    name: str
    kept_span_s: float = 0.0


class Outcome(NamedTuple):
    """What one emulated day came to.

    Attributes
    ----------
    credit : dict
        Share of the credit earned by kind, and of all as "all".
    wasted_share : float
        Core-seconds of stopped work against the fleet's.
    stops : int
        Runs stopped for urgent work.
    urgent_wait_s : float
        Median time from the hand-in of an urgent job to its start.
    """

    credit: dict[str, float]
    wasted_share: float
    stops: int
    urgent_wait_s: float


@dataclass
class _Job:
    kind: Kind
    step: Step
    name: str
    at_s: float
    work_s: float
    left_s: list[float]
    done: set[int] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    begun_s: float | None = None
    done_s: float | None = None


@dataclass(eq=False)
class _Run:
    job: _Job
    indices: tuple[int, ...]
    workers: tuple[str, ...]
    began_s: float
    ends_s: float
    stopping: bool = False


def draw_jobs(site: Site, bursts: tuple[Burst, ...], rng: random.Random) -> list[_Job]:
    """Return all jobs of a day in order of arrival."""
    jobs = []
    for kind in site.kinds:
        at_s = 0.0
        while True:
            factor = 1.0
            for burst in bursts:
                inside = burst.begin_s <= at_s < burst.begin_s + burst.length_s
                if burst.kind == kind.name and inside:
                    factor = burst.factor
            at_s += rng.expovariate(kind.per_s * factor)
            if at_s > TRAFFIC_S:
                break
            jobs.append(_draw_job(kind, at_s, rng))
    jobs.sort(key=lambda job: job.at_s)
    for number, job in enumerate(jobs):
        job.name = f"{number:016x}"
    return jobs


def _draw_job(kind: Kind, at_s: float, rng: random.Random) -> _Job:
    count = min(kind.widest, max(1, round(rng.expovariate(1 / kind.width))))
    work_s = rng.gauss(kind.work_s, kind.work_s * kind.work_spread)
    work_s = min(kind.longest_s, max(0.3, work_s))
    gang = rng.random() < kind.gang
    step = Step(
        count=count,
        usage=Usage(kind.millicores, kind.memory_mb, rng.choice(kind.accelerators)),
        gang=gang,
        same_rack=gang and rng.random() < kind.same_rack,
        checkpoints=rng.random() < kind.saves,
    )
    lefts = [work_s if gang else work_s * rng.uniform(0.7, 1.3) for _ in range(count)]
    return _Job(kind, step, "", at_s, max(lefts), lefts)


class Emulator:
    """One day on one fleet under one set of rules."""

    def __init__(
        self, site: Site, rules: Rules, bursts: tuple[Burst, ...], seed: int
    ) -> None:
        self._site = site
        self._rules = rules
        self._rng = random.Random(seed)
        self._jobs = draw_jobs(site, bursts, self._rng)
        self._runs: list[_Run] = []
        self._open: dict[str, _Job] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._claims: list[tuple[StepDemand, list, float]] = []
        self._arrivals = UrgentArrivals()
        self._now_s = 0.0
        self._plan_at_s: float | None = None
        self._wasted = 0.0
        self._stops = 0

    def run(self) -> Outcome:
        """Play the day until every job is done or worth nothing."""
        for job in self._jobs:
            self._at(job.at_s + HAND_IN_S, lambda job=job: self._admit(job))
        end_s = TRAFFIC_S + 40.0
        while self._events and self._events[0][0] < end_s:
            self._now_s, _, act = heapq.heappop(self._events)
            act()
        return self._sum_up()

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), act))

    def _wake(self, pause_s: float = GATHER_S) -> None:
        at_s = self._now_s + pause_s
        if self._plan_at_s is None or at_s < self._plan_at_s:
            self._plan_at_s = at_s
            self._at(at_s, lambda at_s=at_s: self._plan_if_due(at_s))

    def _plan_if_due(self, at_s: float) -> None:
        if self._plan_at_s == at_s:
            self._plan_at_s = None
            self._plan()
            if self._open:
                self._wake(PLAN_AGAIN_S)

    def _admit(self, job: _Job) -> None:
        self._open[job.name] = job
        if job.kind.priority == 0:
            request = JobRequest(job.name, "q", "team", "", (job.step,), 0)
            self._arrivals.record(request, self._now_s)
        self._wake()

    def _plan(self) -> None:
        self._start_claims()
        fleet = self._view()
        if self._rules.kept_span_s:
            expected = self._arrivals.forecast(self._rules.kept_span_s, self._now_s)
            count = count_reserved(expected, self._site.capacity, self._site.workers)
            fleet.reserve_for_urgent(SERVICE, count)
        plan = make_plan(fleet, self._demands())
        for start in plan.starts:
            self._start(start.demand, start.placements)
        for claim in plan.deferred_starts:
            self._claims.append((claim.demand, claim.placements, self._now_s))
            for run in self._runs:
                if not run.stopping and claim.groups & set(_groups(run)):
                    self._stop(run)

    def _view(self) -> FleetView:
        used: dict[str, Usage] = {}
        stopping: dict[str, Usage] = {}
        views: dict[str, list[RunView]] = {}
        for run in self._runs:
            ran_s = self._now_s - run.began_s
            unsaved_s = min(ran_s, SAVE_S) if run.job.step.checkpoints else ran_s
            groups = _groups(run)
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
                    )
                )
        promised: dict[str, Usage] = {}
        for demand, placements, _ in self._claims:
            for placement in placements:
                before = promised.get(placement.worker, Usage())
                promised[placement.worker] = before.plus(demand.step.usage)
        return FleetView(
            self._view_worker(
                number,
                used,
                stopping,
                promised,
                views,
            )
            for number in range(self._site.workers)
        )

    def _view_worker(self, number: int, used, stopping, promised, views) -> WorkerView:
        name = f"w{number:04}"
        nothing = Usage()
        free = self._site.capacity.minus(used.get(name, nothing))
        later = free.plus(stopping.get(name, nothing))
        later = later.minus(promised.get(name, nothing))
        return WorkerView(
            name=name,
            service=SERVICE,
            rack=f"r{number // self._site.rack}",
            labels=frozenset(),
            capacity=self._site.capacity,
            free=free.elementwise_min(later),
            future_free=later,
            list_runs=lambda: views.get(name, []),
        )

    def _demands(self) -> Iterator[StepDemand]:
        claimed = {
            (demand.job_id, placement.index)
            for demand, placements, _ in self._claims
            for placement in placements
        }
        for job in self._open.values():
            indices = tuple(
                index
                for index in range(job.step.count)
                if index not in job.done
                and index not in job.running
                and (job.name, index) not in claimed
            )
            if not indices or (job.step.gang and len(indices) < job.step.count):
                continue
            objective_s = job.kind.stretch * job.kind.work_s + job.kind.target_s
            age_s = self._now_s - job.at_s
            yield StepDemand(
                job_id=job.name,
                occurrence=0,
                step_number=0,
                step=job.step,
                service=SERVICE,
                priority=job.kind.priority,
                indices=indices,
                guaranteed=job.kind.priority == 0,
                due_s=objective_s - age_s,
                zero_value_s=3 * objective_s - age_s,
                waited_s=age_s,
            )

    def _start_claims(self) -> None:
        used: dict[str, Usage] = {}
        for run in self._runs:
            for worker in run.workers:
                used[worker] = used.get(worker, Usage()).plus(run.job.step.usage)
        waiting = []
        for demand, placements, since_s in self._claims:
            trial = dict(used)
            for placement in placements:
                before = trial.get(placement.worker, Usage())
                trial[placement.worker] = before.plus(demand.step.usage)
            if all(trial[p.worker].fits(self._site.capacity) for p in placements):
                self._start(demand, placements)
                used = trial
            else:
                waiting.append((demand, placements, since_s))
        self._claims = waiting

    def _start(self, demand: StepDemand, placements: list) -> None:
        job = self._open[demand.job_id]
        parts = [placements] if job.step.gang else [[p] for p in placements]
        for part in parts:
            indices = tuple(placement.index for placement in part)
            workers = tuple(placement.worker for placement in part)
            racks = {int(worker[1:]) // self._site.rack for worker in workers}
            slow = 3.0 if job.step.same_rack and len(racks) > 1 else 1.0
            ends_s = self._now_s + slow * max(job.left_s[i] for i in indices)
            run = _Run(job, indices, workers, self._now_s, ends_s)
            job.running |= set(indices)
            self._runs.append(run)
            self._at(ends_s, lambda run=run: self._end(run))
        if job.begun_s is None and job.running | job.done == set(range(job.step.count)):
            job.begun_s = self._now_s

    def _end(self, run: _Run) -> None:
        if run.stopping or run not in self._runs:
            return
        self._runs.remove(run)
        job = run.job
        job.running -= set(run.indices)
        job.done |= set(run.indices)
        if len(job.done) == job.step.count:
            job.done_s = self._now_s + SHOW_S
            self._open.pop(job.name, None)
        self._wake()

    def _stop(self, run: _Run) -> None:
        run.stopping = True
        self._stops += len(run.indices)
        pause_s = self._rng.uniform(0.3, 1.0) * self._site.stop_s
        self._at(self._now_s + pause_s, lambda: self._stopped(run))

    def _stopped(self, run: _Run) -> None:
        self._runs.remove(run)
        ran_s = self._now_s - run.began_s
        kept_s = ran_s if run.job.step.checkpoints else 0.0
        usage = run.job.step.usage
        cores = usage.millicores / 1000 + 8 * usage.accelerators
        self._wasted += cores * (ran_s - kept_s) * len(run.indices)
        for index in run.indices:
            run.job.left_s[index] = max(0.3, run.job.left_s[index] - kept_s)
        run.job.running -= set(run.indices)
        self._wake()

    def _sum_up(self) -> Outcome:
        earned: dict[str, float] = {"all": 0.0}
        owed: dict[str, float] = {"all": 0.0}
        for job in self._jobs:
            objective_s = job.kind.stretch * job.work_s + job.kind.target_s
            took_s = (job.done_s or float("inf")) - job.at_s
            got = 0.0
            if took_s <= objective_s:
                got = job.kind.worth
            elif took_s <= 3 * objective_s:
                got = job.kind.late_worth
            for key in (job.kind.name, "all"):
                owed[key] = owed.get(key, 0.0) + job.kind.worth
                earned[key] = earned.get(key, 0.0) + got
        waits = sorted(
            job.begun_s - job.at_s
            for job in self._jobs
            if job.kind.priority == 0 and job.begun_s is not None
        )
        capacity = self._site.capacity
        cores = capacity.millicores / 1000 + 8 * capacity.accelerators
        return Outcome(
            {key: earned[key] / owed[key] for key in owed},
            self._wasted / (cores * self._site.workers * TRAFFIC_S),
            self._stops,
            waits[len(waits) // 2] if waits else 0.0,
        )


def _groups(run: _Run) -> list[str]:
    name = f"{run.job.name}.0.0"
    return [f"{name}#" if run.job.step.gang else f"{name}.{run.indices[0]}"]
