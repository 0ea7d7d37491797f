"""No member starts in a drained failure domain, whatever happens to leader and store.

Guards against a gang that was planned, reserved or committed before the drain, a leader
that takes over without knowing the drains, one that trusts an old list of them, and
against work or guarantees that a drain costs.
"""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from chiveledge.drain_store import DrainChange, change_drain
from chiveledge.jobs import JobState
from chiveledge.services import TaskState, Unavailable
from tests.scheduler.test_jobs import in_state, make_spec, run_borrowers
from tests.support import (
    DOMAINS,
    STEP_S,
    CallInterceptor,
    check_no_double_allocation,
    make_document,
    run_region,
)

KNOWN_WITHIN_S = 1.0 + 2 * STEP_S
"""Time from a drain until the leader knows it: the poll, rounded to the clock."""

JOB_BOUND_S = 60.0
SHORT = '{"run_s": 1.0}'


async def set_drain(region, domain, drained=True):
    region.drain_changes = getattr(region, "drain_changes", 0) + 1
    request = DrainChange(domain, drained, "ann")
    write_id = f"drain-{region.drain_changes}"
    outcome = await change_drain(region.table, region.clock, request, write_id)
    assert outcome.changed


def list_starts(region, domain, since_s, job_id=None):
    return [
        change
        for worker in region.workers.values()
        if region.domain_of(worker.name) == domain
        for change in worker.history
        if change.state is TaskState.RUNNING
        and change.time_s > since_s
        and job_id in (None, change.job)
    ]


def test_drained_domain_gets_no_start_until_it_is_given_back():
    async def work(region):
        region.start_leader("l")
        running = await region.submit(make_spec(4), "k0")
        await region.run_until(
            in_state(region, running, JobState.RUNNING), within_s=5.0
        )
        await set_drain(region, "a")
        await region.run_for(KNOWN_WITHIN_S)
        since_s = region.clock.monotonic()
        waiting = [await region.submit(make_spec(payload=SHORT), "k1")]
        await region.run_for(10.0)
        assert region.job(running).state is JobState.RUNNING
        assert region.job(running).attempts == 1
        assert not list_starts(region, "a", since_s)
        leader = region.leaders[-1]
        assert leader.count_running_by_domain() == {"a": 1}
        job = leader.jobs[waiting[0]]
        assert "drained failure domains a" in leader.explain_waiting(job)
        await set_drain(region, "a", drained=False)
        await region.run_for(KNOWN_WITHIN_S)
        assert "drained" not in leader.explain_waiting(job)

    run_region(work)


def test_gang_runs_in_the_domain_that_is_left():
    async def work(region):
        region.start_leader("l")
        await set_drain(region, "a")
        await region.run_for(2.0)
        ids = [
            await region.submit(make_spec(payload=SHORT, adjacent=False), f"k{n}")
            for n in range(4)
        ]
        await region.run_until(
            lambda: all(region.job(i).state is JobState.FINISHED for i in ids),
            within_s=JOB_BOUND_S,
        )
        assert not list_starts(region, "a", 0.0)
        assert list_starts(region, "b", 0.0)

    run_region(work)


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", range(2, 12))
def test_planned_attempt_is_withdrawn_whole(number, after):
    """Each write of the leader in turn hangs until the leader knows the drain."""

    async def work(region):
        drained_s = []

        async def drain():
            await set_drain(region, "a")
            drained_s.append(region.clock.monotonic())
            await region.clock.sleep(2 * KNOWN_WITHIN_S)

        # The leadership's own writes are left alone: it would be lost meanwhile.
        interceptor = CallInterceptor(number, after, drain)
        region.timing = region.timing.model_copy(update={"leader_lease_s": 60.0})
        region.start_leader("l", interceptor.wrap)
        job_id = await region.submit(make_spec(4, payload=SHORT), "k")
        await region.run_for(10.0)
        if not interceptor.intercepted:
            pytest.skip("the leader made fewer writes")
        sent = {change.time_s for change in list_starts(region, "a", 0.0)}
        # The order that hangs was sent before the drain, with those beside it.
        known_s = drained_s[0] + KNOWN_WITHIN_S
        if interceptor.intercepted != "start":
            assert not {time_s for time_s in sent if time_s > known_s}
        check_no_double_allocation(region)
        await set_drain(region, "a", drained=False)
        await region.run_until(
            in_state(region, job_id, JobState.FINISHED), within_s=JOB_BOUND_S
        )

    run_region(work)


def test_order_that_was_not_taken_is_not_repeated_after_the_drain():
    """One worker takes no start orders until the leader knows the drain."""

    class WithoutStarts:
        def __init__(self, service):
            self._service = service

        def __getattr__(self, name):
            return getattr(self._service, name)

        async def start(self, order):
            if refusing:
                return Err(Unavailable("down"))
            return await self._service.start(order)

    refusing = [True]

    async def work(region):
        worker = region.workers["w00"]
        region.start_leader("l", lambda s: WithoutStarts(s) if s is worker else s)
        job_id = await region.submit(make_spec(4, payload=SHORT), "k")
        await region.run_until(in_state(region, job_id, JobState.RUNNING), within_s=5.0)
        await set_drain(region, "a")
        await region.run_for(KNOWN_WITHIN_S)
        refusing.clear()
        await region.run_until(in_state(region, job_id, JobState.QUEUED), within_s=5.0)
        assert not worker.tasks
        assert not [c for c in worker.history if c.state is TaskState.RUNNING]
        job = region.job(job_id)
        assert job.blame == 0 and "drained" in job.reason
        await set_drain(region, "a", drained=False)
        await region.run_until(
            in_state(region, job_id, JobState.FINISHED), within_s=JOB_BOUND_S
        )

    run_region(work)


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", range(2, 20))
def test_next_leader_knows_the_drain_before_it_starts_anything(number, after):
    """A leader dies at each of its writes, and a domain is drained meanwhile."""

    async def work(region):
        async def kill():
            leader.cancel()
            await set_drain(region, "a")
            known_s.append(region.clock.monotonic())
            await asyncio.sleep(3600)

        known_s = []
        interceptor = CallInterceptor(number, after, kill)
        leader = region.start_leader("l1", interceptor.wrap)
        job_id = await region.submit(make_spec(4, payload=SHORT), "k")
        await region.run_for(3.0)
        if not known_s:
            leader.cancel()
            await set_drain(region, "a")
            known_s.append(region.clock.monotonic())
        region.start_leader("l2")
        await region.run_for(15.0)
        # A start that the dead leader had sent may still have been on its way.
        assert not list_starts(region, "a", known_s[0] + STEP_S)
        check_no_double_allocation(region)
        await set_drain(region, "a", drained=False)
        await region.run_until(
            in_state(region, job_id, JobState.FINISHED), within_s=JOB_BOUND_S
        )

    run_region(work)


def test_nothing_starts_while_the_drains_cannot_be_read():
    """Only the reads of the drains fail: all else would let the leader go on."""

    class WithoutDrains:
        def __init__(self, service):
            self._service = service

        def __getattr__(self, name):
            return getattr(self._service, name)

        async def scan(self, prefix):
            if prefix.startswith("drains/") and broken:
                return Err(Unavailable("down"))
            return await self._service.scan(prefix)

    broken = []

    async def work(region):
        region.start_leader("l", lambda s: WithoutDrains(s) if s is region.table else s)
        first = await region.submit(make_spec(payload=SHORT), "k0")
        await region.run_until(
            in_state(region, first, JobState.FINISHED), within_s=10.0
        )
        broken.append(True)
        await region.run_for(region.timing.drains_stale_s + 1.0)
        since_s = region.clock.monotonic()
        await set_drain(region, "a")
        waiting = await region.submit(make_spec(payload=SHORT), "k1")
        await region.run_for(10.0)
        assert not [c for d in DOMAINS for c in list_starts(region, d, since_s)]
        leader = region.leaders[-1]
        assert "nothing starts" in leader.explain_waiting(leader.jobs[waiting])
        broken.clear()
        await region.run_until(
            in_state(region, waiting, JobState.FINISHED), within_s=10.0
        )
        assert not list_starts(region, "a", since_s)

    run_region(work)


def test_store_that_is_away_while_drains_change_costs_nothing():
    async def work(region):
        region.start_leader("l")
        ids = [await region.submit(make_spec(payload=SHORT), f"k{n}") for n in range(8)]
        await region.run_for(0.5)
        await set_drain(region, "a")
        drained_s = region.clock.monotonic()
        region.table.faults.set({"down": True})
        await region.run_for(6.0)
        region.table.faults.set({})
        await region.run_until(
            lambda: all(region.job(i).state is JobState.FINISHED for i in ids),
            within_s=JOB_BOUND_S,
        )
        assert not list_starts(region, "a", drained_s + KNOWN_WITHIN_S)
        assert all(region.job(i).blame == 0 for i in ids)

    run_region(work)


def test_all_domains_drained_and_given_back():
    async def work(region):
        region.start_leader("l")
        for domain in DOMAINS:
            await set_drain(region, domain)
        await region.run_for(2.0)
        job_id = await region.submit(make_spec(2, payload=SHORT), "k")
        await region.run_for(10.0)
        assert region.job(job_id).state is JobState.QUEUED
        for domain in DOMAINS:
            await set_drain(region, domain, drained=False)
        await region.run_until(
            in_state(region, job_id, JobState.FINISHED), within_s=10.0
        )

    run_region(work)


@pytest.mark.parametrize("pause_s", [0.05, 0.3, 0.9])
def test_drain_that_is_given_back_at_once_loses_no_job(pause_s):
    async def work(region):
        region.start_leader("l")
        ids = []
        for number in range(6):
            spec = make_spec(1 + number % 4, payload=SHORT)
            ids.append(await region.submit(spec, f"k{number}"))
            await set_drain(region, "a")
            await region.run_for(pause_s)
            await set_drain(region, "a", drained=False)
            await region.run_for(pause_s)
        await region.run_until(
            lambda: all(region.job(i).state is JobState.FINISHED for i in ids),
            within_s=JOB_BOUND_S,
        )
        assert all(region.job(i).blame == 0 for i in ids)

    run_region(work)


def test_guarantee_is_reclaimed_on_what_is_left_and_at_risk_beyond_it():
    async def work(region):
        region.start_leader("l")
        await run_borrowers(region, 4)
        await set_drain(region, "a")
        await region.run_for(KNOWN_WITHIN_S)
        (risk,) = region.leaders[-1].guarantees_at_risk
        assert (risk.workspace, risk.missing) == ("cafes", 1)
        owners = [await region.submit(make_spec(), f"g{n}") for n in range(2)]
        await region.run_until(
            lambda: all(region.job(i).state is JobState.RUNNING for i in owners),
            within_s=10.0,
        )
        workers = [w for i in owners for w in region.job(i).attempt.workers]
        assert {region.domain_of(worker) for worker in workers} == {"b"}
        await set_drain(region, "a", drained=False)
        await region.run_for(KNOWN_WITHIN_S)
        assert not region.leaders[-1].guarantees_at_risk

    document = make_document({"cafes": [(8, 3)], "depots": []})
    run_region(work, document=document)
