"""Tasks that wait until the runs that were stopped for them release their capacity."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.drains import KnownDrains
from chiveledge.placement import DeferredStart, Placement, StepDemand, charged_usage
from chiveledge.types import WorkerName
from chiveledge.workload import JobProgress, TaskName, Usage

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


class Reservations(NamedTuple):
    """What the pending starts still wait for.

    Attributes
    ----------
    usage : dict
        Capacity on each worker that is reserved for them.
    tasks : set of TaskName
        Their tasks, which need no other placement.
    placed : Counter
        Number of their tasks by name of the step and worker.
    """

    usage: dict[WorkerName, Usage]
    tasks: set[TaskName]
    placed: Counter[tuple[str, WorkerName]]


class PendingStarts:
    """The deferred starts of a leader term that have not started yet.

    Parameters
    ----------
    links, jobs : dict
        State of each worker by name, and all jobs by ID.
    start : callable
        Starts tasks of a demand at their placements.
    drains : callable
        Returns the drains of failure domains as far as they are known.
    """

    def __init__(
        self,
        links: dict[WorkerName, WorkerLink],
        jobs: dict[str, JobProgress],
        start: Callable[[StepDemand, list[Placement]], None],
        drains: Callable[[], KnownDrains],
    ) -> None:
        self._links = links
        self._jobs = jobs
        self._start = start
        self._drains = drains
        self._pending: list[PendingStart] = []

    def add(self, deferred: DeferredStart, now_s: float) -> None:
        """Add a deferred start whose runs to stop have got their orders."""
        self._pending.append(PendingStart(deferred, now_s))

    def review(self, now_s: float) -> Reservations:
        """Start the tasks whose capacity is free by now; reserve that of the others."""
        reservations = Reservations({}, set(), Counter())
        pending: list[PendingStart] = []
        for item in self._pending:
            if self._is_obsolete(item, now_s):
                continue
            waiting = self._drop_done_tasks(item.deferred)
            remaining = self._start_fitting_tasks(waiting, reservations.usage)
            if remaining is not None:
                pending.append(PendingStart(remaining, item.since_s))
                _reserve(remaining, reservations)
        self._pending = pending
        return reservations

    def _is_obsolete(self, item: PendingStart, now_s: float) -> bool:
        job = self._jobs[item.deferred.demand.job_id]
        if job.state.ended or now_s - item.since_s > PENDING_START_TIMEOUT_S:
            return True
        return not self._can_still_start(item.deferred, now_s)

    def _can_still_start(self, deferred: DeferredStart, now_s: float) -> bool:
        drains = self._drains()
        for placement in deferred.placements:
            link = self._links.get(placement.worker)
            if link is None or not link.listed or link.entry.draining:
                return False
            if not drains.may_start_in(link.entry.domain):
                return False
            if link.emptying or not link.is_described:
                return False
            if link.unresponsive_since_s is not None:
                return False
            if not deferred.demand.may_join(link.find_isolated_job(now_s)):
                return False
        return True

    def _drop_done_tasks(self, deferred: DeferredStart) -> DeferredStart:
        """Drop tasks that turned out done; an end may come after its run was closed."""
        demand = deferred.demand
        job = self._jobs[demand.job_id]
        tasks = job.open_occurrence(demand.occurrence)[demand.step_number].tasks
        return deferred._replace(
            placements=[p for p in deferred.placements if not tasks[p.index].done]
        )

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
                link.name,
                link.entry.capacity.minus(link.occupied).minus(reserved_usage),
            )
            if usage.fits(free):
                free_after[link.name] = free.minus(usage)
                fitting.append(placement)
        if deferred.demand.step.gang and len(fitting) < len(deferred.placements):
            fitting = []
        if fitting:
            self._start(deferred.demand, fitting)
        remaining = [p for p in deferred.placements if p not in fitting]
        return deferred._replace(placements=remaining) if remaining else None


def _reserve(deferred: DeferredStart, reservations: Reservations) -> None:
    demand = deferred.demand
    usage = charged_usage(demand.step)
    for placement in deferred.placements:
        before = reservations.usage.get(placement.worker, Usage())
        reservations.usage[placement.worker] = before.plus(usage)
        reservations.placed[demand.step_name, placement.worker] += 1
        reservations.tasks.add(
            TaskName(
                demand.job_id, demand.occurrence, demand.step_number, placement.index
            )
        )
