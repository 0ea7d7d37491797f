"""Progress rows are written only under the fence of the present leader."""

from __future__ import annotations

import asyncio

import pytest

from chiveledge.clock import ManualClock
from chiveledge.coordinator._progress_rows import progress_key
from chiveledge.coordinator._progress_writer import (
    MAX_ENTRIES,
    REJECTED_PAUSE_S,
    ProgressWriter,
)
from chiveledge.decision_log import NullLog
from chiveledge.intake import job_key
from chiveledge.metrics import Metrics
from chiveledge.services import Check, Put, Transaction
from chiveledge.workload import JobProgress, JobRequest, JobState, OpenRun, Step
from standins.table import MemoryTable

FENCE_KEY = "leadership/all/holder"
MAX_ROW_CHARS = 2000


class HeldLeadership:
    """A leadership that was acquired once and is not renewed."""

    def __init__(self, table):
        version = table.commit(Transaction("t", puts=(Put(FENCE_KEY, "me"),))).unwrap()
        self.fence = Check(FENCE_KEY, version)


@pytest.fixture
async def writer():
    clock = ManualClock()
    table = MemoryTable(clock)
    lost = []
    table.max_value_chars = MAX_ROW_CHARS
    table.max_entries = MAX_ENTRIES
    writer = ProgressWriter(
        table,
        HeldLeadership(table),
        clock,
        NullLog(),
        Metrics(),
        MAX_ROW_CHARS,
        on_lost=lost.append,
    )
    writer.table, writer.clock, writer.lost = table, clock, lost
    writer_task = asyncio.ensure_future(writer.run())
    yield writer
    writer_task.cancel()


def make_job(job_id="j1"):
    return JobProgress(JobRequest(job_id, "q", "team", "text", (Step(),), 0))


def take_over(table):
    table.commit(Transaction("other", puts=(Put(FENCE_KEY, "another"),)))


async def test_progress_is_stored_while_the_leadership_is_held(writer):
    saving = asyncio.ensure_future(writer.save(make_job()))
    await writer.clock.advance(0.1)
    assert saving.done()
    assert writer.table.find(progress_key("j1")) is not None


async def test_nothing_is_stored_once_another_process_took_over(writer):
    take_over(writer.table)
    saving = asyncio.ensure_future(writer.save(make_job()))
    await writer.clock.advance(3.0)
    assert not saving.done()
    assert writer.table.find(progress_key("j1")) is None
    assert writer.lost == ["the leadership row changed"]
    saving.cancel()


async def test_progress_is_not_removed_once_another_process_took_over(writer):
    writer.table.commit(Transaction("w", puts=(Put(progress_key("j1"), "x"),)))
    take_over(writer.table)
    assert not await writer.remove("j1")
    assert writer.table.find(progress_key("j1")) is not None


async def test_rejected_progress_holds_up_no_other_job(writer):
    """The batch was sent again for ever, and nothing else was stored meanwhile."""
    odd = make_job("odd")
    odd.reason = "x" * 2 * MAX_ROW_CHARS
    saving = [asyncio.ensure_future(writer.save(job)) for job in (odd, make_job("j2"))]
    await writer.clock.advance(0.1)
    assert [task.result() for task in saving] == [False, True]
    assert odd.rests_until_s > writer.clock.monotonic()
    odd.reason = ""
    again = asyncio.ensure_future(writer.save(odd))
    await writer.clock.advance(2 * REJECTED_PAUSE_S + 0.1)
    assert again.result()


async def test_unchanged_parts_are_not_written_again(writer):
    step = Step(count=600)
    job = JobProgress(JobRequest("j1", "q", "team", "text", (step,), 0))
    for number, task in enumerate(job.open_occurrence(0)[0].tasks):
        task.run = OpenRun(1, f"w{number}", 1)
        task.last_run = 1
    saving = asyncio.ensure_future(writer.save(job))
    await writer.clock.advance(0.1)
    assert saving.result()
    keys = [row.key for row in writer.table.find_all(progress_key("j1"))]
    assert len(keys) > 5
    versions = {key: writer.table.find(key).version for key in keys}
    job.occurrences[0][0].tasks[0].begun = True
    saving = asyncio.ensure_future(writer.save(job))
    await writer.clock.advance(0.1)
    assert saving.result()
    changed = [key for key in keys if writer.table.find(key).version != versions[key]]
    assert len(changed) == 2


async def test_former_leader_does_not_remove_the_request_of_a_job(writer):
    # Its own view that the job has ended and expired was enough to delete the request.
    request = Put(job_key("j1"), "request")
    writer.table.commit(Transaction("caller", puts=(request,)))
    take_over(writer.table)
    removing = asyncio.ensure_future(writer.remove("j1"))
    await writer.clock.advance(3.0)
    assert removing.done()
    assert writer.table.find(job_key("j1")) is not None


async def save_ended_job(writer) -> tuple[JobProgress, int]:
    """Store the request and the ended progress of a job; return it and its request."""
    request = Put(job_key("j1"), "request")
    version = writer.table.commit(Transaction("caller", puts=(request,))).unwrap()
    job = make_job()
    job.state = JobState.COMPLETED
    saving = asyncio.ensure_future(writer.save(job))
    await writer.clock.advance(0.1)
    assert saving.result()
    return job, version


async def test_former_leader_does_not_remove_an_ended_job(writer):
    """The request is in another part than the fence, which no deletion can check."""
    job, version = await save_ended_job(writer)
    take_over(writer.table)
    assert not await writer.remove_job(job, version)
    assert writer.table.find(job_key("j1")) is not None
    assert writer.table.find(progress_key("j1")) is not None


async def test_job_is_kept_until_its_end_is_stored(writer):
    """A leader that is replaced during the removal would leave a job that runs on."""
    request = Put(job_key("j1"), "request")
    version = writer.table.commit(Transaction("caller", puts=(request,))).unwrap()
    job = make_job()
    saving = asyncio.ensure_future(writer.save(job))
    await writer.clock.advance(0.1)
    assert saving.result()
    job.state = JobState.COMPLETED
    assert not await writer.remove_job(job, version)
    assert writer.table.find(job_key("j1")) is not None


async def test_removal_keeps_a_later_request_of_the_same_id(writer):
    """The job is submitted again between two attempts to remove it."""
    job, version = await save_ended_job(writer)
    writer.table.commit(Transaction("removed", deletes=(job_key("j1"),)))
    again = Put(job_key("j1"), "another request")
    writer.table.commit(Transaction("caller", puts=(again,)))
    assert await writer.remove_job(job, version)
    assert writer.table.find(job_key("j1")).value == "another request"
    assert writer.table.find(progress_key("j1")) is None


@pytest.mark.parametrize("lost", [0, 1, 2])
async def test_removal_goes_on_after_a_lost_answer(writer, monkeypatch, lost):
    """A step that is repeated finds its rows gone already."""
    job, version = await save_ended_job(writer)
    transact = writer.table.transact
    calls = 0

    async def lose_one(transaction):
        nonlocal calls
        writer.table.faults.lose_replies = int(calls == lost)
        calls += 1
        return await transact(transaction)

    monkeypatch.setattr(writer.table, "transact", lose_one)
    assert not await writer.remove_job(job, version)
    assert await writer.remove_job(job, version)
    assert not writer.table.rows.keys() - {FENCE_KEY}


async def test_progress_whose_request_is_stored_is_not_left_over(writer):
    """A list without the request is no proof that there is none."""
    await save_ended_job(writer)
    assert not await writer.remove("j1")
    assert writer.table.find(progress_key("j1")) is not None
