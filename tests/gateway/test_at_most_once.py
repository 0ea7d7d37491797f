"""A non-idempotent request runs at most once, whatever happens to its gateways."""

from __future__ import annotations

import asyncio
import json

import pytest
from result import Err

from chiveledge.clock import ManualClock
from chiveledge.configuration import ConfigurationKeeper, RequestClass
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
from tests.support import CallPoint, Wrapped, make_document

MINIONS = 3
DEADLINE_S = 4.0
FREEZE_S = 20.0
POINTS = range(1, 4)


class Service:
    """A table, minions and any number of gateways, in one process."""

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

    def make_gateway(self, wrap=lambda service: service, limit=64):
        timeline = Timeline("test", self.clock)
        keeper = ConfigurationKeeper(
            self.table, self.clock, timeline, poll_s=1.0, stale_s=1e9
        )
        keeper.apply(make_versioned(1, make_document(), "test"))
        keeper.hear("peer", 1, 0.0)
        pool = MinionPool("honam", RouterPolicy(8, 7), self.clock, timeline)
        pool.set_entries(
            HostEntry(name, HostRole.MINION, name, "honam", "a", "planner")
            for name in self.minions
        )
        queue = SlotQueue(
            self.clock, pool.pick, lambda e: pool.cancelled(e.name), limit=limit
        )
        queue.set_document(make_document())
        table = wrap(self.table)
        claims = ClaimStore(table, self.objects, self.clock, Metrics())
        return Dispatcher(
            keeper,
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


async def repeat_elsewhere(service, attempts=3):
    """Repeat the order through other gateways; return the outcomes."""
    outcomes = []
    for number in range(1, attempts + 1):
        gateway = service.make_gateway()
        outcomes.append(await service.finish(start(gateway, make_order(number))))
        await service.clock.advance(1.0)
    return outcomes


def check_outcomes(service, outcomes):
    """At most one run, and no outcome that says otherwise."""
    assert service.runs <= 1
    for outcome in outcomes:
        if isinstance(outcome, Answered):
            assert service.runs == 1
            assert json.loads(json.loads(outcome.body)["echo"])["order"] == "k1"
    bodies = {outcome.body for outcome in outcomes if isinstance(outcome, Answered)}
    assert len(bodies) <= 1


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", POINTS)
async def test_killed_gateway(number, after):
    service = Service()

    async def kill():
        task.cancel()
        await asyncio.sleep(3600)

    gateway = service.make_gateway(CallPoint(number, after, kill).wrap)
    task = start(gateway, make_order())
    await service.clock.advance(2.0)
    outcomes = await repeat_elsewhere(service)
    check_outcomes(service, outcomes)
    first_answer = task.done() and not task.cancelled() and task.exception() is None
    if first_answer:
        check_outcomes(service, [task.result()])


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("number", POINTS)
async def test_frozen_gateway_wakes_after_repeats(number, after):
    service = Service()
    point = CallPoint(number, after, lambda: service.clock.sleep(FREEZE_S))
    task = start(service.make_gateway(point.wrap), make_order())
    await service.clock.advance(0.5)
    outcomes = await repeat_elsewhere(service)
    outcomes.append(await service.finish(task))
    await service.clock.advance(FREEZE_S)
    check_outcomes(service, outcomes + await repeat_elsewhere(service, 1))


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_lost_reply_of_the_store(lost):
    service = Service()
    service.table.faults.set({"lose_replies": lost})
    outcome = await service.finish(start(service.make_gateway(), make_order()))
    assert isinstance(outcome, Answered)
    check_outcomes(service, [outcome, *await repeat_elsewhere(service)])


async def test_repeats_at_the_same_moment():
    service = Service()
    gateways = [service.make_gateway() for _ in range(4)]
    tasks = [start(g, make_order(n)) for n, g in enumerate(gateways)]
    outcomes = [await service.finish(task) for task in tasks]
    check_outcomes(service, outcomes)
    assert sum(isinstance(outcome, Answered) for outcome in outcomes) == 1
    await service.clock.advance(1.0)
    for outcome in await repeat_elsewhere(service):
        assert isinstance(outcome, Answered) and outcome.replayed


@pytest.mark.parametrize("size", [10, 50_000], ids=["row", "object"])
async def test_repeat_gets_the_kept_answer(size):
    service = Service()
    order = make_order(size=size)
    first = await service.finish(start(service.make_gateway(), order))
    await service.clock.advance(1.0)
    again = await service.finish(start(service.make_gateway(), order))
    assert again.replayed and again.body == first.body and service.runs == 1


@pytest.mark.parametrize("mode", ["cut", "crossed", "hang"])
async def test_lost_answer_is_unknown_and_not_run_again(mode):
    service = Service()
    service.set_minion_faults({"mode": mode})
    outcome = await service.finish(start(service.make_gateway(), make_order()))
    assert isinstance(outcome, UnknownOutcome)
    service.set_minion_faults({})
    for repeated in await repeat_elsewhere(service):
        assert isinstance(repeated, UnknownOutcome)
    assert service.runs == 1


async def test_unreached_minions_refuse_and_a_repeat_runs():
    service = Service()
    service.set_minion_faults({"down": True})
    outcome = await service.finish(start(service.make_gateway(), make_order()))
    assert isinstance(outcome, Refused) and service.runs == 0
    service.set_minion_faults({})
    await service.clock.advance(1.0)
    repeated = await repeat_elsewhere(service, 1)
    assert isinstance(repeated[0], Answered) and service.runs == 1


async def test_store_down_refuses_truthfully():
    service = Service()
    service.table.faults.set({"down": True})
    outcome = await service.finish(start(service.make_gateway(), make_order()))
    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.STORE_UNAVAILABLE and service.runs == 0


async def test_claim_unsettled_for_long_is_refused_and_given_back():
    service = Service()

    class Deaf:
        """Commits, but never replies, for the first calls."""

        calls = 0

        async def pass_gate(self, call):
            return await call()

        async def around(self, name, call):
            reply = await call()
            self.calls += 1
            lost = name == "transact" and service.clock.monotonic() < 3.0
            return Err(Unsettled("lost")) if lost else reply

    deaf = Deaf()
    gateway = service.make_gateway(
        lambda s: Wrapped(s, deaf) if s is service.table else s
    )
    outcome = await service.finish(start(gateway, make_order()))
    assert isinstance(outcome, Answered | Refused)
    await service.clock.advance(15.0)
    check_outcomes(service, [*await repeat_elsewhere(service)])


async def test_key_of_another_body_is_refused():
    service = Service()
    await service.finish(start(service.make_gateway(), make_order()))
    other = make_order(body='{"order": "k1", "pallets": 9}')
    outcome = await service.finish(start(service.make_gateway(), other))
    assert isinstance(outcome, Refused) and outcome.reason is Reason.BAD_INPUT
    assert service.runs == 1
