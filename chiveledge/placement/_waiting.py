"""Why waiting tasks are not placed, for operators.

A step may wait although most of the fleet is free. Each of the reasons calls for
another remedy, so the first of them that holds is named.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from chiveledge.placement._fleet import FleetView, can_hold, exclude_reserved
from chiveledge.placement._order import StepDemand
from chiveledge.placement._worker_view import WorkerView


class WaitCause(StrEnum):
    """The first reason that keeps tasks from starting."""

    TOO_LARGE = "too_large"
    """Too few tasks fit on the workers in use, even if these were empty."""

    FULL = "full"
    """Too few tasks fit on what the workers have free."""

    EXCLUDED = "excluded"
    """The free workers are not allowed for the tasks at present: they are under
    suspicion, kept for another job, without a ticket, or hold tasks that must not be
    beside these."""

    RESERVED = "reserved"
    """The free workers are reserved for urgent work."""

    PREFERENCE = "preference"
    """The tasks fit, but not on the workers that are preferred for them."""


def find_wait_cause(fleet: FleetView, demand: StepDemand) -> WaitCause:
    """Return why none of a demand's tasks, or not the whole gang, was placed."""
    wanted = demand.min_tasks
    label = demand.step.required_label
    workers = [
        worker
        for worker in fleet.accepting(demand.service)
        if not label or label in worker.labels
    ]
    if not can_hold(workers, demand.step, wanted):
        return WaitCause.TOO_LARGE
    if _count_fitting(fleet, demand, workers) < wanted:
        return WaitCause.FULL
    candidates = fleet.candidates(demand)
    if _count_fitting(fleet, demand, candidates) < wanted:
        return WaitCause.EXCLUDED
    usable = candidates if demand.urgent else exclude_reserved(candidates, demand)
    if _count_fitting(fleet, demand, usable) < wanted:
        return WaitCause.RESERVED
    return WaitCause.PREFERENCE


def _count_fitting(
    fleet: FleetView, demand: StepDemand, workers: Iterable[WorkerView]
) -> int:
    """Return how many tasks of a demand fit on what workers have free."""
    return sum(
        fleet.count_fitting(worker, demand.step, demand.step_name, worker.free)
        for worker in workers
    )
