"""Best-fit placement of tasks on workers.

Small tasks spread over all workers would leave no worker empty for large tasks. Each
task therefore goes to the worker that it leaves with the least free capacity, and
gangs whose members communicate go to one rack.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from chiveledge.placement._fleet import (
    FleetView,
    WorkerView,
    charged_usage,
    exclude_reserved,
)
from chiveledge.placement._order import StepDemand
from chiveledge.types import WorkerName
from chiveledge.workload import Usage

FAR_SLOWDOWN = 3.0
"""How many times as long a task takes on another rack than that of its data or of the
rest of its gang."""

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
    if not fleet.has_capacity(demand.service, demand.step, urgent=demand.urgent):
        return []
    candidates = fleet.candidates(demand)
    usable = candidates if demand.urgent else exclude_reserved(candidates)
    free = dict.fromkeys((worker.name for worker in candidates), NO_CAPACITY)
    free |= {worker.name: worker.free for worker in usable}
    near, far = find_pools(fleet, demand)
    pools = [*near, far]
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


class Pools(NamedTuple):
    """Workers for a demand, in sets of which one has to hold a gang.

    Attributes
    ----------
    near : list of list of WorkerView
        Sets on which the tasks are not slowed down, the preferred one first.
    far : list of WorkerView
        Workers to use if no near set will do; empty if the tasks wait for those.
    """

    near: list[list[WorkerView]]
    far: list[WorkerView]


def find_pools(fleet: FleetView, demand: StepDemand) -> Pools:
    """Return the sets of workers to try for a demand."""
    step = demand.step
    candidates = fleet.candidates(demand)
    if step.data_rack:
        near = [worker for worker in candidates if worker.rack == step.data_rack]
        far = [worker for worker in candidates if worker.rack != step.data_rack]
        return Pools([near], [] if near and not may_spread(demand) else far)
    if step.same_rack:
        racks = _group_racks(candidates)
        ordered = sorted(
            racks,
            key=lambda rack: (
                rack not in demand.preferred_racks,
                _sum_free_accelerators(racks[rack]),
            ),
        )
        waits = _fits_on_a_rack(fleet, demand) and not may_spread(demand)
        return Pools([racks[rack] for rack in ordered], [] if waits else candidates)
    return Pools([candidates], [])


def may_spread(demand: StepDemand) -> bool:
    """Return whether tasks that belong on one rack may run where they are slower.

    Load pattern: no rack has room for an urgent gang in a burst. Spread over the fleet
    it would be late all the same, and hold its workers several times as long while the
    next urgent jobs arrive. It is spread if it is in time even so, or once it has
    waited for as long as a spread run takes longer, so that it takes at most twice the
    time that was possible. A guarantee does not wait for a rack.
    """
    extra_s = (FAR_SLOWDOWN - 1) * demand.run_s
    return may_stop_for_far(demand) or demand.waited_s >= extra_s


def may_stop_for_far(demand: StepDemand) -> bool:
    """Return whether runs may be stopped for tasks where these are slower.

    Load pattern: gangs wider than any rack arrive in a burst. They are late wherever
    they run, so work that is stopped for them is lost for nothing.
    """
    extra_s = (FAR_SLOWDOWN - 1) * demand.run_s
    return demand.guaranteed or demand.remaining_s + extra_s <= demand.due_s


def _fits_on_a_rack(fleet: FleetView, demand: StepDemand) -> bool:
    """Return whether a rack could hold all waiting tasks if nothing else ran there."""
    usage = charged_usage(demand.step)
    fitting: Counter[str] = Counter()
    for worker in fleet.workers.values():
        if worker.service == demand.service:
            fitting[worker.rack] += usage.count_in(worker.capacity)
    return any(count >= len(demand.indices) for count in fitting.values())


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
    for worker in sorted(fitting, key=lambda w: _best_fit_key(w, free[w.name], usage)):
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
    return [
        Placement(index, worker.name)
        for index, worker in zip(demand.indices, chosen, strict=False)
    ]


def _best_fit_key(
    worker: WorkerView, free: Usage, usage: Usage
) -> tuple[bool, int, int, int, str]:
    """Sort key by what a task leaves free; suspected and slow workers come last."""
    left = free.minus(usage)
    return (
        worker.suspected or worker.slow,
        left.accelerators,
        left.memory_mb,
        left.millicores,
        worker.name,
    )


def _group_racks(workers: list[WorkerView]) -> dict[str, list[WorkerView]]:
    racks: dict[str, list[WorkerView]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return racks


def _sum_free_accelerators(workers: list[WorkerView]) -> int:
    return sum(worker.free.accelerators for worker in workers)
