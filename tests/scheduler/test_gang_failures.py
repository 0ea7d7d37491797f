"""A gang survives a leader that is killed, frozen or cut off at any call.

Exactly one attempt may finish, no accelerator may be used twice, and a gang may run
with some of its members only for a bounded time.
"""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from chiveledge.jobs import Attempt, JobSpec, JobState
from chiveledge.leadership import Leadership
from chiveledge.metrics import Metrics
from chiveledge.scheduler._failure_tracker import FailureTracker
from chiveledge.scheduler._job_repository import JobRepository
from chiveledge.services import (
    Conflict,
    GroupCommit,
    MemberPlacement,
    Reservation,
    TaskState,
    Unavailable,
    Unsettled,
)
from tests.support import (
    REGION,
    STEP_S,
    CallInterceptor,
    InterceptedService,
    Region,
    check_no_double_allocation,
    count_transitions,
    find_longest_partial_run_s,
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

# Sum of the task lease (6 s), the start timeout (3 s) and the takeover (2 s).
PARTIAL_BOUND_S = 11.0


async def check_job_survives(region: Region, job_id: str, members: int) -> None:
    def check() -> bool:
        check_no_double_allocation(region)
        return region.job(job_id).state is JobState.FINISHED

    await region.run_until(check, within_s=JOB_BOUND_S)
    await region.run_for(region.timing.task_lease_s + FREEZE_S)
    job = region.job(job_id)
    assert job.results == tuple(f"{job_id}:{m}" for m in range(members))
    assert find_longest_partial_run_s(region, job_id, members) <= PARTIAL_BOUND_S
    for worker in region.workers.values():
        assert not worker.tasks, f"{worker.name} still keeps tasks"


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", POINTS)
def test_killed_leader(number, after):
    async def work(region):
        interceptor = CallInterceptor(number, after, lambda: kill())
        leader = region.start_leader("a", interceptor.wrap)

        async def kill():
            leader.cancel()
            await asyncio.sleep(3600)

        interceptor.action = kill
        job_id = await region.submit(GANG, "k")
        await region.run_for(0.5)
        region.start_leader("b")
        await check_job_survives(region, job_id, 3)
        assert all(
            n == 1 for n in count_transitions(region, job_id, "finished").values()
        )

    run_region(work)


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", POINTS)
def test_leader_frozen_until_after_takeover(number, after):
    async def work(region):
        thaw_s = 0.0

        async def freeze():
            nonlocal thaw_s
            thaw_s = region.clock.monotonic() + FREEZE_S

        async def gate():
            while region.clock.monotonic() < thaw_s:
                await region.clock.sleep(STEP_S)

        interceptor = CallInterceptor(number, after, freeze)
        interceptor.gate = gate
        region.start_leader("a", interceptor.wrap)
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

        interceptor = CallInterceptor(number, after, lose)
        region.start_leader("a", interceptor.wrap)
        region.start_leader("b")
        job_id = await region.submit(GANG, "k")
        await check_job_survives(region, job_id, 3)

    run_region(work)


def test_leader_frozen_in_inbox_read_raises_no_exception():
    async def work(region):
        class Frozen(CallInterceptor):
            """Holds all replies for `FREEZE_S` from the first that lists a new job."""

            thaw_s = 0.0

            async def intercept_call(self, call):
                reply = await call()
                rows = reply.ok() if isinstance(reply.ok(), list) else []
                if not self.thaw_s and any("inbox" in row.key for row in rows):
                    self.thaw_s = region.clock.monotonic() + FREEZE_S
                while region.clock.monotonic() < self.thaw_s:
                    await region.clock.sleep(STEP_S)
                return reply

        frozen = Frozen(0, True, None)
        leader = region.start_leader("a", frozen.wrap)
        await region.run_for(1.0)
        region.start_leader("b")
        job_id = await region.submit(GANG, "k")
        await check_job_survives(region, job_id, 3)
        assert frozen.thaw_s and not leader.done()

    run_region(work)


def test_points_cover_every_kind_of_call():
    """The calls numbered by `POINTS` include every kind that a leader makes."""

    async def work(region):
        seen = []
        for number in POINTS:
            interceptor = CallInterceptor(number, True, lambda: asyncio.sleep(0))
            seen.append(interceptor)

        class Recorder:
            calls = []

            async def intercept_call(self, call):
                return await call()

            async def intercept_write(self, name, call):
                self.calls.append(name)
                return await call()

        recorder = Recorder()
        region.start_leader("a", lambda service: InterceptedService(service, recorder))
        job_id = await region.submit(GANG, "k")
        await check_job_survives(region, job_id, 3)
        covered = {recorder.calls[number - 1] for number in POINTS}
        assert covered >= {"transact", "reserve", "start", "stop", "forget"}

    run_region(work)


@pytest.mark.parametrize("cut_after_s", [0.3, 1.0, 2.0])
def test_unreachable_worker_ends_attempt_on_all_workers(cut_after_s):
    async def work(region):
        region.start_leader("a")
        # Longer than a lease, so that the member on that worker can't finish.
        long_gang = GANG.model_copy(update={"payload": '{"run_s": 20.0}'})
        job_id = await region.submit(long_gang, "k")
        await region.run_for(cut_after_s)
        first = region.job(job_id).attempt
        assert first is not None
        region.workers[first.workers[0]].faults.set({"down": True})
        await region.run_for(region.timing.task_lease_s * 2)
        region.workers[first.workers[0]].faults.set({})
        await check_job_survives(region, job_id, 3)
        assert region.job(job_id).attempts == 2

    run_region(work, workers=8)


def test_no_member_starts_until_all_are_reserved():
    async def work(region):
        blocked = region.workers["w02"]
        place = MemberPlacement(0, "w02", (0,), 1, 256)
        other = Reservation("honam", 1, "j", "other", 5.0, "{}", 0.0, (place,))
        assert blocked.apply_reservation(other).is_ok()
        region.start_leader("a")
        job_id = await region.submit(GANG, "k")
        await region.run_for(4.0)
        assert count_transitions(region, job_id, TaskState.RUNNING) == {}
        assert count_transitions(region, job_id, TaskState.RESERVED)
        await region.run_until(
            lambda: region.job(job_id).state is JobState.FINISHED, within_s=JOB_BOUND_S
        )

    run_region(work)


def test_commit_of_replaced_leader_is_rejected():
    async def work(region):
        old = await challenge(region, "old")
        job_id = await region.submit(GANG, "k")
        jobs = make_repository(region, old)
        (job,) = jobs.load(region.table.find_all("job/"))
        attempt = Attempt("a", old.epoch, region.clock.now(), (), ())
        new = challenge(region, "new")
        await region.run_until(new.done, within_s=5.0)
        result = asyncio.ensure_future(jobs.commit_start(job, attempt))
        await region.run_until(result.done, within_s=5.0)
        assert isinstance(result.result().unwrap_err(), Conflict)
        assert region.job(job_id).state is JobState.QUEUED
        assert not old.epoch

    run_region(work)


def challenge(region, name):
    """Return a task that challenges until it wins, and returns the leadership."""

    async def win():
        leadership = Leadership(
            REGION, name, region.table, region.clock, region.timeline, region.timing
        )
        while not await leadership.challenge():
            await region.clock.sleep(0.1)
        return leadership

    return asyncio.ensure_future(win())


def make_repository(region, leadership):
    writes = GroupCommit(region.table, region.clock, Metrics(), timeout_s=1.0)
    return JobRepository(
        writes, region.objects, leadership, FailureTracker(), region.clock
    )


class LateSyncs:
    """Worker whose syncs arrive late and whose answers are lost, once it is late."""

    arrival_s, timeout_s = 3.5, 4.0

    def __init__(self, region, worker):
        self._region = region
        self._worker = worker
        self.late = False

    def __getattr__(self, name):
        method = getattr(self._worker, name)

        async def call(argument):
            if not self.late:
                return await method(argument)
            if name == "sync":
                await self._region.clock.sleep(self.arrival_s)
                await method(argument._replace(wait_s=0.0))
                await self._region.clock.sleep(self.timeout_s - self.arrival_s)
            else:
                await self._region.clock.sleep(1.0)
            return Err(Unsettled("no reply"))

        return call


def test_renewal_that_arrives_late_does_not_let_a_job_run_twice():
    # The lease was taken to end as if the last renewal had arrived within its wait.
    async def work(region):
        links = {}

        def wrap(service):
            if service is region.table:
                return service
            return links.setdefault(service.name, LateSyncs(region, service))

        region.start_leader("a", wrap)
        job = JobSpec(
            region=REGION,
            members=1,
            accelerators=8,
            cores=4,
            memory_mb=1024,
            payload='{"run_s": 60.0}',
        )
        job_id = await region.submit(job, "k")
        await region.run_until(
            lambda: region.job(job_id).state is JobState.RUNNING, within_s=5.0
        )
        links[region.job(job_id).attempt.workers[0]].late = True
        for _ in range(round(20.0 / STEP_S)):
            await region.run_for(STEP_S)
            running = [
                (worker.name, attempt)
                for worker in region.workers.values()
                for (attempt, _), task in worker.tasks.items()
                if task.state is TaskState.RUNNING
            ]
            assert len(running) <= 1

    run_region(work)


class LateStarts:
    """Workers of which the first with a reservation gets the start late, unanswered.

    That worker refuses all other calls after the reservation.
    """

    arrival_s, timeout_s = 1.9, 2.0

    def __init__(self, region):
        self._region = region
        self.late_worker = ""

    def wrap(self, service):
        return service if service is self._region.table else LateLink(self, service)

    async def call(self, worker, name, argument):
        method = getattr(worker, name)
        if worker.name != self.late_worker:
            if name == "reserve" and not self.late_worker:
                self.late_worker = worker.name
            return await method(argument)
        if name != "start":
            return Err(Unavailable("refused"))
        await self._region.clock.sleep(self.arrival_s)
        await method(argument)
        await self._region.clock.sleep(self.timeout_s - self.arrival_s)
        return Err(Unsettled("no reply"))


class LateLink:
    """One worker as a leader reaches it through `LateStarts`."""

    def __init__(self, late, worker):
        self._late = late
        self._worker = worker

    def __getattr__(self, name):
        return lambda argument: self._late.call(self._worker, name, argument)


def test_start_that_arrives_late_does_not_let_a_job_run_twice():
    # A start order begins a lease at its arrival, as a renewal does.
    async def work(region):
        late = LateStarts(region)
        region.start_leader("a", late.wrap)
        job = JobSpec(
            region=REGION,
            members=1,
            accelerators=8,
            cores=4,
            memory_mb=1024,
            payload='{"run_s": 60.0}',
        )
        await region.submit(job, "k")
        for _ in range(round(20.0 / STEP_S)):
            await region.run_for(STEP_S)
            running = [
                (worker.name, attempt)
                for worker in region.workers.values()
                for (attempt, _), task in worker.tasks.items()
                if task.state is TaskState.RUNNING
            ]
            assert len(running) <= 1
        assert running and running[0][0] != late.late_worker
        states = [change.state for change in region.workers[late.late_worker].history]
        assert states == [TaskState.RESERVED, TaskState.RUNNING, TaskState.STOPPED]

    run_region(work)


class CutLink:
    """Service that one leader can't reach while `is_cut` returns True."""

    def __init__(self, region, service, is_cut):
        self._region = region
        self._service = service
        self._is_cut = is_cut

    def __getattr__(self, name):
        method = getattr(self._service, name)

        async def call(*arguments):
            if not self._is_cut():
                return await method(*arguments)
            await self._region.clock.sleep(1.0)
            return Err(Unsettled("no reply"))

        return call


def test_leader_that_is_cut_off_with_a_worker_does_not_extend_its_lease():
    # The next leader took the leases to end with its own last renewal.
    async def work(region):
        cut_worker = ""

        def is_cut_worker(service):
            return getattr(service, "name", "") == cut_worker

        def wrap_first(service):
            return CutLink(
                region, service, lambda: cut_worker and not is_cut_worker(service)
            )

        def wrap_next(service):
            return CutLink(region, service, lambda: is_cut_worker(service))

        region.start_leader("a", wrap_first)
        job = JobSpec(
            region=REGION,
            members=1,
            accelerators=8,
            cores=4,
            memory_mb=1024,
            payload='{"run_s": 60.0}',
        )
        job_id = await region.submit(job, "k")
        await region.run_until(
            lambda: region.job(job_id).state is JobState.RUNNING, within_s=5.0
        )
        # The first leader and the worker are in one zone, which is cut off.
        cut_worker = region.job(job_id).attempt.workers[0]
        region.start_leader("b", wrap_next)
        for _ in range(round(60.0 / STEP_S)):
            await region.run_for(STEP_S)
            running = [
                (worker.name, attempt)
                for worker in region.workers.values()
                for (attempt, _), task in worker.tasks.items()
                if task.state is TaskState.RUNNING
            ]
            assert len(running) <= 1
        # The leases lapse at last, and the job runs on another worker.
        assert region.job(job_id).attempts == 2
        assert running and running[0][0] != cut_worker

    run_region(work)
