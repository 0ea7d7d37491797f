"""Cancellations of jobs whose submission is still on its way.

The caller was told that there is no such job, and the job ran later.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from result import Err

from chiveledge.cancellations._quota import MAX_STORED_ROWS, WORKSPACE_SHARE
from chiveledge.clock import ManualClock
from chiveledge.gateway._jobs import (
    JobAccepted,
    JobRefused,
    JobService,
    JobUnknown,
)
from chiveledge.jobs import JobSpec, cancel_key, job_key, make_job_id
from chiveledge.metrics import Metrics
from chiveledge.services import Unsettled
from standins.table import MemoryTable
from tests.support import REGION

SPEC = JobSpec(region=REGION)
JOB_ID = make_job_id(REGION, "cafes", "k")


class Harness:
    """Two gateways' job services on one table that holds submissions back."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.held = []
        self.first, self.second = self.make_service(), self.make_service()

    def make_service(self) -> JobService:
        return JobService(
            self.table,
            None,
            None,
            SimpleNamespace(entries=(), find_by_role=lambda role: ()),
            self.clock,
            Metrics(),
            lambda region: None,
            [REGION],
        )

    async def call(self, work):
        task = asyncio.ensure_future(work)
        while not task.done():
            await self.clock.advance(0.1)
        return task.result()

    async def cancel(self, service, workspace="cafes", job_id=JOB_ID):
        return (await self.call(service.cancel(workspace, [job_id])))[job_id]

    async def hold(self, transaction):
        """Leave a transaction unanswered, to be performed later."""
        self.held.append(transaction)
        await self.clock.sleep(0.8)
        return Err(Unsettled("no reply"))

    def perform_held(self) -> None:
        for transaction in self.held:
            self.table.commit(transaction)


@pytest.fixture
def harness():
    return Harness()


async def test_submission_performed_after_a_cancel_found_no_job_is_not_stored(
    harness, monkeypatch
):
    with monkeypatch.context() as patched:
        patched.setattr(harness.table, "transact", harness.hold)
        outcome = await harness.call(harness.first.submit("cafes", "k", SPEC))
    assert outcome == JobUnknown(JOB_ID)
    assert await harness.cancel(harness.second) == "not_found"
    harness.perform_held()
    assert harness.table.find(job_key(JOB_ID)) is None
    retried = await harness.call(harness.second.submit("cafes", "k", SPEC))
    assert isinstance(retried, JobRefused)
    assert (retried.retry_after_s, "choose a new one" in retried.detail) == (0.0, True)


async def test_not_found_is_not_answered_before_the_cancel_is_stored(
    harness, monkeypatch
):
    monkeypatch.setattr(harness.table, "transact", harness.hold)
    assert await harness.cancel(harness.first) == "unknown"


async def test_job_stored_while_it_is_cancelled_is_cancelled(harness, monkeypatch):
    """It was stored between the cancel's read and its write."""
    read = harness.table.read

    async def read_before_submission(key):
        monkeypatch.undo()
        row = await read(key)
        accepted = await harness.first.submit("cafes", "k", SPEC)
        assert isinstance(accepted, JobAccepted)
        return row

    monkeypatch.setattr(harness.table, "read", read_before_submission)
    assert await harness.cancel(harness.second) == "requested"
    assert harness.table.find(cancel_key(JOB_ID, "cafes")) is not None


async def test_cancel_of_another_workspace_blocks_no_submission(harness):
    assert await harness.cancel(harness.first, "depots") == "not_found"
    outcome = await harness.call(harness.second.submit("cafes", "k", SPEC))
    assert isinstance(outcome, JobAccepted)
    assert await harness.cancel(harness.first, "depots") == "not_found"
    assert harness.table.find(cancel_key(JOB_ID, "cafes")) is None


async def test_cancels_of_unknown_jobs_store_a_bounded_number_of_rows(harness):
    """Anybody with a key could fill the store with them."""
    ids = [make_job_id(REGION, "depots", str(n)) for n in range(2 * MAX_STORED_ROWS)]
    answers = await harness.call(harness.first.cancel("depots", ids))
    stored = len(harness.table.find_all("cancel/"))
    assert stored <= MAX_STORED_ROWS * WORKSPACE_SHARE
    assert stored == sum(answer == "not_found" for answer in answers.values())
    assert set(answers.values()) == {"not_found", "too_many"}
    assert await harness.cancel(harness.first) == "not_found"


@pytest.mark.parametrize(
    "text", ["", "x", f"{REGION}.", "nowhere." + "0" * 20, f"{REGION}/a.{'0' * 20}"]
)
async def test_cancel_of_what_is_no_job_id_stores_nothing(harness, text):
    assert await harness.cancel(harness.first, job_id=text) == "not_found"
    assert not harness.table.rows
