"""Jobs whose rows are removed, replaced or can't be decoded."""

from __future__ import annotations

from datetime import timedelta

from result import Err

from chiveledge.coordinator import CoordinatorTiming
from chiveledge.coordinator._progress_rows import progress_key
from chiveledge.coordinator._term import CLEANUP_INTERVAL_S
from chiveledge.intake import (
    FLEET_KEY,
    INBOX_PREFIX,
    Accepted,
    cancel_key,
    initial_job_status_key,
    job_key,
)
from chiveledge.services import Put, Transaction, Unavailable
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL


async def test_removed_job_never_runs_again(make_cluster):
    """A table read that began before the removal still returns the job's rows."""
    cluster = make_cluster(timing=CoordinatorTiming(keep_ended_s=0.5))
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.5)
    await cluster.advance(1.5)
    stale = cluster.table.find_all("inbox/")
    await cluster.advance(CLEANUP_INTERVAL_S + 1)
    term = cluster.leader.coordinator.term
    assert "j1" not in term.jobs
    term._apply_inbox_changes(stale, (), True)
    await cluster.advance(2)
    assert len(cluster.starts("j1")) == 1


async def test_job_is_kept_until_its_rows_are_removed(make_cluster, monkeypatch):
    cluster = make_cluster(timing=CoordinatorTiming(keep_ended_s=0.5))
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.5)
    await cluster.advance(1.5)
    term = cluster.leader.coordinator.term

    class RefusingTable:
        async def transact(self, transaction):
            return Err(Unavailable("too many writes"))

    with monkeypatch.context() as patched:
        patched.setattr(term._progress_writer._removal, "_table", RefusingTable())
        await cluster.advance(CLEANUP_INTERVAL_S + 1)
    term._apply_inbox_changes(cluster.table.find_all("inbox/"), (), True)
    await cluster.advance(2)
    assert len(cluster.starts("j1")) == 1
    assert "j1" in term.jobs


async def test_next_leader_finishes_the_removal_of_a_job(make_cluster):
    cluster = make_cluster(timing=CoordinatorTiming(keep_ended_s=0.5))
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.5)
    await cluster.advance(1.5)
    # The leader was killed after it removed the request, before the progress.
    arrived = (job_key("j1"), cancel_key("j1", "cafes"), initial_job_status_key("j1"))
    cluster.table.commit(Transaction("w", deletes=arrived))
    await cluster.restart(0)
    await cluster.advance(CLEANUP_INTERVAL_S + 3)
    assert len(cluster.starts("j1")) == 1
    assert not cluster.table.find_all("progress/")
    assert [row.key for row in cluster.table.find_all("board/")] == [FLEET_KEY]


async def test_job_submitted_again_during_its_removal_does_not_end_the_term(
    make_cluster, monkeypatch
):
    cluster = make_cluster()
    await cluster.advance(0.5)
    term = cluster.leader.coordinator.term
    term._unmatched_progress["j1"] = None

    async def remove(job_id):
        # Meanwhile the request arrives and is admitted with its progress.
        term._unmatched_progress.pop(job_id)
        return True

    monkeypatch.setattr(term._progress_writer, "remove", remove)
    await cluster.advance(CLEANUP_INTERVAL_S + 1)
    assert cluster.leader.coordinator.term is term


def corrupt_progress(cluster, job_id: str) -> str:
    """Make the progress row of a job unreadable; return its former text."""
    key = progress_key(job_id)
    before = cluster.table.find(key).value
    cluster.table.commit(Transaction("odd", puts=(Put(key, "{"),)))
    return before


async def test_job_with_unreadable_progress_does_not_start_anew_when_read_again(
    make_cluster,
):
    # The second time that its request was read, it was taken for a new job.
    cluster = make_cluster(nodes=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=2, usage=SMALL), work_s=0.5)
    await cluster.advance(3)
    assert cluster.state("j1") is JobState.COMPLETED
    corrupt_progress(cluster, "j1")
    await cluster.restart(0)
    await cluster.advance(3)
    assert "j1" not in cluster.leader.coordinator.term.jobs
    # The watch of the inbox fails once, so that a snapshot follows.
    cluster.table.faults.down = True
    await cluster.advance(0.7)
    cluster.table.faults.down = False
    await cluster.advance(3)
    assert len(cluster.starts("j1")) == 2


async def test_end_of_a_job_with_unreadable_progress_is_not_acknowledged(make_cluster):
    # A job that is missing from the leader's jobs was taken to have no open runs.
    cluster = make_cluster(nodes=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=3.0)
    await cluster.advance(1)
    node = cluster.nodes[0]
    await node.kill()
    readable = corrupt_progress(cluster, "j1")
    await cluster.advance(3)
    cluster.nodes[0] = type(node)(cluster, node.name, node.rank)
    await cluster.advance(4)
    ended = [end for worker in cluster.workers.values() for end in worker.ended]
    # The next leader, of another version perhaps, reads the progress again.
    put = Put(progress_key("j1"), readable)
    cluster.table.commit(Transaction("mended", puts=(put,)))
    await cluster.restart(0)
    await cluster.advance(8)
    assert [(end.task, str(end.how)) for end in ended] == [("j1.0.0.0", "done")]
    assert not cluster.record.started_after_done


async def test_run_of_a_job_with_unreadable_progress_is_not_stopped(make_cluster):
    # Its run was stopped as one that no job has open, and its end acknowledged.
    cluster = make_cluster(nodes=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=5.0)
    await cluster.advance(1)
    corrupt_progress(cluster, "j1")
    await cluster.restart(0)
    await cluster.advance(2)
    assert [run.stop_ordered_s for run in cluster.record.runs["j1.0.0.0"]] == [None]


async def test_other_jobs_go_on_beside_a_job_with_unreadable_progress(make_cluster):
    """A worker that lists an end answers each poll at once, so polls are spaced."""
    cluster = make_cluster(nodes=1, workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=3, usage=SMALL), work_s=2.0)
    await cluster.advance(1)
    corrupt_progress(cluster, "j1")
    await cluster.restart(0)
    await cluster.advance(4)
    node = cluster.leader
    connection = node.workers["w0"]
    poll = connection.poll
    polls = 0

    async def count_polls(request):
        nonlocal polls
        polls += 1
        return await poll(request)

    connection.poll = count_polls
    await cluster.submit("j2", Step(count=3, usage=SMALL), work_s=1.0)
    await cluster.advance(4)
    assert cluster.state("j2") is JobState.COMPLETED
    assert polls <= 4 / cluster.timing.poll_wait_busy_s + 1
    withheld = node.log.find("settlement", "withheld")
    assert [line["id"] for line in withheld] == ["j1"]
    assert node.coordinator.term is not None
    await cluster.advance(CLEANUP_INTERVAL_S)
    assert cluster.table.find(job_key("j1")) is not None
    assert cluster.table.find(progress_key("j1")) is not None


async def test_clock_step_does_not_remove_a_job_that_has_just_ended(make_cluster):
    # A step of the host's wall clock was taken for the time since the job's end.
    cluster = make_cluster(nodes=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.5)
    await cluster.advance(2)
    assert cluster.state("j1") is JobState.COMPLETED
    cluster.clock._start += timedelta(hours=1)
    await cluster.advance(CLEANUP_INTERVAL_S + 1)
    # The caller has lost the first response and submits once more.
    repeated = await cluster.submit("j1", Step(usage=SMALL), work_s=0.5)
    await cluster.restart(0)
    await cluster.advance(3)
    assert len(cluster.starts("j1")) == 1
    assert repeated == Accepted(repeated=True)


async def test_next_leader_whose_clock_is_ahead_keeps_ended_jobs(make_cluster):
    # The difference of two hosts' wall clocks was taken for the time since the end.
    cluster = make_cluster(nodes=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.5)
    await cluster.advance(2)
    cluster.clock._start += timedelta(hours=1)
    await cluster.restart(0)
    await cluster.advance(CLEANUP_INTERVAL_S + 3)
    assert cluster.table.find(job_key("j1")) is not None
    await cluster.advance(cluster.timing.keep_ended_s + CLEANUP_INTERVAL_S)
    assert cluster.table.find(job_key("j1")) is None


async def test_read_that_takes_longer_than_expected_revives_no_job(make_cluster):
    # A read of many pages has no time limit, but 60 s were taken for its longest time.
    cluster = make_cluster(nodes=1, timing=CoordinatorTiming(keep_ended_s=0.5))
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.5)
    await cluster.advance(1.5)
    store = cluster.nodes[0].store
    table = cluster.table

    async def read_slowly(prefix):
        found = await table.snapshot(prefix)
        if prefix == INBOX_PREFIX and found.is_ok():
            for _ in range(100):  # pages, each within the timeout of a call
                await cluster.clock.sleep(0.75)
        return found

    store.snapshot = read_slowly
    table.faults.down = True
    await cluster.advance(0.7)
    table.faults.down = False
    await cluster.advance(80)
    assert not table.find_all("inbox/")
    assert len(cluster.starts("j1")) == 1


async def test_job_submitted_again_after_its_removal_runs(make_cluster):
    # For a minute, a new request was taken for a late read of the removed one.
    cluster = make_cluster(timing=CoordinatorTiming(keep_ended_s=0.5))
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.3, fails=True)
    await cluster.advance(CLEANUP_INTERVAL_S + 1)
    assert not cluster.table.find_all("inbox/")
    assert await cluster.submit("j1", Step(usage=SMALL), work_s=0.5) == Accepted()
    await cluster.advance(3)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_job_submitted_again_during_its_removal_runs(make_cluster, monkeypatch):
    # The new request came while the leader still held the job, and was passed over.
    cluster = make_cluster(timing=CoordinatorTiming(keep_ended_s=0.5))
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.3, fails=True)
    await cluster.advance(1.5)
    writer = cluster.leader.coordinator.term._progress_writer
    delete_progress = writer._delete_progress

    async def delete_late(job_id):
        await cluster.clock.sleep(2.0)
        return await delete_progress(job_id)

    monkeypatch.setattr(writer, "_delete_progress", delete_late)
    while cluster.table.find_all("inbox/"):
        await cluster.advance(0.1)
    starts = len(cluster.starts("j1"))
    assert await cluster.submit("j1", Step(usage=SMALL), work_s=0.5) == Accepted()
    await cluster.advance(1)
    assert len(cluster.starts("j1")) == starts
    await cluster.advance(4)
    assert cluster.state("j1") is JobState.COMPLETED
