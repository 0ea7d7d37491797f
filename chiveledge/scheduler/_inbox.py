"""Reads the rows by which gateways hand in and cancel the jobs of a region."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from result import Result

from chiveledge.clock import Clock
from chiveledge.jobs import cancel_prefix, job_key
from chiveledge.services import CallError, Row, TableService
from chiveledge.types import JobId, RegionName

STORE_RETRY_S = 0.3

FULL_SCAN_THRESHOLD = 50
"""New jobs above which one scan of all jobs replaces a read of each."""


class NewJobs(NamedTuple):
    """Rows of new jobs that were read, and the inbox keys whose job was not."""

    rows: list[Row]
    unread: set[str]


class InboxReader:
    """Reads a region's rows of jobs, of notices of new ones and of cancellations.

    Parameters
    ----------
    table : TableService
        Holds the rows.
    clock : Clock
        Clock of the pauses between attempts.
    region : str
        Name of the region.
    """

    def __init__(self, table: TableService, clock: Clock, region: RegionName) -> None:
        self._table = table
        self._clock = clock
        self._region = region

    async def scan_jobs(self) -> list[Row]:
        """Return the rows of all jobs, trying until the store answers."""
        while True:
            rows = (await self._table.scan(f"job/{self._region}/")).unwrap_or(None)
            if rows is not None:
                return rows
            await self._clock.sleep(STORE_RETRY_S)

    async def scan_notices(self) -> list[str] | None:
        """Return the keys of the notices of new jobs, None without an answer."""
        return await self._scan_keys(f"inbox/{self._region}/")

    async def scan_cancellations(self) -> list[Row] | None:
        """Return the rows of cancellations, None without an answer."""
        return (await self._table.scan(cancel_prefix(self._region))).unwrap_or(None)

    async def read_jobs(self, notices: list[str]) -> NewJobs:
        """Read the rows of new jobs by the keys of their notices.

        A job's row is committed together with its inbox row, so a job without a row
        has been deleted since.
        """
        if len(notices) > FULL_SCAN_THRESHOLD:
            return NewJobs(await self.scan_jobs(), set())
        results = await asyncio.gather(
            *(self.read_job(parse_job_id(key)) for key in notices)
        )
        rows = [row for result in results if (row := result.unwrap_or(None))]
        unread = {
            key for key, result in zip(notices, results, strict=True) if result.is_err()
        }
        return NewJobs(rows, unread)

    async def read_job(self, job_id: JobId) -> Result[Row | None, CallError]:
        """Read the row of one job."""
        return await self._table.read(job_key(job_id))

    async def _scan_keys(self, prefix: str) -> list[str] | None:
        rows = (await self._table.scan(prefix)).unwrap_or(None)
        return None if rows is None else [row.key for row in rows]


def parse_job_id(key: str) -> JobId:
    """Return the ID of the job that an inbox row is about."""
    return key.rpartition("/")[2]
