"""Stores callers' requests to cancel jobs, whether or not the jobs are stored."""

from __future__ import annotations

from result import Err, Ok

from chiveledge.cancellations import CancellationQuota
from chiveledge.clock import Clock
from chiveledge.intake._inbox_rows import make_cancellation
from chiveledge.intake._job_reader import JobReader
from chiveledge.intake._outcomes import (
    Accepted,
    CancelOutcome,
    NotFound,
    NotStored,
    TooManyCancellations,
    UnknownOutcome,
)
from chiveledge.intake._status_cache import JobStatus
from chiveledge.services import (
    HedgeDelay,
    TableService,
    Transaction,
    Unsettled,
    transact_hedged,
)
from chiveledge.types import JobId, WorkspaceName

RETRY_S = 0.1


class JobCanceller:
    """Stores cancellations, each of which the leader carries out.

    One that finds no job is stored as well: the job's submission may be on its way.

    Parameters
    ----------
    table : TableService
        Stores the cancellations.
    reader : JobReader
        Finds the jobs.
    clock : Clock
        Time source.
    quota : CancellationQuota
        Bounds the stored cancellations of unknown jobs.
    hedge_delay : HedgeDelay
        Delay between the sends of a transaction.
    """

    def __init__(
        self,
        table: TableService,
        reader: JobReader,
        clock: Clock,
        quota: CancellationQuota,
        hedge_delay: HedgeDelay,
    ) -> None:
        self._table = table
        self._reader = reader
        self._clock = clock
        self._quota = quota
        self._hedge_delay = hedge_delay

    async def cancel(
        self, job_id: JobId, workspace: WorkspaceName, timeout_s: float
    ) -> CancelOutcome:
        """Store a cancellation; see `JobStore.cancel`."""
        deadline_s = self._clock.monotonic() + timeout_s
        may_be_stored = False
        while True:
            remaining_s = deadline_s - self._clock.monotonic()
            match await self._try_cancel(job_id, workspace, remaining_s):
                case NotStored(reason):
                    pass
                case UnknownOutcome(reason):
                    may_be_stored = True
                case outcome:
                    return outcome
            if self._clock.monotonic() + RETRY_S >= deadline_s:
                if not may_be_stored:
                    self._quota.release(job_id, workspace)
                return UnknownOutcome(reason)
            await self._clock.sleep(RETRY_S)

    async def _try_cancel(
        self, job_id: JobId, workspace: WorkspaceName, timeout_s: float
    ) -> CancelOutcome | NotStored:
        """Store a cancellation once; return the outcome."""
        match await self._reader.read(job_id):
            case JobStatus(workspace=owner, state=state) if owner == workspace:
                # The status may be that of an ended job which another one of its ID
                # has just replaced, so the row is written all the same.
                cancellation = make_cancellation(job_id, workspace)
                outcome = Accepted(repeated=state.ended)
                return await self._write(cancellation, outcome, timeout_s)
            case JobStatus():
                # A submission of the caller's own workspace may be performed once the
                # job of the other one has been removed.
                cancellation = make_cancellation(job_id, workspace)
            case NotFound():
                cancellation = make_cancellation(
                    job_id, workspace, must_be_unknown=True
                )
            case UnknownOutcome(reason):
                return NotStored(reason)
        wait_s = self._quota.reserve(job_id, workspace)
        if wait_s > 0:
            return TooManyCancellations(wait_s)
        return await self._write(cancellation, NotFound(), timeout_s)

    async def _write(
        self, cancellation: Transaction, outcome: CancelOutcome, timeout_s: float
    ) -> CancelOutcome | NotStored:
        """Commit a cancellation; return an outcome, or why it isn't committed."""
        written = await transact_hedged(
            self._table,
            cancellation,
            self._clock,
            self._hedge_delay,
            timeout_s=timeout_s,
        )
        match written:
            case Ok(_):
                return outcome
            case Err(Unsettled()):
                return UnknownOutcome("the store did not confirm the cancellation")
            case Err(error):
                # A conflict means that the job was stored after it was looked for.
                return NotStored(f"the store did not take the cancellation: {error}")
        raise AssertionError("unreachable")
