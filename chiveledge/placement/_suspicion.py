"""Which workers are doubted: those that fail what other workers do well.

Load answered: a worker that fails or stalls all that it starts while it looks
healthy. Every task that failed there since its last success counts, whatever its
job, so that one wide job is enough to find it. A job that fails on several workers
and ends well on none is at fault itself and puts blame on nobody.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chiveledge.types import JobId, WorkerName
from chiveledge.workload import TaskName

FAILED_TASKS_LIMIT = 2
"""Different tasks that must fail on a worker in a row before it is avoided."""

AVOID_S = 6.0
"""How long a worker is avoided before it gets one task as a probe."""

FAILING_WORKERS = 2
"""Workers that may fail one job before the job is taken to be at fault: a wide gang
easily meets two bad workers in a row."""

PROOF_S = 3.0
"""How long a worker counts as sound after a start that did well: shorter than the
spells in which workers fail all that they start."""

AVOIDED_SHARE = 0.34
"""Most workers that may be avoided at the same time."""


@dataclass
class _WorkerRecord:
    failed: set[TaskName] = field(default_factory=set)
    avoided_since_s: float | None = None


@dataclass
class _JobRecord:
    failed_on: set[WorkerName] = field(default_factory=set)
    ended_well: bool = False

    @property
    def at_fault(self) -> bool:
        return len(self.failed_on) > FAILING_WORKERS and not self.ended_well


class WorkerSuspicion:
    """Counts how runs end on each worker."""

    def __init__(self) -> None:
        self._workers: dict[WorkerName, _WorkerRecord] = {}
        self._jobs: dict[JobId, _JobRecord] = {}
        self._sound_start_s: dict[WorkerName, float] = {}

    def note_success(self, worker: WorkerName, task: TaskName) -> None:
        """A run ended well: the worker is sound."""
        self._workers.pop(worker, None)
        self._jobs.setdefault(task.job_id, _JobRecord()).ended_well = True

    def note_sound_start(self, worker: WorkerName, began_s: float) -> None:
        """A run that began then has come forward since."""
        latest_s = self._sound_start_s.get(worker, began_s)
        self._sound_start_s[worker] = max(latest_s, began_s)

    def note_failure(self, worker: WorkerName, task: TaskName, now_s: float) -> None:
        """A run failed by its own fault or the worker's."""
        job = self._jobs.setdefault(task.job_id, _JobRecord())
        job.failed_on.add(worker)
        if job.at_fault:
            self._clear_blame(task.job_id)
            return
        record = self._workers.setdefault(worker, _WorkerRecord())
        record.failed.add(task)
        if len(record.failed) >= FAILED_TASKS_LIMIT:
            record.avoided_since_s = now_s

    def note_stall(self, worker: WorkerName, now_s: float) -> None:
        """A run made no progress at all."""
        self._workers.setdefault(worker, _WorkerRecord()).avoided_since_s = now_s

    def forget_worker(self, worker: WorkerName) -> None:
        """The worker started anew."""
        self._workers.pop(worker, None)
        self._sound_start_s.pop(worker, None)

    def forget_job(self, job_id: JobId) -> None:
        """The job has ended."""
        self._jobs.pop(job_id, None)

    def doubted(self) -> set[WorkerName]:
        """Return the workers that failed something since their last success."""
        return set(self._workers)

    def proven(self, now_s: float) -> set[WorkerName]:
        """Return the workers on which the latest work began well, not long ago.

        Work that began earlier proves nothing: a worker that fails all it starts may
        bring that to its end.
        """
        return {
            name
            for name, began_s in self._sound_start_s.items()
            if now_s - began_s < PROOF_S and name not in self._workers
        }

    def avoided(self, now_s: float, total: int) -> set[WorkerName]:
        """Return the workers that get nothing now, the latest suspects first."""
        rows = [
            (record.avoided_since_s, name)
            for name, record in self._workers.items()
            if record.avoided_since_s is not None
            and now_s < record.avoided_since_s + AVOID_S
        ]
        limit = max(1, int(total * AVOIDED_SHARE))
        return {name for _, name in sorted(rows, reverse=True)[:limit]}

    def probing(self, now_s: float) -> set[WorkerName]:
        """Return the workers that were avoided and have not succeeded since."""
        return {
            name
            for name, record in self._workers.items()
            if record.avoided_since_s is not None
            and now_s >= record.avoided_since_s + AVOID_S
        }

    def _clear_blame(self, job_id: JobId) -> None:
        """Take back what a job at fault has put on workers."""
        for name, record in list(self._workers.items()):
            blamed = {task for task in record.failed if task.job_id == job_id}
            if not blamed:
                continue
            record.failed -= blamed
            if not record.failed:
                del self._workers[name]
            elif len(record.failed) < FAILED_TASKS_LIMIT:
                record.avoided_since_s = None
