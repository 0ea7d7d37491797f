"""A region's jobs in memory, and their rows in the table service."""

from __future__ import annotations

import json
from collections.abc import Iterable
from datetime import timedelta

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.decoding import DECODE_ERRORS, describe_error
from chiveledge.jobs import (
    Attempt,
    Job,
    JobState,
    cancel_key,
    decode_job,
    encode_job,
)
from chiveledge.leadership import Leadership
from chiveledge.logs import PartLogger
from chiveledge.scheduler._attempt_outcomes import (
    AllFinished,
    AttemptOutcome,
    Cancelled,
    MembersFailed,
    MembersLost,
    NeverStarted,
    Reclaimed,
    StartRejected,
)
from chiveledge.scheduler._failure_tracker import FailureTracker
from chiveledge.scheduler._lost_attempts import (
    SHARED_LOSS_S,
    LossRecord,
    LossSign,
    add_loss,
)
from chiveledge.services import (
    CallError,
    Check,
    Conflict,
    GroupCommit,
    ObjectStore,
    Put,
    Rejected,
    Row,
)
from chiveledge.types import JobId, WorkerName

INLINE_RESULT_CHARS = 16384
"""Largest encoded results that are stored in the job's row."""

SHORT_REASON_CHARS = 100
"""Longest reason in a row that the store rejected before."""

ENDED_JOB_RETENTION = timedelta(hours=1)
OBJECT_RETRY_S = 0.5

log = PartLogger("scheduler")


class JobRepository:
    """Jobs of the region that this process leads, with the versions of their rows.

    Every commit checks the leadership's fence, so that a leader that lost the region
    can't change a job.

    Parameters
    ----------
    writes : GroupCommit
        Batches the rows of many jobs into few transactions.
    objects : ObjectStore
        Stores large results.
    leadership : Leadership
        Provides the fence.
    failure_tracker : FailureTracker
        Receives failures and successes of jobs.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        writes: GroupCommit,
        objects: ObjectStore,
        leadership: Leadership,
        failure_tracker: FailureTracker,
        clock: Clock,
    ) -> None:
        self._writes = writes
        self._objects = objects
        self._leadership = leadership
        self._failure_tracker = failure_tracker
        self._clock = clock
        self._jobs: dict[JobId, Job] = {}
        self._versions: dict[JobId, int] = {}
        # Monotonic time of the last loss of each worker, and the job that lost it.
        self._lost_workers: dict[WorkerName, tuple[float, JobId]] = {}

    @property
    def jobs(self) -> dict[JobId, Job]:
        """Jobs by ID, including those that ended within `ENDED_JOB_RETENTION`."""
        return self._jobs

    def load(self, rows: Iterable[Row]) -> list[Job]:
        """Add the jobs of rows; return those that were not known.

        A row that can't be read is passed over. The next leader reads it again.
        """
        new_jobs = []
        for row in rows:
            try:
                job = decode_job(row.value)
            except DECODE_ERRORS as error:
                reason = describe_error(error)
                log.error("A job can't be read.", key=row.key, reason=reason)
                continue
            if job.job_id in self._jobs:
                continue
            self._jobs[job.job_id] = job
            self._versions[job.job_id] = row.version
            new_jobs.append(job)
        return new_jobs

    async def commit_start(self, job: Job, attempt: Attempt) -> Result[Job, CallError]:
        """Commit that an attempt runs."""
        running = job._replace(
            state=JobState.RUNNING,
            attempt=attempt,
            attempts=job.attempts + 1,
            reason="",
        )
        return await self._commit(running)

    async def commit_outcome(
        self, job: Job, outcome: AttemptOutcome
    ) -> Result[Job, CallError]:
        """Commit a job's state after the outcome of its attempt."""
        if isinstance(outcome, NeverStarted) and job.attempt is None:
            return Ok(job)
        return await self._commit(await self._apply_outcome(job, outcome))

    async def commit_rejection(self, job: Job, reason: str) -> Result[Job, CallError]:
        """Commit the failure of a job that can never run."""
        return await self._commit(self._finalize(job, JobState.FAILED, reason))

    async def commit_cancellation(self, job: Job) -> Result[Job, CallError]:
        """Commit the cancellation of a job that does not run."""
        return await self._commit(self._finalize(job, JobState.CANCELLED, "cancelled"))

    async def delete_ended(self) -> int:
        """Delete rows of jobs that ended before the retention; return their number."""
        cutoff = self._clock.now() - ENDED_JOB_RETENTION
        expired = [
            job for job in self._jobs.values() if job.ended_at and job.ended_at < cutoff
        ]
        for job in expired:
            check = Check(job.key, self._versions[job.job_id])
            result = await self._writes.commit(
                checks=(self._leadership.fence, check), deletes=(job.key,)
            )
            if result.is_ok():
                del self._jobs[job.job_id]
                del self._versions[job.job_id]
        return len(expired)

    async def _commit(self, job: Job) -> Result[Job, CallError]:
        """Write a job's row, and a shorter one if the store rejects it.

        A row of a running job is not shortened: a job that can't be stored with its
        attempt is never started.
        """
        result = await self._write(job)
        if job.state is JobState.RUNNING or not isinstance(result.err(), Rejected):
            return result
        return await self._write(await self._shorten(job))

    async def _shorten(self, job: Job) -> Job:
        """Return a job without what its row can do without in its state."""
        if job.results:
            return await self._move_results(job)
        if not job.state.ended:
            return job._replace(reason="")
        spec = job.spec.model_copy(update={"payload": ""})
        return job._replace(spec=spec, reason=job.reason[:SHORT_REASON_CHARS])

    async def _write(self, job: Job) -> Result[Job, CallError]:
        check = Check(job.key, self._versions[job.job_id])
        deletes = (cancel_key(job.job_id, job.workspace),) if job.state.ended else ()
        result = await self._writes.commit(
            checks=(self._leadership.fence, check),
            puts=(Put(job.key, encode_job(job)),),
            deletes=deletes,
        )
        match result:
            case Ok(version):
                self._jobs[job.job_id] = job
                self._versions[job.job_id] = version
                return Ok(job)
            case Err(Conflict(keys)):
                self._leadership.step_down(f"a commit conflicted on the rows {keys}")
                return result
            case Err(_):
                return result
        raise AssertionError("unreachable")

    async def _apply_outcome(self, job: Job, outcome: AttemptOutcome) -> Job:
        """Return the job with the outcome of its attempt applied."""
        queued = job._replace(state=JobState.QUEUED, attempt=None)
        match outcome:
            case AllFinished(results):
                workers = job.attempt.workers if job.attempt else ()
                self._failure_tracker.record_success(
                    job.job_id, workers, self._clock.monotonic()
                )
                finished = self._finalize(job, JobState.FINISHED, "")
                return await self._store_results(finished, results)
            case Cancelled():
                return self._finalize(job, JobState.CANCELLED, "cancelled")
            case MembersFailed(workers):
                return self._apply_failure(queued, workers)
            case MembersLost(workers, sign):
                return self._apply_loss(queued, workers, sign)
            case StartRejected(reason):
                reason = f"the store rejects the job's row: {reason}"
                return self._finalize(queued, JobState.FAILED, reason)
            case Reclaimed(reason) | NeverStarted(reason):
                return queued._replace(reason=reason)
        raise AssertionError(f"unknown outcome {outcome!r}")

    def _apply_failure(self, job: Job, workers: tuple[WorkerName, ...]) -> Job:
        self._failure_tracker.record_failure(job.job_id, workers)
        failed_on = (*job.failed_on, *dict.fromkeys(workers))
        job = job._replace(failed_on=failed_on)
        if self._failure_tracker.is_job_faulty(failed_on):
            names = ",".join(dict.fromkeys(failed_on))
            reason = f"failed {len(failed_on)} times, on {names}"
            return self._finalize(job, JobState.FAILED, reason)
        return job._replace(reason=f"failed on {','.join(workers)}; will be retried")

    def _apply_loss(
        self, job: Job, workers: tuple[WorkerName, ...], sign: LossSign
    ) -> Job:
        """Queue a job again whose workers were lost, unless it is to be given up."""
        earlier = LossRecord(job.blame, job.lost_at) if job.lost_at else None
        alone = self._was_alone(job.job_id, workers)
        self._record_lost(job.job_id, workers)
        record = add_loss(earlier, sign, alone=alone, now=self._clock.now())
        log.info(
            "Workers of a job were lost.",
            job=job.job_id,
            workers=workers,
            sign=sign,
            alone=alone,
            blame=record.blame,
        )
        job = job._replace(blame=record.blame, lost_at=record.last_at)
        if record.is_exhausted:
            reason = f"its workers are lost again and again, now {','.join(workers)}"
            return self._finalize(job, JobState.FAILED, reason)
        return job._replace(reason=f"lost members on {','.join(workers)}")

    def _was_alone(self, job_id: JobId, workers: tuple[WorkerName, ...]) -> bool:
        """Return whether no other job ran on workers when they were lost."""
        now_s = self._clock.monotonic()
        shared = any(
            other.job_id != job_id
            and other.attempt is not None
            and not set(workers).isdisjoint(other.attempt.workers)
            for other in self._jobs.values()
        )
        for worker in workers:
            lost_s, lost_job = self._lost_workers.get(worker, (0.0, job_id))
            shared |= lost_job != job_id and now_s - lost_s < SHARED_LOSS_S
        return not shared

    def _record_lost(self, job_id: JobId, workers: tuple[WorkerName, ...]) -> None:
        """Record when, and under which job, workers were lost last."""
        now_s = self._clock.monotonic()
        for worker in workers:
            self._lost_workers[worker] = (now_s, job_id)

    def _finalize(self, job: Job, state: JobState, reason: str) -> Job:
        if state is not JobState.FINISHED:
            self._failure_tracker.discard_job(job.job_id)
        return job._replace(
            state=state, attempt=None, reason=reason, ended_at=self._clock.now()
        )

    async def _store_results(self, job: Job, results: tuple[str, ...]) -> Job:
        job = job._replace(results=results)
        if len(json.dumps(results)) <= INLINE_RESULT_CHARS:
            return job
        return await self._move_results(job)

    async def _move_results(self, job: Job) -> Job:
        """Store the results of a job as an object instead of in its row."""
        text = json.dumps(job.results)
        name = f"results/{job.job_id}"
        while (await self._objects.write(name, text)).is_err():
            await self._clock.sleep(OBJECT_RETRY_S)
        return job._replace(results=(), result_object=name)
