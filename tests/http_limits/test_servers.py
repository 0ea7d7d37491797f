"""Servers within a budget: what clients see, what the log says, how bodies are read."""

from __future__ import annotations

import asyncio
import gc
import socket

import aiohttp
import pytest
from aiohttp import web
from result import Err, Ok

from chiveledge.clock import ManualClock
from chiveledge.http_limits import (
    BodyLost,
    BodyTooLarge,
    BodyTooLate,
    ClientServers,
    HostResources,
    RequestLimits,
    _handler,
    read_body,
)
from chiveledge.metrics import Metrics

BODY_LIMIT = 50_000
TIMEOUT_S = 3.0


class ListLog:
    def __init__(self):
        self.lines = []

    def write(self, part, event, **fields):
        self.lines.append((part, event, fields))


class Server:
    """A server in the event loop of the test, whose clock stands still."""

    def __init__(self):
        self.clock = ManualClock()
        self.log = ListLog()
        self.metrics = Metrics()
        self.bodies = []
        self.servers = ClientServers(
            HostResources(200, 4100), self.clock, self.log, self.metrics
        )

    async def start(self):
        runner = web.ServerRunner(web.Server(self.handle), shutdown_timeout=0.1)
        self.server = await self.servers.serve(runner, "127.0.0.1", 0, "api", 1.0)
        self.port = self.server.port
        self.sweeping = asyncio.create_task(self.servers.run())

    async def handle(self, request):
        match await read_body(request, BODY_LIMIT, self.clock, TIMEOUT_S):
            case Ok(body):
                self.bodies.append(body)
                return web.Response(text="ok")
            case Err(BodyTooLarge()):
                return web.Response(status=413)
            case Err(BodyTooLate()):
                return web.Response(status=408)
            case Err(BodyLost()):
                return web.Response(status=400)
        raise AssertionError("unreachable")

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def settle(self):
        """Let bytes on loopback arrive and be read."""
        for _ in range(20):
            await asyncio.sleep(0.002)

    @property
    def held_bytes(self):
        return self.servers.budget.held_bytes

    async def close(self):
        self.sweeping.cancel()
        await self.server.cleanup()


@pytest.fixture
async def server():
    server = Server()
    await server.start()
    yield server
    await server.close()


async def read_status(reader):
    line = await reader.readline()
    while await reader.readline() not in (b"\r\n", b""):
        pass
    return int(line.split()[1])


async def test_chunks_are_merged_as_they_arrive(server):
    reader, writer = await server.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(10):
        writer.write(b"1\r\nx\r\n" * 1000)
        await writer.drain()
        await server.settle()
    assert server.held_bytes < 50_000
    writer.write(b"0\r\n\r\n")
    assert await read_status(reader) == 200
    assert server.bodies == [b"x" * 10_000]
    await server.settle()
    assert server.held_bytes == 0
    writer.close()


@pytest.mark.parametrize(
    "head", [b"Content-Length: 60000", b"Transfer-Encoding: chunked"]
)
async def test_too_large_body_is_refused(server, head):
    reader, writer = await server.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n\r\n")
    writer.write(b"ea60\r\n" + b"x" * 60_000 + b"\r\n")
    assert await read_status(reader) == 413
    writer.close()


async def test_body_that_is_late_is_refused(server):
    reader, writer = await server.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcd")
    await server.settle()
    await server.clock.advance(TIMEOUT_S + 0.1)
    assert await read_status(reader) == 408
    writer.close()


async def test_pipelined_requests_are_served_and_released(server):
    reader, writer = await server.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" * 50)
    for _ in range(50):
        assert await read_status(reader) == 200
        assert await reader.readexactly(2) == b"ok"
    await server.settle()
    assert server.bodies == [b"abc"] * 50
    assert server.held_bytes == 0
    writer.close()


async def test_incomplete_head_is_closed_in_time_and_logged_once(server):
    connections = [await server.connect() for _ in range(3)]
    for _, writer in connections:
        writer.write(b"GET / HT")
    await server.settle()
    await server.clock.advance(RequestLimits().head_s + 2.0)
    for reader, writer in connections:
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
    (line,) = server.log.lines
    assert line[:2] == ("serving", "closed")
    assert line[2]["reason"] == "head_too_slow"
    assert (line[2]["count"], line[2]["bytes"]) == (3, 8)
    name = "client_connections_closed_head_too_slow"
    assert server.metrics.value(name) == 3


async def test_time_of_a_suspended_process_is_not_held_against_clients(server):
    """Bytes that came meanwhile are only read after the process has woken up."""
    reader, writer = await server.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Le")
    await server.settle()
    server.clock.jump(100.0)
    await server.clock.advance(1.0)
    writer.write(b"ngth: 3\r\n\r\nabc")
    assert await read_status(reader) == 200
    writer.close()


async def test_malformed_request_is_refused_and_counted(server, caplog):
    reader, writer = await server.connect()
    writer.write(b"nonsense\r\n\r\n")
    assert await read_status(reader) == 400
    assert server.metrics.value("client_bad_requests") == 1
    assert not caplog.records
    writer.close()


async def test_gone_clients_leave_nothing_behind(server):
    for data in (
        b"",
        b"GET / HT",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab",
    ):
        _, writer = await server.connect()
        writer.write(data)
        await server.settle()
        writer.transport.abort()
        await server.settle()
    assert server.servers.budget.connections == 0
    assert server.held_bytes == 0


async def test_body_that_was_lost_is_freed_at_once(server):
    """An error with its traceback kept the stream, the body and the connection until
    the next full collection of garbage: 195 of 200 MB in a trial, over the budget."""
    gc.collect()
    gc.disable()
    try:
        for _ in range(5):
            _, writer = await server.connect()
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
            await server.settle()
            writer.transport.abort()
            await server.settle()
        streams = [o for o in gc.get_objects() if type(o) is aiohttp.StreamReader]
    finally:
        gc.enable()
    assert streams == []


@pytest.mark.parametrize(
    "parts",
    [
        (b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", b"zz\r\n"),
        (b"Content-Encoding: gzip\r\nContent-Length: 10\r\n\r\n01234", b"56789"),
    ],
)
async def test_body_that_goes_on_malformed_is_refused_at_once(server, caplog, parts):
    """A chunk without a length left its handler waiting until the deadline that the
    client named, and the connection counted as a complete request: never closed."""
    reader, writer = await server.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\n" + parts[0])
    await server.settle()
    writer.write(parts[1])
    assert await read_status(reader) == 400
    await server.settle()
    assert server.servers.budget.connections == 0
    assert server.metrics.value("client_bad_requests") == 1
    assert not caplog.records
    assert server.bodies == []
    writer.close()


async def test_complete_request_is_answered_before_malformed_bytes_behind_it(server):
    """The error of what followed must not end a body that is complete."""
    reader, writer = await server.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na")
    await server.settle()
    writer.write(b"bcnonsense\r\n\r\n")
    assert await read_status(reader) == 200
    assert await reader.readexactly(2) == b"ok"
    assert await read_status(reader) == 400
    assert server.bodies == [b"abc"]
    writer.close()


async def test_connection_is_closed_after_a_request_for_an_upgrade(server):
    """What came after it was parsed uncounted, and handled on a connection that was
    taken for idle."""
    reader, writer = await server.connect()
    upgrade = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket"
    writer.write(upgrade + b"\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 14_000)
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in head.lower()
    assert await reader.read() == b"ok"
    await server.settle()
    assert server.servers.budget.connections == 0
    writer.close()


async def test_head_counts_while_the_body_is_merged(server):
    """Heads of 30 kB with a body of one byte counted as small requests."""
    _, writer = await server.connect()
    head = b"POST / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 30_000
    writer.write(head + b"\r\nContent-Length: 2\r\n\r\nx")
    await server.settle()
    assert server.held_bytes > 30_000
    writer.close()


async def test_body_that_is_read_and_dropped_counts_nothing(server):
    """After a response of 413, a client could fill the budget with what isn't kept."""
    reader, writer = await server.connect()
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n")
    assert await read_status(reader) == 413
    for _ in range(20):
        writer.write(b"x" * 50_000)
        await writer.drain()
        await server.settle()
    assert server.held_bytes < 100_000
    writer.close()


async def test_client_that_never_reads_its_responses_is_closed(server, monkeypatch):
    """Its requests are complete, so that no limit closed it: as many clients as there
    may be connections shut out all others for good."""
    monkeypatch.setattr(_handler, "UNREAD_S", 0.3)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client.connect(("127.0.0.1", server.port))
    client.setblocking(False)
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    async with asyncio.timeout(30.0):
        with pytest.raises(ConnectionError):
            while True:
                try:
                    client.send(request * 100)
                except BlockingIOError:
                    pass
                await asyncio.sleep(0.002)
        await server.settle()
    assert server.servers.budget.connections == 0
    client.close()
