"""Detection of workers that fail or stall the runs they start.

Such a worker may otherwise appear healthy. What counts is the number of different tasks
that failed there since its last success, whatever their jobs, so that one wide job is
enough to detect it. A job that fails on several workers and succeeds on none is faulty
itself, and its failures don't count against workers.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

from chiveledge.types import JobId, WorkerName
from chiveledge.workload import TaskName

FAILED_TASKS_LIMIT = 2
"""Number of different tasks that fail in a row on a worker before it is avoided."""

AVOID_S = 6.0
"""How long a worker is avoided before one task is started there as a probe."""

FAULTY_JOB_WORKERS = 2
"""Number of workers that a job may fail on before the job itself is considered faulty.
A wide gang may include two bad workers one after the other."""

TRUST_S = 3.0
"""How long a worker is trusted after the start of a run that made progress: shorter
than the periods in which workers fail all that they start."""

AVOIDED_SHARE = 0.34
"""Largest share of workers that may be avoided at the same time."""


@dataclass
class _WorkerRecord:
    failed: set[TaskName] = field(default_factory=set)
    avoided_since_s: float | None = None


@dataclass
class _JobRecord:
    failed_on: set[WorkerName] = field(default_factory=set)
    succeeded: bool = False

    @property
    def is_faulty(self) -> bool:
        return len(self.failed_on) > FAULTY_JOB_WORKERS and not self.succeeded


class WorkerSuspicion:
    """Tracks failures and stalls of runs by worker and by job."""

    def __init__(self) -> None:
        self._workers: dict[WorkerName, _WorkerRecord] = {}
        self._jobs: dict[JobId, _JobRecord] = {}
        self._healthy_start_s: dict[WorkerName, float] = {}

    def record_success(self, worker: WorkerName, task: TaskName) -> None:
        """Record that a run succeeded, which clears its worker."""
        self._workers.pop(worker, None)
        self._jobs.setdefault(task.job_id, _JobRecord()).succeeded = True

    def record_progress(self, worker: WorkerName, began_s: float) -> None:
        """Record that a run started at `began_s` has made progress."""
        latest_s = self._healthy_start_s.get(worker, began_s)
        self._healthy_start_s[worker] = max(latest_s, began_s)

    def record_serving(
        self, worker: WorkerName, task: TaskName, began_s: float, now_s: float
    ) -> None:
        """Record that a lasting task that started at `began_s` is at work.

        It never succeeds, so it clears a worker that was avoided before its start once
        it has lasted longer than failing starts do.
        """
        record = self._workers.get(worker)
        if record is None or now_s - began_s < TRUST_S:
            return
        if record.avoided_since_s is not None and began_s > record.avoided_since_s:
            self.record_success(worker, task)

    def record_failure(self, worker: WorkerName, task: TaskName, now_s: float) -> None:
        """Record that a run failed, be it by a fault of the task or of the worker."""
        job = self._jobs.setdefault(task.job_id, _JobRecord())
        job.failed_on.add(worker)
        if job.is_faulty:
            self._discard_failures(task.job_id)
            return
        record = self._workers.setdefault(worker, _WorkerRecord())
        record.failed.add(task)
        if len(record.failed) >= FAILED_TASKS_LIMIT:
            record.avoided_since_s = now_s

    def record_stall(self, worker: WorkerName, now_s: float) -> None:
        """Record that a run made no progress, so that its worker is avoided."""
        self._workers.setdefault(worker, _WorkerRecord()).avoided_since_s = now_s

    def forget_worker(self, worker: WorkerName) -> None:
        """Discard the record of a worker that was restarted."""
        self._workers.pop(worker, None)
        self._healthy_start_s.pop(worker, None)

    def forget_job(self, job_id: JobId) -> None:
        """Discard the record of a job that has ended."""
        self._jobs.pop(job_id, None)

    def suspected(self) -> set[WorkerName]:
        """Return the workers with a failure or stall since their last success."""
        return set(self._workers)

    def trusted(self, now_s: float) -> set[WorkerName]:
        """Return the unsuspected workers with a recent start that made progress.

        The progress of older runs is no evidence: a worker that fails every new start
        may still complete the runs that it started before.
        """
        return {
            name
            for name, began_s in self._healthy_start_s.items()
            if now_s - began_s < TRUST_S and name not in self._workers
        }

    def avoided(
        self, now_s: float, total: int, excluded: Container[WorkerName] = ()
    ) -> set[WorkerName]:
        """Return the workers to avoid now, at most `AVOIDED_SHARE` of `total`.

        If there are more, those avoided most recently are returned.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        total : int
            Number of workers that may get runs.
        excluded : container of str, optional
            Workers that get no runs in any case; they aren't returned.
        """
        rows = [
            (record.avoided_since_s, name)
            for name, record in self._workers.items()
            if record.avoided_since_s is not None
            and now_s < record.avoided_since_s + AVOID_S
            and name not in excluded
        ]
        limit = max(1, int(total * AVOIDED_SHARE))
        return {name for _, name in sorted(rows, reverse=True)[:limit]}

    def probing(self, now_s: float) -> set[WorkerName]:
        """Return the workers avoided before that have had no success since."""
        return {
            name
            for name, record in self._workers.items()
            if record.avoided_since_s is not None
            and now_s >= record.avoided_since_s + AVOID_S
        }

    def is_probe(self, worker: WorkerName, began_s: float) -> bool:
        """Return whether a run on a probing worker started after it was avoided."""
        return began_s > (self._workers[worker].avoided_since_s or 0.0)

    def _discard_failures(self, job_id: JobId) -> None:
        """Remove the failures of a faulty job from the records of workers."""
        for name, record in list(self._workers.items()):
            discarded = {task for task in record.failed if task.job_id == job_id}
            if not discarded:
                continue
            record.failed -= discarded
            if not record.failed:
                del self._workers[name]
            elif len(record.failed) < FAILED_TASKS_LIMIT:
                record.avoided_since_s = None
