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
    make_refusal,
    make_submission,
)
from chiveledge.intake._job_canceller import JobCanceller
from chiveledge.intake._job_reader import JobReader
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
    UnknownOutcome,
    Withdrawn,
)
from chiveledge.intake._status_cache import (
    JobStatus,
    JobStatusCache,
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
        self._reader = JobReader(table, status_cache, is_unresponsive)
        self._canceller = JobCanceller(
            table, self._reader, clock, self._quota, self._hedge_delay
        )

    async def submit(self, request: JobRequest, timeout_s: float) -> SubmitOutcome:
        """Store a job unless a job with its ID is already stored.

        Parameters
        ----------
        request : JobRequest
            Job to store.
        timeout_s : float
            How long to wait for the store, in seconds.
        """
        deadline_s = self._clock.monotonic() + timeout_s
        outcome = await self._submit(request, deadline_s)
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

    async def _submit(self, request: JobRequest, deadline_s: float) -> SubmitOutcome:
        submission = make_submission(request)
        row_chars = max(len(put.value) for put in submission.puts)
        if row_chars > self._max_row_chars:
            return Refused(f"a row of {row_chars} bytes exceeds {self._max_row_chars}")
        if self._is_unresponsive():
            return NotStored("the store does not answer")
        reason = self._explain_infeasible(request)
        if reason:
            outcome = await self._refuse_infeasible(request, reason, deadline_s)
            if outcome is not None:
                return outcome
        return await self._store(request, submission, deadline_s)

    async def _store(
        self, request: JobRequest, submission: Transaction, deadline_s: float
    ) -> SubmitOutcome:
        match await self._transact(submission, deadline_s):
            case Ok(_):
                return Accepted()
            case Err(Conflict(keys)) if job_key(request.job_id) not in keys:
                return await self._find_withdrawal(request, submission, deadline_s)
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
        self, request: JobRequest, submission: Transaction, deadline_s: float
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
                return await self._store(request, replacing, deadline_s)
            case Err(error):
                return UnknownOutcome(str(error))
        raise AssertionError("unreachable")

    async def _refuse_infeasible(
        self, request: JobRequest, reason: str, deadline_s: float
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
        match await self._transact(refusal, deadline_s):
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
        self, transaction: Transaction, deadline_s: float
    ) -> Result[int, CallError]:
        return await transact_hedged(
            self._table,
            transaction,
            self._clock,
            self._hedge_delay,
            timeout_s=deadline_s - self._clock.monotonic(),
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
        """Return a job's public status, which may lag if the store does not answer."""
        return await self._reader.read(job_id)

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
        outcome = await self._canceller.cancel(job_id, workspace, timeout_s)
        self._log.write(
            "intake",
            "cancel",
            id=job_id,
            workspace=workspace,
            outcome=type(outcome).__name__,
            detail=list(outcome),
        )
        return outcome
