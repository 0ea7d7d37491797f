"""At-most-once execution of non-idempotent requests.

The tests kill, freeze or disconnect gateways and repeat the request through others. A
second run, or an outcome that denies a run, would let a caller place an order twice.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from result import Err

from chiveledge.clock import ManualClock
from chiveledge.configuration import ConfigurationReplica, RequestClass
from chiveledge.configuration._change import make_versioned
from chiveledge.events import Timeline
from chiveledge.gateway import Dispatcher, MinionPool, RequestEnvelope, RouterPolicy
from chiveledge.gateway._claims import ClaimStore
from chiveledge.gateway._queue import SlotQueue
from chiveledge.metrics import Metrics
from chiveledge.outcomes import Answered, Reason, Refused, UnknownOutcome
from chiveledge.services import HostEntry, HostRole, Unsettled
from standins.minion import MemoryMinion
from standins.objects import MemoryObjects
from standins.table import MemoryTable
from tests.support import CallInterceptor, InterceptedService, make_document

MINIONS = 3
DEADLINE_S = 4.0
FREEZE_S = 20.0
CALL_NUMBERS = range(1, 4)


class Cluster:
    """In-process table, object store, minions and any number of gateways."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.objects = MemoryObjects(self.clock)
        self.minions = {
            f"minion-{number}": MemoryMinion(f"minion-{number}", self.clock)
            for number in range(MINIONS)
        }

    @property
    def runs(self):
        return sum(sum(minion.runs.values()) for minion in self.minions.values())

    def set_minion_faults(self, fields):
        for minion in self.minions.values():
            minion.faults.set(fields)

    def make_gateway(self, wrap=lambda target: target, limit=64):
        timeline = Timeline("test", self.clock)
        replica = ConfigurationReplica(
            self.table, self.clock, timeline, poll_s=1.0, stale_s=1e9
        )
        replica.apply(make_versioned(1, make_document(), "test"))
        replica.record_peer_revision("peer", 1, 0.0, 0.0)
        pool = MinionPool("honam", RouterPolicy(8, 7), self.clock, timeline)
        pool.set_minions(
            HostEntry(name, HostRole.MINION, name, "honam", "a", "planner")
            for name in self.minions
        )
        queue = SlotQueue(
            self.clock, pool.pick, lambda e: pool.release(e.name), limit=limit
        )
        queue.set_document(make_document())
        table = wrap(self.table)
        claims = ClaimStore(table, self.objects, self.clock, Metrics())
        return Dispatcher(
            replica,
            pool,
            queue,
            claims,
            lambda entry: wrap(self.minions[entry.name]),
            self.clock,
            timeline,
            Metrics(),
        )

    async def finish(self, task, within_s=60.0):
        waited_s = 0.0
        while not task.done():
            assert waited_s <= within_s
            await self.clock.advance(0.05)
            waited_s += 0.05
        return task.result()


def make_order(number=0, key="k1", body=None, size=0):
    body = body or json.dumps({"order": key, "work_s": 0.2, "answer_bytes": size})
    return RequestEnvelope(
        f"request-{number}",
        "cafes",
        "order",
        "planner",
        RequestClass.STANDARD,
        False,
        key,
        DEADLINE_S,
        body.encode(),
    )


def start(gateway, request):
    return asyncio.ensure_future(gateway.dispatch(request))


async def repeat_on_new_gateways(cluster, attempts=3):
    """Repeat the order through new gateways and return the outcomes."""
    outcomes = []
    for number in range(1, attempts + 1):
        gateway = cluster.make_gateway()
        outcomes.append(await cluster.finish(start(gateway, make_order(number))))
        await cluster.clock.advance(1.0)
    return outcomes


def check_outcomes(cluster, outcomes):
    """Check that the request ran at most once and that the outcomes agree."""
    assert cluster.runs <= 1
    for outcome in outcomes:
        if isinstance(outcome, Answered):
            assert cluster.runs == 1
            assert json.loads(json.loads(outcome.body)["echo"])["order"] == "k1"
    bodies = {outcome.body for outcome in outcomes if isinstance(outcome, Answered)}
    assert len(bodies) <= 1


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", CALL_NUMBERS)
async def test_killed_gateway_runs_request_at_most_once(number, after):
    cluster = Cluster()

    async def kill():
        task.cancel()
        await asyncio.sleep(3600)

    gateway = cluster.make_gateway(CallInterceptor(number, after, kill).wrap)
    task = start(gateway, make_order())
    await cluster.clock.advance(2.0)
    outcomes = await repeat_on_new_gateways(cluster)
    check_outcomes(cluster, outcomes)
    first_answer = task.done() and not task.cancelled() and task.exception() is None
    if first_answer:
        check_outcomes(cluster, [task.result()])


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", CALL_NUMBERS)
async def test_gateway_resumed_after_repeats_runs_request_at_most_once(number, after):
    cluster = Cluster()
    interceptor = CallInterceptor(number, after, lambda: cluster.clock.sleep(FREEZE_S))
    task = start(cluster.make_gateway(interceptor.wrap), make_order())
    await cluster.clock.advance(0.5)
    outcomes = await repeat_on_new_gateways(cluster)
    outcomes.append(await cluster.finish(task))
    await cluster.clock.advance(FREEZE_S)
    check_outcomes(cluster, outcomes + await repeat_on_new_gateways(cluster, 1))


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_lost_table_reply_does_not_rerun_request(lost):
    cluster = Cluster()
    cluster.table.faults.set({"lose_replies": lost})
    outcome = await cluster.finish(start(cluster.make_gateway(), make_order()))
    assert isinstance(outcome, Answered)
    check_outcomes(cluster, [outcome, *await repeat_on_new_gateways(cluster)])


async def test_concurrent_repeats_yield_one_answer():
    cluster = Cluster()
    gateways = [cluster.make_gateway() for _ in range(4)]
    tasks = [start(g, make_order(n)) for n, g in enumerate(gateways)]
    outcomes = [await cluster.finish(task) for task in tasks]
    check_outcomes(cluster, outcomes)
    assert sum(isinstance(outcome, Answered) for outcome in outcomes) == 1
    await cluster.clock.advance(1.0)
    for outcome in await repeat_on_new_gateways(cluster):
        assert isinstance(outcome, Answered) and outcome.replayed


@pytest.mark.parametrize("size", [10, 50_000], ids=["row", "object"])
async def test_repeat_returns_stored_answer(size):
    cluster = Cluster()
    order = make_order(size=size)
    first = await cluster.finish(start(cluster.make_gateway(), order))
    await cluster.clock.advance(1.0)
    again = await cluster.finish(start(cluster.make_gateway(), order))
    assert again.replayed and again.body == first.body and cluster.runs == 1


@pytest.mark.parametrize("mode", ["cut", "crossed", "hang"])
async def test_request_with_lost_answer_is_unknown_and_not_rerun(mode):
    cluster = Cluster()
    cluster.set_minion_faults({"mode": mode})
    outcome = await cluster.finish(start(cluster.make_gateway(), make_order()))
    assert isinstance(outcome, UnknownOutcome)
    cluster.set_minion_faults({})
    for repeated in await repeat_on_new_gateways(cluster):
        assert isinstance(repeated, UnknownOutcome)
    assert cluster.runs == 1


async def test_unreachable_minions_cause_refusal_and_repeat_runs():
    cluster = Cluster()
    cluster.set_minion_faults({"down": True})
    outcome = await cluster.finish(start(cluster.make_gateway(), make_order()))
    assert isinstance(outcome, Refused) and cluster.runs == 0
    cluster.set_minion_faults({})
    await cluster.clock.advance(1.0)
    repeated = await repeat_on_new_gateways(cluster, 1)
    assert isinstance(repeated[0], Answered) and cluster.runs == 1


async def test_unavailable_store_causes_refusal_without_run():
    cluster = Cluster()
    cluster.table.faults.set({"down": True})
    outcome = await cluster.finish(start(cluster.make_gateway(), make_order()))
    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.STORE_UNAVAILABLE and cluster.runs == 0


async def test_unsettled_claim_allows_at_most_one_run():
    cluster = Cluster()

    class LostReplies:
        """Executes all calls but loses the replies to commits for 3 s."""

        calls = 0

        async def intercept_call(self, call):
            return await call()

        async def intercept_write(self, name, call):
            reply = await call()
            self.calls += 1
            lost = name == "transact" and cluster.clock.monotonic() < 3.0
            return Err(Unsettled("lost")) if lost else reply

    faults = LostReplies()
    gateway = cluster.make_gateway(
        lambda s: InterceptedService(s, faults) if s is cluster.table else s
    )
    outcome = await cluster.finish(start(gateway, make_order()))
    assert isinstance(outcome, Answered | Refused)
    await cluster.clock.advance(15.0)
    check_outcomes(cluster, [*await repeat_on_new_gateways(cluster)])


async def test_key_reused_for_other_body_is_refused():
    cluster = Cluster()
    await cluster.finish(start(cluster.make_gateway(), make_order()))
    other = make_order(body='{"order": "k1", "pallets": 9}')
    outcome = await cluster.finish(start(cluster.make_gateway(), other))
    assert isinstance(outcome, Refused) and outcome.reason is Reason.BAD_INPUT
    assert cluster.runs == 1
