"""Gangs while the leading scheduler is killed, frozen or cut off at every step."""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from chiveledge.jobs import JobSpec, JobState
from chiveledge.platform import TaskState, Unsettled
from tests.support import (
    REGION,
    CallPoint,
    Region,
    Wrapped,
    check_no_double_use,
    count_states,
    longest_partial_run,
    run_region,
)

GANG = JobSpec(
    region=REGION,
    members=3,
    accelerators=8,
    cores=4,
    memory_mb=1024,
    payload='{"run_s": 2.0}',
)
POINTS = range(2, 26)
FREEZE_S = 9.0
JOB_BOUND_S = 60.0

# Task lease (6 s), a start that is tried for 3 s, and the takeover (2 s).
PARTIAL_BOUND_S = 11.0


async def check_job_survives(region: Region, job_id: str, members: int) -> None:
    def check() -> bool:
        check_no_double_use(region)
        return region.job(job_id).state is JobState.FINISHED

    await region.run_until(check, within_s=JOB_BOUND_S)
    await region.run_for(region.timing.task_lease_s + 1.0)
    job = region.job(job_id)
    assert job.results == tuple(f"{job_id}:{m}" for m in range(members))
    assert longest_partial_run(region, job_id, members) <= PARTIAL_BOUND_S
    for worker in region.workers.values():
        assert not [t for t in worker.tasks.values() if t.state is TaskState.RUNNING]


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", POINTS)
def test_killed_leader(number, after):
    async def work(region):
        point = CallPoint(number, after, lambda: kill())
        leader = region.start_leader("a", point.wrap)

        async def kill():
            leader.cancel()
            await asyncio.sleep(3600)

        point.act = kill
        job_id = await region.submit(GANG, "k")
        await region.run_for(0.5)
        region.start_leader("b")
        await check_job_survives(region, job_id, 3)
        assert all(n == 1 for n in count_states(region, job_id, "finished").values())

    run_region(work)


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", POINTS)
def test_frozen_leader_wakes_after_takeover(number, after):
    async def work(region):
        point = CallPoint(number, after, lambda: region.clock.sleep(FREEZE_S))
        region.start_leader("a", point.wrap)
        job_id = await region.submit(GANG, "k")
        await region.run_for(0.5)
        region.start_leader("b")
        await check_job_survives(region, job_id, 3)

    run_region(work)


@pytest.mark.parametrize("after", [False, True], ids=["call_lost", "reply_lost"])
@pytest.mark.parametrize("number", POINTS)
def test_lost_call_or_reply(number, after):
    async def work(region):
        async def lose():
            return Err(Unsettled("lost"))

        point = CallPoint(number, after, lose)
        region.start_leader("a", point.wrap)
        region.start_leader("b")
        job_id = await region.submit(GANG, "k")
        await check_job_survives(region, job_id, 3)

    run_region(work)


def test_points_cover_every_kind_of_call():
    """The numbers of `POINTS` reach every order that a leader gives."""

    async def work(region):
        seen = []
        for number in POINTS:
            point = CallPoint(number, True, lambda: asyncio.sleep(0))
            seen.append(point)

        class Recorder:
            calls = []

            async def around(self, name, call):
                self.calls.append(name)
                return await call()

        recorder = Recorder()
        region.start_leader("a", lambda service: Wrapped(service, recorder))
        job_id = await region.submit(GANG, "k")
        await check_job_survives(region, job_id, 3)
        covered = {recorder.calls[number - 1] for number in POINTS}
        assert covered >= {"transact", "reserve", "start", "stop", "forget"}

    run_region(work)


@pytest.mark.parametrize("cut_after_s", [0.3, 1.0, 2.0])
def test_cut_off_worker_ends_the_gang_for_all(cut_after_s):
    async def work(region):
        region.start_leader("a")
        long_gang = GANG.model_copy(update={"payload": '{"run_s": 5.0}'})
        job_id = await region.submit(long_gang, "k")
        await region.run_for(cut_after_s)
        first = region.job(job_id).attempt
        assert first is not None
        region.workers[first.workers[0]].faults.set({"down": True})
        await region.run_for(region.timing.task_lease_s * 2)
        region.workers[first.workers[0]].faults.set({})
        await check_job_survives(region, job_id, 3)

    run_region(work, workers=8)
