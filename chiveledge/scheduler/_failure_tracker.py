"""Tells workers that fail everything from jobs that fail everywhere."""

from __future__ import annotations

from collections.abc import Iterable

from chiveledge.types import JobId, WorkerName

FAILED_WORKERS_OF_FAULTY_JOB = 3
"""Different workers on which a job fails before the job is to blame."""

FAILURES_TO_QUARANTINE = 2
"""Jobs that failed on a worker, and ran elsewhere, before the worker is to blame."""

PROBE_INTERVAL_S = 30.0


class FailureTracker:
    """Failures of jobs on workers, while it is open whose fault they are.

    A failure counts against its worker only once the same job succeeded on another
    worker. A job that fails on `FAILURES_OF_JOB` workers is to blame itself, and
    its failures count against no worker.
    """

    def __init__(self) -> None:
        self._unattributed: dict[JobId, set[WorkerName]] = {}
        self._worker_failures: dict[WorkerName, set[JobId]] = {}
        self._quarantined_since_s: dict[WorkerName, float] = {}

    def is_job_faulty(self, failed_on: Iterable[WorkerName]) -> bool:
        """Whether a job failed on enough different workers."""
        return len(set(failed_on)) >= FAILED_WORKERS_OF_FAULTY_JOB

    def record_failure(self, job_id: JobId, workers: Iterable[WorkerName]) -> None:
        """Record that members of a job failed on workers."""
        self._unattributed.setdefault(job_id, set()).update(workers)

    def discard_job(self, job_id: JobId) -> None:
        """Drop the failures of a job that failed for good or was cancelled."""
        self._unattributed.pop(job_id, None)

    def record_success(
        self, job_id: JobId, workers: Iterable[WorkerName], now_s: float
    ) -> list[WorkerName]:
        """Record a finished job; return workers that are quarantined from now on."""
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
        """Return workers that get no job; after a while one may be probed again."""
        return {
            worker
            for worker, since_s in self._quarantined_since_s.items()
            if now_s - since_s < PROBE_INTERVAL_S
        }

    def record_placement(self, workers: Iterable[WorkerName], now_s: float) -> None:
        """Record that a job was placed, so that a probe is one job at a time."""
        for worker in workers:
            if worker in self._quarantined_since_s:
                self._quarantined_since_s[worker] = now_s
