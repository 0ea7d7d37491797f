"""Snapshot of the workers for placement: free capacity, racks, labels and runs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from functools import cached_property

from chiveledge.placement._order import StepDemand
from chiveledge.placement._worker_view import (
    RunView,
    WorkerView,
    charged_usage,
    count_if_empty,
)
from chiveledge.types import WorkerName
from chiveledge.workload import Step, Usage

HANDLING_S = 0.3
"""Time for the commits and the read that show a job's completion to its caller."""


MAX_APART_SHARE = 0.5
"""Largest share of a service's workers that are kept for jobs under suspicion."""


class FleetView:
    """Snapshot of all workers, from which decisions allocate capacity.

    Parameters
    ----------
    workers : iterable of WorkerView
        Every known worker.
    stop_s : float, optional
        Longest time that a stop takes.

    Attributes
    ----------
    ending_groups : set of str
        Groups of runs that are about to finish and whose capacity is included in
        `WorkerView.future_free`.
    """

    def __init__(self, workers: Iterable[WorkerView], stop_s: float = 0.0) -> None:
        self.stop_s = stop_s
        self.workers = {worker.name: worker for worker in workers}
        self._accepting: dict[str, list[WorkerView]] = defaultdict(list)
        for worker in self.workers.values():
            if worker.accepting:
                self._accepting[worker.service].append(worker)
        self._allocated: Counter[tuple[str, WorkerName]] = Counter()
        self.ending_groups: set[str] = set()
        self._too_large: dict[tuple[str, str, bool], list[Usage]] = defaultdict(list)

    @cached_property
    def groups(self) -> dict[str, list[RunView]]:
        """All runs by group."""
        groups: dict[str, list[RunView]] = defaultdict(list)
        for worker in self.workers.values():
            for run in worker.runs:
                groups[run.group].append(run)
        return groups

    def reserve_for_urgent(self, service: str, count: int) -> None:
        """Reserve the `count` emptiest workers of a service for urgent work."""
        emptiest = sorted(
            self._accepting[service],
            key=lambda worker: (
                -worker.slowdown,
                worker.future_free,
                worker.free,
                worker.name,
            ),
            reverse=True,
        )
        for worker in emptiest[:count]:
            worker.reserved = True

    def accepting(self, service: str) -> list[WorkerView]:
        """Return the workers of a service on which new runs may start."""
        return self._accepting[service]

    def sum_capacities(self) -> dict[str, Usage]:
        """Return the capacity of the workers of each service that accept runs."""
        capacities = {}
        for service, workers in self._accepting.items():
            amounts = zip(*(worker.capacity for worker in workers), strict=True)
            capacities[service] = Usage(*map(sum, amounts))
        return capacities

    def has_capacity(self, demand: StepDemand) -> bool:
        """Return whether a task of a demand may fit on any worker now.

        Hundreds of steps may wait for a full fleet. Free capacity only shrinks while
        a plan is made, so usages that fit nowhere are cached, and a step that needs
        as much or more is turned down without a search.
        """
        if self._fits_nowhere(demand, with_reserved=True):
            return False
        if demand.urgent or _has_fewer_candidates(demand):
            return True
        if not self._fits_nowhere(demand, with_reserved=False):
            return True
        unreserved = (
            worker
            for worker in self._list_labelled(demand, with_reserved=False)
            if demand.may_join(worker.isolated_job)
        )
        return not can_hold(unreserved, demand.step, demand.min_tasks)

    def _fits_nowhere(self, demand: StepDemand, *, with_reserved: bool) -> bool:
        usage = charged_usage(demand.step)
        key = demand.service, demand.step.required_label, with_reserved
        too_large = self._too_large[key]
        if any(known.fits(usage) for known in too_large):
            return True
        workers = self._list_labelled(demand, with_reserved=with_reserved)
        if any(usage.fits(worker.free) for worker in workers):
            return False
        too_large.append(usage)
        return True

    def _list_labelled(
        self, demand: StepDemand, *, with_reserved: bool
    ) -> Iterator[WorkerView]:
        """Yield the accepting workers that have the label a step requires."""
        label = demand.step.required_label
        for worker in self._accepting[demand.service]:
            if (not label or label in worker.labels) and (
                with_reserved or not worker.reserved
            ):
                yield worker

    def has_full_speed_capacity(self, service: str, step: Step, count: int) -> bool:
        """Return whether `count` tasks of a step fit now on workers at full speed."""
        usage = charged_usage(step)
        label = step.required_label
        return count <= sum(
            usage.count_in(worker.free)
            for worker in self._accepting[service]
            if not worker.slow and (not label or label in worker.labels)
        )

    def add_ending_capacity(self) -> None:
        """Add the capacity of groups about to finish to `WorkerView.future_free`.

        On a full fleet some runs finish at any moment. An urgent job that waits for
        them loses no other job's work. The capacity of a gang counts only if all its
        members are about to finish.
        """
        for group, runs in self.groups.items():
            if group in self.ending_groups or not all(run.ending for run in runs):
                continue
            self.ending_groups.add(group)
            for run in runs:
                worker = self.workers[run.worker]
                worker.future_free = worker.future_free.plus(run.usage)
                worker.stop_costs.clear()

    def evict(self, groups: Iterable[str]) -> None:
        """Remove groups of runs and add their capacity to `WorkerView.future_free`."""
        for group in groups:
            for run in self.groups.pop(group):
                holder = self.workers[run.worker]
                holder.future_free = holder.future_free.plus(run.usage)
                holder.runs.remove(run)
                holder.stop_costs.clear()

    def candidates(self, demand: StepDemand) -> list[WorkerView]:
        """Return the workers on which a demand's tasks may run, full ones included.

        Some workers fail every start for some seconds, and each attempt of a wide
        gang would include one of them. Tasks that have failed before therefore go
        only to trusted workers if there are any.
        """
        step = demand.step
        found = [
            worker
            for worker in self._accepting[demand.service]
            if (demand.allowed_workers is None or worker.name in demand.allowed_workers)
            and (not step.required_label or step.required_label in worker.labels)
            and not (demand.avoids_suspected and worker.suspected)
            and not (demand.avoids_suspected and worker.name in demand.failed_on)
            and not (step.filler and worker.serving)
            and not (step.latency_target_ms and worker.filling)
            and demand.may_join(worker.isolated_job)
        ]
        if demand.starts_apart:
            return self._list_apart(found, demand)
        trusted = [worker for worker in found if worker.trusted]
        return trusted if demand.avoids_suspected and trusted else found

    def count_keepable(self, service: str) -> int:
        """Return how many workers may be kept for jobs under suspicion."""
        return int(len(self._accepting[service]) * MAX_APART_SHARE)

    def is_mostly_free(self, service: str) -> bool:
        """Return whether under half of a service's capacity is in use."""
        workers = self._accepting[service]
        capacity = sum(worker.capacity.core_equivalents for worker in workers)
        return sum(w.free.core_equivalents for w in workers) > capacity / 2

    def _list_apart(
        self, workers: list[WorkerView], demand: StepDemand
    ) -> list[WorkerView]:
        """Return workers to keep apart for a job, as many as there may be."""
        accepting = self._accepting[demand.service]
        kept = sum(worker.isolated_job is not None for worker in accepting)
        left = max(0, self.count_keepable(demand.service) - kept)
        own = [worker for worker in workers if worker.isolated_job == demand.job_id]
        others = [worker for worker in workers if worker.isolated_job is None]
        usage = charged_usage(demand.step)
        empty = [w for w in others if w.has_only(demand.job_id) and usage.fits(w.free)]
        room = sum(usage.count_in(worker.free) for worker in own + empty[:left])
        if room >= demand.min_tasks or not demand.joins_older_runs:
            return own + empty[:left]
        quiet = [w for w in others if w.has_only(demand.job_id, or_older_runs=True)]
        quiet.sort(key=lambda w: (not usage.fits(w.free), len(w.runs), w.name))
        return own + quiet[:left]

    def is_late_after_stop(self, worker: WorkerView, demand: StepDemand) -> bool:
        """Return whether a job is late on a slower worker once it waited for a stop."""
        if worker.slowdown <= 1.0:
            return False
        extra_s = (worker.slowdown - 1.0) * demand.run_s
        finish_s = self.stop_s + demand.remaining_s + extra_s + HANDLING_S
        return finish_s > demand.due_s

    def count_fitting(
        self, worker: WorkerView, step: Step, step_name: str, free: Usage
    ) -> int:
        """Return how many more tasks of a step a worker may run in `free` capacity."""
        count = charged_usage(step).count_in(free)
        if step.max_per_worker:
            placed = self.count_placed(worker, step_name)
            count = min(count, step.max_per_worker - placed)
        if worker.probing:
            count = min(count, 0 if worker.probe_running else 1)
        return max(0, count)

    def count_placed(self, worker: WorkerView, step_name: str) -> int:
        """Return how many tasks of a step run on a worker or are allocated to it."""
        running = sum(run.task.step_name == step_name for run in worker.runs)
        return running + self._allocated[step_name, worker.name]

    def count_as_placed(self, placed: Counter[tuple[str, WorkerName]]) -> None:
        """Count tasks that wait for stops, by name of the step and worker."""
        self._allocated.update(placed)

    def assign_job(self, worker: WorkerView, demand: StepDemand) -> None:
        """Record that a task of a demand was allocated to a worker."""
        worker.allocated_jobs.add(demand.job_id)
        if demand.starts_apart:
            worker.isolated_job = demand.job_id

    def allocate(self, worker: WorkerView, step: Step, step_name: str) -> None:
        """Allocate capacity to a task that starts now."""
        worker.free = worker.free.minus(charged_usage(step))
        self.allocate_future(worker, step, step_name)

    def allocate_future(self, worker: WorkerView, step: Step, step_name: str) -> None:
        """Allocate capacity to a task that starts once other runs have ended."""
        worker.future_free = worker.future_free.minus(charged_usage(step))
        worker.free = worker.free.elementwise_min(worker.future_free)
        worker.stop_costs.clear()
        self._allocated[step_name, worker.name] += 1
        worker.serving |= bool(step.latency_target_ms)
        worker.filling |= step.filler
        worker.probe_running |= worker.probing


def _has_fewer_candidates(demand: StepDemand) -> bool:
    """Return whether more than labels and kept workers limits where tasks may run."""
    step = demand.step
    return (
        demand.allowed_workers is not None
        or demand.avoids_suspected
        or demand.starts_apart
        or step.filler
        or step.latency_target_ms > 0
    )


def can_hold(workers: Iterable[WorkerView], step: Step, count: int) -> bool:
    """Return whether `count` tasks of a step would fit if the workers were empty."""
    held = 0
    for worker in workers:
        held += count_if_empty(worker.capacity, step)
        if held >= count:
            return True
    return False


def exclude_reserved(workers: list[WorkerView], demand: StepDemand) -> list[WorkerView]:
    """Return the workers that are not reserved for urgent work.

    All are returned if the others can't hold the tasks even when they are empty. Such
    work would otherwise not start as long as urgent jobs keep arriving.
    """
    unreserved = [worker for worker in workers if not worker.reserved]
    if len(unreserved) == len(workers):
        return workers
    if can_hold(unreserved, demand.step, demand.min_tasks):
        return unreserved
    return workers
