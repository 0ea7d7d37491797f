"""Accepts, reads and cancels jobs through the table service.

A job is accepted once its row is committed. A refusal guarantees that the job does
not run, so it is returned only if no write of the job can still take effect. The same
holds for a cancellation that finds no job: it is stored before it is answered, and no
submission of the job that is still on its way can be committed after it.
"""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from chiveledge.cancellations import RETENTION_S, CancellationQuota
from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.intake._inbox_rows import (
    cancel_key,
    is_refusal,
    job_key,
    make_cancellation,
    make_refusal,
    make_submission,
)
from chiveledge.intake._outcomes import (
    Accepted,
    CancelOutcome,
    Infeasible,
    JobIdInUse,
    NotFound,
    NotStored,
    ReadOutcome,
    Refused,
    SubmitOutcome,
    TooManyCancellations,
    UnknownOutcome,
    Withdrawn,
)
from chiveledge.intake._status_cache import (
    JobStatus,
    JobStatusCache,
    decode_status,
    initial_job_status_key,
    job_status_key,
)
from chiveledge.services import (
    CallError,
    Conflict,
    HedgeDelay,
    Rejected,
    TableService,
    Transaction,
    Unavailable,
    Unsettled,
    transact_hedged,
)
from chiveledge.services.table import ABSENT
from chiveledge.types import JobId, WorkspaceName
from chiveledge.workload import JobRequest

RETRY_S = 0.1


class JobStore:
    """Submits, reads and cancels jobs for the callers of one process.

    Parameters
    ----------
    table : TableService
        Stores the jobs.
    status_cache : JobStatusCache
        This process's cache of the status rows.
    clock : Clock
        Time source.
    log : DecisionLog
        Receives one line per outcome.
    max_row_chars : int
        Longest text of a row that the table takes.
    is_unresponsive : callable, optional
        Returns whether the table service currently answers no calls.
    explain_infeasible : callable, optional
        Returns why a job can never start, or an empty text if it may.
    quota : CancellationQuota, optional
        Bounds the stored cancellations of unknown jobs.
    """

    def __init__(
        self,
        table: TableService,
        status_cache: JobStatusCache,
        clock: Clock,
        log: DecisionLog,
        max_row_chars: int,
        is_unresponsive: Callable[[], bool] = lambda: False,
        explain_infeasible: Callable[[JobRequest], str] = lambda _: "",
        quota: CancellationQuota | None = None,
    ) -> None:
        self._table = table
        self._status_cache = status_cache
        self._clock = clock
        self._log = log
        self._max_row_chars = max_row_chars
        self._is_unresponsive = is_unresponsive
        self._explain_infeasible = explain_infeasible
        self._quota = quota or CancellationQuota(clock, RETENTION_S)
        self._hedge_delay = HedgeDelay()

    async def submit(self, request: JobRequest, timeout_s: float) -> SubmitOutcome:
        """Store a job unless a job with its ID is already stored.

        Parameters
        ----------
        request : JobRequest
            Job to store.
        timeout_s : float
            How long to wait for the store, in seconds.
        """
        submission = make_submission(request)
        row_chars = max(len(put.value) for put in submission.puts)
        if row_chars > self._max_row_chars:
            reason = f"a row of {row_chars} bytes exceeds {self._max_row_chars}"
            return self._log_submit(request, Refused(reason))
        if self._is_unresponsive():
            return self._log_submit(request, NotStored("the store does not answer"))
        reason = self._explain_infeasible(request)
        outcome = None
        if reason:
            outcome = await self._refuse_infeasible(request, reason, timeout_s)
        if outcome is None:
            outcome = await self._store(request, make_submission(request), timeout_s)
        return self._log_submit(request, outcome)

    async def _store(
        self, request: JobRequest, submission: Transaction, timeout_s: float
    ) -> SubmitOutcome:
        match await self._transact(submission, timeout_s):
            case Ok(_):
                return Accepted()
            case Err(Conflict(keys)) if job_key(request.job_id) not in keys:
                return await self._find_withdrawal(request, submission, timeout_s)
            case Err(Conflict()):
                return await self._find_existing(request)
            case Err(Rejected(reason)):
                return Refused(reason)
            case Err(Unavailable(reason)):
                return NotStored(reason)
            case Err(Unsettled(reason)):
                return UnknownOutcome(reason)
        raise AssertionError("unreachable")

    async def _find_withdrawal(
        self, request: JobRequest, submission: Transaction, timeout_s: float
    ) -> SubmitOutcome:
        """Return the outcome of submitting a job whose cancellation is stored.

        It holds against all sends of the submission, which check that it is absent. If
        it was a refusal, a submission that replaces it is sent.
        """
        match await self._table.read(cancel_key(request.job_id, request.workspace)):
            case Ok(None):
                return UnknownOutcome("the cancellation of this job was just removed")
            case Ok(row) if not is_refusal(row):
                return Withdrawn()
            case Ok(row) if submission.deletes:
                return UnknownOutcome("the job is submitted and refused repeatedly")
            case Ok(row):
                replacing = make_submission(request, row.version)
                return await self._store(request, replacing, timeout_s)
            case Err(error):
                return UnknownOutcome(str(error))
        raise AssertionError("unreachable")

    async def _refuse_infeasible(
        self, request: JobRequest, reason: str, timeout_s: float
    ) -> SubmitOutcome | None:
        """Store that a job is refused, and return the outcome.

        An earlier submission whose outcome is unknown can't be performed after it. None
        means that the job may be stored: it was accepted when the fleet was larger.
        """
        job_id, workspace = request.job_id, request.workspace
        match await self._table.read(cancel_key(job_id, workspace)):
            case Ok(row) if row is None or is_refusal(row):
                refusal = make_refusal(request, row.version if row else ABSENT)
            case Ok(_):
                return None
            case Err(error):
                return NotStored(str(error))
        if self._quota.reserve(job_id, workspace) > 0:
            is_stored = await self.read(job_id) != NotFound()
            return None if is_stored else Infeasible(reason)
        match await self._transact(refusal, timeout_s):
            case Ok(_):
                return Infeasible(reason)
            case Err(Conflict(keys)) if job_key(job_id) not in keys:
                # An own send was committed, or others refuse or cancel it right now.
                found = await self._table.read(cancel_key(job_id, workspace))
                if found.map(lambda row: row is not None) == Ok(True):
                    return Infeasible(reason)
                return UnknownOutcome("the refusal of this job is not confirmed")
            case Err(Unsettled(reason)):
                return UnknownOutcome(reason)
            case Err(error):
                self._quota.release(job_id, workspace)
                return None if isinstance(error, Conflict) else NotStored(error.reason)
        raise AssertionError("unreachable")

    async def _transact(
        self, transaction: Transaction, timeout_s: float
    ) -> Result[int, CallError]:
        return await transact_hedged(
            self._table,
            transaction,
            self._clock,
            self._hedge_delay,
            timeout_s=timeout_s,
        )

    async def _find_existing(self, request: JobRequest) -> SubmitOutcome:
        """Return the outcome of submitting a job whose ID is already stored."""
        status = self._status_cache.find(request.job_id)
        match status or await self.read(request.job_id):
            case JobStatus(workspace=owner) if owner == request.workspace:
                return Accepted(repeated=True)
            case JobStatus():
                return JobIdInUse()
            case NotFound():
                return UnknownOutcome("the job with this ID was just removed")
            case UnknownOutcome() as unknown:
                return unknown
        raise AssertionError("unreachable")

    async def read(self, job_id: JobId) -> ReadOutcome:
        """Return a job's public status.

        The cache lags behind the store, so only the status of an ended job is
        taken from it. Others are read from the store, with the cache as fallback
        if the store does not answer.
        """
        cached = self._status_cache.find(job_id)
        if cached is not None and (cached.state.ended or self._is_unresponsive()):
            return cached
        for key in (job_status_key(job_id), initial_job_status_key(job_id)):
            match await self._table.read(key):
                case Ok(None):
                    pass
                case Ok(row):
                    return decode_status(row.value).unwrap_or_else(UnknownOutcome)
                case Err(error):
                    return cached or UnknownOutcome(str(error))
        return NotFound()

    async def cancel(
        self, job_id: JobId, workspace: WorkspaceName, timeout_s: float
    ) -> CancelOutcome:
        """Store a request to cancel a job, which the leader then carries out.

        Parameters
        ----------
        job_id : str
            Job to cancel.
        workspace : str
            Workspace of the caller; a job of another workspace is not found.
        timeout_s : float
            How long to try, in seconds.
        """
        deadline_s = self._clock.monotonic() + timeout_s
        while True:
            remaining_s = deadline_s - self._clock.monotonic()
            outcome = await self._try_cancel(job_id, workspace, remaining_s)
            if not isinstance(outcome, UnknownOutcome):
                return self._log_cancel(job_id, workspace, outcome)
            if self._clock.monotonic() + RETRY_S >= deadline_s:
                return self._log_cancel(job_id, workspace, outcome)
            await self._clock.sleep(RETRY_S)

    async def _try_cancel(
        self, job_id: JobId, workspace: WorkspaceName, timeout_s: float
    ) -> CancelOutcome:
        """Store the request to cancel a job once; return the outcome."""
        match await self.read(job_id):
            case JobStatus(workspace=owner, state=state) if owner == workspace:
                # The status may be that of an ended job which another one of its ID
                # has just replaced, so the row is written all the same.
                found = Accepted(repeated=state.ended)
                cancellation = make_cancellation(job_id, workspace)
            case JobStatus():
                # A submission of the caller's own workspace may be performed once the
                # job of the other one has been removed.
                found = NotFound()
                cancellation = make_cancellation(job_id, workspace)
            case NotFound() as found:
                cancellation = make_cancellation(
                    job_id, workspace, must_be_unknown=True
                )
            case UnknownOutcome() as unknown:
                return unknown
        if found == NotFound():
            wait_s = self._quota.reserve(job_id, workspace)
            if wait_s > 0:
                return TooManyCancellations(wait_s)
        match await self._transact(cancellation, timeout_s):
            case Ok(_):
                return found
            case Err(Unsettled()):
                return UnknownOutcome("the store did not confirm the cancellation")
            case Err(error):
                self._quota.release(job_id, workspace)
                return UnknownOutcome(f"the cancellation is not stored: {error}")
        raise AssertionError("unreachable")

    def _log_submit(self, request: JobRequest, outcome: SubmitOutcome):
        self._log.write(
            "intake",
            "submit",
            id=request.job_id,
            queue=request.queue,
            workspace=request.workspace,
            steps=[step.count for step in request.steps],
            outcome=type(outcome).__name__,
            detail=list(outcome),
        )
        return outcome

    def _log_cancel(
        self, job_id: JobId, workspace: WorkspaceName, outcome: CancelOutcome
    ) -> CancelOutcome:
        self._log.write(
            "intake",
            "cancel",
            id=job_id,
            workspace=workspace,
            outcome=type(outcome).__name__,
            detail=list(outcome),
        )
        return outcome
