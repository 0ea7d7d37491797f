"""Attribution of task failures to faulty workers or faulty jobs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from chiveledge.types import JobId, WorkerName

FAILURES_OF_FAULTY_JOB = 3
"""Workers on which a job must fail to be considered faulty. A worker on which it fails
again counts again: a job returns there only if it fits nowhere else."""

FAILURES_TO_QUARANTINE = 2
"""Jobs that must fail on a worker and succeed elsewhere to quarantine the worker."""

PROBE_INTERVAL_S = 30.0
"""Time without a placement after which a quarantined worker gets a job again."""


class FailureTracker:
    """Failures of jobs on workers, and the quarantine of faulty workers.

    A failure counts against its worker only once the same job succeeded on another
    worker. A job that fails `FAILURES_OF_FAULTY_JOB` times is itself
    considered faulty, and its failures count against no worker.
    """

    def __init__(self) -> None:
        self._unattributed: dict[JobId, set[WorkerName]] = {}
        self._worker_failures: dict[WorkerName, set[JobId]] = {}
        self._quarantined_since_s: dict[WorkerName, float] = {}

    def is_job_faulty(self, failed_on: Sequence[WorkerName]) -> bool:
        """Whether a job failed on enough workers to be considered faulty."""
        return len(failed_on) >= FAILURES_OF_FAULTY_JOB

    def record_failure(self, job_id: JobId, workers: Iterable[WorkerName]) -> None:
        """Record the workers on which members of a job failed."""
        self._unattributed.setdefault(job_id, set()).update(workers)

    def discard_job(self, job_id: JobId) -> None:
        """Discard the failures of a job that ended without success."""
        self._unattributed.pop(job_id, None)

    def record_success(
        self, job_id: JobId, workers: Iterable[WorkerName], now_s: float
    ) -> list[WorkerName]:
        """Record a finished job; return the workers that are newly quarantined."""
        for worker in workers:
            self._worker_failures.pop(worker, None)
            self._quarantined_since_s.pop(worker, None)
        newly = []
        for worker in self._unattributed.pop(job_id, set()).difference(workers):
            jobs = self._worker_failures.setdefault(worker, set())
            jobs.add(job_id)
            if len(jobs) >= FAILURES_TO_QUARANTINE:
                self._quarantined_since_s[worker] = now_s
                newly.append(worker)
        return newly

    def list_quarantined(self, now_s: float) -> set[WorkerName]:
        """Return the quarantined workers, except those that are due for a probe."""
        return {
            worker
            for worker, since_s in self._quarantined_since_s.items()
            if now_s - since_s < PROBE_INTERVAL_S
        }

    def record_placement(self, workers: Iterable[WorkerName], now_s: float) -> None:
        """Record the placement of a job, which restarts the probe interval."""
        for worker in workers:
            if worker in self._quarantined_since_s:
                self._quarantined_since_s[worker] = now_s
