"""Decoding of worker rows, and orders to a worker's stand-in over HTTP."""

from __future__ import annotations

import asyncio
import json

import pytest
from aiohttp import web
from result import Err

from chiveledge.clock import SystemClock
from chiveledge.decision_log import NullLog
from chiveledge.metrics import Metrics
from chiveledge.platform._workers import (
    MAX_ORDER_CONNECTIONS,
    PlatformWorker,
    WorkerDecoder,
)
from chiveledge.services import Row, Unsettled
from chiveledge.services.task_worker import (
    Declined,
    DeclineReason,
    EndedTask,
    OrderAccepted,
    PollRequest,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from chiveledge.workload import RunEnd, Usage
from standins.deployment import serve
from standins.platform import describe_worker, make_worker_app
from standins.simulated_task import StandInTask
from standins.task_worker import MemoryTaskWorker

ENTRY = WorkerEntry(
    "i-1",
    "pool",
    "10.0.0.1:8080",
    "zone",
    "r1-3",
    frozenset({"a", "r1-3"}),
    Usage(16000, 32768, 8),
    incarnation_ms=1700,
)
START = StartOrder("0011223344556677.0.0.0", 1, "text", 5000, fence=7)


@pytest.fixture
async def worker():
    """Stand-in of a worker, and the client of its HTTP server."""
    task = StandInTask(0.1, Usage(1000, 100, 1))
    fake = MemoryTaskWorker(ENTRY, SystemClock(), lambda _: task)
    runner, address = await serve(make_worker_app(fake))
    client = PlatformWorker(ENTRY._replace(address=address), Metrics())
    yield fake, client
    await client.close()
    await runner.cleanup()


def decode(fields: dict) -> WorkerEntry | None:
    row = Row("servers/i-1", 1, json.dumps(fields), "")
    return WorkerDecoder(NullLog()).decode(row)


def test_entry_is_decoded():
    fake = MemoryTaskWorker(ENTRY, SystemClock(), lambda _: StandInTask())
    assert decode(describe_worker(fake, ENTRY.address)) == ENTRY


@pytest.mark.parametrize(
    "invalid",
    [
        {"state": "resting"},
        {"state": None},
        {"address": 5},
        {"address": "nowhere"},
        {"service": ["pool"]},
        {"capacity": 3},
        {"capacity": {"cpu": "many"}},
        {"labels": [1]},
        {"labels": None},
        {"born": 1.5},
        {"remaining_ms": "soon"},
    ],
)
def test_invalid_entry_is_ignored(invalid):
    fake = MemoryTaskWorker(ENTRY, SystemClock(), lambda _: StandInTask())
    assert decode(describe_worker(fake, ENTRY.address) | invalid) is None


DEEP = "[" * 4000
HUGE = 10**400


@pytest.mark.parametrize(
    "odd",
    [
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:0"},
        {"address": "foreign.example:80"},
        {"address": "10.0.0.1/x:80"},
        {"capacity": {"cpu": HUGE}},
        {"capacity": {"cpu": -1}},
        {"born": HUGE},
        {"remaining_ms": HUGE},
        {"labels": json.loads("[" * 500 + "]" * 500)},
    ],
)
def test_entry_with_value_out_of_range_is_ignored(odd):
    """A number too large or a port out of range raised later, in the leader's tasks."""
    fake = MemoryTaskWorker(ENTRY, SystemClock(), lambda _: StandInTask())
    assert decode(describe_worker(fake, ENTRY.address) | odd) is None


@pytest.mark.parametrize("text", [DEEP, DEEP + "]" * 4000, '{"state":' * 4000, "1e999"])
def test_nested_row_is_ignored(text):
    """One entry that no JSON parser can read ended the term of each leader in turn."""
    assert WorkerDecoder(NullLog()).decode(Row("servers/i", 1, text, "")) is None


@pytest.mark.parametrize("name", ["", "a\r\nX: 1", "\ud800"])
def test_row_whose_name_no_header_can_hold_is_ignored(name):
    fake = MemoryTaskWorker(ENTRY, SystemClock(), lambda _: StandInTask())
    text = json.dumps(describe_worker(fake, ENTRY.address))
    row = Row(f"servers/{name}", 1, text, "")
    assert WorkerDecoder(NullLog()).decode(row) is None


def test_row_without_json_is_ignored():
    assert WorkerDecoder(NullLog()).decode(Row("servers/i", 1, "\x00{", "")) is None


async def test_ended_run_is_reported_until_acknowledged(worker):
    fake, client = worker
    order = START._replace(lease_end_ms=fake.clock_ms + 5000)
    assert isinstance((await client.start(order)).unwrap(), OrderAccepted)
    assert isinstance((await client.start(order)).unwrap(), OrderAccepted)
    report = (await client.poll(PollRequest(7, 0))).unwrap()
    assert (report.running[0].task, report.incarnation_ms) == (START.task, 1700)
    fake.runs[START.task, 1].done_s = 9.0
    report = (await client.poll(PollRequest(7, 0))).unwrap()
    assert [(end.number, end.how) for end in report.ended] == [(1, RunEnd.DONE)]
    report = (await client.poll(PollRequest(7, 1))).unwrap()
    assert report.ended == ()


async def test_report_says_whether_it_lists_all_ends(worker):
    """The ends that a full report leaves out were taken for runs that never started."""
    fake, client = worker
    fake.ended = [
        EndedTask(number, f"j.0.0.{number}", 1, RunEnd.DONE, "")
        for number in range(1, 601)
    ]
    report = (await client.poll(PollRequest(7, 0))).unwrap()
    assert (len(report.ended), report.has_more_ends) == (500, True)
    report = (await client.poll(PollRequest(7, 500))).unwrap()
    assert (len(report.ended), report.has_more_ends) == (100, False)


async def test_run_stopped_before_its_start_does_not_start(worker):
    fake, client = worker
    assert (await client.stop(StopOrder(START.task, 1, 7))).is_ok()
    order = START._replace(lease_end_ms=fake.clock_ms + 5000)
    match await client.start(order):
        case Err(Declined(reason)):
            assert reason is DeclineReason.OLD_RUN
        case other:
            raise AssertionError(other)


@pytest.mark.parametrize(
    "change,reason",
    [
        ({"fence": 6}, DeclineReason.FENCE),
        ({"lease_end_ms": 0}, DeclineReason.LEASE_EXPIRED),
    ],
)
async def test_declined_start_has_its_reason(worker, change, reason):
    fake, client = worker
    fake.fence = 7
    order = START._replace(lease_end_ms=fake.clock_ms + 5000)
    match await client.start(order._replace(**change)):
        case Err(Declined(found)):
            assert found is reason
        case other:
            raise AssertionError(other)


async def test_order_for_another_incarnation_is_declined(worker):
    fake, client = worker
    fake.entry = ENTRY._replace(name="i-2")
    match await client.poll(PollRequest(7, 0)):
        case Err(Declined(reason)):
            assert reason is DeclineReason.OTHER_LIFE
        case other:
            raise AssertionError(other)


async def test_order_with_lost_reply_is_unsettled(worker):
    fake, client = worker
    fake.faults.lose_replies = 1
    order = START._replace(lease_end_ms=fake.clock_ms + 5000)
    match await client.start(order):
        case Err(Unsettled()):
            pass
        case other:
            raise AssertionError(other)
    await client.start(order)
    assert len(fake.faults.started) == 1


BAD_REPORTS = [
    b"",
    b"null",
    b"[]",
    b'"x"',
    b"{",
    b"{}",
    b'{"clock_ms":"x"}',
    b'{"clock_ms":1,"born":"x"}',
    b'{"clock_ms":1,"running":5}',
    b'{"clock_ms":1,"running":[1]}',
    b'{"clock_ms":1,"running":[["t"]]}',
    b'{"clock_ms":1,"running":[["t","1","",5]]}',
    b'{"clock_ms":1,"running":[[["t"],1,"",5]]}',
    b'{"clock_ms":1,"running":[["t",1,"","5"]]}',
    b'{"clock_ms":1,"running":[["t",1,7,5]]}',
    b'{"clock_ms":1,"ended":[["1","t",1,"done",""]]}',
    b'{"clock_ms":1,"ended":[[1,"t",1,"melted",""]]}',
    b'{"clock_ms":1,"ended":[[1,"t",1,"done",null]]}',
    b'{"clock_ms":1,"ended":{"a":1}}',
    # Values that raised in the tasks of the leader, which ended its term.
    DEEP.encode(),
    b'{"clock_ms":%d}' % HUGE,
    b'{"clock_ms":1,"born":%d}' % HUGE,
    b'{"clock_ms":1,"running":[["t",1,"",%d]]}' % HUGE,
    b'{"clock_ms":1,"running":[["t",1,"",NaN]]}',
    b'{"clock_ms":1,"running":[["t",1,"",1e999]]}',
    b'{"clock_ms":1,"running":[["t",%d,"",5]]}' % HUGE,
    b'{"clock_ms":1,"ended":[[%d,"t",1,"done",""]]}' % HUGE,
    b'{"clock_ms":1,"ended":[[-1,"t",1,"done",""]]}',
]

BAD_ORDER_ANSWERS = [
    b"[]",
    b'"x"',
    b"{",
    b'{"clock_ms":"x"}',
    b'{"clock_ms":[]}',
    DEEP.encode(),
    b'{"clock_ms":%d}' % HUGE,
]


async def answer_with(status, body):
    """Return a client of a worker that always sends this answer, and its runner."""

    async def handle(request):
        return web.Response(status=status, body=body)

    app = web.Application()
    app.router.add_post("/{any}", handle)
    runner, address = await serve(app)
    return PlatformWorker(ENTRY._replace(address=address), Metrics()), runner


@pytest.mark.parametrize("body", BAD_REPORTS)
async def test_malformed_report_is_unsettled(body):
    client, runner = await answer_with(200, body)
    reply = await client.poll(PollRequest(1, 0, None, 0.0))
    assert isinstance(reply.unwrap_err(), Unsettled)
    await client.close()
    await runner.cleanup()


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("body", BAD_ORDER_ANSWERS)
async def test_malformed_answer_to_order_is_unsettled(status, body):
    client, runner = await answer_with(status, body)
    reply = await client.start(START)
    assert isinstance(reply.unwrap_err(), Unsettled)
    await client.close()
    await runner.cleanup()


async def test_poll_is_not_held_up_by_orders_that_wait_for_answers():
    """Its acknowledgement reached the next incarnation, some seconds after its time."""
    task = StandInTask(0.1, Usage(1000, 100, 1))
    fake = MemoryTaskWorker(ENTRY, SystemClock(), lambda _: task)
    app = make_worker_app(fake)
    may_answer = asyncio.Event()

    @web.middleware
    async def hold_orders(request, handler):
        if request.path == "/run-start":
            await may_answer.wait()
        return await handler(request)

    app.middlewares.append(hold_orders)
    runner, address = await serve(app)
    client = PlatformWorker(ENTRY._replace(address=address), Metrics())
    orders = [
        asyncio.create_task(client.start(START._replace(task=f"a.0.0.{number}")))
        for number in range(3 * MAX_ORDER_CONNECTIONS)
    ]
    await asyncio.sleep(0)
    report = await client.poll(PollRequest(7, 0))
    assert report.is_ok()
    assert not any(order.done() for order in orders)
    may_answer.set()
    await asyncio.gather(*orders)


@pytest.mark.parametrize("status", [404, 500, 502, 504])
async def test_status_that_the_protocol_does_not_define_leaves_an_order_unsettled(
    status,
):
    # A 404 was taken to prove that the worker had not carried out the order.
    client, runner = await answer_with(status, b"{}")
    reply = await client.start(START)
    assert isinstance(reply.unwrap_err(), Unsettled)
    await client.close()
    await runner.cleanup()
