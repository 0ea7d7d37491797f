"""Progress rows are written only under the fence of the present leader."""

from __future__ import annotations

import asyncio

import pytest

from chiveledge.clock import ManualClock
from chiveledge.coordinator._progress_writer import ProgressWriter, progress_key
from chiveledge.decision_log import NullLog
from chiveledge.metrics import Metrics
from chiveledge.services import Check, Put, Transaction
from chiveledge.workload import JobProgress, JobRequest, Step
from standins.table import MemoryTable

FENCE_KEY = "leadership/all/holder"


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
    writer = ProgressWriter(
        table, HeldLeadership(table), clock, NullLog(), Metrics(), on_lost=lost.append
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
