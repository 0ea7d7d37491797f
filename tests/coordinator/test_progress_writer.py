"""What the leader stores, it stores under its fence."""

from __future__ import annotations

import asyncio

import pytest

from chiveledge.clock import ManualClock
from chiveledge.coordinator._progress_writer import ProgressWriter, progress_key
from chiveledge.decision_log import SilentLog
from chiveledge.metrics import Metrics
from chiveledge.services import Check, Put, Transaction
from chiveledge.workload import JobProgress, JobRequest, Step
from standins.table import MemoryTable

FENCE_KEY = "leadership/all/holder"


class Held:
    """A leadership that was won once."""

    def __init__(self, table):
        version = table.commit(Transaction("t", puts=(Put(FENCE_KEY, "me"),))).unwrap()
        self.fence = Check(FENCE_KEY, version)


@pytest.fixture
async def ledger():
    clock = ManualClock()
    table = MemoryTable(clock)
    lost = []
    ledger = ProgressWriter(
        table, Held(table), clock, SilentLog(), Metrics(), on_lost=lost.append
    )
    ledger.table, ledger.clock, ledger.lost = table, clock, lost
    writer = asyncio.ensure_future(ledger.run())
    yield ledger
    writer.cancel()


def make_job(job_id="j1"):
    return JobProgress(JobRequest(job_id, "q", "team", "text", (Step(),), 0))


def take_over(table):
    table.commit(Transaction("other", puts=(Put(FENCE_KEY, "another"),)))


async def test_progress_is_stored_while_the_leadership_is_held(ledger):
    saving = asyncio.ensure_future(ledger.save(make_job()))
    await ledger.clock.advance(0.1)
    assert saving.done()
    assert ledger.table.find(progress_key("j1")) is not None


async def test_nothing_is_stored_once_another_process_took_over(ledger):
    take_over(ledger.table)
    saving = asyncio.ensure_future(ledger.save(make_job()))
    await ledger.clock.advance(3.0)
    assert not saving.done()
    assert ledger.table.find(progress_key("j1")) is None
    assert ledger.lost == ["the leadership row changed"]
    saving.cancel()


async def test_progress_is_not_removed_once_another_process_took_over(ledger):
    ledger.table.commit(Transaction("w", puts=(Put(progress_key("j1"), "x"),)))
    take_over(ledger.table)
    assert not await ledger.remove("j1")
    assert ledger.table.find(progress_key("j1")) is not None
