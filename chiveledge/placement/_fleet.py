"""The workers as a decision sees them: room, racks, labels and what runs there."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple

from chiveledge.placement._order import StepDemand
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
    ending : bool
        Whether it comes to its end by itself as soon as a stop would end it.
    """

    task: TaskName
    worker: WorkerName
    usage: Usage
    group: str
    priority: int
    unsaved_s: float
    movable: bool = True
    ending: bool = False

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
        Room now: capacity less all that runs, is being stopped or is promised.
    later : Usage, optional
        Room that is not promised once all that is being stopped has ended, and what
        ends by itself meanwhile if `FleetView.expect_ends` was called; at least
        `free`, which it is by default.
    accepting : bool
        Whether new work may go there.
    probing : bool
        Whether it is under suspicion and gets one task at a time.
    doubted : bool
        Whether something failed there since its last success.
    slow : bool
        Whether its runs come forward slowly now.
    proven : bool
        Whether the latest work there began well, not long ago.
    kept : bool
        Whether its free room is left to urgent work.
    list_runs : callable
        Returns what runs there.
    prices : dict
        What room for one task costs, by usage and priority; see `_preemption`.
    """

    name: WorkerName
    service: str
    rack: str
    labels: frozenset[str]
    capacity: Usage
    free: Usage
    later: Usage | None = None
    accepting: bool = True
    probing: bool = False
    doubted: bool = False
    slow: bool = False
    proven: bool = False
    serving: bool = False
    filling: bool = False
    kept: bool = False
    list_runs: Callable[[], list[RunView]] = list
    prices: dict[tuple[Usage, int], object] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.later = self.free if self.later is None else self.later
        self._at_first = (self.free, self.later, self.serving, self.filling)

    def renew(self) -> None:
        """Forget what a decision did with this view, and what ran at that time."""
        self.free, self.later, self.serving, self.filling = self._at_first
        self.kept = False
        self.prices.clear()
        self.__dict__.pop("runs", None)

    @cached_property
    def runs(self) -> list[RunView]:
        """What runs there; made at first use, since most plans stop nothing."""
        return self.list_runs()


class FleetView:
    """All workers at one moment; decisions take room from it as they go.

    Parameters
    ----------
    workers : iterable of WorkerView
        Every known worker.

    Attributes
    ----------
    ending : set of str
        Groups that end by themselves and whose room counts as free later.
    """

    def __init__(self, workers: Iterable[WorkerView]) -> None:
        self.workers = {worker.name: worker for worker in workers}
        self._accepting: dict[str, list[WorkerView]] = defaultdict(list)
        for worker in self.workers.values():
            if worker.accepting:
                self._accepting[worker.service].append(worker)
        self._taken: Counter[tuple[str, WorkerName]] = Counter()
        self.ending: set[str] = set()
        self._too_large: dict[tuple[str, str, bool], list[Usage]] = defaultdict(list)

    @cached_property
    def groups(self) -> dict[str, list[RunView]]:
        """All runs by the group that they stop with."""
        groups: dict[str, list[RunView]] = defaultdict(list)
        for worker in self.workers.values():
            for run in worker.runs:
                groups[run.group].append(run)
        return groups

    def keep_for_urgent(self, service: str, count: int) -> None:
        """Leave the emptiest workers of a service to urgent work."""
        emptiest = sorted(
            self._accepting[service],
            key=lambda worker: (worker.later, worker.free, worker.name),
            reverse=True,
        )
        for worker in emptiest[:count]:
            worker.kept = True

    def accepting(self, service: str) -> list[WorkerView]:
        """Return the workers of a service to which new work may go."""
        return self._accepting[service]

    def has_room(self, service: str, step: Step, *, urgent: bool) -> bool:
        """Whether a task of a step fits anywhere now.

        Load answered: hundreds of steps that wait for a full fleet. Room only
        shrinks while a plan is made, so what fitted nowhere is remembered, and
        whatever needs as much or more is not tried again.
        """
        usage = charged_usage(step)
        too_large = self._too_large[service, step.required_label, urgent]
        if any(known.fits(usage) for known in too_large):
            return False
        label = step.required_label
        able = [
            worker
            for worker in self._accepting[service]
            if not label or label in worker.labels
        ]
        if any(usage.fits(w.free) for w in (able if urgent else without_kept(able))):
            return True
        too_large.append(usage)
        return False

    def has_sound_room(self, service: str, step: Step, count: int) -> bool:
        """Whether so many tasks of a step fit now on workers that are not slow."""
        usage = charged_usage(step)
        label = step.required_label
        return count <= sum(
            usage.count_in(worker.free)
            for worker in self._accepting[service]
            if not worker.slow and (not label or label in worker.labels)
        )

    def expect_ends(self) -> None:
        """Count room of runs that end by themselves as soon as a stop would end them.

        Load answered: urgent jobs on a full fleet, of which a part ends at any moment.
        Room that comes by itself costs nobody his work. A gang ends with its last
        member.
        """
        for group, runs in self.groups.items():
            if group in self.ending or not all(run.ending for run in runs):
                continue
            self.ending.add(group)
            for run in runs:
                worker = self.workers[run.worker]
                worker.later = worker.later.plus(run.usage)
                worker.prices.clear()

    def evict(self, groups: Iterable[str]) -> None:
        """Give up groups of runs; what they hold is free once they have ended."""
        for group in groups:
            for run in self.groups.pop(group):
                holder = self.workers[run.worker]
                holder.later = holder.later.plus(run.usage)
                holder.runs.remove(run)
                holder.prices.clear()

    def candidates(self, demand: StepDemand) -> list[WorkerView]:
        """Return the workers on which a demand's tasks may run, full or not.

        Load answered: some workers fail all that they start for some seconds. A wide
        gang would meet one of them with each attempt; one that has failed before goes
        to workers that are proven, where there are any.
        """
        step = demand.step
        found = [
            worker
            for worker in self._accepting[demand.service]
            if (demand.allowed is None or worker.name in demand.allowed)
            and (not step.required_label or step.required_label in worker.labels)
            and not (demand.careful and worker.doubted)
            and not (demand.careful and worker.name in demand.failed_on)
            and not (step.filler and worker.serving)
            and not (step.latency_target_ms and worker.filling)
        ]
        proven = [worker for worker in found if worker.proven]
        return proven if demand.careful and proven else found

    def room_for(
        self, worker: WorkerView, step: Step, step_name: str, free: Usage
    ) -> int:
        """Return how many tasks of a step fit into `free` of a worker."""
        count = charged_usage(step).count_in(free)
        if step.max_per_worker:
            placed = self.count_placed(worker, step_name)
            count = min(count, step.max_per_worker - placed)
        if worker.probing:
            count = min(count, 0 if worker.runs else 1)
        return max(0, count)

    def count_placed(self, worker: WorkerView, step_name: str) -> int:
        """Return how many tasks of a step a worker has or will get."""
        running = sum(run.task.step_name == step_name for run in worker.runs)
        return running + self._taken[step_name, worker.name]

    def take(self, worker: WorkerView, step: Step, step_name: str) -> None:
        """Take the room of a task that starts now."""
        worker.free = worker.free.minus(charged_usage(step))
        self.promise(worker, step, step_name)

    def promise(self, worker: WorkerView, step: Step, step_name: str) -> None:
        """Take the room of a task that starts once what is stopped has ended."""
        worker.later = worker.later.minus(charged_usage(step))
        worker.free = worker.free.least(worker.later)
        worker.prices.clear()
        self._taken[step_name, worker.name] += 1
        worker.serving |= bool(step.latency_target_ms)
        worker.filling |= step.filler


def without_kept(workers: list[WorkerView]) -> list[WorkerView]:
    """Return the workers open to all work; all of them if each is kept for urgent work.

    Work that can run nowhere else would otherwise wait as long as urgent jobs come.
    """
    return [worker for worker in workers if not worker.kept] or workers


def charged_usage(step: Step) -> Usage:
    """Return what a task of a step takes of a worker's capacity."""
    if step.filler:
        return step.usage._replace(millicores=0)
    return step.usage
