"""Selects the runs to stop for an urgent demand so that the least work is lost.

This is needed when an urgent gang arrives while other workspaces have borrowed all
the capacity. The members of a gang stop together, so the loss of stopping one is that
of all; work with a checkpoint loses only what it did since. Capacity that earlier
stops will release is used before more runs are stopped.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappop, heappush
from typing import NamedTuple

from chiveledge.placement._fleet import FleetView
from chiveledge.placement._order import StepDemand
from chiveledge.placement._packing import Placement
from chiveledge.placement._pools import list_pools
from chiveledge.placement._worker_view import RunView, WorkerView, charged_usage
from chiveledge.types import WorkerName
from chiveledge.workload import Usage

STOP_LOSS_CORE_S = 0.5
"""Loss counted for each stopped group in addition to its work, so that stopping runs
that lose nothing is not free."""


class Eviction(NamedTuple):
    """Placements for a demand and the groups of runs to stop for them.

    Attributes
    ----------
    loss : float
        Core-seconds that the stops lose.
    late : bool
        Whether a task is placed on a worker so slow that its job is late.
    """

    placements: list[Placement]
    groups: frozenset[str]
    loss: float
    late: bool = False


class _StopCost(NamedTuple):
    """Cost of the stops that free capacity for one more task on a worker.

    Attributes
    ----------
    loss : float
        Core-seconds that the stops would lose.
    groups : tuple of str
        Groups of runs that would be stopped.
    """

    loss: float
    groups: tuple[str, ...]


NO_STOP = _StopCost(0.0, ())


class _QueueRank(NamedTuple):
    """Order in which workers get tasks."""

    late: bool
    loss: float
    free: Usage
    name: WorkerName


class _TrialAllocation:
    """Allocates the tasks of one demand tentatively, stopping groups of runs.

    The fleet itself is not changed, except that costs on workers that the trial has
    not changed are cached in `WorkerView.stop_costs`: the urgent jobs of a burst ask
    for the same usage.

    Attributes
    ----------
    free : dict
        Free capacity of the workers that the trial has changed.
    groups : set of str
        Groups of runs that would be stopped.
    loss : float
        Core-seconds that these stops would lose.
    """

    def __init__(self, fleet: FleetView, demand: StepDemand) -> None:
        self._fleet = fleet
        self._demand = demand
        self._usage = charged_usage(demand.step)
        self._stop_costs: dict[str, _StopCost | None] = {}
        self._placed: dict[str, int] = {}
        self.free: dict[str, Usage] = {}
        self.groups: set[str] = set()
        self.loss = 0.0
        self.placements: list[Placement] = []

    def free_capacity(self, worker: WorkerView) -> Usage:
        return self.free.get(worker.name, worker.future_free)

    def stop_cost(self, worker: WorkerView) -> _StopCost | None:
        """Return the cost of one more task; None if no stops make it fit."""
        if not self._accepts_task(worker):
            return None
        if worker.name in self.free:
            if worker.name not in self._stop_costs:
                self._stop_costs[worker.name] = self._compute_stop_cost(worker)
            return self._stop_costs[worker.name]
        cache_key = (self._usage, self._demand.priority)
        if cache_key not in worker.stop_costs:
            worker.stop_costs[cache_key] = self._compute_stop_cost(worker)
        return worker.stop_costs[cache_key]

    def _compute_stop_cost(self, worker: WorkerView) -> _StopCost | None:
        free = self.free_capacity(worker)
        if self._usage.fits(free):
            return NO_STOP
        chosen: list[str] = []
        loss = 0.0
        for group, group_loss, usage in self._cheapest_groups(worker):
            free = free.plus(usage)
            chosen.append(group)
            loss += group_loss
            if self._usage.fits(free):
                return self._drop_unneeded(worker, free, chosen, loss)
        return None

    def place_next(self, worker: WorkerView, stop_cost: _StopCost) -> set[WorkerName]:
        """Place the next task of the demand on a worker and stop the groups.

        Returns
        -------
        set of str
            Workers on which the cost of one more task may have changed.
        """
        changed = {worker.name}
        for group in stop_cost.groups:
            self.groups.add(group)
            for run in self._fleet.groups[group]:
                holder = self._fleet.workers[run.worker]
                self.free[holder.name] = self.free_capacity(holder).plus(run.usage)
                self._stop_costs.pop(holder.name, None)
                changed.add(holder.name)
        index = self._demand.indices[len(self.placements)]
        self.free[worker.name] = self.free_capacity(worker).minus(self._usage)
        self._stop_costs.pop(worker.name, None)
        self._placed[worker.name] = self._placed.get(worker.name, 0) + 1
        self.placements.append(Placement(index, worker.name))
        self.loss += stop_cost.loss
        return changed

    def _accepts_task(self, worker: WorkerView) -> bool:
        placed_here = self._placed.get(worker.name, 0)
        if worker.probing and (worker.probe_running or placed_here):
            return False
        limit = self._demand.step.max_per_worker
        if not limit:
            return True
        placed = self._fleet.count_placed(worker, self._demand.step_name)
        return placed + placed_here < limit

    def _cheapest_groups(self, worker: WorkerView) -> list[tuple[str, float, Usage]]:
        """Return group, loss and usage on the worker, the least loss first."""
        usages: dict[str, Usage] = {}
        for run in worker.runs:
            if run.group not in self.groups and self._is_preemptible(run):
                usages[run.group] = usages.get(run.group, Usage()).plus(run.usage)
        rows = [
            (group, self._group_loss(group), usage) for group, usage in usages.items()
        ]
        return sorted(rows, key=lambda row: (row[1], row[0]))

    def _is_preemptible(self, run: RunView) -> bool:
        is_lower = run.priority > self._demand.priority
        return is_lower and run.movable and run.group not in self._fleet.ending_groups

    def _group_loss(self, group: str) -> float:
        return STOP_LOSS_CORE_S + sum(run.loss for run in self._fleet.groups[group])

    def _drop_unneeded(
        self, worker: WorkerView, free: Usage, chosen: list[str], loss: float
    ) -> _StopCost:
        """Spare the groups, the largest loss first, without which the task fits."""
        for group in sorted(chosen, key=self._group_loss, reverse=True):
            usage = Usage()
            for run in worker.runs:
                if run.group == group:
                    usage = usage.plus(run.usage)
            if self._usage.fits(free.minus(usage)):
                free = free.minus(usage)
                chosen.remove(group)
                loss -= self._group_loss(group)
        return _StopCost(loss, tuple(chosen))


class _WorkerQueue:
    """Workers on which a task can be placed, the one of the least cost first.

    Placing a task changes the cost on few workers. A search of all of them for each
    of thousands of tasks would take longer than a leader may be silent.

    Parameters
    ----------
    trial : _TrialAllocation
        Gives the cost of one more task.
    fleet, demand, pool
        Workers, the demand, and the workers to queue.
    """

    def __init__(
        self,
        trial: _TrialAllocation,
        fleet: FleetView,
        demand: StepDemand,
        pool: list[WorkerView],
    ) -> None:
        self._trial = trial
        self._fleet = fleet
        self._demand = demand
        self._pool = {worker.name: worker for worker in pool}
        self._versions = dict.fromkeys(self._pool, 0)
        self._entries: list[tuple[_QueueRank, int, _StopCost]] = []
        for worker in pool:
            self._push(worker)

    def pop(self) -> tuple[WorkerView, _StopCost] | None:
        """Remove and return the first worker and its cost, None if there is none."""
        while self._entries:
            rank, version, stop_cost = heappop(self._entries)
            if version == self._versions[rank.name]:
                return self._pool[rank.name], stop_cost
        return None

    def update(self, changed: Iterable[WorkerName]) -> None:
        """Queue workers again whose cost may have changed."""
        for name in changed:
            if name in self._pool:
                self._versions[name] += 1
                self._push(self._pool[name])

    def _push(self, worker: WorkerView) -> None:
        stop_cost = self._trial.stop_cost(worker)
        if stop_cost is None:
            return
        rank = _QueueRank(
            self._fleet.is_late_after_stop(worker, self._demand),
            stop_cost.loss,
            self._trial.free_capacity(worker),
            worker.name,
        )
        heappush(self._entries, (rank, self._versions[worker.name], stop_cost))


def choose_victims(fleet: FleetView, demand: StepDemand) -> Eviction | None:
    """Choose workers for the waiting tasks of a demand and the runs to stop there.

    Returns
    -------
    Eviction or None
        The eviction that places the most tasks (for a gang all of them), and of these
        the one with the least loss found by a greedy search. None if no task can be
        placed, or not the whole gang, even by stopping all runs of lower priority.
    """
    candidates = fleet.candidates(demand)
    sound = [worker for worker in candidates if not worker.probing]
    best = _choose_among(fleet, demand, sound)
    if len(sound) == len(candidates):
        return best
    if best is not None and len(best.placements) == len(demand.indices):
        return best
    # A probe may fail, so it is worth a stop only for tasks that fit nowhere else.
    with_probes = _choose_among(fleet, demand, candidates)
    return min((e for e in (best, with_probes) if e), key=_rank, default=None)


def _choose_among(
    fleet: FleetView, demand: StepDemand, workers: list[WorkerView]
) -> Eviction | None:
    """Return the best eviction on one set that the demand prefers, or else on all."""
    evictions = (
        _place_in_pool(fleet, demand, pool) for pool in list_pools(workers, demand)
    )
    best = min((e for e in evictions if e), key=_rank, default=None)
    return best or _place_in_pool(fleet, demand, workers)


def _rank(eviction: Eviction) -> tuple[int, bool, float]:
    return -len(eviction.placements), eviction.late, eviction.loss


def _place_in_pool(
    fleet: FleetView, demand: StepDemand, pool: list[WorkerView]
) -> Eviction | None:
    trial = _TrialAllocation(fleet, demand)
    queue = _WorkerQueue(trial, fleet, demand, pool)
    while len(trial.placements) < len(demand.indices):
        cheapest = queue.pop()
        if cheapest is None:
            break
        worker, stop_cost = cheapest
        queue.update(trial.place_next(worker, stop_cost))
    missing = len(demand.indices) - len(trial.placements)
    if not trial.placements or (missing and demand.step.gang):
        return None
    late = any(
        fleet.is_late_after_stop(fleet.workers[row.worker], demand)
        for row in trial.placements
    )
    return Eviction(trial.placements, frozenset(trial.groups), trial.loss, late)
