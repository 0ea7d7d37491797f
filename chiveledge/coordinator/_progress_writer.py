"""Stores the progress of jobs in batched transactions, one at a time.

Only the leader writes progress rows. Every transaction checks the leadership row,
so nothing is stored after another process has taken over.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from result import Err, Ok

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.coordinator._progress_rows import (
    MAX_ENTRIES,
    JobWrite,
    StoredJob,
    StoredRows,
    WriteBudget,
    progress_key,
)
from chiveledge.coordinator._row_removal import RowRemoval
from chiveledge.decision_log import DecisionLog
from chiveledge.intake import (
    JobStatus,
    encode_status,
    job_status_key,
)
from chiveledge.leadership import Leadership
from chiveledge.metrics import Metrics
from chiveledge.services import (
    Conflict,
    HedgeDelay,
    Put,
    Rejected,
    TableService,
    Transaction,
    Unavailable,
    Unsettled,
    transact_hedged,
)
from chiveledge.types import JobId
from chiveledge.workload import JobProgress

WRITE_RETRY_S = 0.1

HEDGED_ROUND_S = 2.0
"""Duration of one round of hedged sends; rounds repeat until the outcome is known."""

MIN_JOB_ENTRIES = 4
"""Entries of a job's check, header, status and one part."""

MAX_BATCH_CHARS = 500_000
"""Most characters in one transaction. Its encoding on the wire is larger by a third,
and the store allows 1 MB."""

REJECTED_PAUSE_S = 5.0
"""How long a job rests whose progress the store rejected."""


class _Outcome(Enum):
    STORED = auto()
    REJECTED = auto()
    LOST = auto()


class _BatchedWrite(NamedTuple):
    """Writes of one job in a batch, and who waits for them.

    Attributes
    ----------
    status : str
        Text of the job's status row.
    writes_status : bool
        Whether that row changes.
    writes_end : bool
        Whether the stored progress shows the end of the job after this write.
    """

    write: JobWrite
    status: str
    writes_status: bool
    writes_end: bool
    waiters: list[asyncio.Future[bool]]

    @property
    def puts(self) -> tuple[Put, ...]:
        """All rows that the batch puts for the job."""
        status = Put(job_status_key(self.write.job.job_id), self.status)
        return (*self.write.puts, status) if self.writes_status else self.write.puts


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
    max_row_chars : int
        Longest text of a row.
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
        max_row_chars: int,
        on_lost: Callable[[str], None],
    ) -> None:
        self._table = table
        self._leadership = leadership
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._max_row_chars = max_row_chars
        self._on_lost = on_lost
        self._dirty: dict[JobId, JobProgress] = {}
        self._resting: dict[JobId, JobProgress] = {}
        self._stored: dict[JobId, StoredRows] = {}
        self._stored_statuses: dict[JobId, str] = {}
        self._stored_ends_s: dict[JobId, float] = {}
        self._waiters: dict[JobId, list[asyncio.Future[bool]]] = {}
        self._has_dirty = asyncio.Event()
        self._hedge_delay = HedgeDelay()
        self._removal = RowRemoval(table, leadership, log)

    async def save(self, job: JobProgress) -> bool:
        """Store the job's progress and wait until it is stored.

        Returns
        -------
        bool
            False if the store rejects the progress, which is sent again after
            `REJECTED_PAUSE_S`.
        """
        stored = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job.job_id, []).append(stored)
        self.mark_dirty(job)
        return await stored

    def mark_dirty(self, job: JobProgress) -> None:
        """Include the job's progress in the next transaction, unless the job rests."""
        if job.rests_until_s > self._clock.monotonic():
            self._resting[job.job_id] = job
            return
        self._dirty[job.job_id] = job
        self._has_dirty.set()

    def record_loaded(self, job_id: JobId, stored: StoredJob) -> None:
        """Record which rows of a job an earlier leader has stored."""
        self._stored[job_id] = StoredRows.from_store(stored)

    def record_loaded_end(self, job_id: JobId) -> None:
        """Record that the rows which an earlier leader stored show a job's end."""
        self._stored_ends_s[job_id] = self._clock.monotonic()

    def find_end_age_s(self, job_id: JobId) -> float | None:
        """Return how long ago this leader stored or loaded a job's end.

        None if the stored progress does not show the end.
        """
        stored_s = self._stored_ends_s.get(job_id)
        return None if stored_s is None else self._clock.monotonic() - stored_s

    async def run(self) -> None:
        """Write dirty jobs until cancelled."""
        while True:
            await run_with_timeout(
                self._clock, self._has_dirty.wait(), REJECTED_PAUSE_S
            )
            self._has_dirty.clear()
            self._wake_resting_jobs()
            while self._dirty:
                await self._store(self._take_batch())

    async def remove_job(self, job: JobProgress, request_version: int) -> bool:
        """Delete all rows of an ended job; return whether all are deleted.

        The request is deleted before the progress: progress without a request starts
        nothing, but a request without progress would run again. The request is in
        another part than the fence, so a write under the fence precedes its deletion.
        Later leaders then find the job ended, even if this process is replaced before
        it deletes the request.

        Parameters
        ----------
        job : JobProgress
            Job to remove.
        request_version : int
            Version of the row of its request. A later request of the same ID is kept.
        """
        if job.job_id not in self._stored_ends_s:
            return False
        if not await self._removal.confirm_end(job, encode_job_status(job)):
            return False
        if not await self._removal.delete_request(job.request, request_version):
            return False
        return await self._delete_progress(job.job_id)

    async def remove(self, job_id: JobId) -> bool:
        """Delete left-over progress of a job without a request.

        Returns
        -------
        bool
            Whether all its rows are deleted. False if there is a request after all.
        """
        if not await self._removal.delete_initial_status(job_id):
            return False
        return await self._delete_progress(job_id)

    async def _delete_progress(self, job_id: JobId) -> bool:
        parts = self._stored.get(job_id, StoredRows()).part_hashes
        if not await self._removal.delete_progress(job_id, parts):
            return False
        self._stored.pop(job_id, None)
        self._stored_statuses.pop(job_id, None)
        self._stored_ends_s.pop(job_id, None)
        return True

    def _wake_resting_jobs(self) -> None:
        now_s = self._clock.monotonic()
        for job_id, job in list(self._resting.items()):
            if job.rests_until_s <= now_s:
                self._dirty[job_id] = self._resting.pop(job_id)

    def _take_batch(self) -> list[_BatchedWrite]:
        """Take dirty jobs, as many as fit into a transaction beside the fence."""
        batch: list[_BatchedWrite] = []
        entries, chars = MAX_ENTRIES - 1, MAX_BATCH_CHARS
        while self._dirty and entries >= MIN_JOB_ENTRIES and chars > 0:
            job = self._dirty.pop(next(iter(self._dirty)))
            # One entry is left for the status row.
            item = self._make_item(job, WriteBudget(entries - 1, chars))
            batch.append(item)
            entries -= item.write.used.entries + item.writes_status
            chars -= item.write.used.chars
        return batch

    def _make_item(self, job: JobProgress, budget: WriteBudget) -> _BatchedWrite:
        stored = self._stored.setdefault(job.job_id, StoredRows())
        write = stored.make_write(job, self._max_row_chars, budget)
        status = encode_job_status(job)
        is_new = self._stored_statuses.get(job.job_id) != status
        waiters = self._waiters.pop(job.job_id, []) if write.is_whole else []
        return _BatchedWrite(
            write,
            status,
            writes_status=write.is_whole and is_new,
            writes_end=write.is_whole and job.state.ended,
            waiters=waiters,
        )

    async def _store(self, batch: list[_BatchedWrite]) -> None:
        """Store a batch; if the store rejects it, store each job for itself."""
        match await self._commit(batch):
            case _Outcome.STORED:
                for item in batch:
                    self._record_stored(item)
            case _Outcome.REJECTED if len(batch) > 1:
                for item in batch:
                    await self._store([item])
            case _Outcome.REJECTED:
                self._rest(batch[0])

    def _record_stored(self, item: _BatchedWrite) -> None:
        job = item.write.job
        self._stored[job.job_id] = StoredRows(item.write.header, item.write.part_hashes)
        if item.writes_status:
            self._stored_statuses[job.job_id] = item.status
        if item.writes_end:
            self._stored_ends_s.setdefault(job.job_id, self._clock.monotonic())
        if item.write.has_more:
            self.mark_dirty(job)
        _resolve(item.waiters, True)

    def _rest(self, item: _BatchedWrite) -> None:
        """Set aside a job that can't be stored now, so that it holds up no other."""
        job = item.write.job
        job.rests_until_s = self._clock.monotonic() + REJECTED_PAUSE_S
        self._resting[job.job_id] = job
        waiters = item.waiters + self._waiters.pop(job.job_id, [])
        self._log.write(
            "ledger",
            "rejected",
            id=job.job_id,
            chars=item.write.used.chars,
            entries=item.write.used.entries,
            waiters=len(waiters),
            pause_s=REJECTED_PAUSE_S,
        )
        _resolve(waiters, False)

    async def _commit(self, batch: list[_BatchedWrite]) -> _Outcome:
        """Commit until the outcome is known."""
        jobs = [item.write.job for item in batch]
        write_id = uuid.uuid4().hex
        sent_s = self._clock.monotonic()
        while True:
            checks = tuple(item.write.check for item in batch)
            transaction = Transaction(
                write_id,
                (self._leadership.fence, *checks),
                tuple(put for item in batch for put in item.puts),
                tuple(key for item in batch for key in item.write.deletes),
            )
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
                    for job in jobs:
                        job.version = version
                    self._metrics.observe(
                        "ledger_commit_s", self._clock.monotonic() - sent_s
                    )
                    return _Outcome.STORED
                case Err(Conflict(keys)):
                    if self._leadership.fence.key in keys:
                        self._on_lost("the leadership row changed")
                        return _Outcome.LOST
                    if await self._refresh_versions(jobs, write_id):
                        return _Outcome.STORED
                case Err(Rejected(reason)):
                    self._log.write("ledger", "batch_rejected", reason=reason)
                    return _Outcome.REJECTED
                case Err(Unsettled(reason) | Unavailable(reason)):
                    self._log.write("ledger", "write_retried", reason=reason)
                    await self._clock.sleep(WRITE_RETRY_S)

    async def _refresh_versions(self, jobs: list[JobProgress], write_id: str) -> bool:
        """Read the present row versions; return whether our own write made them.

        No other process writes these rows under our fence, so an unexpected version
        is that of one of our writes whose answer was lost.
        """
        is_own = False
        for job in jobs:
            match await self._table.read(progress_key(job.job_id)):
                case Ok(row):
                    job.version = row.version if row else 0
                    is_own |= row is not None and row.write_id == write_id
                case Err(_):
                    await self._clock.sleep(WRITE_RETRY_S)
                    return False
        return is_own


def _resolve(waiters: list[asyncio.Future[bool]], is_stored: bool) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(is_stored)


def encode_job_status(job: JobProgress) -> str:
    request = job.request
    return encode_status(
        JobStatus(request.queue, request.workspace, job.state, request.occurrences > 0)
    )
