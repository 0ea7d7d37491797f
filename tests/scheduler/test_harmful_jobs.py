"""One job ends the term of no leader, so that the others of its region go on.

The next leader reads the same row, so nothing bounds the number of terms it ends.
"""

from __future__ import annotations

import json

from chiveledge.jobs import JobSpec, JobState, inbox_key, job_key, make_job_id
from chiveledge.services import Put, TaskState, Transaction
from tests.support import REGION, Region, count_transitions, run_region

SMALL = {"region": REGION, "cores": 1, "memory_mb": 256}


def make_spec(**fields) -> JobSpec:
    return JobSpec.model_validate(SMALL | {"payload": '{"run_s": 1.0}'} | fields)


async def check_other_job_finishes(region: Region) -> None:
    """Check that a second job finishes under the first leader."""
    other = await region.submit(make_spec(), "other")
    await region.run_until(
        lambda: region.job(other).state is JobState.FINISHED, within_s=10.0
    )
    assert len(region.leaders) == 1


def test_job_with_an_infinite_declared_run_time_ends_no_leader():
    # The magnitude of infinity is no whole number; JSON has no infinity, but 1e999.
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(
            make_spec(run_time_hint_s=json.loads("1e999")), "k"
        )
        await check_other_job_finishes(region)
        assert region.job(job_id).state is JobState.FINISHED

    run_region(work)


def test_job_whose_results_make_its_row_too_long_ends_no_leader():
    # The rejected outcome ended the term, and the next leader adopted the same attempt.
    async def work(region):
        region.start_leader("a")
        payload = json.dumps({"run_s": 1.0, "padding": "x" * 60_000})
        job_id = await region.submit(make_spec(members=32, payload=payload), "k")
        region.table.max_value_chars = len(region.table.rows[job_key(job_id)].value)
        region.table.max_value_chars += 1_050  # The attempt fits and the results don't.
        await check_other_job_finishes(region)
        job = region.job(job_id)
        assert job.state is JobState.FINISHED
        results = json.loads(region.objects.texts[job.result_object])
        assert results == [f"{job_id}:{member}" for member in range(32)]

    run_region(work)


def test_job_whose_attempt_makes_its_row_too_long_fails():
    # Its start was rejected and tried again for ever, 3 times a second, while it held
    # the capacity of the region.
    async def work(region):
        region.start_leader("a")
        payload = json.dumps({"run_s": 1.0, "padding": "x" * 2_000})
        job_id = await region.submit(make_spec(members=32, payload=payload), "k")
        region.table.max_value_chars = len(region.table.rows[job_key(job_id)].value)
        region.table.max_value_chars += 150
        await check_other_job_finishes(region)
        job = region.job(job_id)
        assert job.state is JobState.FAILED and "is too long" in job.reason
        reserved = count_transitions(region, job_id, TaskState.RESERVED)
        assert set(reserved.values()) == {1}

    run_region(work)


def test_job_whose_row_cannot_be_read_ends_no_leader():
    # Decoding it raised an exception in each leader that loaded the region.
    async def work(region):
        job_id = make_job_id(REGION, "cafes", "odd")
        for text in ("{", "null", "[]", '{"spec":{}}'):
            key = job_key(job_id + text)
            puts = (Put(key, text), Put(inbox_key(job_id), "{}"))
            region.table.commit(Transaction(key, puts=puts))
        region.start_leader("a")
        await check_other_job_finishes(region)
        late_key = job_key(job_id)
        puts = (Put(late_key, "{"), Put(inbox_key(job_id), "{}"))
        region.table.commit(Transaction("late", puts=puts))
        await region.run_for(3.0)
        assert region.leaders[0].jobs.keys().isdisjoint({job_id})
        assert len(region.leaders) == 1

    run_region(work)


async def crash_under(region: Region, job_id: str, duration_s: float) -> int:
    """Crash each worker that runs a job for 2 s; return how many crashed."""
    crashes = 0
    back_s: dict[str, float] = {}
    while region.clock.monotonic() < duration_s:
        now_s = region.clock.monotonic()
        for name, worker in region.workers.items():
            if name in back_s and now_s >= back_s[name]:
                worker.faults.set({})
                del back_s[name]
            states = [t.state for t in worker.tasks.values() if t.job == job_id]
            if name not in back_s and TaskState.RUNNING in states:
                worker.tasks.clear()
                worker.event += 1
                worker.faults.set({"down": True})
                back_s[name] = now_s + 2.0
                crashes += 1
        await region.run_for(0.3)
    return crashes


def test_job_under_which_workers_crash_is_not_started_without_bound():
    # An attempt that was lost with its worker was counted nowhere: 27 crashes in 120 s.
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(make_spec(payload='{"run_s": 60.0}'), "k")
        crashes = await crash_under(region, job_id, 120.0)
        # Three starts after the third crash break the rule; two are allowed.
        assert crashes <= 5
        assert region.job(job_id).state is JobState.FAILED

    run_region(work)


def test_job_whose_workers_are_all_cut_off_again_and_again_is_not_given_up():
    # A cut region loses all attempts at once, which says nothing of the jobs.
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(make_spec(payload='{"run_s": 30.0}'), "k")
        for _ in range(8):
            await region.run_for(3.0)
            for worker in region.workers.values():
                worker.faults.set({"down": True})
            await region.run_for(12.0)
            for worker in region.workers.values():
                worker.faults.set({})
        await region.run_until(
            lambda: region.job(job_id).state is JobState.FINISHED, within_s=90.0
        )

    run_region(work)


def test_losses_of_workers_outlast_the_leader():
    # The next leader would have begun to count anew.
    async def work(region):
        leader = region.start_leader("a")
        job_id = await region.submit(make_spec(payload='{"run_s": 60.0}'), "k")
        crashes = await crash_under(region, job_id, 9.0)
        leader.cancel()
        region.start_leader("b")
        crashes += await crash_under(region, job_id, 120.0)
        assert 2 <= crashes <= 5
        assert region.job(job_id).state is JobState.FAILED

    run_region(work)
