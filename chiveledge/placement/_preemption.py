"""Whose work is stopped for an urgent job: what loses the least.

Load answered: an urgent gang arrives while others have borrowed all the room.
Members of a gang stop together, so stopping one counts the loss of all; work that
saved its progress counts only what it did since. Room that earlier stops will leave
is used before more work is stopped.
"""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.placement._fleet import (
    FleetView,
    RunView,
    WorkerView,
    charged_usage,
)
from chiveledge.placement._order import StepDemand
from chiveledge.placement._packing import Placement, list_pools
from chiveledge.workload import Usage

STOP_LOSS = 0.5
"""Core-seconds that any stop counts, so that needless stops are not free."""


class Eviction(NamedTuple):
    """Workers for a demand and the groups of runs that make room there."""

    placements: list[Placement]
    groups: frozenset[str]
    loss: float


class _Price(NamedTuple):
    """What room for one more task on a worker costs.

    Attributes
    ----------
    loss : float
        Core-seconds that the stops would lose.
    groups : tuple of str
        Groups of runs that would be stopped.
    """

    loss: float
    groups: tuple[str, ...]


NO_STOP = _Price(0.0, ())


class _Trial:
    """Room on workers as groups of runs are given up one by one.

    Prices of workers that the trial has not changed are shared between the demands
    of a plan, as bursts of urgent jobs ask for the same room.
    """

    def __init__(self, fleet: FleetView, demand: StepDemand) -> None:
        self._fleet = fleet
        self._demand = demand
        self._usage = charged_usage(demand.step)
        self._prices: dict[str, _Price | None] = {}
        self._placed: dict[str, int] = {}
        self.free: dict[str, Usage] = {}
        self.groups: set[str] = set()
        self.loss = 0.0
        self.placements: list[Placement] = []

    def room(self, worker: WorkerView) -> Usage:
        return self.free.get(worker.name, worker.later)

    def price(self, worker: WorkerView) -> _Price | None:
        """Return what one more task costs there; None if it can't have room."""
        if not self._admits(worker):
            return None
        if worker.name in self.free:
            if worker.name not in self._prices:
                self._prices[worker.name] = self._find_price(worker)
            return self._prices[worker.name]
        shared = (self._usage, self._demand.priority)
        if shared not in worker.prices:
            worker.prices[shared] = self._find_price(worker)
        return worker.prices[shared]

    def _find_price(self, worker: WorkerView) -> _Price | None:
        free = self.room(worker)
        if self._usage.fits(free):
            return NO_STOP
        chosen: list[str] = []
        loss = 0.0
        for group, cost, usage in self._cheapest_groups(worker):
            free = free.plus(usage)
            chosen.append(group)
            loss += cost
            if self._usage.fits(free):
                return self._drop_needless(worker, free, chosen, loss)
        return None

    def give(self, worker: WorkerView, price: _Price) -> None:
        """Place the next task on a worker and give the groups up."""
        for group in price.groups:
            self.groups.add(group)
            for run in self._fleet.groups[group]:
                holder = self._fleet.workers[run.worker]
                self.free[holder.name] = self.room(holder).plus(run.usage)
                self._prices.pop(holder.name, None)
        index = self._demand.indices[len(self.placements)]
        self.free[worker.name] = self.room(worker).minus(self._usage)
        self._prices.pop(worker.name, None)
        self._placed[worker.name] = self._placed.get(worker.name, 0) + 1
        self.placements.append(Placement(index, worker.name))
        self.loss += price.loss

    def _admits(self, worker: WorkerView) -> bool:
        bound = self._demand.step.max_per_worker
        if not bound:
            return not worker.probing
        placed = self._fleet.count_placed(worker, self._demand.step_name)
        return placed + self._placed.get(worker.name, 0) < bound

    def _cheapest_groups(self, worker: WorkerView) -> list[tuple[str, float, Usage]]:
        usages: dict[str, Usage] = {}
        for run in worker.runs:
            if run.group not in self.groups and self._is_weaker(run):
                usages[run.group] = usages.get(run.group, Usage()).plus(run.usage)
        rows = [
            (group, self._group_loss(group), usage) for group, usage in usages.items()
        ]
        return sorted(rows, key=lambda row: (row[1], row[0]))

    def _is_weaker(self, run: RunView) -> bool:
        weaker = run.priority > self._demand.priority
        return weaker and run.movable and run.group not in self._fleet.ending

    def _group_loss(self, group: str) -> float:
        return STOP_LOSS + sum(run.loss for run in self._fleet.groups[group])

    def _drop_needless(
        self, worker: WorkerView, free: Usage, chosen: list[str], loss: float
    ) -> _Price:
        for group in sorted(chosen, key=self._group_loss, reverse=True):
            usage = Usage()
            for run in worker.runs:
                if run.group == group:
                    usage = usage.plus(run.usage)
            if self._usage.fits(free.minus(usage)):
                free = free.minus(usage)
                chosen.remove(group)
                loss -= self._group_loss(group)
        return _Price(loss, tuple(chosen))


def choose_victims(fleet: FleetView, demand: StepDemand) -> Eviction | None:
    """Choose workers for the waiting tasks of a demand, and what to stop there.

    Returns
    -------
    Eviction or None
        The choice that places most tasks (for a gang all of them) and of these the
        one with the least loss found; None if stopping everything weaker would
        not be enough.
    """
    candidates = fleet.candidates(demand)
    best: Eviction | None = None
    for pool in list_pools(candidates, demand):
        found = _try_pool(fleet, demand, pool)
        if found and (best is None or _rank(found) < _rank(best)):
            best = found
    return best or _try_pool(fleet, demand, candidates)


def _rank(eviction: Eviction) -> tuple[int, float]:
    return -len(eviction.placements), eviction.loss


def _try_pool(
    fleet: FleetView, demand: StepDemand, pool: list[WorkerView]
) -> Eviction | None:
    trial = _Trial(fleet, demand)
    for _ in demand.indices:
        priced = [(price, worker) for worker in pool if (price := trial.price(worker))]
        if not priced:
            break
        price, worker = min(
            priced, key=lambda row: (row[0].loss, trial.room(row[1]), row[1].name)
        )
        trial.give(worker, price)
    missing = len(demand.indices) - len(trial.placements)
    if not trial.placements or (missing and demand.step.gang):
        return None
    return Eviction(trial.placements, frozenset(trial.groups), trial.loss)
