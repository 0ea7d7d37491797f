"""What to do when a worker runs short, since declared sizes are often wrong."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import TypeAlias

from chiveledge.cells import WorkerSize
from chiveledge.services import MemberPlacement, TaskReport, TaskState
from chiveledge.types import AttemptId


@dataclass(frozen=True)
class ThrottleAttempt:
    """Limit an attempt to its declared processors."""

    attempt: AttemptId


@dataclass(frozen=True)
class StopAttempt:
    """Checkpoint and stop an attempt that uses more memory than it declared."""

    attempt: AttemptId


PressureAction: TypeAlias = ThrottleAttempt | StopAttempt


def is_overcommitted(size: WorkerSize, tasks: Iterable[TaskReport]) -> bool:
    """Whether the running tasks use more than a worker has."""
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
    """Choose what to throttle or stop on a worker that runs short.

    Parameters
    ----------
    size : WorkerSize
        What the worker has.
    tasks : iterable of TaskReport
        Its tasks, with what they use.
    declared : dict
        Declared size of each member, by attempt and member.
    borrowers : collection of str
        Attempts outside of guarantees; they are stopped first.

    Returns
    -------
    list
        Throttles where processors are short; stops where memory is short, as many
        as bring the use below what the worker has.
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
