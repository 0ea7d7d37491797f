"""How far a job has come: its tasks, their runs and how these ended."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from chiveledge.types import WorkerName
from chiveledge.workload._model import JobRequest, JobState, TaskName


class RunState(StrEnum):
    """What the coordinator knows of an open run."""

    INTENDED = "intended"
    SENT = "sent"
    UNKNOWN = "unknown"
    RUNNING = "running"


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    NOT_STARTED = "not_started"


@dataclass
class OpenRun:
    """A run that may be on a worker.

    Attributes
    ----------
    number : int
        Number of the run; rises with each start of the task.
    worker : str
        The worker that was told to run it.
    born_ms : int
        Life of that worker: the time of its start, in milliseconds since 1970.
    state : RunState
        What is known of it.
    stop_wanted : str
        Why it is to be stopped; empty if it is not.
    checkpoint : str
        Newest saved data that the worker showed.
    percent : int
        Share of its work that is done.
    began_s : float
        Monotonic time of its start.
    """

    number: int
    worker: WorkerName
    born_ms: int
    state: RunState = RunState.INTENDED
    stop_wanted: str = ""
    checkpoint: str = ""
    percent: int = 0
    began_s: float = 0.0
    last_gain_s: float = 0.0


@dataclass
class TaskProgress:
    """One task over all its runs."""

    last_run: int = 0
    failures: int = 0
    done: bool = False
    begun: bool = False
    checkpoint: str = ""
    run: OpenRun | None = None
    ready_s: float = 0.0
    failed_on: tuple[WorkerName, ...] = ()


@dataclass
class StepProgress:
    """The tasks of a step in one occurrence.

    Attributes
    ----------
    failed_run : int
        Last run of a gang that was counted as failed.
    """

    tasks: list[TaskProgress]
    failed_run: int = 0

    @property
    def done(self) -> bool:
        """Whether all tasks have ended well."""
        return all(task.done for task in self.tasks)


@dataclass
class JobProgress:
    """A job and all that happened to it.

    Attributes
    ----------
    version : int
        Version of the stored row, 0 while there is none.
    finished_occurrences : set of int
        Occurrences whose steps are all done; their tasks are not kept.
    """

    request: JobRequest
    state: JobState = JobState.QUEUED
    occurrences: dict[int, list[StepProgress]] = field(default_factory=dict)
    finished_occurrences: set[int] = field(default_factory=set)
    version: int = 0
    ended_ms: int = 0
    reason: str = ""

    @property
    def job_id(self) -> str:
        """ID of the job."""
        return self.request.job_id

    @property
    def total_occurrences(self) -> int:
        """How often the steps run in all."""
        return max(1, self.request.occurrences)

    def open_occurrence(self, occurrence: int) -> list[StepProgress]:
        """Return the steps of an occurrence, made at first use."""
        steps = self.occurrences.get(occurrence)
        if steps is None:
            steps = [
                StepProgress([TaskProgress() for _ in range(step.count)])
                for step in self.request.steps
            ]
            self.occurrences[occurrence] = steps
        return steps

    def due_occurrences(self, now_ms: float) -> Iterator[int]:
        """Yield the occurrences that are due and not finished."""
        for occurrence in range(self.total_occurrences):
            if self.request.due_ms(occurrence) > now_ms:
                return
            if occurrence not in self.finished_occurrences:
                yield occurrence

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Whether all steps that this one waits for are done."""
        steps = self.open_occurrence(occurrence)
        return all(steps[earlier].done for earlier in self.request.steps[step].after)

    def find(self, name: TaskName) -> TaskProgress | None:
        """Return a task by its name, or None if the job has no such open task."""
        steps = self.occurrences.get(name.occurrence)
        if steps is None or name.step >= len(steps):
            return None
        tasks = steps[name.step].tasks
        return tasks[name.index] if name.index < len(tasks) else None

    def tasks(self) -> Iterator[tuple[TaskName, TaskProgress]]:
        """Yield all tasks of open occurrences."""
        for occurrence, steps in self.occurrences.items():
            for number, step in enumerate(steps):
                for index, task in enumerate(step.tasks):
                    yield TaskName(self.job_id, occurrence, number, index), task

    def open_runs(self) -> Iterator[tuple[TaskName, TaskProgress, OpenRun]]:
        """Yield all tasks that have an open run."""
        for name, task in self.tasks():
            if task.run is not None:
                yield name, task, task.run

    def close_finished(self) -> None:
        """Drop the tasks of occurrences that are done and have no open run."""
        for occurrence, steps in list(self.occurrences.items()):
            if all(step.done for step in steps):
                self.finished_occurrences.add(occurrence)
                if not any(task.run for step in steps for task in step.tasks):
                    del self.occurrences[occurrence]

    @property
    def all_done(self) -> bool:
        """Whether every task of every occurrence has ended well."""
        return len(self.finished_occurrences) >= self.total_occurrences
