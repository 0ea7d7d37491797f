"""Outcomes that callers get from the job store while the table service fails."""

from __future__ import annotations

import asyncio

from result import Err

from chiveledge.clock import ManualClock
from chiveledge.decision_log import NullLog
from chiveledge.intake import (
    Accepted,
    JobStatus,
    JobStatusCache,
    JobStore,
    NotStored,
    UnknownOutcome,
    encode_status,
    job_status_key,
)
from chiveledge.services import Put, Transaction, Unavailable
from chiveledge.services.health import ServiceHealth
from chiveledge.workload import JobRequest, JobState, Step
from standins.table import MemoryTable

REQUEST = JobRequest("j", "q", "team", "text", (Step(),), 0)


class Harness:
    """A job store over an in-memory table, and the cache that it reads."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.unresponsive = False
        self.statuses = JobStatusCache(NullLog())
        self.jobs = JobStore(
            self.table,
            self.statuses,
            self.clock,
            NullLog(),
            65_536,
            lambda: self.unresponsive,
        )

    async def submit(self, timeout_s=3.0):
        started_s = self.clock.monotonic()
        task = asyncio.ensure_future(self.jobs.submit(REQUEST, timeout_s))
        while not task.done():
            await self.clock.advance(0.05)
        return task.result(), self.clock.monotonic() - started_s


def put_status(table, state):
    """Commit the leader's status row of job j."""
    entry = JobStatus("q", "team", state)
    put = Put(job_status_key("j"), encode_status(entry))
    table.commit(Transaction("w", puts=(put,)))
    return entry


async def test_open_job_is_read_from_store_despite_stale_cache():
    harness = Harness()
    put_status(harness.table, JobState.RUNNING)
    harness.statuses.apply_changes(harness.table.find_all("board/"), (), True)
    ended = put_status(harness.table, JobState.COMPLETED)
    assert await harness.jobs.read("j") == ended


async def test_cache_serves_ended_jobs_and_all_jobs_during_outage():
    harness = Harness()
    running = put_status(harness.table, JobState.RUNNING)
    harness.statuses.apply_changes(harness.table.find_all("board/"), (), True)
    harness.table.faults.down = True
    assert await harness.jobs.read("j") == running
    assert isinstance(await harness.jobs.read("unknown"), UnknownOutcome)
    harness.unresponsive = True
    assert await harness.jobs.read("j") == running
    ended = put_status(harness.table, JobState.COMPLETED)
    harness.statuses.apply_changes(harness.table.find_all("board/"), (), True)
    harness.unresponsive = False
    harness.table.read = None
    assert await harness.jobs.read("j") == ended


async def test_unresponsive_store_gets_no_calls():
    harness = Harness()
    harness.unresponsive = True
    outcome, _ = await harness.submit()
    assert isinstance(outcome, NotStored)
    assert not harness.table.rows


async def test_unknown_outcome_is_returned_within_timeout():
    harness = Harness()
    harness.table.faults.set({"lose_replies": 100, "delay_s": 0.8})
    outcome, took_s = await harness.submit(timeout_s=1.0)
    assert isinstance(outcome, UnknownOutcome)
    assert took_s <= 1.1


async def test_unknown_outcome_is_returned_early_if_no_send_is_answered():
    harness = Harness()
    harness.table.faults.set({"lose_replies": 100, "delay_s": 0.8})
    outcome, took_s = await harness.submit(timeout_s=3.0)
    assert isinstance(outcome, UnknownOutcome)
    assert took_s < 2.0


async def test_lost_answer_is_hedged_before_timeout():
    harness = Harness()
    transact = harness.table.transact
    sends = []

    async def lose_first(transaction):
        sends.append(transaction)
        if len(sends) == 1:
            await harness.clock.sleep(60.0)
        return await transact(transaction)

    harness.table.transact = lose_first
    outcome, took_s = await harness.submit()
    assert isinstance(outcome, Accepted)
    assert took_s <= 0.5


async def test_slow_store_gets_few_hedged_copies():
    harness = Harness()
    harness.table.faults.delay_s = 0.25
    transact = harness.table.transact
    sends = []

    async def count(transaction):
        sends.append(transaction)
        return await transact(transaction)

    harness.table.transact = count
    await harness.submit()
    await harness.submit()
    harness.table.faults.delay_s = 0.6
    sends.clear()
    for _ in range(4):
        await harness.submit()
    assert len(sends) <= 5


async def test_stored_job_is_accepted_again():
    harness = Harness()
    assert (await harness.submit())[0] == Accepted()
    assert (await harness.submit())[0] == Accepted(repeated=True)


async def test_repeated_job_with_unreadable_owner_has_unknown_outcome():
    harness = Harness()
    await harness.submit()
    read = harness.table.read

    async def fail(key):
        return Err(Unavailable("no reply"))

    harness.table.read = fail
    assert isinstance((await harness.submit())[0], UnknownOutcome)
    harness.table.read = read
    assert (await harness.submit())[0] == Accepted(repeated=True)


async def test_unavailable_store_refuses_and_lost_replies_do_not():
    harness = Harness()
    harness.table.faults.down = True
    assert isinstance((await harness.submit())[0], NotStored)
    harness.table.faults.set({"lose_replies": 2})
    outcome, _ = await harness.submit()
    assert outcome == Accepted(repeated=True)


def test_service_is_unresponsive_only_without_newer_answer():
    clock = ManualClock()
    health = ServiceHealth(clock)
    assert not health.unresponsive
    clock.jump(1.0)
    health.record_missing_reply(sent_s=0.0)
    assert health.unresponsive
    clock.jump(0.5)
    health.record_reply()
    assert not health.unresponsive
    health.record_missing_reply(sent_s=1.0)
    assert not health.unresponsive
    clock.jump(0.1)
    health.record_missing_reply(sent_s=1.55)
    assert health.unresponsive
    clock.jump(1.6)
    assert not health.unresponsive
