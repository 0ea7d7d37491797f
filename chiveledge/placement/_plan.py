"""Placement pass over all waiting tasks, with evictions for urgent demands."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.placement._fairness import (
    UsageByWorkspace,
    may_compete,
    order_fairly,
)
from chiveledge.placement._fleet import FleetView
from chiveledge.placement._order import (
    APART_TIMEOUT_IF_FREE_S,
    REPEATED_APART_S,
    StepDemand,
)
from chiveledge.placement._packing import Placement, place_step
from chiveledge.placement._preemption import choose_victims


class Start(NamedTuple):
    """Tasks of a step that start now.

    Attributes
    ----------
    share : float, optional
        Dominant share of the workspace when it got its turn; None if no other one
        competed with it.
    """

    demand: StepDemand
    placements: list[Placement]
    share: float | None = None


class DeferredStart(NamedTuple):
    """Tasks that start once runs have ended and released capacity for them.

    Attributes
    ----------
    groups : frozenset of str
        Groups of runs to stop for the tasks. Empty if the tasks wait only for runs that
        are about to finish or are being stopped already.

    Notes
    -----
    The coordinator keeps it as a pending start until the capacity is free.
    """

    demand: StepDemand
    placements: list[Placement]
    groups: frozenset[str]


class Plan(NamedTuple):
    """Result of one placement pass.

    Attributes
    ----------
    waiting : list of StepDemand
        The tasks that neither start nor get capacity that is being released.
    """

    starts: list[Start]
    deferred_starts: list[DeferredStart]
    waiting: list[StepDemand]


NOTHING_IN_USE: UsageByWorkspace = {}


def make_plan(
    fleet: FleetView,
    demands: Iterable[StepDemand],
    in_use: UsageByWorkspace = NOTHING_IN_USE,
) -> Plan:
    """Place the demands in the order of `order_fairly`.

    Parameters
    ----------
    fleet : FleetView
        Workers; capacity is allocated from it.
    demands : iterable of StepDemand
        Waiting tasks, in any order.
    in_use : mapping, optional
        Capacity that the open runs of each workspace take; needed only if several
        workspaces compete (`may_compete`).
    """
    plan = Plan([], [], [])
    released = [_release(fleet, demand) for demand in demands]
    capacities = fleet.sum_capacities() if may_compete(released) else {}
    for demand, share in order_fairly(released, in_use, capacities):
        placements = place_step(fleet, demand)
        if placements:
            plan.starts.append(Start(demand, placements, share))
        placed = {placement.index for placement in placements}
        rest = tuple(index for index in demand.indices if index not in placed)
        if not rest:
            continue
        remaining = demand._replace(indices=rest)
        deferred_start = None
        if demand.urgent and demand.may_stop_runs:
            deferred_start = _defer_start(fleet, remaining)
        if deferred_start:
            plan.deferred_starts.append(deferred_start)
        else:
            plan.waiting.append(remaining)
    return plan


def _release(fleet: FleetView, demand: StepDemand) -> StepDemand:
    """Let tasks start anywhere that can't start apart, or not soon on a free fleet."""
    if not demand.starts_apart:
        return demand
    if not fleet.count_keepable(demand.service):
        return demand._replace(apart_s=0.0)
    if demand.apart_s >= REPEATED_APART_S:
        return demand
    is_due = demand.waited_s >= APART_TIMEOUT_IF_FREE_S
    if is_due and fleet.is_mostly_free(demand.service):
        return demand._replace(apart_s=0.0)
    return demand


def _defer_start(fleet: FleetView, demand: StepDemand) -> DeferredStart | None:
    """Choose runs to stop for a demand and allocate the capacity they release."""
    fleet.add_ending_capacity()
    eviction = choose_victims(fleet, demand)
    if eviction is None:
        return None
    fleet.evict(eviction.groups)
    for placement in eviction.placements:
        worker = fleet.workers[placement.worker]
        fleet.allocate_future(worker, demand.step, demand.step_name)
        fleet.assign_job(worker, demand)
    return DeferredStart(demand, eviction.placements, eviction.groups)
