"""Order among workspaces that compete for capacity.

Load pattern: a large workspace hands in a burst of batch jobs on a full fleet. By due
time alone the jobs that other workspaces hand in a little later wait until the whole
burst is placed, and are late because of it. Therefore workspaces take turns: the next
job placed is that of the workspace whose dominant share is the smallest: its share of
the resource of which it uses the largest part. What a plan has ordered before
counts at once, so that one plan doesn't give all free capacity to the same workspace.

Only jobs of the same priority and timeliness take turns, so that no job that can be in
time comes after one that can't. Urgent and guaranteed jobs take no turns: they are
placed by due time.

The shares follow from the open runs alone, which each leader loads with the jobs.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from chiveledge.placement._order import StepDemand, find_class, sort_demands
from chiveledge.placement._worker_view import charged_usage
from chiveledge.types import WorkspaceName
from chiveledge.workload import Usage

UsageByWorkspace = Mapping[tuple[str, WorkspaceName], Usage]
"""Capacity that open runs take, by service and workspace."""


class Turn(NamedTuple):
    """A demand in the order in which demands are placed.

    Attributes
    ----------
    share : float, optional
        Dominant share that its workspace has if all demands before are placed; None if
        no other workspace competes with it.
    """

    demand: StepDemand
    share: float | None = None


def may_compete(demands: Iterable[StepDemand]) -> bool:
    """Return whether several workspaces have jobs that may take turns.

    A quick check: it doesn't tell apart by timeliness.
    """
    seen: dict[tuple[str, int], WorkspaceName] = {}
    for demand in demands:
        if _takes_turns(demand):
            key = demand.service, demand.priority
            if seen.setdefault(key, demand.workspace) != demand.workspace:
                return True
    return False


def find_dominant_share(usage: Usage, capacity: Usage) -> float:
    """Return the largest share, over all resources, of the capacity that a usage takes.

    Examples
    --------
    >>> find_dominant_share(Usage(8000, 1000, 4), Usage(32000, 64000, 8))
    0.5
    """
    return max(
        (need / have for need, have in zip(usage, capacity, strict=True) if have),
        default=0.0,
    )


def order_fairly(
    demands: Iterable[StepDemand],
    in_use: UsageByWorkspace,
    capacities: Mapping[str, Usage],
) -> list[Turn]:
    """Return the order in which demands are placed.

    Parameters
    ----------
    demands : iterable of StepDemand
        Waiting tasks, in any order.
    in_use : mapping
        Capacity that the open runs of each workspace take.
    capacities : mapping
        Capacity of the workers of each service that accept runs. Demands of a service
        that isn't named keep the order of `sort_demands`.
    """
    classes: dict[tuple, list[StepDemand]] = defaultdict(list)
    for demand in sort_demands(demands):
        classes[*find_class(demand), demand.service].append(demand)
    ordered: list[Turn] = []
    for members in classes.values():
        capacity = capacities.get(members[0].service)
        if capacity is None or not _takes_turns(members[0]):
            ordered += map(Turn, members)
        else:
            ordered += _take_turns(members, in_use, capacity)
    return ordered


def _takes_turns(demand: StepDemand) -> bool:
    """Return whether a demand is of a class in which workspaces take turns."""
    return not demand.urgent and not demand.guaranteed


def _take_turns(
    demands: list[StepDemand], in_use: UsageByWorkspace, capacity: Usage
) -> list[Turn]:
    """Order sorted demands so that the workspace with the smallest share is next."""
    service = demands[0].service
    queues: dict[WorkspaceName, list[StepDemand]] = defaultdict(list)
    for demand in reversed(demands):
        queues[demand.workspace].append(demand)
    if len(queues) == 1:
        return [Turn(demand) for demand in demands]
    next_turns = [
        (find_dominant_share(in_use.get((service, name), Usage()), capacity), name)
        for name in queues
    ]
    heapify(next_turns)
    ordered = []
    while next_turns:
        share, name = heappop(next_turns)
        demand = queues[name].pop()
        ordered.append(Turn(demand, share))
        if queues[name]:
            added = find_dominant_share(charged_usage(demand.step), capacity)
            heappush(next_turns, (share + added * len(demand.indices), name))
    return ordered
