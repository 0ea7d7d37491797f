"""Accepts, reads and cancels jobs through the table service.

A job is accepted when its row is committed. A refusal says that the job surely does
not run, so it is given only if no write of the job can take effect any more.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.intake._board import (
    BoardEntry,
    JobBoard,
    arrival_key,
    board_key,
    decode_entry,
    encode_entry,
    spread_job,
)
from chiveledge.services import (
    Check,
    Conflict,
    HedgePacer,
    Put,
    TableService,
    Transaction,
    Unavailable,
    Unsettled,
    key_in_part,
    transact_hedged,
)
from chiveledge.services.table import ABSENT
from chiveledge.types import JobId
from chiveledge.workload import JobRequest, JobState, encode_request

INBOX_TABLE = "inbox"
INBOX_PREFIX = f"{INBOX_TABLE}/"
CANCEL_SUFFIX = "~cancel"
RETRY_S = 0.1


class Accepted(NamedTuple):
    """The job is stored, by this call or an earlier one."""

    repeated: bool = False


class NotStored(NamedTuple):
    """The job is surely not stored and will not be."""

    reason: str


class UnknownOutcome(NamedTuple):
    """What was asked for may have been done, or may be done later."""

    reason: str


class NotFound(NamedTuple):
    """There is no such job."""


SubmitOutcome: TypeAlias = Accepted | NotStored | UnknownOutcome
CancelOutcome: TypeAlias = Accepted | NotFound | UnknownOutcome
ReadOutcome: TypeAlias = BoardEntry | NotFound | UnknownOutcome


def job_key(job_id: JobId) -> str:
    """Return the key of the row that keeps a job's request."""
    return key_in_part(INBOX_TABLE, spread_job(job_id), job_id)


def cancel_key(job_id: JobId) -> str:
    """Return the key of the row that asks for a job to be cancelled."""
    name = job_id + CANCEL_SUFFIX
    return key_in_part(INBOX_TABLE, spread_job(job_id), name)


def is_cancel_key(key: str) -> bool:
    """Whether a row of the inbox asks for a cancel."""
    return key.endswith(CANCEL_SUFFIX)


class JobDesk:
    """Serves callers of one process.

    Parameters
    ----------
    table : TableService
        Where jobs last.
    board : JobBoard
        This process's copy of the public rows.
    clock : Clock
        Source of time.
    log : DecisionLog
        One line for each outcome.
    is_silent : callable, optional
        Whether the service answers nothing at present.
    """

    def __init__(
        self,
        table: TableService,
        board: JobBoard,
        clock: Clock,
        log: DecisionLog,
        is_silent: Callable[[], bool] = lambda: False,
    ) -> None:
        self._table = table
        self._board = board
        self._clock = clock
        self._log = log
        self._is_silent = is_silent
        self._pacer = HedgePacer()

    async def submit(self, request: JobRequest, patience_s: float) -> SubmitOutcome:
        """Store a job unless it is stored already.

        Parameters
        ----------
        request : JobRequest
            The job.
        patience_s : float
            How long the caller waits.
        """
        if self._is_silent():
            return self._note_submit(request, NotStored("the store does not answer"))
        result = await transact_hedged(
            self._table,
            _make_submission(request),
            self._clock,
            self._pacer,
            patience_s=patience_s,
        )
        match result:
            case Ok(_):
                return self._note_submit(request, Accepted())
            case Err(Conflict()):
                return self._note_submit(request, Accepted(repeated=True))
            case Err(Unavailable(reason)):
                return self._note_submit(request, NotStored(reason))
            case Err(Unsettled(reason)):
                return self._note_submit(request, UnknownOutcome(reason))
        raise AssertionError("unreachable")

    async def read(self, job_id: JobId) -> ReadOutcome:
        """Return a job's public entry.

        The copy lags behind, so it answers for jobs that have ended; others are read
        from the store, and from the copy if the store gives no answer.
        """
        copied = self._board.find(job_id)
        if copied is not None and (copied.state.ended or self._is_silent()):
            return copied
        for key in (board_key(job_id), arrival_key(job_id)):
            match await self._table.read(key):
                case Ok(None):
                    pass
                case Ok(row):
                    return decode_entry(row.value)
                case Err(error):
                    return copied or UnknownOutcome(str(error))
        return NotFound()

    async def cancel(self, job_id: JobId, patience_s: float) -> CancelOutcome:
        """Ask for a job to be cancelled; it is, once this is stored."""
        deadline = self._clock.monotonic() + patience_s
        transaction = Transaction(
            write_id=uuid.uuid4().hex, puts=(Put(cancel_key(job_id), "{}"),)
        )
        while True:
            left_s = deadline - self._clock.monotonic()
            match await self.read(job_id):
                case NotFound():
                    return self._note_cancel(job_id, NotFound())
                case BoardEntry(state=state) if state.ended:
                    return self._note_cancel(job_id, Accepted(repeated=True))
                case BoardEntry():
                    written = await transact_hedged(
                        self._table,
                        transaction,
                        self._clock,
                        self._pacer,
                        patience_s=left_s,
                    )
                    if written.is_ok():
                        return self._note_cancel(job_id, Accepted())
                case UnknownOutcome():
                    pass
            if self._clock.monotonic() + RETRY_S >= deadline:
                outcome = UnknownOutcome("the store did not confirm the cancel")
                return self._note_cancel(job_id, outcome)
            await self._clock.sleep(RETRY_S)

    def _note_submit(self, request: JobRequest, outcome: SubmitOutcome):
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

    def _note_cancel(self, job_id: JobId, outcome: CancelOutcome):
        self._log.write("intake", "cancel", id=job_id, outcome=type(outcome).__name__)
        return outcome


def _make_submission(request: JobRequest) -> Transaction:
    entry = BoardEntry(
        request.queue, request.workspace, JobState.QUEUED, request.occurrences > 0
    )
    return Transaction(
        write_id=uuid.uuid4().hex,
        checks=(Check(job_key(request.job_id), ABSENT),),
        puts=(
            Put(job_key(request.job_id), encode_request(request)),
            Put(arrival_key(request.job_id), encode_entry(entry)),
        ),
    )
