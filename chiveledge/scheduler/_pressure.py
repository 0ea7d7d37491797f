"""Reaction to tasks that use more of a worker's cores or memory than it has.

Placement relies on declared sizes, which are often too small.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import TypeAlias

from chiveledge.cells import WorkerSize
from chiveledge.services import MemberPlacement, TaskReport, TaskState
from chiveledge.types import AttemptId


@dataclass(frozen=True)
class ThrottleAttempt:
    """Limit an attempt to its declared cores."""

    attempt: AttemptId


@dataclass(frozen=True)
class StopAttempt:
    """Checkpoint and stop an attempt that uses more memory than declared."""

    attempt: AttemptId


PressureAction: TypeAlias = ThrottleAttempt | StopAttempt


def is_overcommitted(size: WorkerSize, tasks: Iterable[TaskReport]) -> bool:
    """Whether running tasks use more cores or memory than a worker has."""
    running = [task for task in tasks if task.state is TaskState.RUNNING]
    return (
        sum(task.used_cores for task in running) > size.cores
        or sum(task.used_memory_mb for task in running) > size.memory_mb
    )


def choose_pressure_actions(
    size: WorkerSize,
    tasks: Iterable[TaskReport],
    declared: dict[tuple[AttemptId, int], MemberPlacement],
    borrowers: Collection[AttemptId],
) -> list[PressureAction]:
    """Choose the attempts to throttle or stop on an overcommitted worker.

    Parameters
    ----------
    size : WorkerSize
        Cores and memory of the worker.
    tasks : iterable of TaskReport
        Tasks on the worker, with the cores and memory that they use.
    declared : dict
        Declared size of each member, by attempt ID and member number.
    borrowers : collection of str
        IDs of attempts outside of guarantees, which are stopped first.

    Returns
    -------
    list
        On a shortage of cores, throttles every attempt that exceeds its declared
        cores. On a shortage of memory, stops attempts that exceed their declared
        memory until the rest fits, those that exceed it most first.
    """
    running = [task for task in tasks if task.state is TaskState.RUNNING]
    known = [task for task in running if (task.attempt, task.member) in declared]
    actions: list[PressureAction] = []
    if sum(task.used_cores for task in running) > size.cores:
        throttled = {
            t.attempt for t in known if t.used_cores > _declared(declared, t).cores
        }
        actions += [ThrottleAttempt(attempt) for attempt in sorted(throttled)]
    deficit_mb = sum(task.used_memory_mb for task in running) - size.memory_mb
    over_declared = sorted(
        (t for t in known if _excess_mb(declared, t) > 0),
        key=lambda t: (t.attempt not in borrowers, -_excess_mb(declared, t)),
    )
    stopped: set[AttemptId] = set()
    for task in over_declared:
        if deficit_mb <= 0:
            break
        deficit_mb -= task.used_memory_mb
        if task.attempt not in stopped:
            stopped.add(task.attempt)
            actions.append(StopAttempt(task.attempt))
    return actions


def _declared(
    declared: dict[tuple[AttemptId, int], MemberPlacement], task: TaskReport
) -> MemberPlacement:
    return declared[(task.attempt, task.member)]


def _excess_mb(
    declared: dict[tuple[AttemptId, int], MemberPlacement], task: TaskReport
) -> int:
    return task.used_memory_mb - _declared(declared, task).memory_mb
