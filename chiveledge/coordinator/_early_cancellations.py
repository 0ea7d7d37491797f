"""Cancellations whose job is not stored, which keep its late submissions out."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.intake import Cancellation, job_key, parse_cancel_key
from chiveledge.services import Check, Conflict, Row, TableService, Transaction
from chiveledge.types import JobId
from chiveledge.workload import JobRequest

MAX_REMOVALS = 256
"""Rows removed in one pass, more than callers may store in the time between two."""


class _KnownRow(NamedTuple):
    """A row, and when this leader read its present version first.

    Attributes
    ----------
    seen_s : float
        Monotonic time.
    """

    cancellation: Cancellation
    version: int
    seen_s: float


class EarlyCancellations:
    """Rows of cancellations without their job, until no submission can arrive late.

    Ages count from the first read by this leader on its own monotonic clock, since wall
    clocks are set and differ. A takeover thus prolongs them and never shortens them.

    Parameters
    ----------
    table : TableService
        Holds the rows.
    clock : Clock
        Time source.
    log : DecisionLog
        Receives a line for each row that is removed, or that can't be.
    keep_s : float
        How long a row is kept, in seconds.
    is_known_job : callable
        Returns whether this leader has read the job of an ID.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        log: DecisionLog,
        keep_s: float,
        is_known_job: Callable[[JobId], bool],
    ) -> None:
        self._table = table
        self._clock = clock
        self._log = log
        self._keep_s = keep_s
        self._is_known_job = is_known_job
        self._rows: dict[str, _KnownRow] = {}

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def record(self, row: Row, cancellation: Cancellation) -> None:
        """Record the row of a cancellation that applies to no known job."""
        known = self._rows.get(row.key)
        if known is None or known.version != row.version:
            now_s = self._clock.monotonic()
            self._rows[row.key] = _KnownRow(cancellation, row.version, now_s)

    def discard(self, keys: Iterable[str]) -> None:
        """Forget rows that were removed."""
        for key in keys:
            self._rows.pop(key, None)

    def retain(self, keys: Iterable[str]) -> None:
        """Forget all rows but some, which a read of all rows found."""
        present = set(keys)
        self.discard([key for key in self._rows if key not in present])

    def pop_applicable(self, job: JobRequest, version: int) -> bool:
        """Return whether a job that is now known is cancelled; forget its rows.

        Parameters
        ----------
        version : int
            Version of the job's row. A job is stored only if it is not cancelled, so
            rows of earlier versions are late copies of removed ones.
        """
        keys = {
            key: known.version > version
            for key, known in self._rows.items()
            if known.cancellation.job_id == job.job_id
            and known.cancellation.applies_to(job.workspace)
        }
        self.discard(keys)
        return any(keys.values())

    async def remove_expired(self) -> None:
        """Remove the rows that have been kept long enough, while the store answers."""
        limit_s = self._clock.monotonic() - self._keep_s
        expired = [key for key, known in self._rows.items() if known.seen_s <= limit_s]
        for key in expired[:MAX_REMOVALS]:
            known = self._rows.get(key)
            if known is not None and not await self._remove(key, known):
                return

    async def _remove(self, key: str, known: _KnownRow) -> bool:
        """Remove a row whose job isn't stored; return whether the store answered."""
        job_id = known.cancellation.job_id
        if not self._is_known_job(job_id):
            found = await self._table.read(job_key(job_id))
            if found != Ok(None):
                # Only a later leader can read the job.
                return found.is_ok()
        transaction = Transaction(
            uuid.uuid4().hex, (Check(key, known.version),), deletes=(key,)
        )
        result = await self._table.transact(transaction)
        self._log.write(
            "coordinator",
            "early_cancellation_ended",
            id=job_id,
            age_s=round(self._clock.monotonic() - known.seen_s, 3),
            removed=result.is_ok(),
            error=str(result.err() or ""),
        )
        match result:
            case Ok(_):
                self.discard([key])
                return True
            case Err(Conflict()):
                return await self._read_again(key)
        return False

    async def _read_again(self, key: str) -> bool:
        """Record what became of a row that isn't as it was read: cancelled again."""
        match await self._table.read(key):
            case Ok(None):
                self.discard([key])
            case Ok(row):
                self.record(row, parse_cancel_key(key))
            case Err(_):
                return False
        return True
