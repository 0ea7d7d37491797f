"""The workers as a decision sees them: room, racks, labels and what runs there."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from chiveledge.types import WorkerName
from chiveledge.workload import Step, TaskName, Usage

ACCELERATOR_CORES = 8
"""Processor cores that an accelerator counts for when lost work is compared."""


class RunView(NamedTuple):
    """A run that holds room on a worker.

    Attributes
    ----------
    group : str
        Runs of one group stop together: the members of a gang.
    priority : int
        Priority of its job; 0 comes first.
    unsaved_s : float
        Work that a stop would lose, in seconds.
    movable : bool
        Whether it may be stopped to make room.
    """

    task: TaskName
    worker: WorkerName
    usage: Usage
    group: str
    priority: int
    unsaved_s: float
    movable: bool = True

    @property
    def loss(self) -> float:
        """Core-seconds that a stop would lose."""
        cores = self.usage.millicores / 1000
        return (cores + self.usage.accelerators * ACCELERATOR_CORES) * self.unsaved_s


@dataclass
class WorkerView:
    """One worker.

    Attributes
    ----------
    free : Usage
        Capacity less all that runs, is being stopped or is promised.
    accepting : bool
        Whether new work may go there.
    probing : bool
        Whether it is under suspicion and gets one task at a time.
    doubted : bool
        Whether something failed there since its last success.
    slow : bool
        Whether its runs come forward slowly now.
    """

    name: WorkerName
    service: str
    rack: str
    labels: frozenset[str]
    capacity: Usage
    free: Usage
    accepting: bool = True
    probing: bool = False
    doubted: bool = False
    slow: bool = False
    serving: bool = False
    filling: bool = False
    runs: list[RunView] = field(default_factory=list)


class FleetView:
    """All workers at one moment; decisions take room from it as they go.

    Parameters
    ----------
    workers : iterable of WorkerView
        Every known worker.
    """

    def __init__(self, workers: Iterable[WorkerView]) -> None:
        self.workers = {worker.name: worker for worker in workers}
        self.placed: dict[tuple[str, WorkerName], int] = defaultdict(int)
        self.groups: dict[str, list[RunView]] = defaultdict(list)
        for worker in self.workers.values():
            for run in worker.runs:
                self.placed[run.task.step_name, worker.name] += 1
                self.groups[run.group].append(run)

    def candidates(
        self,
        service: str,
        step: Step,
        *,
        allowed: frozenset[WorkerName] | None = None,
        careful: bool = False,
    ) -> list[WorkerView]:
        """Return the workers on which a step's tasks may run, full or not.

        Parameters
        ----------
        allowed : frozenset of str, optional
            The only workers that may be chosen.
        careful : bool, optional
            Whether workers that are doubted are left out.
        """
        return [
            worker
            for worker in self.workers.values()
            if worker.service == service
            and worker.accepting
            and not (careful and worker.doubted)
            and (not step.required_label or step.required_label in worker.labels)
            and (allowed is None or worker.name in allowed)
            and not (step.filler and worker.serving)
            and not (step.latency_target_ms and worker.filling)
        ]

    def room_for(
        self, worker: WorkerView, step: Step, step_name: str, free: Usage
    ) -> int:
        """Return how many tasks of a step fit into `free` of a worker."""
        count = charged_usage(step).count_in(free)
        if step.max_per_worker:
            placed = self.placed[step_name, worker.name]
            count = min(count, step.max_per_worker - placed)
        if worker.probing:
            count = min(count, 0 if worker.runs else 1)
        return max(0, count)

    def take(self, worker: WorkerView, step: Step, step_name: str) -> None:
        """Take the room of one task."""
        worker.free = worker.free.minus(charged_usage(step))
        self.placed[step_name, worker.name] += 1
        worker.serving |= bool(step.latency_target_ms)
        worker.filling |= step.filler


def charged_usage(step: Step) -> Usage:
    """Return what a task of a step takes of a worker's capacity."""
    if step.filler:
        return step.usage._replace(millicores=0)
    return step.usage
