"""A cancel that finds no job, while the job's submission is still on its way.

The cancel was answered that no such job exists and left nothing in the store. A send
of the submission that the store performed later found its conditions met, and the
cancelled job ran.
"""

from __future__ import annotations

import asyncio
import itertools
from enum import Enum

import pytest
from result import Err, Ok

from chiveledge.cancellations._quota import MAX_STORED_ROWS, WORKSPACE_SHARE
from chiveledge.clock import ManualClock
from chiveledge.decision_log import NullLog
from chiveledge.intake import (
    Accepted,
    JobStatusCache,
    JobStore,
    NotFound,
    NotStored,
    TooManyCancellations,
    UnknownOutcome,
    Withdrawn,
    cancel_key,
    job_key,
)
from chiveledge.services import Unavailable, Unsettled
from chiveledge.workload import JobRequest, Step
from standins.table import MemoryTable

JOB_ID = "5c0e7a21d94b36f8"
REQUEST = JobRequest(JOB_ID, "q", "cafes", "text", (Step(),), 0)
TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 0.8


class Fate(Enum):
    """What becomes of one send of the submission."""

    NOW = "performed and answered"
    LOST = "performed now, the answer is lost"
    LATE = "performed later, no answer"
    NEVER = "lost on its way"


class Moment(Enum):
    """When the late sends are performed."""

    BEFORE_CANCEL = 0
    WHILE_CANCELLING = 1
    """Between the reads of the cancel and its write."""

    AFTER_CANCEL = 2
    AFTER_RETRY = 3


class ScriptedTable(MemoryTable):
    """Lets each send of a submission meet its fate."""

    def __init__(self, clock: ManualClock, fates: tuple[Fate, ...]) -> None:
        super().__init__(clock)
        self.fates = list(fates)
        self.late = []
        self.performs_late_before_cancel = False

    def perform_late(self) -> None:
        """Perform the sends that were held up."""
        for transaction in self.late:
            self.commit(transaction)
        self.late.clear()

    async def transact(self, transaction):
        is_submission = any(put.key == job_key(JOB_ID) for put in transaction.puts)
        if not is_submission:
            if self.performs_late_before_cancel:
                self.perform_late()
            return self.commit(transaction)
        match self.fates.pop(0) if self.fates else Fate.NOW:
            case Fate.NOW:
                return self.commit(transaction)
            case Fate.LOST:
                self.commit(transaction)
            case Fate.LATE:
                self.late.append(transaction)
        await self._clock.sleep(CALL_TIMEOUT_S)
        return Err(Unsettled("no reply"))


class Service:
    """Two processes' job stores on one table."""

    def __init__(self, *fates: Fate) -> None:
        self.clock = ManualClock()
        self.table = ScriptedTable(self.clock, fates)
        self.first, self.second = (
            JobStore(
                self.table, JobStatusCache(NullLog()), self.clock, NullLog(), 65_536
            )
            for _ in range(2)
        )

    async def call(self, work):
        task = asyncio.ensure_future(work)
        while not task.done():
            await self.clock.advance(0.1)
        return task.result()

    async def submit(self, store: JobStore, request: JobRequest = REQUEST):
        return await self.call(store.submit(request, TIMEOUT_S))

    async def cancel(self, store: JobStore, workspace: str = "cafes"):
        return await self.call(store.cancel(JOB_ID, workspace, TIMEOUT_S))

    @property
    def has_job(self) -> bool:
        return self.table.find(job_key(JOB_ID)) is not None

    @property
    def has_cancel(self) -> bool:
        return self.table.find(cancel_key(JOB_ID, "cafes")) is not None


async def test_submission_performed_after_a_cancel_found_no_job_is_not_stored():
    service = Service(Fate.LATE, Fate.NEVER, Fate.NEVER, Fate.NEVER)
    assert isinstance(await service.submit(service.first), UnknownOutcome)
    assert await service.cancel(service.second) == NotFound()
    service.table.perform_late()
    assert not service.has_job
    assert await service.call(service.second.read(JOB_ID)) == NotFound()


async def test_submission_that_waited_while_it_was_cancelled_is_refused():
    """Its process was frozen or its caller's bytes were held up."""
    service = Service()
    assert await service.cancel(service.second) == NotFound()
    assert isinstance(await service.submit(service.first), Withdrawn)
    assert not service.has_job


def list_sequences():
    """Return the fates of up to four sends; after an answer there is no other send."""
    unanswered = (Fate.LOST, Fate.LATE, Fate.NEVER)
    for sends in range(1, 5):
        for first in itertools.product(unanswered, repeat=sends - 1):
            for last in Fate:
                yield (*first, last)


@pytest.mark.parametrize("retries", [False, True])
@pytest.mark.parametrize("moment", Moment)
async def test_each_order_of_submission_and_cancel_has_one_outcome(moment, retries):
    for fates in list_sequences():
        padding = (Fate.NEVER,) * (4 - len(fates))
        service = Service(*fates, *padding)
        submitted = await service.submit(service.first)
        service.table.fates.clear()
        if moment is Moment.BEFORE_CANCEL:
            service.table.perform_late()
        is_during = moment is Moment.WHILE_CANCELLING
        service.table.performs_late_before_cancel = is_during
        cancelled = await service.cancel(service.second)
        was_stored = service.has_job
        if moment is Moment.AFTER_CANCEL:
            service.table.perform_late()
        retried = await service.submit(service.first) if retries else None
        service.table.perform_late()
        assert cancelled == (Accepted() if was_stored else NotFound()), fates
        assert service.has_cancel, fates
        assert service.has_job == was_stored, fates
        if isinstance(submitted, Accepted):
            assert was_stored, fates
        assert not isinstance(submitted, NotStored | Withdrawn), fates
        if retries and was_stored:
            assert retried == Accepted(repeated=True), fates
        elif retries:
            assert isinstance(retried, Withdrawn), fates


async def test_cancel_is_not_answered_while_the_store_is_unreachable():
    service = Service()
    service.table.faults.down = True
    assert isinstance(await service.cancel(service.second), UnknownOutcome)


async def test_no_such_job_is_not_answered_before_the_cancel_is_stored():
    """The reads are answered, the write is not."""
    service = Service()

    async def lose(transaction):
        await service.clock.sleep(CALL_TIMEOUT_S)
        return Err(Unsettled("no reply"))

    service.table.transact = lose
    assert isinstance(await service.cancel(service.second), UnknownOutcome)


async def test_cancel_of_another_workspace_blocks_no_submission():
    service = Service()
    assert await service.cancel(service.second, "roasters") == NotFound()
    assert await service.submit(service.first) == Accepted()
    assert not service.has_cancel


async def test_cancel_holds_for_a_late_submission_beside_a_job_of_another_workspace():
    """The IDs collide: the own submission may be performed once that job is removed."""
    service = Service(Fate.LATE, Fate.NEVER, Fate.NEVER, Fate.NEVER)
    assert isinstance(await service.submit(service.first), UnknownOutcome)
    service.table.fates.clear()
    other = REQUEST._replace(workspace="roasters")
    assert await service.submit(service.second, other) == Accepted()
    assert await service.cancel(service.second) == NotFound()
    assert service.has_cancel
    assert service.table.find(cancel_key(JOB_ID, "roasters")) is None


async def test_repeated_cancel_of_an_unknown_job_has_the_same_answer():
    service = Service()
    assert await service.cancel(service.first) == NotFound()
    assert await service.cancel(service.second) == NotFound()
    assert isinstance(await service.submit(service.first), Withdrawn)
    assert Ok(None) == await service.table.read(job_key(JOB_ID))


async def test_cancels_of_unknown_jobs_store_a_bounded_number_of_rows():
    """Anybody with a key could fill the store; others still cancel."""
    service = Service()
    outcomes = []
    for number in range(MAX_STORED_ROWS):
        cancelling = service.first.cancel(f"{number:016x}", "roasters", TIMEOUT_S)
        outcomes.append(await cancelling)
    stored = len(service.table.find_all("inbox/"))
    assert stored == outcomes.count(NotFound()) <= MAX_STORED_ROWS * WORKSPACE_SHARE
    refused = outcomes[-1]
    assert isinstance(refused, TooManyCancellations)
    assert await service.cancel(service.first) == NotFound()
    await service.clock.advance(refused.retry_after_s)
    again = await service.first.cancel("f" * 16, "roasters", TIMEOUT_S)
    assert again == NotFound()


async def test_cancels_that_are_not_stored_use_no_part_of_the_bound():
    """The store was away for a while, and callers went on cancelling."""
    service = Service()
    perform = service.table.transact

    async def refuse(transaction):
        return Err(Unavailable("down"))

    service.table.transact = refuse
    for number in range(MAX_STORED_ROWS):
        cancelling = service.first.cancel(f"{number:016x}", "cafes", 0.0)
        assert isinstance(await cancelling, UnknownOutcome)
    service.table.transact = perform
    assert await service.cancel(service.first) == NotFound()
