"""What fits on the workers that a step may use is placed once no wait is left.

Random small fleets and demands are compared with a count that knows no preferences. A
gang for which each preferred set of workers was too small was never placed (review/6);
any preference that is added later is held to the same rule.
"""

from __future__ import annotations

import random

import pytest

from chiveledge.placement import FleetView, StepDemand, WorkerView, make_plan
from chiveledge.workload import Usage
from tests.placement.fleets import make_demand, make_fleet, make_run, make_worker

SEEDS = (*range(20), 1000, 1011)
FLEETS_PER_SEED = 150
LONG_WAIT_S = 60.0


def draw_worker(rng: random.Random, name: str) -> WorkerView:
    capacity = rng.choice([Usage(8000, 8000, 4), Usage(4000, 4000, 2)])
    runs = [
        make_run(f"a{index}", name, rng.randint(0, 2), index=index)
        for index in range(rng.choice([0, 0, 1, 2]))
    ]
    return make_worker(
        name,
        rng.choice(["r1", "r2", "r3"]),
        runs if sum(run.usage.accelerators for run in runs) <= 2 else (),
        capacity=capacity,
        accepting=rng.random() < 0.9,
        probing=rng.random() < 0.1,
        suspected=rng.random() < 0.2,
        slow=rng.random() < 0.2,
        cold=rng.random() < 0.2,
        slowdown=rng.choice([1.0, 1.0, 1.5]),
        trusted=rng.random() < 0.3,
        filling=rng.random() < 0.1,
        serving=rng.random() < 0.1,
        isolated_job=rng.choice([None, None, None, "other"]),
    )


def draw_demand(rng: random.Random, names: list[str]) -> StepDemand:
    kind = rng.choice(["plain", "plain", "filler", "latency"])
    allowed = frozenset(rng.sample(names, rng.randint(1, len(names))))
    return make_demand(
        "j",
        rng.randint(1, 8),
        rng.randint(0, 4),
        gang=rng.random() < 0.7,
        data_rack=rng.choice(["", "r1", "r2", "r9"]),
        same_rack=rng.random() < 0.3,
        max_per_worker=rng.choice([0, 0, 1, 2]),
        required_label=rng.choice(["", "", "r1"]),
        filler=kind == "filler",
        latency_target_ms=50 if kind == "latency" else 0,
        priority=rng.choice([0, 1, 2]),
        guaranteed=rng.random() < 0.2,
        allowed_workers=rng.choice([None, None, allowed]),
        waited_s=LONG_WAIT_S,
    )


def may_use(demand: StepDemand, worker: WorkerView) -> bool:
    step = demand.step
    return (
        worker.accepting
        and (demand.allowed_workers is None or worker.name in demand.allowed_workers)
        and (not step.required_label or step.required_label in worker.labels)
        and not (step.filler and worker.serving)
        and not (step.latency_target_ms and worker.filling)
        and (worker.isolated_job is None or demand.guaranteed)
    )


def count_by_adding(demand: StepDemand, worker: WorkerView, free: Usage) -> int:
    """Add tasks to a worker one by one until the next one doesn't fit."""
    usage = demand.step.usage
    if demand.step.filler:
        usage = usage._replace(millicores=0)
    limits = [len(demand.indices)]
    if demand.step.max_per_worker:
        limits.append(demand.step.max_per_worker)
    if worker.probing:
        limits.append(1)
    count = 0
    while count < min(limits) and usage.fits(free):
        free = free.minus(usage)
        count += 1
    return count


def count_placeable(demand: StepDemand, rooms: dict[str, int]) -> int:
    """Return how many tasks are to start, by how many each worker has room for."""
    wanted, room = len(demand.indices), sum(rooms.values())
    if demand.step.gang:
        return wanted if room >= wanted else 0
    return min(wanted, room)


def exclude_reserved(
    demand: StepDemand, fleet: FleetView, rooms: dict[str, int]
) -> dict[str, int]:
    """Return the rooms without reserved workers, unless the demand can't do so."""
    if demand.urgent:
        return rooms
    others = {n: room for n, room in rooms.items() if not fleet.workers[n].reserved}
    limit = demand.step.max_per_worker or len(demand.indices)
    usage = demand.step.usage
    if demand.step.filler:
        usage = usage._replace(millicores=0)
    if_empty = [min(limit, usage.count_in(fleet.workers[n].capacity)) for n in others]
    wanted = len(demand.indices) if demand.step.gang else 1
    return others if sum(if_empty) >= wanted else rooms


@pytest.mark.parametrize("seed", SEEDS)
def test_demand_is_placed_exactly_when_enough_tasks_fit(seed):
    rng = random.Random(seed)
    for _ in range(FLEETS_PER_SEED):
        names = [f"w{number}" for number in range(rng.randint(1, 6))]
        fleet = make_fleet(*(draw_worker(rng, name) for name in names))
        fleet.reserve_for_urgent("pool", rng.choice([0, 0, 1, 2]))
        demand = draw_demand(rng, names)
        rooms = {
            name: count_by_adding(demand, worker, worker.free)
            for name, worker in fleet.workers.items()
            if may_use(demand, worker)
        }
        expected = count_placeable(demand, exclude_reserved(demand, fleet, rooms))
        placed = [
            placement.worker
            for start in make_plan(fleet, [demand]).starts
            for placement in start.placements
        ]
        assert len(placed) == expected, (demand, fleet.workers)
        assert all(placed.count(name) <= rooms.get(name, 0) for name in placed)


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_demand_gets_room_exactly_when_stops_make_enough(seed):
    """An urgent gang that needed a stop and a worker that was to be probed waited until
    the probe was over: the workers to stop runs on were sought among the others."""
    rng = random.Random(seed)
    for _ in range(FLEETS_PER_SEED):
        names = [f"w{number}" for number in range(rng.randint(1, 6))]
        fleet = make_fleet(*(draw_worker(rng, name) for name in names))
        demand = draw_demand(rng, names)._replace(priority=0)
        rooms = {
            name: count_by_adding(demand, worker, worker.capacity)
            for name, worker in fleet.workers.items()
            if may_use(demand, worker)
        }
        placed = []
        waiting = [demand]
        for _ in range(demand.step.count):
            plan = make_plan(fleet, waiting)
            for part in (*plan.starts, *plan.deferred_starts):
                placed += [placement.worker for placement in part.placements]
            waiting = [
                row.demand._replace(indices=demand.indices[len(placed) :])
                for row in plan.deferred_starts
                if len(placed) < len(demand.indices)
            ]
        assert len(placed) == count_placeable(demand, rooms), (demand, fleet.workers)
        assert all(placed.count(name) <= rooms.get(name, 0) for name in placed)
