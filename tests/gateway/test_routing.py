"""Routing, slot limits, ejection, retries and queueing of requests."""

from __future__ import annotations

import asyncio
import json

import pytest

from chiveledge.clock import ManualClock
from chiveledge.configuration import RequestClass
from chiveledge.events import Timeline
from chiveledge.gateway import MinionPool, RouterPolicy
from chiveledge.gateway._budget import RetryBudget
from chiveledge.outcomes import Answered, Reason, Refused, UnknownOutcome
from chiveledge.peers import MinionLoad
from chiveledge.services import HostEntry, HostRole, HostState, MinionLost
from standins.minion import MemoryMinion
from tests.gateway.test_at_most_once import Cluster, make_order, start

MAX_SENDS_PER_REQUEST = 1.2
MINION_CONNECTIONS = 64


def make_entry(number, region="honam", state=HostState.LIVE):
    return HostEntry(
        f"minion-{number}", HostRole.MINION, "", region, "a", "planner", state
    )


def make_pool(count=4, connections=7, **options):
    clock = ManualClock()
    pool = MinionPool(
        "honam", RouterPolicy(8, connections), clock, Timeline("t", clock)
    )
    pool.set_minions(make_entry(number, **options) for number in range(count))
    return pool, clock


def pick(pool, request_class=RequestClass.URGENT, exclude=()):
    return pool.pick("planner", request_class, exclude)


@pytest.mark.parametrize("gateways", [1, 6, 9])
def test_connections_of_all_gateways_stay_within_limit(gateways):
    share = MINION_CONNECTIONS // 9
    allocated = {}
    for _ in range(gateways):
        pool, _ = make_pool(count=2, connections=share)
        while entry := pick(pool):
            allocated[entry.name] = allocated.get(entry.name, 0) + 1
    assert all(count <= MINION_CONNECTIONS for count in allocated.values())


@pytest.mark.parametrize(
    ("request_class", "slots"),
    [(RequestClass.URGENT, 8), (RequestClass.STANDARD, 7), (RequestClass.BATCH, 6)],
)
def test_less_urgent_classes_leave_slots_free(request_class, slots):
    pool, _ = make_pool(count=1, connections=64)
    allocated = 0
    while pick(pool, request_class):
        allocated += 1
    assert allocated == slots


def test_reported_peer_load_counts_until_it_expires():
    pool, clock = make_pool(count=1)
    pool.set_gateways("own", {"own": "honam", "peer": "honam"})
    pool.record_peer_loads("peer", [MinionLoad("minion-0", 4)])
    assert [pick(pool) is not None for _ in range(5)] == [True] * 4 + [False]
    clock.jump(6.0)
    assert pick(pool) is None, "its own 4 requests use half of the 8 slots"
    pool.record_success("minion-0", 0.01)
    assert pick(pool) is not None


@pytest.mark.parametrize("gateways", [1, 2, 3, 6, 7, 8, 9])
def test_each_slot_is_assigned_to_exactly_one_gateway(gateways):
    names = {f"g{number}": "honam" for number in range(gateways)}
    assigned = {}
    for name in names:
        pool, _ = make_pool(count=5, connections=64)
        pool.set_gateways(name, names)
        for minion, state in pool._minions.items():
            assigned[minion] = assigned.get(minion, 0) + state.own_slots
    assert set(assigned.values()) == {8}


def test_gateways_of_other_regions_own_no_slots():
    pool, _ = make_pool(count=1)
    pool.set_gateways("own", {"own": "honam", "far": "yeongnam"})
    assert pool._minions["minion-0"].own_slots == 7, "8 slots, 7 connections"
    pool.set_minions([make_entry(0), make_entry(1, region="yeongnam")])
    assert pool._minions["minion-1"].own_slots == 0


def test_spillover_to_idle_minion_stops_after_decline():
    pool, clock = make_pool(count=1, connections=64)
    pool.set_gateways("g0", {f"g{number}": "honam" for number in range(8)})
    assert [pick(pool) is not None for _ in range(5)] == [True] * 4 + [False]
    pool.record_decline("minion-0")
    assert pick(pool) is None
    clock.jump(2.0)
    assert pick(pool) is not None


def test_less_loaded_minion_is_selected():
    pool, _ = make_pool(count=2)
    pool.record_peer_loads("peer", [MinionLoad("minion-0", 5)])
    assert {pick(pool).name for _ in range(5)} == {"minion-1"}


def test_leaving_minion_gets_no_requests():
    pool, _ = make_pool(count=2)
    pool.set_minions([make_entry(0, state=HostState.LEAVING), make_entry(1)])
    assert {pick(pool).name for _ in range(6)} == {"minion-1"}
    pool.set_minions([make_entry(0)])
    assert pick(pool).name == "minion-0"


def test_other_regions_serve_only_urgent_requests():
    pool, _ = make_pool(count=2, region="yeongnam")
    assert pick(pool, RequestClass.STANDARD) is None
    assert pick(pool, RequestClass.URGENT) is not None


def test_failing_minions_are_ejected_and_probed_but_never_all():
    pool, clock = make_pool(count=4)
    for _ in range(200):
        entry = pick(pool)
        if entry is None:
            break
        pool.record_failure(entry.name)
    assert 1 <= len(pool.list_ejected()) <= 2
    name = pool.list_ejected()[0]
    others = [f"minion-{n}" for n in range(4) if f"minion-{n}" != name]
    clock.jump(60.0)
    assert pick(pool, exclude=others).name == name
    assert pick(pool, exclude=others) is None, "probes are sent one at a time"
    pool.record_success(name, 0.01)
    assert name not in pool.list_ejected()
    assert pick(pool, exclude=others) and pick(pool, exclude=others)


def test_at_most_half_of_a_region_is_ejected():
    pool, _ = make_pool(count=0)
    entries = [make_entry(number) for number in range(4)]
    entries += [make_entry(number, region="yeongnam") for number in range(4, 12)]
    pool.set_minions(entries)
    for _ in range(200):
        entry = pick(pool)
        pool.record_failure(entry.name)
    local = [name for name in pool.list_ejected() if int(name.split("-")[1]) < 4]
    assert len(local) <= 2
    assert pick(pool, RequestClass.STANDARD) is not None


def test_slow_minion_is_avoided():
    pool, _ = make_pool(count=3)
    for number, service_time_s in enumerate((0.01, 0.01, 1.0)):
        others = [f"minion-{n}" for n in range(3) if n != number]
        pick(pool, exclude=others)
        pool.record_success(f"minion-{number}", service_time_s)
    picked = [pick(pool).name for _ in range(8)]
    assert "minion-2" not in picked


def test_budget_bounds_retries():
    budget = RetryBudget(ratio=0.1, max_tokens=10.0)
    retries = 0
    for _ in range(1000):
        budget.record_request()
        while budget.try_spend():
            retries += 1
    assert retries <= 110


def make_forecast(number):
    order = make_order(number, key=f"f{number}")
    return order._replace(kind="forecast", idempotent=True, key="")


@pytest.mark.parametrize("fault", [{"mode": "fail"}, {"mode": "cut"}, {"down": True}])
async def test_no_retry_storm_when_all_minions_fail(fault):
    cluster = Cluster()
    cluster.set_minion_faults(fault)
    gateway = cluster.make_gateway()
    requests = 300
    for number in range(requests):
        await cluster.finish(start(gateway, make_forecast(number)))
    sends = gateway._metrics.value("sends")
    assert sends / requests < MAX_SENDS_PER_REQUEST


async def test_idempotent_request_is_retried_on_another_minion():
    cluster = Cluster()
    bad = cluster.minions["minion-0"]
    bad.faults.set({"mode": "cut"})
    gateway = cluster.make_gateway()
    outcomes = [
        await cluster.finish(start(gateway, make_forecast(number)))
        for number in range(20)
    ]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)


class CrashingMinion(MemoryMinion):
    """Crashes under each request whose body says so, and stays down."""

    crashes = 0

    async def run(self, request):
        if b"deadly" not in request.body or self.faults.down:
            return await super().run(request)
        self.crashes += 1
        self.faults.set({"down": True})
        return MinionLost("reset")


async def test_request_that_crashes_minions_is_sent_to_few_of_them():
    """One that crashes minion after minion takes the service down for all others."""
    cluster = Cluster()
    cluster.minions = {
        f"minion-{number}": CrashingMinion(f"minion-{number}", cluster.clock)
        for number in range(12)
    }
    gateway = cluster.make_gateway()
    deadly = make_forecast(0)._replace(body=b'{"order": "deadly"}')
    outcome = await cluster.finish(start(gateway, deadly))
    assert outcome == UnknownOutcome(Reason.LOST_REPLY)
    assert sum(minion.crashes for minion in cluster.minions.values()) <= 4
    outcomes = [
        await cluster.finish(start(gateway, make_forecast(number)))
        for number in range(1, 11)
    ]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)


async def test_declined_request_is_sent_to_another_minion_or_refused():
    cluster = Cluster()
    cluster.minions["minion-0"].faults.set({"mode": "leaving"})
    gateway = cluster.make_gateway()
    outcome = await cluster.finish(start(gateway, make_order()))
    assert isinstance(outcome, Answered) and cluster.runs == 1
    cluster.set_minion_faults({"mode": "leaving"})
    outcome = await cluster.finish(start(gateway, make_order(1, key="k2")))
    assert isinstance(outcome, Refused) and cluster.runs == 1


def make_request(number, kind, request_class, work_s=0.5):
    body = json.dumps({"order": f"{kind}{number}", "work_s": work_s}).encode()
    return make_order(number)._replace(
        kind=kind,
        request_class=request_class,
        idempotent=True,
        key="",
        body=body,
        timeout_s=2.0 if request_class is RequestClass.URGENT else 600.0,
    )


async def test_urgent_never_waits_behind_batch():
    cluster = Cluster()
    gateway = cluster.make_gateway(limit=400)
    batch = [
        start(gateway, make_request(n, "blend", RequestClass.BATCH)) for n in range(200)
    ]
    await cluster.clock.advance(0.1)
    urgent = []
    for number in range(20):
        request = make_request(number, "quote", RequestClass.URGENT, 0.05)
        urgent.append(start(gateway, request))
        await cluster.clock.advance(0.1)
    outcomes = [await cluster.finish(task) for task in urgent]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)
    assert sum(task.done() for task in batch) < 200
    outcomes = [await cluster.finish(task) for task in batch]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)


async def test_batch_finishes_under_constant_standard_load():
    cluster = Cluster()
    gateway = cluster.make_gateway(limit=400)
    batch = [
        start(gateway, make_request(n, "blend", RequestClass.BATCH)) for n in range(10)
    ]
    for step in range(400):
        if all(task.done() for task in batch):
            break
        while gateway._queue.size < 60:
            start(
                gateway,
                make_request(step, "forecast", RequestClass.STANDARD, 0.2),
            )
            await asyncio.sleep(0)
        await cluster.clock.advance(0.1)
    assert all(task.done() for task in batch)


async def test_workspaces_share_slots_by_weight():
    cluster = Cluster()
    gateway = cluster.make_gateway(limit=600)
    done = {"cafes": 0, "depots": 0}

    async def run(number, workspace):
        request = make_request(number, "forecast", RequestClass.STANDARD, 0.2)
        await gateway.dispatch(request._replace(workspace=workspace))
        done[workspace] += 1

    flood = [asyncio.ensure_future(run(n, "cafes")) for n in range(300)]
    await cluster.clock.advance(0.1)
    few = [asyncio.ensure_future(run(n, "depots")) for n in range(40)]
    for task in few:
        await cluster.finish(task)
    assert done["cafes"] <= 120, "the flood was served before the other workspace"
    for task in flood:
        await cluster.finish(task)


async def test_request_that_cannot_meet_its_deadline_is_refused_unsent():
    cluster = Cluster()
    gateway = cluster.make_gateway(limit=400)
    await cluster.finish(
        start(gateway, make_request(0, "forecast", RequestClass.STANDARD, 1.0))
    )
    flood = [
        start(gateway, make_request(n, "forecast", RequestClass.STANDARD, 1.0))
        for n in range(200)
    ]
    await cluster.clock.advance(0.1)
    runs = cluster.runs
    hurried = make_request(1, "forecast", RequestClass.STANDARD, 1.0)
    outcome = await cluster.finish(start(gateway, hurried._replace(timeout_s=1.5)))
    assert isinstance(outcome, Refused) and cluster.runs == runs
    for task in flood:
        task.cancel()


async def test_batch_flood_causes_no_refusal_of_standard_request():
    cluster = Cluster()
    gateway = cluster.make_gateway(limit=50)
    flood = [
        start(gateway, make_request(n, "blend", RequestClass.BATCH)) for n in range(200)
    ]
    await cluster.clock.advance(0.05)
    assert any(task.done() for task in flood), "the flood did not fill the queue"
    request = make_request(0, "forecast", RequestClass.STANDARD, 0.1)
    outcome = await cluster.finish(start(gateway, request))
    assert isinstance(outcome, Answered)
    for task in flood:
        await cluster.finish(task)


async def test_full_queue_refuses_immediately():
    cluster = Cluster()
    gateway = cluster.make_gateway(limit=20)
    tasks = [
        start(gateway, make_request(n, "blend", RequestClass.BATCH)) for n in range(100)
    ]
    await cluster.clock.advance(0.05)
    refused = [t for t in tasks if t.done() and isinstance(t.result(), Refused)]
    assert len(refused) >= 60
    for task in tasks:
        outcome = await cluster.finish(task)
        assert not isinstance(outcome, UnknownOutcome)
