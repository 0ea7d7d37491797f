"""Reads the public status of jobs."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok

from chiveledge.intake._outcomes import NotFound, ReadOutcome, UnknownOutcome
from chiveledge.intake._status_cache import (
    JobStatusCache,
    decode_status,
    initial_job_status_key,
    job_status_key,
)
from chiveledge.services import TableService
from chiveledge.types import JobId


class JobReader:
    """Reads statuses from the store, and from the cache where that is allowed.

    Parameters
    ----------
    table : TableService
        Stores the status rows.
    status_cache : JobStatusCache
        This process's cache of them.
    is_unresponsive : callable
        Returns whether the table service currently answers no calls.
    """

    def __init__(
        self,
        table: TableService,
        status_cache: JobStatusCache,
        is_unresponsive: Callable[[], bool],
    ) -> None:
        self._table = table
        self._status_cache = status_cache
        self._is_unresponsive = is_unresponsive

    async def read(self, job_id: JobId) -> ReadOutcome:
        """Return a job's public status.

        The cache lags behind the store, so only the status of an ended job is
        taken from it. Others are read from the store, with the cache as fallback
        if the store does not answer. That there is no job is never taken from it.
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
