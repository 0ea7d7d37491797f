"""Sets of workers to place tasks on, by what the step prefers.

A preference orders the workers and excludes none: once the wait for a better set is
over, a step gets whatever it may use at all. The preferred sets are therefore disjoint
and together cover all candidates, and a gang, which is placed as a whole, may get
workers of several sets in the end.
"""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.placement._order import StepDemand
from chiveledge.placement._worker_view import WorkerView
from chiveledge.workload import Step

RACK_TIMEOUT_S = 2.0
"""How long tasks wait for capacity on racks where they are not slowed down."""


class _Preference(NamedTuple):
    """Disjoint sets of workers that together are all candidates.

    Attributes
    ----------
    full_speed : list
        Sets on each of which the tasks run at full speed, the preferred one first.
    slower : list
        Sets on which the tasks are slowed down by their distance to their data.
    """

    full_speed: list[list[WorkerView]]
    slower: list[list[WorkerView]]


def list_pools(
    candidates: list[WorkerView], demand: StepDemand
) -> list[list[WorkerView]]:
    """Return sets of workers to try one after another, the preferred set first.

    Workers on which the tasks would be slowed down come last, and only once the tasks
    have waited for `RACK_TIMEOUT_S` or if there are no others. For gangs alone,
    all candidates are one more set at the end: sets for tasks that are placed one by
    one are disjoint, since the limits of a worker are counted in each.
    """
    full_speed, slower = _find_preference(candidates, demand)
    has_other = bool(slower) or len(full_speed) > 1
    if demand.waited_s < RACK_TIMEOUT_S and full_speed and has_other:
        return full_speed
    pools = [*full_speed, *slower]
    return [*pools, candidates] if demand.step.gang and len(pools) > 1 else pools


def is_slowed_by_distance(pool: list[WorkerView], step: Step) -> bool:
    """Return whether a gang on workers of a set is slower than the step's run time.

    Its members may be apart from each other or from their data.
    """
    racks = {worker.rack for worker in pool}
    if step.data_rack:
        return racks != {step.data_rack}
    return step.same_rack and len(racks) > 1


def _find_preference(candidates: list[WorkerView], demand: StepDemand) -> _Preference:
    step = demand.step
    if step.data_rack:
        near = [worker for worker in candidates if worker.rack == step.data_rack]
        far = [worker for worker in candidates if worker.rack != step.data_rack]
        return _Preference([near] if near else [], [far] if far else [])
    if step.same_rack:
        return _Preference(_split_by_rack(candidates, demand), [])
    return _Preference([candidates], [])


def _split_by_rack(
    candidates: list[WorkerView], demand: StepDemand
) -> list[list[WorkerView]]:
    """Return the workers of each rack, those with less free after the others.

    Racks on which tasks of the step run already come first.
    """
    racks: dict[str, list[WorkerView]] = {}
    for worker in candidates:
        racks.setdefault(worker.rack, []).append(worker)
    ordered = sorted(
        racks,
        key=lambda rack: (
            rack not in demand.preferred_racks,
            _sum_free_accelerators(racks[rack]),
        ),
    )
    return [racks[rack] for rack in ordered]


def _sum_free_accelerators(workers: list[WorkerView]) -> int:
    return sum(worker.free.accelerators for worker in workers)
