"""Stores the progress of jobs in batched transactions, one at a time.

Only the leader writes progress rows. Every transaction checks the leadership row,
so nothing is stored after another process has taken over.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable

from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.intake import (
    JobStatus,
    cancel_key,
    encode_status,
    initial_job_status_key,
    job_key,
    job_status_key,
)
from chiveledge.leadership import Leadership
from chiveledge.metrics import Metrics
from chiveledge.services import (
    Check,
    Conflict,
    HedgeDelay,
    Put,
    TableService,
    Transaction,
    Unavailable,
    Unsettled,
    transact_hedged,
)
from chiveledge.types import JobId
from chiveledge.workload import JobProgress, encode_progress

PROGRESS_PREFIX = "progress/"
WRITE_RETRY_S = 0.1

HEDGED_ROUND_S = 2.0
"""Duration of one round of hedged sends; rounds repeat until the outcome is known."""

MAX_BATCH_JOBS = 30
"""Most jobs in one transaction. Each takes three entries, the fence one more, and the
store allows 100 entries in a transaction."""

MAX_BATCH_CHARS = 500_000
"""Most characters in one transaction. Its encoding on the wire is larger by a third,
and the store allows 1 MB."""


def progress_key(job_id: JobId) -> str:
    """Return the key of a job's progress row."""
    return PROGRESS_PREFIX + job_id


class ProgressWriter:
    """Writes the progress rows of jobs and their status rows.

    Parameters
    ----------
    table : TableService
        Store of the rows.
    leadership : Leadership
        Provides the fence that every transaction checks.
    clock : Clock
        Clock of the retries.
    log : DecisionLog
        Log of the writes that failed.
    metrics : Metrics
        Receives the number and duration of commits.
    on_lost : callable
        Called with a reason when the fence shows that another process took over.
    """

    def __init__(
        self,
        table: TableService,
        leadership: Leadership,
        clock: Clock,
        log: DecisionLog,
        metrics: Metrics,
        on_lost: Callable[[str], None],
    ) -> None:
        self._table = table
        self._leadership = leadership
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_lost = on_lost
        self._dirty: dict[JobId, JobProgress] = {}
        self._stored_statuses: dict[JobId, str] = {}
        self._waiters: dict[JobId, list[asyncio.Future[None]]] = {}
        self._has_dirty = asyncio.Event()
        self._hedge_delay = HedgeDelay()

    async def save(self, job: JobProgress) -> None:
        """Store the job's progress and wait until it is stored."""
        stored = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job.job_id, []).append(stored)
        self.mark_dirty(job)
        await stored

    def mark_dirty(self, job: JobProgress) -> None:
        """Include the job's progress in the next transaction."""
        self._dirty[job.job_id] = job
        self._has_dirty.set()

    async def run(self) -> None:
        """Write dirty jobs until cancelled."""
        while True:
            await self._has_dirty.wait()
            self._has_dirty.clear()
            while self._dirty:
                await self._write_batch()

    async def remove(self, job_id: JobId) -> bool:
        """Delete all rows of an expired job; return whether all are deleted.

        The request is deleted before the progress: progress without a request starts
        nothing, but a request without progress would run again.
        """
        request_keys = (
            job_key(job_id),
            cancel_key(job_id),
            initial_job_status_key(job_id),
        )
        progress_keys = (job_status_key(job_id), progress_key(job_id))
        removed = await self._delete(job_id, request_keys, ()) and await self._delete(
            job_id, progress_keys, (self._leadership.fence,)
        )
        if removed:
            self._stored_statuses.pop(job_id, None)
        return removed

    async def _delete(
        self, job_id: JobId, keys: tuple[str, ...], checks: tuple[Check, ...]
    ) -> bool:
        transaction = Transaction(uuid.uuid4().hex, checks=checks, deletes=keys)
        result = await self._table.transact(transaction)
        if result.is_err():
            self._log.write("ledger", "not_removed", id=job_id, error=str(result.err()))
        return result.is_ok()

    async def _write_batch(self) -> None:
        batch: list[JobProgress] = []
        puts: list[Put] = []
        waiters: list[asyncio.Future[None]] = []
        new_statuses: dict[JobId, str] = {}
        size_chars = 0
        while (
            self._dirty and len(batch) < MAX_BATCH_JOBS and size_chars < MAX_BATCH_CHARS
        ):
            job_id = next(iter(self._dirty))
            job = self._dirty.pop(job_id)
            waiters += self._waiters.pop(job_id, [])
            progress = encode_progress(job)
            status = _encode_job_status(job)
            puts.append(Put(progress_key(job_id), progress))
            if self._stored_statuses.get(job_id) != status:
                puts.append(Put(job_status_key(job_id), status))
                new_statuses[job_id] = status
            batch.append(job)
            size_chars += len(progress)
        if await self._commit(batch, tuple(puts)):
            self._stored_statuses |= new_statuses
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def _commit(self, batch: list[JobProgress], puts: tuple[Put, ...]) -> bool:
        """Commit until the outcome is known; return False if the leadership is lost."""
        write_id = uuid.uuid4().hex
        sent_s = self._clock.monotonic()
        while True:
            checks = tuple(
                Check(progress_key(job.job_id), job.version) for job in batch
            )
            transaction = Transaction(write_id, (self._leadership.fence, *checks), puts)
            self._metrics.count("ledger_transactions")
            result = await transact_hedged(
                self._table,
                transaction,
                self._clock,
                self._hedge_delay,
                timeout_s=HEDGED_ROUND_S,
            )
            match result:
                case Ok(version):
                    for job in batch:
                        job.version = version
                    self._metrics.observe(
                        "ledger_commit_s", self._clock.monotonic() - sent_s
                    )
                    return True
                case Err(Conflict(keys)):
                    if self._leadership.fence.key in keys:
                        self._on_lost("the leadership row changed")
                        return False
                    if await self._refresh_versions(batch, write_id):
                        return True
                case Err(Unsettled(reason) | Unavailable(reason)):
                    self._log.write("ledger", "write_retried", reason=reason)
                    await self._clock.sleep(WRITE_RETRY_S)

    async def _refresh_versions(self, batch: list[JobProgress], write_id: str) -> bool:
        """Read the present row versions; return whether our own write made them.

        No other process writes these rows under our fence, so an unexpected version
        is that of one of our writes whose answer was lost.
        """
        is_own = False
        for job in batch:
            match await self._table.read(progress_key(job.job_id)):
                case Ok(row):
                    job.version = row.version if row else 0
                    is_own |= row is not None and row.write_id == write_id
                case Err(_):
                    await self._clock.sleep(WRITE_RETRY_S)
                    return False
        return is_own


def _encode_job_status(job: JobProgress) -> str:
    request = job.request
    return encode_status(
        JobStatus(request.queue, request.workspace, job.state, request.occurrences > 0)
    )
