"""Loads of an emulated fleet: sites, kinds of jobs, bursts, and how jobs are drawn."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from chiveledge.workload import JobRequest, Step, Usage

ARRIVALS_S = 34.0
"""Time during which jobs arrive."""

WORKSPACE_SKEW = 1.2
"""The n-th workspace hands in jobs in proportion to n to the power of minus this."""


class JobKind(NamedTuple):
    """Distribution from which the jobs of one kind are drawn.

    Attributes
    ----------
    priority : int
        Priority of the jobs; 0 is urgent.
    arrivals_per_s : float
        Mean rate of arrivals, as a Poisson process.
    mean_tasks, max_tasks : float, int
        Mean of the exponential distribution of a job's number of tasks, and its limit.
    mean_run_s, run_spread, max_run_s : float
        Mean, relative standard deviation and limit of a job's run time.
    millicores, memory_mb : int
        Usage of each task.
    accelerators : tuple of int
        Numbers of accelerators per task, one of which is drawn for each job.
    gang_share : float
        Share of jobs whose tasks are a gang.
    same_rack_share : float
        Share of the gangs that fit on a rack which run three times as long when spread
        over several.
    checkpoint_share : float
        Share of jobs that lose no work when they are stopped.
    stretch, target_s : float
        A job is due `stretch` times its run time plus `target_s` after its arrival.
    estimate_error : float
        Standard deviation of the logarithm of declared over actual run times.
    credit, late_credit : float
        Credit for a job that finishes in time, and for one that takes up to three times
        as long as allowed.
    """

    name: str
    priority: int
    arrivals_per_s: float
    mean_tasks: float
    max_tasks: int
    mean_run_s: float
    run_spread: float
    max_run_s: float
    millicores: int
    memory_mb: int
    accelerators: tuple[int, ...]
    gang_share: float
    same_rack_share: float
    checkpoint_share: float
    stretch: float
    target_s: float
    credit: float
    late_credit: float
    estimate_error: float = 0.3


class Site(NamedTuple):
    """A fleet and its load.

    Attributes
    ----------
    capacity : Usage
        Capacity of each worker.
    max_stop_s : float
        Longest time that a run takes to stop.
    slowdowns : tuple of float
        Factors by which runs take longer; the workers have them in turn.
    group : str
        Name under which results are averaged; set for random sites.
    workspaces : int
        Number of workspaces that hand jobs in.
    """

    name: str
    workers: int
    workers_per_rack: int
    capacity: Usage
    max_stop_s: float
    kinds: tuple[JobKind, ...]
    slowdowns: tuple[float, ...] = (1.0,)
    group: str = ""
    workspaces: int = 10

    def find_slowdown(self, worker: str) -> float:
        """Return the factor of a worker by its name."""
        return self.slowdowns[int(worker[1:]) % len(self.slowdowns)]


class Burst(NamedTuple):
    """A period in which jobs of a kind arrive `factor` times as often.

    With `workspace`, the number of one, all jobs of the kind are its then.
    """

    kind: str
    start_s: float
    duration_s: float
    factor: float
    workspace: int | None = None


@dataclass
class Job:
    """A job of the load and its progress."""

    kind: JobKind
    step: Step
    name: str
    arrival_s: float
    run_s: float
    remaining_s: list[float]
    done: set[int] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    started_s: float | None = None
    finished_s: float | None = None
    workspace: str = ""
    work: float = field(init=False)

    def __post_init__(self) -> None:
        self.work = self.step.usage.core_equivalents * sum(self.remaining_s)

    @property
    def request(self) -> JobRequest:
        return JobRequest(
            self.name, self.kind.name, self.workspace, "", (self.step,), 0
        )


def draw_jobs(site: Site, bursts: tuple[Burst, ...], rng: random.Random) -> list[Job]:
    """Return all jobs of a site, in order of arrival."""
    jobs = []
    for kind in site.kinds:
        at_s = 0.0
        while True:
            factor = 1.0
            for burst in bursts:
                inside = burst.start_s <= at_s < burst.start_s + burst.duration_s
                if burst.kind == kind.name and inside:
                    factor = burst.factor
            at_s += rng.expovariate(kind.arrivals_per_s * factor)
            if at_s > ARRIVALS_S:
                break
            jobs.append(_draw_job(site, kind, at_s, rng))
    jobs.sort(key=lambda job: job.arrival_s)
    for number, job in enumerate(jobs):
        job.name = f"{number:016x}"
    _assign_workspaces(site, bursts, jobs, rng.random())
    return jobs


def _assign_workspaces(
    site: Site, bursts: tuple[Burst, ...], jobs: list[Job], seed: float
) -> None:
    """Draw the workspace of each job; few hand in most of them."""
    rng = random.Random(seed)
    numbers = range(1, site.workspaces + 1)
    weights = [number**-WORKSPACE_SKEW for number in numbers]
    for job in jobs:
        number = rng.choices(numbers, weights)[0]
        for burst in bursts:
            inside = burst.start_s <= job.arrival_s < burst.start_s + burst.duration_s
            if burst.workspace and burst.kind == job.kind.name and inside:
                number = burst.workspace
        job.workspace = f"workspace-{number}"


def _draw_job(site: Site, kind: JobKind, at_s: float, rng: random.Random) -> Job:
    count = min(kind.max_tasks, max(1, round(rng.expovariate(1 / kind.mean_tasks))))
    run_s = rng.gauss(kind.mean_run_s, kind.mean_run_s * kind.run_spread)
    run_s = min(kind.max_run_s, max(0.3, run_s))
    gang = rng.random() < kind.gang_share
    usage = Usage(kind.millicores, kind.memory_mb, rng.choice(kind.accelerators))
    fits_rack = count <= site.workers_per_rack * usage.count_in(site.capacity)
    step = Step(
        count=count,
        usage=usage,
        estimate_s=run_s * math.exp(rng.gauss(0.0, kind.estimate_error)),
        gang=gang,
        same_rack=gang and rng.random() < kind.same_rack_share and fits_rack,
        checkpoints=rng.random() < kind.checkpoint_share,
    )
    task_runs_s = [
        run_s if gang else run_s * rng.uniform(0.7, 1.3) for _ in range(count)
    ]
    return Job(kind, step, "", at_s, max(task_runs_s), task_runs_s)
