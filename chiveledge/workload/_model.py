"""What a caller submits: a job of steps, each with a number of equal tasks."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from chiveledge.types import JobId, WorkspaceName


class JobState(StrEnum):
    """State of a job, as callers see it."""

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
    """Resources of a worker, or a task's part of them.

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

    def plus(self, other: Usage) -> Usage:
        """Return the sum of both."""
        return Usage(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Usage) -> Usage:
        """Return what is left after taking `other` away; may be negative."""
        return Usage(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def least(self, other: Usage) -> Usage:
        """Return the smaller of both, resource by resource."""
        return Usage(*map(min, self, other))

    def fits(self, free: Usage) -> bool:
        """Whether `free` has room for this."""
        return (
            self.millicores <= free.millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def count_in(self, free: Usage) -> int:
        """Return how many of this fit into `free` side by side."""
        counts = [
            have // need for need, have in zip(self, free, strict=True) if need > 0
        ]
        return max(0, min(counts, default=1_000_000))


class Step(NamedTuple):
    """A number of equal tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    usage : Usage
        What each task asks for.
    estimate_s : float
        Declared run time of a task; only a hint.
    after : tuple of int
        Earlier steps that must be done first.
    checkpoints : bool
        Whether a stopped task resumes from saved data.
    gang : bool
        Whether the tasks run only all together.
    same_rack : bool
        Whether the tasks are slower on more than one rack.
    speculative : bool
        Whether copies of a task may run at the same time.
    lasting : bool
        Whether the tasks run until the job is cancelled.
    filler : bool
        Whether the tasks use only processor time that others leave.
    required_label : str
        Label that a worker must have; empty for any.
    data_rack : str
        Rack on which the tasks are not slowed down; empty for any.
    max_per_worker : int
        Bound on tasks of one occurrence on a worker; 0 for none.
    may_be_away : int
        Tasks of a lasting step that may be interrupted at the same time.
    image : str
        What the tasks run; tasks of one image behave alike.
    latency_target_ms : int
        Bound on the tail of the response times of a serving task; 0 for none.
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
    """An accepted job as its row keeps it.

    Attributes
    ----------
    queue : str
        Host and path prefix of the queue.
    payload : str
        What the tasks run; it is passed on as it is.
    accepted_ms : int
        Wall time of the acceptance in milliseconds since 1970.
    occurrences : int
        How often the steps run; 0 for a job without times, which runs once.
    first_due_ms, interval_ms : int
        Wall time of the first occurrence, and the time between two.
    priority, max_attempts : int
        Policy of the queue when the job was accepted.
    service : str
        Service whose workers run the job.
    stretch, target_s : float
        The job is due `stretch` times its longest chain of work plus `target_s`
        after its acceptance.
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
        """Return when an occurrence may start, in milliseconds since 1970."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskName(NamedTuple):
    """Identity of a task in all its runs."""

    job_id: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @property
    def step_name(self) -> str:
        """Name of the step of one occurrence."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"

    @classmethod
    def parse(cls, text: str) -> TaskName | None:
        """Return the name that a text spells, or None."""
        parts = text.rsplit(".", 3)
        if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
