"""One pass over all that waits: what starts now, and what is stopped for whom."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.placement._fleet import FleetView
from chiveledge.placement._order import StepDemand, sort_demands
from chiveledge.placement._packing import Placement, place_step
from chiveledge.placement._preemption import choose_victims


class Start(NamedTuple):
    """Tasks of a step that start now."""

    demand: StepDemand
    placements: list[Placement]


class Claim(NamedTuple):
    """Tasks that start once the runs of some groups have ended."""

    demand: StepDemand
    placements: list[Placement]
    groups: frozenset[str]


class Plan(NamedTuple):
    """Outcome of one pass."""

    starts: list[Start]
    claims: list[Claim]


def make_plan(fleet: FleetView, demands: Iterable[StepDemand]) -> Plan:
    """Decide on every demand in order; room is taken from `fleet`.

    Parameters
    ----------
    fleet : FleetView
        Workers and their free room.
    demands : iterable of StepDemand
        What waits, in any order.
    """
    plan = Plan([], [])
    for demand in sort_demands(demands):
        placements = place_step(fleet, demand)
        if placements:
            plan.starts.append(Start(demand, placements))
        placed = {placement.index for placement in placements}
        rest = tuple(index for index in demand.indices if index not in placed)
        if rest and demand.urgent:
            claim = _make_claim(fleet, demand._replace(indices=rest))
            if claim:
                plan.claims.append(claim)
    return plan


def _make_claim(fleet: FleetView, demand: StepDemand) -> Claim | None:
    fleet.expect_ends()
    eviction = choose_victims(fleet, demand)
    if eviction is None:
        return None
    fleet.evict(eviction.groups)
    for placement in eviction.placements:
        worker = fleet.workers[placement.worker]
        fleet.promise(worker, demand.step, demand.step_name)
    return Claim(demand, eviction.placements, eviction.groups)
