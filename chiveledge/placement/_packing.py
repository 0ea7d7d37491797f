"""Where tasks go: the tightest room that does them no harm.

Load answered: small tasks that would be spread over all workers and leave no whole
one to large tasks. Each task goes to the worker whose room it fills best, so that
empty workers stay empty; gangs whose tasks talk to each other go to one rack.
"""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.placement._fleet import (
    FleetView,
    WorkerView,
    charged_usage,
    without_kept,
)
from chiveledge.placement._order import StepDemand
from chiveledge.types import WorkerName
from chiveledge.workload import Usage

RACK_PATIENCE_S = 2.0
"""How long tasks wait for room on a rack on which they are not slowed down."""


NO_ROOM = Usage(-1, -1, -1)


class Placement(NamedTuple):
    """One task and the worker that it goes to."""

    index: int
    worker: WorkerName


def place_step(fleet: FleetView, demand: StepDemand) -> list[Placement]:
    """Choose workers with free room for a demand, and take the room.

    Returns
    -------
    list of Placement
        For a gang all tasks or none; else as many as there is room for.
    """
    if not fleet.has_room(demand.service, demand.step, urgent=demand.urgent):
        return []
    candidates = fleet.candidates(demand)
    usable = candidates if demand.urgent else without_kept(candidates)
    free = dict.fromkeys((worker.name for worker in candidates), NO_ROOM)
    free |= {worker.name: worker.free for worker in usable}
    pools = list_pools(candidates, demand)
    if demand.step.gang:
        for pool in pools:
            chosen = _place_gang(fleet, demand, pool, free)
            if chosen:
                return _take(fleet, demand, chosen)
        return []
    chosen: list[WorkerView] = []
    for pool in pools:
        wanted = len(demand.indices) - len(chosen)
        if wanted > 0:
            chosen += fill_pool(fleet, demand, pool, free, wanted)
    return _take(fleet, demand, chosen)


def list_pools(
    candidates: list[WorkerView], demand: StepDemand
) -> list[list[WorkerView]]:
    """Return groups of workers to try one after another, the best group first."""
    step = demand.step
    patient = demand.waited_s < RACK_PATIENCE_S
    if step.data_rack:
        near = [worker for worker in candidates if worker.rack == step.data_rack]
        far = [worker for worker in candidates if worker.rack != step.data_rack]
        return [near] if patient and near else [near, far]
    if step.same_rack:
        racks = _group_racks(candidates)
        ordered = sorted(
            racks, key=lambda rack: (rack not in demand.near, _free_sum(racks[rack]))
        )
        pools = [racks[rack] for rack in ordered]
        return pools if patient and len(pools) > 1 else [*pools, candidates]
    return [candidates]


def fill_pool(
    fleet: FleetView,
    demand: StepDemand,
    pool: list[WorkerView],
    free: dict[WorkerName, Usage],
    wanted: int,
) -> list[WorkerView]:
    """Return a worker for each of up to `wanted` tasks; `free` is used up."""
    usage = charged_usage(demand.step)
    chosen: list[WorkerView] = []
    roomy = [worker for worker in pool if usage.fits(free[worker.name])]
    for worker in sorted(roomy, key=lambda w: _tightness(w, free[w.name], usage)):
        count = fleet.room_for(worker, demand.step, demand.step_name, free[worker.name])
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


def _take(
    fleet: FleetView, demand: StepDemand, chosen: list[WorkerView]
) -> list[Placement]:
    for worker in chosen:
        fleet.take(worker, demand.step, demand.step_name)
    return [
        Placement(index, worker.name)
        for index, worker in zip(demand.indices, chosen, strict=False)
    ]


def _tightness(
    worker: WorkerView, free: Usage, usage: Usage
) -> tuple[bool, int, int, int, str]:
    left = free.minus(usage)
    return (
        worker.doubted or worker.slow,
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


def _free_sum(workers: list[WorkerView]) -> int:
    return sum(worker.free.accelerators for worker in workers)
