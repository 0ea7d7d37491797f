"""Views of single workers and their runs, as placement sees them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple

from chiveledge.types import JobId, WorkerName
from chiveledge.workload import Step, TaskName, Usage


class RunView(NamedTuple):
    """A run that occupies capacity of a worker.

    Attributes
    ----------
    group : str
        Runs of one group stop together. The members of a gang are one group; any
        other run is a group of its own.
    priority : int
        Priority of its job; 0 is the highest.
    unsaved_s : float
        Work that a stop would lose, in seconds.
    movable : bool
        Whether it may be stopped for work of a higher priority.
    ending : bool
        Whether it is expected to finish within the time that a stop takes.
    recent : bool
        Whether it has begun lately, or has not begun yet.
    """

    task: TaskName
    worker: WorkerName
    usage: Usage
    group: str
    priority: int
    unsaved_s: float
    movable: bool = True
    ending: bool = False
    recent: bool = False

    @property
    def loss(self) -> float:
        """Core-seconds that a stop would lose."""
        return self.usage.core_equivalents * self.unsaved_s


@dataclass
class WorkerView:
    """Snapshot of one worker, from which decisions allocate capacity.

    Attributes
    ----------
    free : Usage
        Capacity that can be allocated now. Runs that are being stopped still occupy
        theirs, and capacity that deferred starts need is not free.
    future_free : Usage, optional
        Capacity that can be allocated once the runs that are being stopped have ended
        and, after `FleetView.add_ending_capacity`, those that are about to finish.
        At least `free`, which is the default.
    accepting : bool
        Whether new runs may start there.
    probing : bool
        Whether it was avoided as suspected and is now tried with one task at a time.
    probe_running : bool
        Whether such a task runs there or is allocated to it.
    suspected : bool
        Whether a task failed or stalled there since its last success.
    slow : bool
        Whether its runs progress slowly now.
    cold : bool
        Whether it says itself that it is still slow after its start.
    slowdown : float
        How many times as long runs are expected to take on it as on a worker at full
        speed, also without a disturbance.
    trusted : bool
        Whether a recent start there made progress and nothing failed since.
    serving : bool
        Whether it has a task with a latency target.
    filling : bool
        Whether it has a filler task.
    awaited : bool
        Whether a task waits there until other runs have ended.
    isolated_job : str, optional
        Job that no other may join there; None if there is none.
    allocated_jobs : set of str
        Jobs whose tasks were allocated to it in this plan.
    reserved : bool
        Whether its free capacity is reserved for urgent work.
    list_runs : callable
        Returns the runs on it.
    stop_costs : dict
        Costs of stops for one more task by usage and priority of the task, cached by
        `_preemption`.
    """

    name: WorkerName
    service: str
    rack: str
    labels: frozenset[str]
    capacity: Usage
    free: Usage
    future_free: Usage | None = None
    accepting: bool = True
    probing: bool = False
    probe_running: bool = False
    suspected: bool = False
    slow: bool = False
    cold: bool = False
    slowdown: float = 1.0
    trusted: bool = False
    serving: bool = False
    filling: bool = False
    awaited: bool = False
    isolated_job: JobId | None = None
    allocated_jobs: set[JobId] = field(default_factory=set)
    reserved: bool = False
    list_runs: Callable[[], list[RunView]] = list
    stop_costs: dict[tuple[Usage, int], object] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.future_free = self.free if self.future_free is None else self.future_free
        self._initial_state = self._allocation_state

    @property
    def _allocation_state(
        self,
    ) -> tuple[Usage, Usage, bool, bool, bool, JobId | None]:
        return (
            self.free,
            self.future_free,
            self.serving,
            self.filling,
            self.probe_running,
            self.isolated_job,
        )

    def reset(self) -> None:
        """Undo all allocations on this view and drop its cached runs."""
        (
            self.free,
            self.future_free,
            self.serving,
            self.filling,
            self.probe_running,
            self.isolated_job,
        ) = self._initial_state
        self.reserved = False
        self.allocated_jobs.clear()
        self.stop_costs.clear()
        self.__dict__.pop("runs", None)

    @cached_property
    def runs(self) -> list[RunView]:
        """Runs on the worker, listed at first use since most plans stop nothing."""
        return self.list_runs()

    def has_only(self, job_id: JobId, *, or_older_runs: bool = False) -> bool:
        """Return whether nothing but a job runs, waits or is allocated there.

        Parameters
        ----------
        or_older_runs : bool, optional
            Whether to leave out runs of other jobs that began long before.
        """
        if self.awaited or not self.allocated_jobs <= {job_id}:
            return False
        return all(
            run.task.job_id == job_id or or_older_runs and not run.recent
            for run in self.runs
        )


def count_if_empty(capacity: Usage, step: Step) -> int:
    """Return how many tasks of a step a worker holds if nothing else runs there."""
    fitting = charged_usage(step).count_in(capacity)
    return min(fitting, step.max_per_worker or fitting)


def charged_usage(step: Step) -> Usage:
    """Return the capacity that a task of a step occupies.

    A filler occupies no processor cores, since it runs on what other tasks leave idle.
    """
    if step.filler:
        return step.usage._replace(millicores=0)
    return step.usage
