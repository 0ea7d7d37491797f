"""Which workers are avoided: those that fail what other workers do well.

Load answered: a worker that fails or stalls all that it starts while it looks
healthy. A job that fails everywhere must not put blame on the workers, so failures
of one job count once for a worker, and a job with failures on other workers counts
for nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from chiveledge.types import JobId, WorkerName

FAILED_JOBS_LIMIT = 2
"""Different jobs that must fail on a worker in a row before it is avoided."""

AVOID_S = 6.0
"""How long a worker is avoided before it gets one task as a probe."""

AVOIDED_SHARE = 0.34
"""Most workers that may be avoided at the same time."""


@dataclass
class _Record:
    failed_jobs: set[JobId] = field(default_factory=set)
    avoided_since_s: float | None = None


class WorkerSuspicion:
    """Counts how runs end on each worker."""

    def __init__(self) -> None:
        self._records: dict[WorkerName, _Record] = {}
        self._job_failures: dict[JobId, set[WorkerName]] = {}

    def note_success(self, worker: WorkerName) -> None:
        """A run ended well: the worker is sound."""
        self._records.pop(worker, None)

    def note_failure(self, worker: WorkerName, job_id: JobId, now_s: float) -> None:
        """A run failed by its own fault or the worker's."""
        workers = self._job_failures.setdefault(job_id, set())
        workers.add(worker)
        if len(workers) > 1:
            return
        record = self._records.setdefault(worker, _Record())
        record.failed_jobs.add(job_id)
        if len(record.failed_jobs) >= FAILED_JOBS_LIMIT:
            record.avoided_since_s = now_s

    def note_stall(self, worker: WorkerName, now_s: float) -> None:
        """A run made no progress at all."""
        self._records.setdefault(worker, _Record()).avoided_since_s = now_s

    def forget_worker(self, worker: WorkerName) -> None:
        """The worker started anew."""
        self._records.pop(worker, None)

    def forget_job(self, job_id: JobId) -> None:
        """The job has ended."""
        self._job_failures.pop(job_id, None)

    def avoided(self, now_s: float, total: int) -> set[WorkerName]:
        """Return the workers that get nothing now, the latest suspects first."""
        rows = [
            (record.avoided_since_s, name)
            for name, record in self._records.items()
            if record.avoided_since_s is not None
            and now_s < record.avoided_since_s + AVOID_S
        ]
        limit = max(1, int(total * AVOIDED_SHARE))
        return {name for _, name in sorted(rows, reverse=True)[:limit]}

    def probing(self, now_s: float) -> set[WorkerName]:
        """Return the workers that were avoided and have not succeeded since."""
        return {
            name
            for name, record in self._records.items()
            if record.avoided_since_s is not None
            and now_s >= record.avoided_since_s + AVOID_S
        }
