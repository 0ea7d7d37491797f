"""Best-fit placement of tasks on workers.

Small tasks spread over all workers would leave no worker empty for large tasks. Each
task therefore goes to the worker that it leaves with the least free capacity, and
gangs whose members communicate go to one rack.
"""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.placement._fleet import FleetView, exclude_reserved
from chiveledge.placement._order import StepDemand
from chiveledge.placement._pools import is_slowed_by_distance, list_pools
from chiveledge.placement._worker_view import WorkerView, charged_usage
from chiveledge.types import WorkerName
from chiveledge.workload import Usage

NO_CAPACITY = Usage(-1, -1, -1)
"""Free capacity of a reserved worker: not even a task without any usage fits."""


class Placement(NamedTuple):
    """Index of a task in its step and the worker that it is placed on."""

    index: int
    worker: WorkerName


def place_step(fleet: FleetView, demand: StepDemand) -> list[Placement]:
    """Allocate free capacity of workers to the tasks of a demand.

    Returns
    -------
    list of Placement
        For a gang all tasks or none; otherwise as many tasks as fit.
    """
    if not fleet.has_capacity(demand):
        return []
    candidates = fleet.candidates(demand)
    usable = candidates if demand.urgent else exclude_reserved(candidates, demand)
    free = dict.fromkeys((worker.name for worker in candidates), NO_CAPACITY)
    free |= {worker.name: worker.free for worker in usable}
    pools = list_pools(candidates, demand)
    pools = [*_list_full_speed_pools(pools, demand), *pools]
    if demand.step.gang:
        for pool in pools:
            chosen = _place_gang(fleet, demand, pool, free)
            if chosen:
                return _allocate(fleet, demand, chosen)
        return []
    chosen: list[WorkerView] = []
    for pool in pools:
        wanted = len(demand.indices) - len(chosen)
        if wanted > 0:
            chosen += fill_pool(fleet, demand, pool, free, wanted)
    return _allocate(fleet, demand, chosen)


def _list_full_speed_pools(
    pools: list[list[WorkerView]], demand: StepDemand
) -> list[list[WorkerView]]:
    """Return the workers at full speed of each pool, for an urgent gang among others.

    A gang ends with its slowest member.
    """
    if not demand.urgent or not demand.step.gang:
        return []
    if all(worker.slowdown <= 1.0 for pool in pools for worker in pool):
        return []
    # Distance slows the gang down more than a slower worker.
    return [
        [worker for worker in pool if worker.slowdown <= 1.0]
        for pool in pools
        if not is_slowed_by_distance(pool, demand.step)
    ]


def fill_pool(
    fleet: FleetView,
    demand: StepDemand,
    pool: list[WorkerView],
    free: dict[WorkerName, Usage],
    wanted: int,
) -> list[WorkerView]:
    """Choose workers for up to `wanted` tasks by best fit and update `free`."""
    usage = charged_usage(demand.step)
    chosen: list[WorkerView] = []
    fitting = [worker for worker in pool if usage.fits(free[worker.name])]
    for worker in sorted(
        fitting,
        key=lambda w: _best_fit_key(w, free[w.name], usage, demand),
    ):
        count = fleet.count_fitting(
            worker, demand.step, demand.step_name, free[worker.name]
        )
        for _ in range(min(count, wanted - len(chosen))):
            chosen.append(worker)
            free[worker.name] = free[worker.name].minus(usage)
        if len(chosen) == wanted:
            break
    return chosen


def _place_gang(
    fleet: FleetView,
    demand: StepDemand,
    pool: list[WorkerView],
    free: dict[WorkerName, Usage],
) -> list[WorkerView]:
    trial = dict(free)
    chosen = fill_pool(fleet, demand, pool, trial, len(demand.indices))
    return chosen if len(chosen) == len(demand.indices) else []


def _allocate(
    fleet: FleetView, demand: StepDemand, chosen: list[WorkerView]
) -> list[Placement]:
    for worker in chosen:
        fleet.allocate(worker, demand.step, demand.step_name)
        fleet.assign_job(worker, demand)
    return [
        Placement(index, worker.name)
        for index, worker in zip(demand.indices, chosen, strict=False)
    ]


def _best_fit_key(
    worker: WorkerView, free: Usage, usage: Usage, demand: StepDemand
) -> tuple[bool, bool, float, bool, int, int, int, str]:
    """Sort key by what a task leaves free.

    Workers that are kept for another job come last, after suspected and slow ones and,
    for urgent tasks, cold ones. A gang that needs workers near and far from its data
    is as slow as on far ones alone, so it leaves the near ones to others.
    """
    left = free.minus(usage)
    step = demand.step
    return (
        worker.isolated_job not in (None, demand.job_id),
        worker.suspected or worker.slow or (demand.urgent and worker.cold),
        worker.slowdown if demand.urgent else 1.0,
        step.gang and worker.rack == step.data_rack,
        left.accelerators,
        left.memory_mb,
        left.millicores,
        worker.name,
    )
