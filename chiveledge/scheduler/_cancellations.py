"""Carries out the cancellations of a region, and keeps those without their job."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from chiveledge.cancellations import RETENTION_S, RowAges
from chiveledge.clock import Clock
from chiveledge.jobs import Job, parse_cancel_key
from chiveledge.leadership import Leadership
from chiveledge.logs import PartLogger
from chiveledge.scheduler._inbox import InboxReader
from chiveledge.scheduler._job_repository import JobRepository
from chiveledge.services import CallError, Check, GroupCommit, Row, Unavailable
from chiveledge.types import JobId

log = PartLogger("scheduler")


class CancellationHandler:
    """Applies the rows of cancellations to the jobs of a region.

    Parameters
    ----------
    inbox : InboxReader
        Reads the rows, and jobs that are newer than the known ones.
    repository : JobRepository
        Known jobs.
    writes : GroupCommit
        Deletes rows that have been carried out or kept long enough.
    leadership : Leadership
        Provides the fence.
    clock : Clock
        Time source.
    cancel : callable
        Cancels an open job.
    """

    def __init__(
        self,
        inbox: InboxReader,
        repository: JobRepository,
        writes: GroupCommit,
        leadership: Leadership,
        clock: Clock,
        cancel: Callable[[Job], Awaitable[None]],
    ) -> None:
        self._inbox = inbox
        self._repository = repository
        self._writes = writes
        self._leadership = leadership
        self._cancel = cancel
        self._without_job = RowAges(clock)

    async def apply_all(self) -> None:
        """Read the rows and apply each of them."""
        rows = await self._inbox.scan_cancellations()
        if rows is None:
            return
        self._without_job.retain(row.key for row in rows)
        await asyncio.gather(*(self._apply(row) for row in rows))

    async def _apply(self, row: Row) -> None:
        cancellation = parse_cancel_key(row.key)
        match await self._find_job(cancellation.job_id, row):
            case Ok(Job() as job) if cancellation.applies_to(job.workspace):
                if job.state.ended:
                    await self._delete(row)
                else:
                    await self._cancel(job)
            case Ok(_):
                await self._keep_for_a_time(row)

    async def _find_job(
        self, job_id: JobId, cancellation: Row
    ) -> Result[Job | None, CallError]:
        """Return the job of a cancellation, which may be newer than the known jobs.

        Once a cancellation is stored without its job, no job can be stored.
        """
        job = self._repository.jobs.get(job_id)
        if job is not None or self._without_job.has(
            cancellation.key, cancellation.version
        ):
            return Ok(job)
        match await self._inbox.read_job(job_id):
            case Ok(None):
                return Ok(None)
            case Ok(row):
                self._repository.load([row])
                job = self._repository.jobs.get(job_id)
                # A later leader may be able to read a row that this one can't.
                return Err(Unavailable("unreadable")) if job is None else Ok(job)
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def _keep_for_a_time(self, row: Row) -> None:
        """Delete a cancellation without its job once no submission can arrive late."""
        if not self._without_job.has(row.key, row.version):
            log.info("A cancellation has no job; it is kept.", key=row.key)
            self._without_job.record(row.key, row.version)
        elif self._without_job.find_age_s(row.key) >= RETENTION_S:
            await self._delete(row)

    async def _delete(self, row: Row) -> None:
        """Delete a cancellation unless the job was cancelled again meanwhile."""
        checks = (self._leadership.fence, Check(row.key, row.version))
        await self._writes.commit(checks=checks, deletes=(row.key,))
