"""Cancellations that reach the leader without their job."""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from chiveledge.coordinator import CoordinatorTiming
from chiveledge.coordinator._term import CLEANUP_INTERVAL_S
from chiveledge.intake import (
    Accepted,
    Infeasible,
    JobStatus,
    NotFound,
    UnknownOutcome,
    Withdrawn,
    cancel_key,
    encode_status,
    initial_job_status_key,
    job_key,
)
from chiveledge.services import Put, Transaction, Unsettled
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL

KEEP_S = 40.0
LATE_S = 6.0
STEP = Step(usage=SMALL)


@pytest.fixture
async def cluster(make_cluster):
    timing = CoordinatorTiming(keep_ended_s=0.5, keep_cancellations_s=KEEP_S)
    cluster = make_cluster(nodes=2, timing=timing)
    await cluster.advance(1.5)
    return cluster


async def cancel(cluster, job_id, workspace="cafes", node=1):
    call = cluster.nodes[node].job_store.cancel(job_id, workspace, 2.0)
    return await cluster.call(call)


def has_cancel(cluster, job_id, workspace="cafes"):
    return cluster.table.find(cancel_key(job_id, workspace)) is not None


def hold_submissions(cluster, monkeypatch):
    """Let the store perform the submissions of job j1 `LATE_S` later."""
    transact = cluster.table.transact

    async def hold(transaction):
        if job_key("j1") not in [put.key for put in transaction.puts]:
            return await transact(transaction)
        asyncio.ensure_future(cluster.table._commit_late(transaction))
        await cluster.clock.sleep(0.8)
        return Err(Unsettled("no reply"))

    cluster.table.late_write_delay_s = LATE_S
    monkeypatch.setattr(cluster.table, "transact", hold)


@pytest.mark.parametrize("takeover", ["none", "before", "after"])
@pytest.mark.parametrize("sends", [1, 2, 4])
async def test_submission_performed_after_its_cancel_never_starts(
    cluster, monkeypatch, sends, takeover
):
    """The store performed it seconds after the cancel was answered, and it ran."""
    hold_submissions(cluster, monkeypatch)
    call = cluster.send("j1", STEP, timeout_s=0.3 * sends - 0.1)
    assert isinstance(await cluster.call(call), UnknownOutcome)
    if takeover == "before":
        await cluster.restart(cluster.nodes.index(cluster.leader))
    assert await cancel(cluster, "j1") == NotFound()
    if takeover == "after":
        await cluster.advance(0.5)
        await cluster.restart(cluster.nodes.index(cluster.leader))
    await cluster.advance(LATE_S + 5)
    assert cluster.starts("j1") == []
    assert await cluster.call(cluster.nodes[0].job_store.read("j1")) == NotFound()
    monkeypatch.undo()
    assert isinstance(await cluster.submit("j1", STEP), Withdrawn)


async def test_cancel_of_another_workspace_stops_no_job(cluster):
    """Neither in advance nor while it runs, although both know its ID."""
    assert await cancel(cluster, "j1", "roasters") == NotFound()
    assert await cluster.submit("j1", STEP, work_s=3.0) == Accepted()
    await cluster.advance(1)
    assert await cancel(cluster, "j1", "roasters") == NotFound()
    await cluster.advance(5)
    assert cluster.state("j1") is JobState.COMPLETED


@pytest.mark.parametrize("takeover", [False, True])
async def test_job_that_was_refused_before_runs(cluster, monkeypatch, takeover):
    """The row of its refusal was taken for a cancellation of it."""
    job_store = cluster.nodes[0].job_store
    with monkeypatch.context() as patched:
        patched.setattr(job_store, "_explain_infeasible", lambda _: "too large")
        assert await cluster.submit("j1", STEP) == Infeasible("too large")
    await cluster.advance(1)
    assert await cluster.submit("j1", STEP, work_s=1.5) == Accepted()
    await cluster.advance(0.5)
    if takeover:
        await cluster.restart(cluster.nodes.index(cluster.leader))
    await cluster.advance(4)
    assert cluster.state("j1") is JobState.COMPLETED


@pytest.mark.parametrize("takeover", [False, True])
async def test_cancel_without_its_job_ends_after_the_time_that_a_write_may_be_late(
    cluster, takeover
):
    """Anybody with a key can leave such rows; a takeover doesn't shorten their time."""
    assert await cancel(cluster, "j1") == NotFound()
    await cluster.advance(KEEP_S / 2)
    if takeover:
        await cluster.restart(cluster.nodes.index(cluster.leader))
    await cluster.advance(KEEP_S / 2 - 1)
    assert has_cancel(cluster, "j1")
    await cluster.advance((KEEP_S / 2 if takeover else 0) + CLEANUP_INTERVAL_S + 4)
    assert not has_cancel(cluster, "j1")
    assert len(cluster.leader.coordinator.term._early_cancellations) == 0
    assert await cluster.submit("j1", STEP) == Accepted()
    await cluster.advance(3)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_cancel_without_its_job_is_kept_when_the_store_forgets_its_history(
    cluster,
):
    """The leader reads all rows again, and counts their time on."""
    assert await cancel(cluster, "j1") == NotFound()
    await cluster.advance(KEEP_S / 2)
    cluster.table.forget_history()
    await cluster.advance(KEEP_S / 2 - 1)
    assert has_cancel(cluster, "j1")
    await cluster.advance(CLEANUP_INTERVAL_S + 2)
    assert not has_cancel(cluster, "j1")


async def test_repeated_cancel_starts_the_time_anew(cluster):
    """The first one's row ended while a submission after it was still on its way."""
    assert await cancel(cluster, "j1") == NotFound()
    await cluster.advance(KEEP_S - 1)
    assert await cancel(cluster, "j1") == NotFound()
    await cluster.advance(KEEP_S - 1)
    assert has_cancel(cluster, "j1")


async def test_cancel_is_kept_while_the_store_refuses_to_remove_it(cluster):
    assert await cancel(cluster, "j1") == NotFound()
    await cluster.advance(KEEP_S - 2)
    cluster.table.late_writes = 10**6
    cluster.table.late_write_delay_s = 10**6
    await cluster.advance(CLEANUP_INTERVAL_S)
    cluster.table.late_writes = 0
    assert has_cancel(cluster, "j1")
    await cluster.advance(KEEP_S + 2 * CLEANUP_INTERVAL_S)
    assert not has_cancel(cluster, "j1")


async def test_cancel_of_a_job_that_only_a_later_version_can_read_is_kept(cluster):
    """Its row was removed with the others, and that version would run the job."""
    status = JobStatus("standard", "cafes", JobState.QUEUED)
    puts = (
        Put(job_key("j1"), "{"),
        Put(initial_job_status_key("j1"), encode_status(status)),
    )
    cluster.table.commit(Transaction("later version", puts=puts))
    assert await cancel(cluster, "j1") == Accepted()
    await cluster.advance(KEEP_S + 2 * CLEANUP_INTERVAL_S)
    assert cluster.table.find(job_key("j1")) is not None
    assert has_cancel(cluster, "j1")


async def test_cancel_of_a_job_submitted_again_during_its_removal_is_carried_out(
    cluster, monkeypatch
):
    """It was taken for a cancel of the removed job, and the new one ran."""
    await cluster.submit("j1", STEP, work_s=0.3)
    await cluster.advance(1.5)
    writer = cluster.leader.coordinator.term._progress_writer
    delete_progress = writer._delete_progress

    async def delete_late(job_id):
        await cluster.clock.sleep(2.0)
        return await delete_progress(job_id)

    monkeypatch.setattr(writer, "_delete_progress", delete_late)
    while cluster.table.find(job_key("j1")):
        await cluster.advance(0.1)
    starts = len(cluster.starts("j1"))
    assert await cluster.submit("j1", STEP, work_s=0.5) == Accepted()
    assert await cancel(cluster, "j1") == Accepted(repeated=True)
    await cluster.advance(6)
    assert len(cluster.starts("j1")) == starts


async def test_late_read_of_a_removed_cancel_stops_no_later_job(cluster):
    """The leader kept it for ever and cancelled the next job of the same ID."""
    await cluster.submit("j1", STEP, work_s=30.0)
    await cluster.advance(0.5)
    assert await cancel(cluster, "j1") == Accepted()
    stale = cluster.table.find_all("inbox/")
    term = cluster.leader.coordinator.term
    while "j1" in term.jobs:
        await cluster.advance(0.1)
    assert not has_cancel(cluster, "j1")
    term._apply_inbox_changes(stale, (), False)
    assert await cluster.submit("j1", STEP) == Accepted()
    await cluster.advance(4)
    assert cluster.state("j1") is JobState.COMPLETED
