"""Cancellations whose job is not stored, which keep its late submissions out."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Iterable

from result import Err, Ok

from chiveledge.cancellations import RowAges
from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.intake import job_key, parse_cancel_key
from chiveledge.services import Check, Conflict, Row, TableService, Transaction
from chiveledge.types import JobId, WorkspaceName

MAX_REMOVALS = 256
"""Rows removed in one pass, more than callers may store in the time between two."""


class EarlyCancellations:
    """Rows of cancellations without their job, until no submission can arrive late.

    Parameters
    ----------
    table : TableService
        Holds the rows.
    clock : Clock
        Time source.
    log : DecisionLog
        Receives a line for each row that is kept, and when its time has ended.
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
        self._log = log
        self._keep_s = keep_s
        self._is_known_job = is_known_job
        self._ages = RowAges(clock)
        self._rows: dict[JobId, dict[str, int]] = {}

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._ages)

    def record(self, row: Row) -> None:
        """Record the row of a cancellation that applies to no open job."""
        if self._ages.has(row.key, row.version):
            return
        job_id = parse_cancel_key(row.key).job_id
        self._rows.setdefault(job_id, {})[row.key] = row.version
        self._ages.record(row.key, row.version)
        self._log.write("coordinator", "early_cancellation", id=job_id, key=row.key)

    def discard(self, keys: Iterable[str]) -> None:
        """Forget rows that were removed."""
        for key in keys:
            cancellation = parse_cancel_key(key)
            if cancellation is None:
                continue
            rows = self._rows.get(cancellation.job_id, {})
            rows.pop(key, None)
            if not rows:
                self._rows.pop(cancellation.job_id, None)
            self._ages.discard([key])

    def retain(self, keys: Iterable[str]) -> None:
        """Forget all rows but some, which a read of all rows found."""
        present = set(keys)
        recorded = [key for rows in self._rows.values() for key in rows]
        self.discard(key for key in recorded if key not in present)

    def pop_applicable(
        self, job_id: JobId, workspace: WorkspaceName, version: int
    ) -> bool:
        """Return whether a job that is now known is cancelled; forget its rows.

        Parameters
        ----------
        version : int
            Version of the job's row. A job is stored only if it is not cancelled, so
            rows of earlier versions are late copies of removed ones.
        """
        rows = {
            key: row_version
            for key, row_version in self._rows.get(job_id, {}).items()
            if parse_cancel_key(key).applies_to(workspace)
        }
        self.discard(rows)
        return any(row_version > version for row_version in rows.values())

    async def remove_expired(self) -> None:
        """Remove the rows that have been kept long enough, while the store answers."""
        for key, version in self._ages.list_older(self._keep_s)[:MAX_REMOVALS]:
            if self._ages.has(key, version) and not await self._remove(key, version):
                return

    async def _remove(self, key: str, version: int) -> bool:
        """Remove a row whose job isn't stored; return whether the store answered."""
        job_id = parse_cancel_key(key).job_id
        if not self._is_known_job(job_id):
            found = await self._table.read(job_key(job_id))
            if found != Ok(None):
                # Only a later leader can read the job.
                return found.is_ok()
        transaction = Transaction(
            uuid.uuid4().hex, (Check(key, version),), deletes=(key,)
        )
        result = await self._table.transact(transaction)
        self._log.write(
            "coordinator",
            "early_cancellation_ended",
            id=job_id,
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
                self.record(row)
            case Err(_):
                return False
        return True
