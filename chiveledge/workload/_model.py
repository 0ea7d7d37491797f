"""Jobs as callers submit them: steps with a number of equal tasks each."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from chiveledge.types import JobId, WorkspaceName

ACCELERATOR_CORES = 8
"""Processor cores to which one accelerator is equivalent when work is compared."""

ZERO_VALUE_FACTOR = 3.0
"""Multiple of its objective after which a job's result has no value."""

MAX_NAME_DIGITS = 16
"""Most digits of a number in the name of a task."""


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class Usage(NamedTuple):
    """Amounts of a worker's resources, as capacity or as the use of a task.

    Attributes
    ----------
    millicores : int
        Thousandths of a processor core.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @property
    def core_equivalents(self) -> float:
        """Processor cores, with each accelerator as `ACCELERATOR_CORES` of them."""
        return self.millicores / 1000 + self.accelerators * ACCELERATOR_CORES

    def plus(self, other: Usage) -> Usage:
        """Return the sum of two usages."""
        return Usage(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Usage) -> Usage:
        """Return the difference of two usages, which may be negative."""
        return Usage(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def elementwise_min(self, other: Usage) -> Usage:
        """Return the minimum of two usages for each resource."""
        return Usage(*map(min, self, other))

    def fits(self, free: Usage) -> bool:
        """Return whether no resource exceeds that of `free`."""
        return (
            self.millicores <= free.millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def count_in(self, free: Usage) -> int:
        """Return how many tasks of this usage fit into `free` together."""
        if not self.fits(free):
            return 0
        counts = [
            have // need for need, have in zip(self, free, strict=True) if need > 0
        ]
        return min(counts, default=1_000_000)


class Step(NamedTuple):
    """A number of equal tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    usage : Usage
        Resources that each task asks for.
    estimate_s : float
        Run time of a task as declared by the caller; only a hint.
    after : tuple of int
        Numbers of the steps that must be done before this one.
    checkpoints : bool
        Whether a task that was stopped resumes from a checkpoint.
    gang : bool
        Whether all tasks must run at the same time.
    same_rack : bool
        Whether the tasks run slower if they are spread over racks.
    speculative : bool
        Whether copies of a task may run at the same time.
    lasting : bool
        Whether the tasks run until the job is cancelled.
    filler : bool
        Whether the tasks use only processor time that other tasks leave idle.
    required_label : str
        Label that a worker must have; empty for any.
    data_rack : str
        Rack that holds the data of the tasks, which run slower elsewhere; empty for
        any.
    max_per_worker : int
        Limit on tasks of one occurrence on a worker; 0 for none.
    may_be_away : int
        Tasks of a lasting step that may be interrupted at the same time.
    image : str
        Program that the tasks run; tasks with the same image behave alike.
    latency_target_ms : int
        Limit on the tail latency of a task that serves users; 0 for none.
    """

    count: int = 1
    usage: Usage = Usage()
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    speculative: bool = False
    lasting: bool = False
    filler: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    may_be_away: int = 0
    image: str = ""
    latency_target_ms: int = 0


class JobRequest(NamedTuple):
    """An accepted job as stored in its row.

    Attributes
    ----------
    queue : str
        Host and path prefix of the queue.
    payload : str
        Data for the tasks, forwarded to workers unchanged.
    accepted_ms : int
        Wall time of the acceptance in milliseconds since 1970.
    occurrences : int
        How often the steps run; 0 for a job without a schedule, which runs once.
    first_due_ms, interval_ms : int
        Wall time of the first occurrence in milliseconds since 1970, and the interval
        between occurrences.
    priority, max_attempts : int
        Settings of the queue when the job was accepted.
    service : str
        Service whose workers run the job.
    stretch, target_s : float
        The job is due after `stretch` times the expected time of its longest chain of
        steps, plus `target_s`.
    """

    job_id: JobId
    queue: str
    workspace: WorkspaceName
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    service: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in milliseconds since 1970.

        A job without a schedule may start at once, for which 0 is returned.
        """
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskName(NamedTuple):
    """Identity of a task, the same in all its runs."""

    job_id: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @property
    def step_name(self) -> str:
        """Identity of the step in one occurrence of its job."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"

    @classmethod
    def parse(cls, text: str) -> TaskName | None:
        """Return the task name written as `text`, or None if it isn't one."""
        parts = text.rsplit(".", 3)
        if len(parts) != 4 or not all(
            part.isdecimal() and len(part) <= MAX_NAME_DIGITS for part in parts[1:]
        ):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
