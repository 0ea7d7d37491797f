"""Cancellation, failures, reclaims, order and rows of jobs, and store outages."""

from __future__ import annotations

from datetime import timedelta

import pytest
from result import Err

from chiveledge.cancellations import RETENTION_S
from chiveledge.configuration import RequestClass
from chiveledge.jobs import JobSpec, JobState, cancel_key, make_job_id
from chiveledge.services import Put, TaskState, Transaction, Unavailable
from tests.support import (
    REGION,
    Region,
    check_no_double_allocation,
    count_transitions,
    make_document,
    run_region,
)

LONG = '{"run_s": 1000.0}'
URGENT_START_BOUND_S = 2.9


def make_spec(members=1, accelerators=8, payload=LONG, **fields):
    return JobSpec(
        region=REGION,
        members=members,
        accelerators=accelerators,
        cores=1,
        memory_mb=256,
        payload=payload,
        **fields,
    )


def request_cancel(region: Region, job_id: str) -> None:
    workspace = region.job(job_id).workspace
    puts = (Put(cancel_key(job_id, workspace), "{}"),)
    region.table.commit(Transaction(f"c-{job_id}", puts=puts))


def in_state(region: Region, job_id: str, state: JobState):
    return lambda: region.job(job_id).state is state


async def run_borrowers(region: Region, count: int) -> list[str]:
    """Submit jobs of a workspace without a guarantee and wait until they run."""
    ids = [await region.submit(make_spec(), f"b{n}", "depots") for n in range(count)]
    await region.run_until(
        lambda: all(region.job(job_id).state is JobState.RUNNING for job_id in ids),
        within_s=5.0,
    )
    return ids


@pytest.mark.parametrize("wait_s", [0.0, 0.4, 3.0], ids=["new", "starting", "running"])
def test_cancelled_job_stops(wait_s):
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(make_spec(2), "k")
        await region.run_for(wait_s)
        request_cancel(region, job_id)
        await region.run_until(
            in_state(region, job_id, JobState.CANCELLED), within_s=5.0
        )
        await region.run_for(2.0)
        for worker in region.workers.values():
            assert not worker.tasks
        assert not region.table.find_all("cancel/")

    run_region(work)


@pytest.mark.parametrize("step", range(0, 20, 2))
def test_cancel_racing_a_finish_has_one_outcome(step):
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(make_spec(payload='{"run_s": 1.0}'), "k")
        await region.run_for(1.0 + step * 0.05)
        request_cancel(region, job_id)
        await region.run_until(lambda: region.job(job_id).state.ended, within_s=5.0)
        state = region.job(job_id).state
        await region.run_for(3.0)
        assert region.job(job_id).state is state
        if state is JobState.FINISHED:
            assert region.job(job_id).results == (f"{job_id}:0",)

    run_region(work)


def test_cancellations_are_committed_in_batches():
    async def work(region):
        region.start_leader("a")
        ids = [await region.submit(make_spec(4), f"k{n}") for n in range(1000)]
        await region.run_for(3.0)
        before = region.table.transactions
        for job_id in ids:
            request_cancel(region, job_id)
        requests = region.table.transactions - before
        await region.run_until(
            lambda: all(region.job(j).state is JobState.CANCELLED for j in ids),
            within_s=10.0,
        )
        writes = region.table.transactions - before - requests
        renewals = 10.0 / region.timing.leader_renew_s
        assert writes - renewals < len(ids) / 10

    run_region(work)


def test_guaranteed_gang_reclaims_its_shape_from_borrowers():
    async def work(region):
        region.start_leader("a")
        borrowers = await run_borrowers(region, 4)
        owner = await region.submit(make_spec(2), "g", "cafes")
        bound_s = URGENT_START_BOUND_S + region.timing.checkpoint_s
        await region.run_until(
            in_state(region, owner, JobState.RUNNING), within_s=bound_s
        )
        check_no_double_allocation(region)
        assert not region.job(owner).attempt.borrowed
        states = [region.job(borrower) for borrower in borrowers]
        stopped = [job for job in states if job.state is JobState.QUEUED]
        assert len(stopped) == 2
        assert all(job.saved_s > 0 for job in stopped)

    document = make_document({"cafes": [(16, 1)], "depots": []})
    run_region(work, document=document)


@pytest.mark.parametrize("mode", ["ignore_stop", "ignore_checkpoint"])
def test_worker_that_ignores_orders_delays_reclaim_at_most_for_its_lease(mode):
    async def work(region):
        region.start_leader("a")
        borrower = await region.submit(make_spec(), "b", "depots")
        await region.run_until(
            in_state(region, borrower, JobState.RUNNING), within_s=5.0
        )
        for worker in region.workers.values():
            worker.faults.set({"mode": mode})
        owner = await region.submit(make_spec(), "g", "cafes")
        timing = region.timing
        bound_s = (
            timing.task_lease_s
            + timing.worker_sync_s
            + timing.checkpoint_s
            + URGENT_START_BOUND_S
        )
        await region.run_until(
            in_state(region, owner, JobState.RUNNING), within_s=bound_s
        )
        check_no_double_allocation(region)

    document = make_document({"cafes": [(8, 1)], "depots": []})
    run_region(work, workers=1, document=document)


def test_job_that_fails_everywhere_fails_and_quarantines_no_worker():
    async def work(region):
        region.start_leader("a")
        bad = '{"run_s": 0.1, "fail": true}'
        ids = [await region.submit(make_spec(payload=bad), f"k{n}") for n in range(12)]
        await region.run_until(
            lambda: all(region.job(j).state is JobState.FAILED for j in ids),
            within_s=60.0,
        )
        good = await region.submit(make_spec(4, payload='{"run_s": 0.1}'), "good")
        await region.run_until(in_state(region, good, JobState.FINISHED), within_s=10.0)

    run_region(work)


def test_worker_that_fails_everything_is_quarantined():
    async def work(region):
        region.start_leader("a")
        region.workers["w00"].faults.set({"mode": "fail"})
        ids = []
        for number in range(12):
            spec = make_spec(payload='{"run_s": 0.1}')
            ids.append(await region.submit(spec, f"k{number}"))
            await region.run_for(1.0)
        await region.run_until(
            lambda: all(region.job(j).state is JobState.FINISHED for j in ids),
            within_s=60.0,
        )
        failed = sum(
            sum(count_transitions(region, job_id, TaskState.FAILED).values())
            for job_id in ids
        )
        assert failed <= 3

    run_region(work)


def test_infeasible_job_fails_with_reason():
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(make_spec(9), "k")
        await region.run_until(in_state(region, job_id, JobState.FAILED), within_s=5.0)
        assert "no cells" in region.job(job_id).reason

    run_region(work)


@pytest.mark.parametrize("outage_s", [2.0, 30.0])
def test_store_outage_stops_no_gang_and_loses_no_result(outage_s):
    async def work(region):
        region.start_leader("a")
        region.start_leader("b")
        payload = f'{{"run_s": {outage_s / 2}}}'
        short = await region.submit(make_spec(2, payload=payload), "short")
        long = await region.submit(make_spec(2), "long")
        await region.run_until(
            lambda: all(region.job(j).state is JobState.RUNNING for j in (short, long)),
            within_s=5.0,
        )
        region.table.faults.set({"down": True})
        await region.run_for(outage_s)
        region.table.faults.set({})
        await region.run_until(in_state(region, short, JobState.FINISHED), within_s=9.0)
        await region.run_for(region.timing.task_lease_s)
        assert region.job(long).state is JobState.RUNNING
        assert region.job(long).attempts == region.job(short).attempts == 1
        assert count_transitions(region, long, TaskState.STOPPED) == {}

    run_region(work)


def test_urgent_job_starts_in_time_despite_takeover():
    async def work(region):
        leader = region.start_leader("a")
        await region.run_for(2.0)
        region.start_leader("b")
        await region.run_for(3.0)
        leader.cancel()
        spec = make_spec(request_class=RequestClass.URGENT)
        job_id = await region.submit(spec, "k")
        await region.run_until(
            in_state(region, job_id, JobState.RUNNING), within_s=URGENT_START_BOUND_S
        )

    run_region(work)


def test_unresponsive_worker_does_not_block_reclaim():
    async def work(region):
        region.workers["w04"].faults.set({"down": True})
        region.start_leader("a")
        await run_borrowers(region, 4)
        owner = await region.submit(make_spec(), "g", "cafes")
        lost_after_s = region.timing.task_lease_s / 2
        bound_s = lost_after_s + URGENT_START_BOUND_S + region.timing.checkpoint_s
        await region.run_until(
            in_state(region, owner, JobState.RUNNING), within_s=bound_s
        )

    document = make_document({"cafes": [(8, 1)], "depots": []})
    run_region(work, workers=5, document=document)


def test_new_leader_preempts_no_gang_before_all_workers_reported():
    """Workers whose first report is still due may have free cells for the new job."""

    class SlowWorker:
        """A worker that replies to each sync after one second."""

        def __init__(self, worker, clock):
            self._worker = worker
            self._clock = clock

        def __getattr__(self, name):
            return getattr(self._worker, name)

        async def sync(self, request):
            await self._clock.sleep(1.0)
            return await self._worker.sync(request)

    async def work(region):
        leader = region.start_leader("a")
        first = await region.submit(make_spec(4), "first")
        await region.run_until(in_state(region, first, JobState.RUNNING), within_s=5.0)
        leader.cancel()
        busy = region.job(first).attempt.workers
        slow = [w for name, w in region.workers.items() if name not in busy]
        region.document = make_document({"cafes": [(8, 2)]}, borrowing=False)
        region.start_leader(
            "b", lambda s: SlowWorker(s, region.clock) if s in slow else s
        )
        second = await region.submit(make_spec(), "second")
        await region.run_until(in_state(region, second, JobState.RUNNING), within_s=5.0)
        assert region.job(first).state is JobState.RUNNING
        assert region.job(first).attempts == 1

    run_region(work, workers=8, document=make_document({"cafes": [(8, 2)]}))


def test_large_gang_does_not_starve_behind_small_jobs():
    async def work(region):
        region.start_leader("a")
        payload = '{"run_s": 30.0}'
        number = 0
        for _ in range(8):
            await region.submit(
                make_spec(accelerators=4, payload=payload), f"s{number}"
            )
            number += 1
        large = await region.submit(make_spec(4, payload=payload), "large")
        while region.job(large).state is JobState.QUEUED:
            assert region.clock.monotonic() < 600.0, "the large gang is not started"
            spec = make_spec(accelerators=4, payload=payload)
            await region.submit(spec, f"s{number}")
            number += 1
            await region.run_for(4.0)

    run_region(work)


def test_memory_shortage_stops_borrowers_first():
    async def work(region):
        region.start_leader("a")
        heavy = '{"run_s": 1000.0, "used_memory_mb": 40000}'
        owner = await region.submit(make_spec(accelerators=4, payload=heavy), "g")
        await region.run_until(in_state(region, owner, JobState.RUNNING), within_s=5.0)
        spec = make_spec(accelerators=4, payload=heavy)
        borrower = await region.submit(spec, "b", "depots")
        await region.run_until(
            lambda: "more memory" in region.job(borrower).reason, within_s=10.0
        )
        assert region.job(owner).state is JobState.RUNNING

    document = make_document({"cafes": [(8, 1)], "depots": []})
    run_region(work, workers=1, document=document)


def test_ended_jobs_are_deleted():
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(make_spec(payload='{"run_s": 0.1}'), "k")
        await region.run_until(
            in_state(region, job_id, JobState.FINISHED), within_s=5.0
        )
        region.clock.jump(7200.0)
        await region.run_until(
            lambda: not region.table.find_all("job/"), within_s=200.0
        )
        assert not region.table.find_all("inbox/")

    run_region(work)


def test_large_results_go_to_the_object_store():
    async def work(region):
        region.start_leader("a")
        payload = '{"run_s": 0.1, "result_chars": 9000}'
        job_id = await region.submit(make_spec(4, payload=payload), "k")
        await region.run_until(
            in_state(region, job_id, JobState.FINISHED), within_s=5.0
        )
        job = region.job(job_id)
        assert job.results == () and job.result_object in region.objects.texts

    run_region(work)


class OneFailingRead:
    """Table whose first read of a row fails."""

    def __init__(self, table):
        self._table = table
        self.failed = False

    def __getattr__(self, name):
        return getattr(self._table, name)

    async def read(self, key):
        if key.startswith("job/") and not self.failed:
            self.failed = True
            return Err(Unavailable("down"))
        return await self._table.read(key)


def test_job_whose_row_can_not_be_read_once_still_runs():
    # A read that failed was taken for a missing row, and its notice was deleted.
    async def work(region):
        failing = OneFailingRead(region.table)
        region.start_leader("a", lambda s: failing if s is region.table else s)
        await region.run_for(3.0)
        job_id = await region.submit(make_spec(), "k")
        await region.run_for(10.0)
        assert failing.failed
        assert region.job(job_id).state is JobState.RUNNING

    run_region(work)


class CancelBetweenScans:
    """Table on which a job arrives and is cancelled between two scans of the leader."""

    def __init__(self, region):
        self._region = region
        self.job_id = ""

    def __getattr__(self, name):
        return getattr(self._region.table, name)

    async def scan(self, prefix):
        if prefix.startswith("cancel/") and not self.job_id:
            self.job_id = await self._region.submit(make_spec(), "k")
            request_cancel(self._region, self.job_id)
        return await self._region.table.scan(prefix)


def test_cancellation_read_before_its_job_is_kept():
    # A job that the leader had not read yet was taken for one that doesn't exist.
    async def work(region):
        table = CancelBetweenScans(region)
        region.start_leader("a", lambda s: table if s is region.table else s)
        await region.run_for(10.0)
        assert region.job(table.job_id).state is JobState.CANCELLED

    run_region(work)


@pytest.mark.parametrize("takeover", [False, True])
def test_cancellation_without_its_job_is_kept_while_a_submission_may_be_late(takeover):
    """The leader removed it at once, and a late submission was stored and ran."""

    async def work(region):
        leader = region.start_leader("a")
        job_id = make_job_id(REGION, "cafes", "k")
        key = cancel_key(job_id, "cafes")
        region.table.commit(Transaction("c", puts=(Put(key, "{}"),)))
        await region.run_for(RETENTION_S / 2)
        if takeover:
            leader.cancel()
            region.start_leader("b")
        await region.run_for(RETENTION_S / 2 - 2)
        assert region.table.find(key) is not None
        await region.run_for((RETENTION_S / 2 if takeover else 0) + 15)
        assert region.table.find(key) is None

    run_region(work)


def test_cancellation_of_another_workspace_stops_no_job():
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(make_spec(payload='{"run_s": 1.0}'), "k")
        key = cancel_key(job_id, "depots")
        region.table.commit(Transaction("c", puts=(Put(key, "{}"),)))
        await region.run_until(lambda: region.job(job_id).state.ended, within_s=9.0)
        assert region.job(job_id).state is JobState.FINISHED

    run_region(work)


def test_clock_step_is_not_taken_for_work_that_a_checkpoint_saved():
    # The time on the wall clock since its start was taken for the work of an attempt.
    async def work(region):
        region.start_leader("a")
        borrowers = await run_borrowers(region, 4)
        region.clock._start += timedelta(hours=1)
        await region.submit(make_spec(2), "g", "cafes")
        await region.run_for(10.0)
        saved_s = max(region.job(borrower).saved_s for borrower in borrowers)
        assert 0 < saved_s <= region.clock.monotonic()

    run_region(work, document=make_document({"cafes": [(16, 1)], "depots": []}))


def test_work_before_a_takeover_counts_as_saved_by_a_later_checkpoint():
    # A leader that counts from its own takeover would drop the work before it.
    async def work(region):
        leader = region.start_leader("a")
        borrowers = await run_borrowers(region, 4)
        await region.run_for(8.0)
        leader.cancel()
        region.start_leader("b")
        await region.run_for(4.0)
        region.clock._start += timedelta(hours=1)
        await region.submit(make_spec(2), "g", "cafes")
        await region.run_for(10.0)
        saved = [region.job(borrower).saved_s for borrower in borrowers]
        assert 12.0 <= max(saved) <= region.clock.monotonic()

    run_region(work, document=make_document({"cafes": [(16, 1)], "depots": []}))


@pytest.mark.parametrize("accelerators", [8, 0])
def test_gang_that_needs_a_worker_on_which_it_failed_starts_there_again(accelerators):
    """It was kept off that worker for good and, as the others did not hold it, was
    never started again on an idle region."""

    async def work(region):
        region.start_leader("a")
        region.workers["w00"].faults.set({"mode": "fail"})
        payload = '{"run_s": 0.5}'
        spec = make_spec(4, accelerators, payload)
        if not accelerators:
            spec = spec.model_copy(update={"cores": region.sizes[0].cores // 4})
        job_id = await region.submit(spec, "k")
        await region.run_until(
            lambda: "w00" in region.job(job_id).failed_on, within_s=10.0
        )
        region.workers["w00"].faults.set({"mode": ""})
        await region.run_until(
            in_state(region, job_id, JobState.FINISHED), within_s=20.0
        )

    run_region(work)


@pytest.mark.parametrize("workers", [1, 2, 4])
def test_job_that_fails_on_too_few_workers_to_tell_is_given_up(workers):
    """With fewer than three workers it stayed queued for ever."""

    async def work(region):
        region.start_leader("a")
        bad = '{"run_s": 0.1, "fail": true}'
        job_id = await region.submit(make_spec(payload=bad), "k")
        await region.run_until(in_state(region, job_id, JobState.FAILED), within_s=30.0)
        assert len(region.job(job_id).failed_on) == 3

    run_region(work, workers=workers)


def test_job_waits_for_a_worker_that_is_away_rather_than_fail_again_where_it_did():
    async def work(region):
        region.start_leader("a")
        region.workers["w00"].faults.set({"mode": "fail"})
        region.workers["w01"].faults.set({"down": True})
        payload = '{"run_s": 0.5}'
        job_id = await region.submit(make_spec(payload=payload), "k")
        await region.run_until(lambda: region.job(job_id).failed_on, within_s=20.0)
        await region.run_for(20.0)
        assert region.job(job_id).failed_on == ("w00",)
        region.workers["w01"].faults.set({})
        await region.run_until(
            in_state(region, job_id, JobState.FINISHED), within_s=20.0
        )

    run_region(work, workers=2)


def test_gang_without_accelerators_that_exceeds_the_region_is_told_so():
    """Each member fitted on a worker, so the gang was accepted and waited for ever."""

    async def work(region):
        region.start_leader("a")
        cores = region.sizes[0].cores // 4
        spec = make_spec(5, accelerators=0).model_copy(update={"cores": cores})
        job_id = await region.submit(spec, "k")
        await region.run_until(in_state(region, job_id, JobState.FAILED), within_s=5.0)
        assert "members=5" in region.job(job_id).reason

    run_region(work)
