"""Client of the machine service against its stand-in, and decoding of waves."""

from __future__ import annotations

import json

import pytest
from aiohttp import web
from result import Err, Ok

from chiveledge.clock import SystemClock
from chiveledge.platform._advice import PlatformAdvice
from chiveledge.platform._machines import PlatformMachines, decode_wave
from chiveledge.services import ConnectionPool, HttpCaller, Unsettled
from chiveledge.services.machines import (
    Machine,
    MachineState,
    UpkeepOrder,
    UpkeepRefusal,
    UpkeepRefused,
    Wave,
)
from standins.deployment import serve
from standins.machines import MemoryMachines, make_machines_app
from standins.simulated_task import StandInTask
from standins.task_worker import MemoryTaskWorker
from tests.platform.test_workers import ENTRY


@pytest.fixture
async def machines():
    """Stand-in of the machine service, and the client of its HTTP server."""
    clock = SystemClock()
    workers = [
        MemoryTaskWorker(
            ENTRY._replace(name=f"i-{number}"), clock, lambda _: StandInTask()
        )
        for number in range(3)
    ]
    fake = MemoryMachines(workers, clock, upkeep_s=30.0)
    runner, address = await serve(make_machines_app(fake))
    pool = ConnectionPool()
    yield fake, PlatformMachines(HttpCaller(pool, f"http://{address}"))
    await pool.close()
    await runner.cleanup()


async def test_pages_that_repeat_are_an_error():
    """A token that leads back to its own page was followed for ever."""

    async def handle(request):
        return web.json_response({"machines": [], "next_token": "t"})

    app = web.Application()
    app.router.add_get("/machines", handle)
    runner, address = await serve(app)
    pool = ConnectionPool()
    client = PlatformMachines(HttpCaller(pool, f"http://{address}"))
    assert isinstance((await client.list_machines()).err(), Unsettled)
    await pool.close()
    await runner.cleanup()


@pytest.mark.parametrize(
    "body",
    [
        "[" * 4000,
        '{"good":[["w1","t1"]]}',
        f'{{"good":[["w1","t1"]],"valid_ms":{10**400}}}',
        '{"good":[["w1"]],"valid_ms":1}',
        '{"good":5,"valid_ms":1}',
        "[]",
    ],
)
async def test_malformed_advice_is_an_error(body):
    """It raised in the task that requests tickets, which ended the leader's term."""

    async def handle(request):
        return web.Response(text=body)

    app = web.Application()
    app.router.add_post("/advise", handle)
    runner, address = await serve(app)
    pool = ConnectionPool()
    client = PlatformAdvice(HttpCaller(pool, f"http://{address}"))
    result = await client.fetch_tickets("j.0.0", ("w1",))
    assert isinstance(result.err(), Unsettled)
    await pool.close()
    await runner.cleanup()


def make_order(machine: str, wave: int = 1) -> UpkeepOrder:
    return UpkeepOrder(machine, wave, "n1", 7)


async def test_all_pages_are_read(machines):
    _, client = machines
    rows = (await client.list_machines()).unwrap()
    assert rows[2] == Machine("m-i-2", MachineState.UP, "i-2")
    assert len(rows) == 3


async def test_order_has_holder_and_fence_and_may_be_repeated(machines):
    fake, client = machines
    assert await client.begin_upkeep(make_order("m-i-0")) == Ok(None)
    assert await client.begin_upkeep(make_order("m-i-0")) == Ok(None)
    assert [upkeep.order for upkeep in fake.upkeeps] == [make_order("m-i-0")]


@pytest.mark.parametrize(
    "machine,wave,reason",
    [
        ("m-i-0", 2, UpkeepRefusal.BUSY),
        ("m-i-9", 1, UpkeepRefusal.UNKNOWN_MACHINE),
    ],
)
async def test_refusal_has_its_reason(machines, machine, wave, reason):
    _, client = machines
    await client.begin_upkeep(make_order("m-i-0"))
    refused = await client.begin_upkeep(make_order(machine, wave))
    assert refused == Err(UpkeepRefused(reason))


async def test_lost_reply_is_unsettled(machines):
    fake, client = machines
    fake.lose_replies = 1
    result = await client.begin_upkeep(make_order("m-i-1"))
    assert isinstance(result.err(), Unsettled)
    assert len(fake.upkeeps) == 1


def test_wave_is_decoded():
    row = {"wave": 3, "machines": ["m1", "m2"], "within_s": 20, "cap": 2, "new": 1}
    assert decode_wave(json.dumps(row)) == Ok(Wave(3, ("m1", "m2"), 20.0, 2))


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "{}",
        '{"wave":1,"machines":5,"within_s":1,"cap":1}',
        "null",
        "[" * 4000,
        '{"wave":1e999,"machines":[],"within_s":1,"cap":1}',
        f'{{"wave":1,"machines":[],"within_s":{10**400},"cap":1}}',
    ],
)
def test_invalid_wave_is_an_error(text):
    assert decode_wave(text).is_err()
