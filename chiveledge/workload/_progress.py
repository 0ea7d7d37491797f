"""Progress of a job: its tasks, their runs and how the runs ended."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from chiveledge.types import WorkerName
from chiveledge.workload._model import JobRequest, JobState, TaskName
from chiveledge.workload._occurrences import OccurrenceSet


class RunState(StrEnum):
    """What the coordinator knows of an open run.

    A run is intended until its start order is sent. It is unknown while the order has
    got no answer, or if it was read from a stored row.
    """

    INTENDED = "intended"
    SENT = "sent"
    UNKNOWN = "unknown"
    RUNNING = "running"


class RunEnd(StrEnum):
    """How a run ended, as reported by its worker or concluded by the coordinator."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    NOT_STARTED = "not_started"


@dataclass
class OpenRun:
    """A run that may be on a worker, from its planning until its end is known.

    Attributes
    ----------
    number : int
        Number of the run, which increases with each start of the task.
    worker : str
        Worker on which it was placed.
    incarnation_ms : int
        Incarnation of that worker: start time of its process, in milliseconds since
        1970.
    machine : str
        Machine of the worker, or its address if it names no machine.
    stop_reason : str
        Why the run is to be stopped; empty if it isn't.
    checkpoint : str
        Latest saved data that the worker reported, or that the run resumes from.
    percent : int
        Share of its work that is done.
    began_s, last_progress_s : float
        Monotonic times of its start and of its last progress.
    """

    number: int
    worker: WorkerName
    incarnation_ms: int
    state: RunState = RunState.INTENDED
    machine: str = ""
    stop_reason: str = ""
    checkpoint: str = ""
    percent: int = 0
    began_s: float = 0.0
    last_progress_s: float = 0.0


MAX_OPEN_TASKS = 2000
"""Most tasks of a schedule that are planned at the same time, unless few occurrences
have more."""

MIN_OPEN_OCCURRENCES = 4
"""Occurrences of a schedule that may overlap, however many tasks they have."""

MAX_FAILED_ON = 8
"""Most workers on which a task failed that are kept, the latest ones."""


@dataclass
class TaskProgress:
    """Progress of a task over all its runs.

    Attributes
    ----------
    last_run : int
        Number of the latest run; 0 before the first.
    failures : int
        Failed runs; for a gang only its first task counts them.
    begun : bool
        Whether any run has started.
    checkpoint : str
        Saved data that the next run resumes from; empty if there is none.
    run : OpenRun, optional
        The present run; None between runs.
    ready_s : float
        Monotonic time since which the task waits for a run; 0 if unknown.
    failed_on : tuple of str
        Workers on which the latest failed runs were.
    stalls : int
        Runs that this leader stopped because they made no progress.
    crashes : int
        Worker processes that crashed while a run of the task was there.
    named_crashes : int
        Those of them that no other job can have caused.
    crashed_run : int
        Number of the latest run that was counted as lost with its worker, as it may
        still be open for the next leader; 0 if there is none.
    last_crash_ms : int
        Wall time of the last of them in milliseconds since 1970; 0 before.
    suspected : bool
        Whether the task is more likely than others to have caused one of them.
    """

    last_run: int = 0
    failures: int = 0
    done: bool = False
    begun: bool = False
    checkpoint: str = ""
    run: OpenRun | None = None
    ready_s: float = 0.0
    failed_on: tuple[WorkerName, ...] = ()
    stalls: int = 0
    crashes: int = 0
    named_crashes: int = 0
    crashed_run: int = 0
    last_crash_ms: int = 0
    suspected: bool = False

    @property
    def starts_apart(self) -> bool:
        """Whether the next run starts on a worker without other jobs."""
        return self.suspected or self.crashes > 1

    def record_crash(
        self, run: int, now_ms: int, *, is_suspect: bool, names_job: bool
    ) -> None:
        """Record that a worker crashed while a run of the task was there."""
        self.crashed_run = run
        self.last_crash_ms = now_ms
        self.crashes += 1
        self.named_crashes += names_job
        self.suspected |= is_suspect

    def forget_crashes(self) -> None:
        """Clear the task of all suspicion."""
        self.crashes = 0
        self.named_crashes = 0
        self.suspected = False

    def record_failed_on(self, worker: WorkerName) -> None:
        """Record the worker of a failed run."""
        earlier = tuple(name for name in self.failed_on if name != worker)
        self.failed_on = (*earlier, worker)[-MAX_FAILED_ON:]


@dataclass
class StepProgress:
    """Progress of the tasks of a step in one occurrence.

    Attributes
    ----------
    failed_run : int
        Number of the latest failed run of a gang: members that fail in the same run
        count as one failure.
    """

    tasks: list[TaskProgress]
    failed_run: int = 0

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return all(task.done for task in self.tasks)


@dataclass
class JobProgress:
    """Progress of a job.

    Attributes
    ----------
    version : int
        Version of the stored row; 0 while there is none.
    occurrences : dict
        Steps of the open occurrences: those that have begun and are not finished, or
        still have an open run.
    finished_occurrences : OccurrenceSet
        Occurrences whose steps are all done.
    ended_ms : int
        Wall time of the end in milliseconds since 1970; 0 before.
    reason : str
        Why the job ended in its state; may be empty.
    rests_until_s : float
        Monotonic time until which nothing of the job starts or is stored, since the
        store rejected its progress.
    """

    request: JobRequest
    state: JobState = JobState.QUEUED
    occurrences: dict[int, list[StepProgress]] = field(default_factory=dict)
    finished_occurrences: OccurrenceSet = field(default_factory=OccurrenceSet)
    version: int = 0
    ended_ms: int = 0
    reason: str = ""
    rests_until_s: float = 0.0

    @property
    def job_id(self) -> str:
        """ID of the job."""
        return self.request.job_id

    @property
    def total_occurrences(self) -> int:
        """Total number of occurrences; 1 for a job without times."""
        return max(1, self.request.occurrences)

    def open_occurrence(self, occurrence: int) -> list[StepProgress]:
        """Return the steps of an occurrence and create them at first use."""
        steps = self.occurrences.get(occurrence)
        if steps is None:
            steps = [
                StepProgress([TaskProgress() for _ in range(step.count)])
                for step in self.request.steps
            ]
            self.occurrences[occurrence] = steps
        return steps

    def due_occurrences(self, now_ms: float) -> Iterator[int]:
        """Yield the first occurrences that are due and not finished.

        There may be more, if a schedule began long ago. Only those whose tasks may run
        at the same time are yielded.
        """
        tasks = sum(step.count for step in self.request.steps)
        left = max(MIN_OPEN_OCCURRENCES, MAX_OPEN_TASKS // tasks)
        first = self.finished_occurrences.first_missing
        for occurrence in range(first, self.total_occurrences):
            if not left or self.request.due_ms(occurrence) > now_ms:
                return
            if occurrence not in self.finished_occurrences:
                left -= 1
                yield occurrence

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        steps = self.open_occurrence(occurrence)
        return all(steps[earlier].done for earlier in self.request.steps[step].after)

    def find_task(self, name: TaskName) -> TaskProgress | None:
        """Return a task of an open occurrence, or None if there is no such task."""
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
        """Record finished occurrences, and drop their tasks once no run is open."""
        for occurrence, steps in list(self.occurrences.items()):
            if all(step.done for step in steps):
                self.finished_occurrences.add(occurrence)
                if not any(task.run for step in steps for task in step.tasks):
                    del self.occurrences[occurrence]

    @property
    def all_done(self) -> bool:
        """Whether all occurrences are finished."""
        return len(self.finished_occurrences) >= self.total_occurrences
