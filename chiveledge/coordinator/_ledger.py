"""Stores the progress of jobs: many jobs a transaction, one transaction at a time.

Only the leader writes progress rows. Every transaction checks the leadership row,
so nothing is stored after another process took over.
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
    HedgePacer,
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
RETRY_S = 0.1

SETTLE_S = 2.0
"""How long one round of sends lasts; a commit is tried until it is settled."""

MAX_JOBS = 30
"""Jobs in one transaction: three entries each and the fence, within 100 entries."""

MAX_TEXT_CHARS = 500_000
"""Size of one transaction, which grows by a third on its way, within 1 MB."""


def progress_key(job_id: JobId) -> str:
    """Return the key of a job's progress row."""
    return PROGRESS_PREFIX + job_id


class Ledger:
    """Writes progress and public rows.

    Parameters
    ----------
    table : TableService
        Where rows last.
    leadership : Leadership
        Its fence is part of every transaction.
    clock, log, metrics
        Time, lines and counters.
    on_lost : callable
        Called when the fence shows that another process took over.
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
        self._posted: dict[JobId, str] = {}
        self._waiters: dict[JobId, list[asyncio.Future[None]]] = {}
        self._wake = asyncio.Event()
        self._pacer = HedgePacer()

    async def save(self, job: JobProgress) -> None:
        """Return once the job's present progress is stored."""
        stored = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job.job_id, []).append(stored)
        self.mark(job)
        await stored

    def mark(self, job: JobProgress) -> None:
        """Store the job's progress with the next transaction."""
        self._dirty[job.job_id] = job
        self._wake.set()

    async def run(self) -> None:
        """Write what is marked until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._dirty:
                await self._write_batch()

    async def remove(self, job_id: JobId) -> bool:
        """Delete all rows of a job that ended long ago; return whether they are.

        What arrived goes first: progress that is left over starts nothing, but a
        request without its progress would run again.
        """
        arrived = (job_key(job_id), cancel_key(job_id), initial_job_status_key(job_id))
        kept = (job_status_key(job_id), progress_key(job_id))
        removed = await self._delete(job_id, arrived, ()) and await self._delete(
            job_id, kept, (self._leadership.fence,)
        )
        if removed:
            self._posted.pop(job_id, None)
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
        posted: dict[JobId, str] = {}
        size = 0
        while self._dirty and len(batch) < MAX_JOBS and size < MAX_TEXT_CHARS:
            job_id = next(iter(self._dirty))
            job = self._dirty.pop(job_id)
            waiters += self._waiters.pop(job_id, [])
            text = encode_progress(job)
            entry = _encode_public(job)
            puts.append(Put(progress_key(job_id), text))
            if self._posted.get(job_id) != entry:
                puts.append(Put(job_status_key(job_id), entry))
                posted[job_id] = entry
            batch.append(job)
            size += len(text)
        if await self._commit(batch, tuple(puts)):
            self._posted |= posted
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def _commit(self, batch: list[JobProgress], puts: tuple[Put, ...]) -> bool:
        """Commit until it is settled; return False if the leadership is lost."""
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
                self._pacer,
                patience_s=SETTLE_S,
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
                    if await self._reread(batch, write_id):
                        return True
                case Err(Unsettled(reason) | Unavailable(reason)):
                    self._log.write("ledger", "write_retried", reason=reason)
                    await self._clock.sleep(RETRY_S)

    async def _reread(self, batch: list[JobProgress], write_id: str) -> bool:
        """Take present versions over; return whether our own write made them.

        Nobody else writes these rows under our fence, so a version that we did
        not expect is that of a write of ours whose answer was lost.
        """
        own = False
        for job in batch:
            match await self._table.read(progress_key(job.job_id)):
                case Ok(row):
                    job.version = row.version if row else 0
                    own |= row is not None and row.write_id == write_id
                case Err(_):
                    await self._clock.sleep(RETRY_S)
                    return False
        return own


def _encode_public(job: JobProgress) -> str:
    request = job.request
    return encode_status(
        JobStatus(request.queue, request.workspace, job.state, request.occurrences > 0)
    )
