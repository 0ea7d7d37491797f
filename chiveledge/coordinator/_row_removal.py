"""Deletes the rows of a job from the store, in an order that loses and repeats nothing.

The request of a job is in another part of the store than the leadership row, so its
deletion can't check the fence.
"""

from __future__ import annotations

import uuid
from collections.abc import Iterable

from result import Err, Ok

from chiveledge.coordinator._progress_rows import MAX_ENTRIES, progress_key
from chiveledge.decision_log import DecisionLog
from chiveledge.intake import (
    cancel_key,
    initial_job_status_key,
    job_key,
    job_status_key,
)
from chiveledge.leadership import Leadership
from chiveledge.services import Check, Conflict, Put, TableService, Transaction
from chiveledge.services.table import ABSENT
from chiveledge.types import JobId
from chiveledge.workload import JobProgress, JobRequest


class RowRemoval:
    """Steps of the removal of a job; each may be repeated.

    Parameters
    ----------
    table : TableService
        Store of the rows.
    leadership : Leadership
        Provides the fence that the steps check where they can.
    log : DecisionLog
        Log of the steps that failed.
    """

    def __init__(
        self, table: TableService, leadership: Leadership, log: DecisionLog
    ) -> None:
        self._table = table
        self._leadership = leadership
        self._log = log

    async def confirm_end(self, job: JobProgress, status: str) -> bool:
        """Write the status of an ended job again; return whether this process leads."""
        key = progress_key(job.job_id)
        fence = self._leadership.fence
        transaction = Transaction(
            uuid.uuid4().hex,
            (fence, Check(key, job.version)),
            (Put(job_status_key(job.job_id), status),),
        )
        match await self._table.transact(transaction):
            case Ok(_):
                return True
            case Err(Conflict(keys)) if fence.key not in keys:
                # The answer to the last deletion of an earlier removal may be lost.
                found = await self._table.read(key)
                return found == Ok(None) or self._log_not_removed(job.job_id, found)
            case Err(error):
                return self._log_not_removed(job.job_id, error)
        raise AssertionError("unreachable")

    async def delete_request(self, request: JobRequest, version: int) -> bool:
        """Delete the rows of a job's submission, unless another one replaced them.

        Returns
        -------
        bool
            Whether the request of this version is gone.
        """
        job_id = request.job_id
        key = job_key(job_id)
        deletes = (
            key,
            cancel_key(job_id, request.workspace),
            initial_job_status_key(job_id),
        )
        transaction = Transaction(
            uuid.uuid4().hex, (Check(key, version),), deletes=deletes
        )
        match await self._table.transact(transaction):
            case Ok(_):
                return True
            case Err(Conflict()):
                # The answer to an earlier deletion may be lost.
                found = await self._table.read(key)
                match found:
                    case Ok(row) if row is None or row.version != version:
                        return True
                return self._log_not_removed(job_id, found)
            case Err(error):
                return self._log_not_removed(job_id, error)
        raise AssertionError("unreachable")

    async def delete_initial_status(self, job_id: JobId) -> bool:
        """Delete the first status of a job without a request.

        Returns
        -------
        bool
            Whether there is neither. False if there is a request after all.
        """
        transaction = Transaction(
            uuid.uuid4().hex,
            (Check(job_key(job_id), ABSENT),),
            deletes=(initial_job_status_key(job_id),),
        )
        result = await self._table.transact(transaction)
        return result.is_ok() or self._log_not_removed(job_id, result.err())

    async def delete_progress(self, job_id: JobId, parts: Iterable[str]) -> bool:
        """Delete the progress and the status of a job; return whether all are deleted.

        Parameters
        ----------
        parts : iterable of str
            Names of the parts of its progress.
        """
        keys = [progress_key(job_id, part) for part in parts]
        keys += [job_status_key(job_id), progress_key(job_id)]
        for first in range(0, len(keys), MAX_ENTRIES - 1):
            transaction = Transaction(
                uuid.uuid4().hex,
                (self._leadership.fence,),
                deletes=tuple(keys[first : first + MAX_ENTRIES - 1]),
            )
            result = await self._table.transact(transaction)
            if result.is_err():
                return self._log_not_removed(job_id, result.err())
        return True

    def _log_not_removed(self, job_id: JobId, error: object) -> bool:
        """Log why rows of a job could not be deleted; return False."""
        self._log.write("ledger", "not_removed", id=job_id, error=str(error))
        return False
