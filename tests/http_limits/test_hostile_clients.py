"""Processes in front of clients that send without end or stop short of the end.

In a trial such clients ended a process: it kept all that arrived and ran out of memory.
The crowds and bounds were fixed before the product had any limit. The limits are
lowered in the settings of the process so that a small crowd is enough.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from typing import NamedTuple

import aiohttp
import pytest

from chiveledge.services import HostEntry, HostRole
from standins.deployment import CALLER, Deployment
from standins.faults import serve_app
from standins.hosts import MemoryHosts, make_hosts_app
from standins.minion import MemoryMinion, make_minion_app
from standins.objects import MemoryObjects, make_objects_app
from standins.platform import StoreStandIn
from standins.ports import find_free_port
from standins.table import MemoryTable, make_table_app
from tests.http_limits.crowd import PIECE_BYTES, SAMPLE_S, Crowd, Usage, split
from tests.support import REGION, make_document

MEMORY_MB = 96
"""Stated limit of memory, and the bound that the tests check."""

MAX_FDS = 400
"""Stated limit of descriptors, and the bound that the tests check."""

CONNECTIONS = 200
IDLE_CONNECTIONS = 500
BODY_BYTES = 262_144
SHORT_OF_END_BYTES = 144
SMALL_CHUNKS = 20_000
EMPTY_LINES = 1_000_000
HEADER_LINES = 1_500
STORE_ANSWERS = 3
OPERATOR_TOKEN = "operator-token"
TIMEOUT_S = 30.0

SLOW_MACHINE_S = 20
"""Time bounds of the processes, long enough for any machine that runs the tests.

With the usual ones, a busy machine delays the stand-ins of the store, and ordinary
requests are refused since the configuration may be stale.
"""

LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}


class Listener(NamedTuple):
    """A listener of a running process, and how it is called.

    Attributes
    ----------
    pid : int
        The process.
    address : tuple of str and int
        Where it listens.
    head : bytes
        Request line and headers of a request with a body, without the empty line.
    method, path, headers, body
        An ordinary request.
    store : StoreStandIn, optional
        Store that the process needs for that request.
    """

    pid: int
    address: tuple[str, int]
    head: bytes
    method: str
    path: str
    headers: dict[str, str]
    body: bytes | None
    store: StoreStandIn | None = None


def make_head(path: str, headers: dict[str, str]) -> bytes:
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return "".join(line + "\r\n" for line in lines).encode()


def send_body(head: bytes, sent: int, piece_bytes: int) -> list[bytes]:
    length = f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
    text = b'{"spec": "' + b"x" * (BODY_BYTES - 12) + b'"}'
    return [head + length, *split(text[:sent], piece_bytes)]


def send_chunks(head: bytes, chunks: int, chunk_bytes: int) -> list[bytes]:
    chunk = f"{chunk_bytes:x}\r\n".encode() + b"x" * chunk_bytes + b"\r\n"
    start = head + b"Transfer-Encoding: chunked\r\n\r\n"
    return [start, *split(chunk * chunks, PIECE_BYTES)]


def send_headers(head: bytes, line_bytes: int, lines: int) -> list[bytes]:
    return [head, *[b"X-More: " + b"x" * line_bytes + b"\r\n"] * lines]


def make_pieces(kind: str, head: bytes) -> list[bytes]:
    """Return what each connection of a crowd sends."""
    match kind:
        case "heads over the limit":
            return [*send_headers(head, 4000, HEADER_LINES), b"\r\n"]
        case "heads without end":
            return [head + b"X-More: ", *[b"x" * PIECE_BYTES] * 32]
        case "short header lines without end":
            return send_headers(head, 1, HEADER_LINES)
        case "empty lines without end":
            return split(b"\r\n" * EMPTY_LINES, PIECE_BYTES)
        case "whole bodies":
            return send_body(head, BODY_BYTES, BODY_BYTES)
        case "bodies that stop short":
            return send_body(head, BODY_BYTES - SHORT_OF_END_BYTES, BODY_BYTES)
        case "bodies in pieces that stop short":
            return send_body(head, BODY_BYTES - SHORT_OF_END_BYTES, 4096)
        case "large chunks that stop short":
            return send_chunks(head, 4, PIECE_BYTES - 64)
        case "small chunks that stop short":
            return send_chunks(head, SMALL_CHUNKS, 1)
        case "a second body behind a request":
            first = head + b"Content-Length: 2\r\n\r\n{}"
            return [first + first, *send_body(head, BODY_BYTES - 1, BODY_BYTES)]
    raise AssertionError(kind)


HEADS = ["heads over the limit", "heads without end", "short header lines without end"]
BODIES = [
    "whole bodies",
    "bodies that stop short",
    "bodies in pieces that stop short",
    "large chunks that stop short",
    "small chunks that stop short",
    "a second body behind a request",
]
KINDS = [*HEADS, "empty lines without end", *BODIES]
FEW_KINDS = [BODIES[1], BODIES[4]]


def count_connections(kind: str) -> int:
    return 8 if kind == "empty lines without end" else CONNECTIONS


async def call(listener: Listener) -> int:
    """Send one ordinary request on a connection of its own; return its status."""
    url = f"http://{listener.address[0]}:{listener.address[1]}{listener.path}"
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.request(
            listener.method, url, data=listener.body, headers=listener.headers
        ) as response:
            await response.read()
            return response.status


async def wait_for_store(store: StoreStandIn) -> None:
    """Wait until the stand-in answers again.

    It shares the event loop of the test, so a crowd that connects on a busy machine
    delays its answers, and the process refuses submissions until it gets one.
    """
    enough = store.answered + STORE_ANSWERS
    deadline_s = asyncio.get_running_loop().time() + TIMEOUT_S
    while store.answered < enough and asyncio.get_running_loop().time() < deadline_s:
        await asyncio.sleep(SAMPLE_S)


async def check_crowd(
    listener: Listener, pieces: list[bytes], connections: int, served: set[int]
) -> None:
    """Check the process and one ordinary request while a crowd stays connected."""
    usage = Usage(listener.pid)
    crowd = Crowd(listener.address)
    sampling = asyncio.create_task(usage.sample_for_ever())
    try:
        await crowd.send(connections, pieces)
        await usage.sample_until_steady()
        if listener.store is not None:
            await wait_for_store(listener.store)
        status = await call(listener)
        usage.sample()
    finally:
        sampling.cancel()
        await asyncio.gather(sampling, return_exceptions=True)
        await crowd.close()
    print(f"resident {usage.resident_mb:.0f} MB, {usage.descriptors} descriptors")
    assert status in served
    assert usage.resident_mb < MEMORY_MB
    assert usage.descriptors < MAX_FDS
    assert os.path.exists(f"/proc/{listener.pid}/fd/0")


class PlatformProcess:
    """A process of the platform, launched with lowered limits."""

    def __init__(self, deployment: Deployment, ports: dict[str, int]) -> None:
        self.deployment = deployment
        self._ports = ports

    def find_listener(self, name: str) -> Listener:
        pid = self.deployment.processes["n1"].pid
        address = ("127.0.0.1", self._ports[name])
        head = make_head("/q/00000000000000a1", CALLER)
        if name in ("ready", "metrics"):
            return Listener(pid, address, head, "GET", f"/{name}", {}, None)
        step = {"count": 1, "cpu": 1, "estimate_ms": 1}
        body = json.dumps({"spec": "x", "steps": [step]}).encode()
        headers = CALLER | {"X-Deadline-Ms": str(SLOW_MACHINE_S * 1000)}
        head = make_head("/q/00000000000000a1", headers)
        if name == "peers":
            headers |= {"X-Relayed-By": "n2", "X-Revision": "1"}
            head = make_head("/q/00000000000000a1", headers)
        path = "/q/00000000000000b1"
        store = self.deployment.store
        return Listener(pid, address, head, "POST", path, headers, body, store)


@pytest.fixture
async def platform(tmp_path):
    """A process with lowered limits, that serves."""
    deployment = Deployment(tmp_path)
    await deployment.start()
    path = tmp_path / "n1.json"
    names = ("front", "ready", "peers", "metrics")
    ports = {name: find_free_port() for name in names}
    settings = {
        "node": "n1",
        "zone": "z",
        "ip": "127.0.0.1",
        "listen": {name: f"127.0.0.1:{ports[name]}" for name in ("front", "ready")},
        "port_range": [ports["peers"], ports["metrics"]],
        "platform": {"address": deployment._address, "form": "table"},
        "bounds": {"grace_s": 4, "config_apply_ms": SLOW_MACHINE_S * 1000},
        "limits": LIMITS,
    }
    path.write_text(json.dumps(settings))
    deployment._ports["n1"] = ports["front"]
    with (tmp_path / "n1.log").open("ab") as log:
        deployment.processes["n1"] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chiveledge.platform",
            env=os.environ | {"CHIVELEDGE_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
    await deployment.call_until("n1", "GET", "/q/", lambda status, _: status == 200)
    yield PlatformProcess(deployment, ports)
    await deployment.close()


@pytest.mark.parametrize("kind", KINDS)
async def test_callers_listener(platform, kind):
    listener = platform.find_listener("front")
    pieces = make_pieces(kind, listener.head)
    await check_crowd(listener, pieces, count_connections(kind), {200})


@pytest.mark.parametrize("kind", FEW_KINDS)
@pytest.mark.parametrize("name", ["peers", "ready", "metrics"])
async def test_other_listeners(platform, name, kind):
    listener = platform.find_listener(name)
    pieces = make_pieces(kind, listener.head)
    await check_crowd(listener, pieces, count_connections(kind), {200})


async def test_crowd_of_callers_leaves_room_for_forwarded_requests(platform):
    front = platform.find_listener("front")
    crowd = Crowd(front.address)
    await crowd.send(CONNECTIONS, make_pieces("bodies that stop short", front.head))
    await check_crowd(platform.find_listener("peers"), [], 0, {200})
    await crowd.close()


async def test_idle_connections(platform):
    for name in ("front", "peers", "ready", "metrics"):
        listener = platform.find_listener(name)
        await check_crowd(listener, [], IDLE_CONNECTIONS, {200})


ORDINARY_CONNECTIONS = 60
SLOW_PIECES = 20
SLOW_PAUSE_S = 0.02


def make_largest_requests(listener: Listener) -> dict[str, list[bytes]]:
    """Return requests at the limits of the pages, as they are sent."""
    body = listener.body + b" " * (BODY_BYTES - len(listener.body))
    length = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    heads = [listener.head.replace(b"a1 ", b"c%d " % n) for n in range(4)]
    field = b"X-More: " + b"x" * (16_384 - len(heads[3]) - 50) + b"\r\n"
    return {
        "at once": [heads[0] + length + body],
        "slowly": [heads[1] + length, *split(body, BODY_BYTES // SLOW_PIECES)],
        "in small chunks": [heads[2] + chunked, *split(chunks, PIECE_BYTES)],
        "with a long head": [heads[3] + field + length, body],
    }


async def send_one(listener: Listener, pieces: list[bytes], pause_s: float) -> bytes:
    """Send a request in pieces; return the first line of the response."""
    reader, writer = await asyncio.open_connection(*listener.address)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause_s)
    line = await reader.readline()
    writer.close()
    return line


@pytest.mark.parametrize("name", ["front", "peers"])
async def test_largest_legal_requests_are_served_beside_ordinary_connections(
    platform, name
):
    """Limits that turn away who stays inside the pages' limits break the pages."""
    listener = platform.find_listener(name)
    crowd = Crowd(platform.find_listener("front").address)
    request = b"GET /q/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n\r\n"
    await crowd.send(ORDINARY_CONNECTIONS, [request])
    requests = make_largest_requests(listener)
    for pieces in requests.values():
        pause_s = SLOW_PAUSE_S if pieces is requests["slowly"] else 0.0
        line = await send_one(listener, pieces, pause_s)
        assert line.startswith(b"HTTP/1.1 200")
    await crowd.close()


class OwnProcess:
    """A process of the product with its own interface, and its stand-ins."""

    def __init__(self, folder) -> None:
        self._folder = folder
        self._runners = []
        self.process = None
        self.http_port = find_free_port()
        self.peer_port = find_free_port()

    @property
    def listener(self) -> Listener:
        address = ("127.0.0.1", self.http_port)
        headers = {
            "Host": "127.0.0.1",
            "Authorization": "Bearer cafes-token",
            "Chiveledge-Workspace": "cafes",
            "Chiveledge-Deadline-Ms": str(SLOW_MACHINE_S * 1000),
        }
        head = make_head("/v1/requests/forecast", headers)
        path = "/v1/requests/forecast"
        return Listener(
            self.process.pid, address, head, "POST", path, headers, b"order"
        )

    async def start(self) -> None:
        urls = {}
        hosts = MemoryHosts([])
        for name, app in (
            ("table", make_table_app(MemoryTable())),
            ("objects", make_objects_app(MemoryObjects())),
            ("hosts", make_hosts_app(hosts)),
            ("minion", make_minion_app(MemoryMinion("minion-0"))),
        ):
            urls[name] = await self._serve(app)
        url = urls.pop("minion")
        minion = HostEntry("minion-0", HostRole.MINION, url, REGION, "a", "planner")
        peer = f"127.0.0.1:{self.peer_port}"
        own = HostEntry("h1/main", HostRole.CHIVELEDGE, peer, REGION, "a")
        hosts.entries.extend([minion, own])
        hosts.version += 1
        path = self._folder / "settings.json5"
        path.write_text(json.dumps(self._make_settings(urls)))
        with (self._folder / "own.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chiveledge",
                "run",
                str(path),
                stdout=log,
                stderr=log,
            )
        await self._configure()

    def _make_settings(self, urls: dict[str, str]) -> dict[str, object]:
        return {
            "host": "h1",
            "process": "main",
            "roles": ["gateway", "scheduler"],
            "region": REGION,
            "domain": "a",
            "http": {"address": "127.0.0.1", "port": self.http_port},
            "peer": {"address": "127.0.0.1", "port": self.peer_port},
            "platform": urls | {"timeout_s": SLOW_MACHINE_S / 2},
            "timing": {"configuration_stale_s": SLOW_MACHINE_S},
            "operator_token": OPERATOR_TOKEN,
            "regions": [REGION],
            "limits": {"body_bytes": BODY_BYTES, **LIMITS},
        }

    async def _configure(self) -> None:
        url = f"http://127.0.0.1:{self.http_port}/v1/admin/configuration"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}", "If-Match": "0"}
        text = make_document().model_dump_json()
        async with asyncio.timeout(TIMEOUT_S), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.put(url, data=text, headers=headers) as reply:
                        if reply.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)
            while await call(self.listener) != 200:
                await asyncio.sleep(0.05)

    async def _serve(self, app) -> str:
        runner = await serve_app(app, "127.0.0.1", 0)
        self._runners.append(runner)
        return f"http://127.0.0.1:{runner.addresses[0][1]}"

    async def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for runner in self._runners:
            await runner.cleanup()


@pytest.fixture
async def own(tmp_path):
    process = OwnProcess(tmp_path)
    await process.start()
    yield process
    await process.close()


@pytest.mark.parametrize("kind", [*HEADS[1:], KINDS[3], *BODIES])
async def test_own_interface(own, kind):
    pieces = make_pieces(kind, own.listener.head)
    await check_crowd(own.listener, pieces, count_connections(kind), {200})


async def test_idle_connections_to_own_interface(own):
    await check_crowd(own.listener, [], IDLE_CONNECTIONS, {200})


LINK_BYTES = 1 << 20
"""Bytes of a message of the largest size that each connection of the crowd sends."""

LINK_CROWDS = {
    "unframed bytes": [b"\xff" * PIECE_BYTES] * 8,
    "messages that stop short": [
        (4 << 20).to_bytes(4, "big"),
        *split(b"x" * LINK_BYTES, PIECE_BYTES),
    ],
    "half a length": [b"\x00\x00"],
}


@pytest.mark.parametrize("kind", LINK_CROWDS)
async def test_links_between_processes(own, kind):
    address = ("127.0.0.1", own.peer_port)
    crowd = Crowd(address)
    usage = Usage(own.process.pid)
    sampling = asyncio.create_task(usage.sample_for_ever())
    await crowd.send(CONNECTIONS, LINK_CROWDS[kind])
    await usage.sample_until_steady()
    sampling.cancel()
    await asyncio.gather(sampling, return_exceptions=True)
    await check_crowd(own.listener, [], 0, {200})
    await crowd.close()
    print(f"resident {usage.resident_mb:.0f} MB, {usage.descriptors} descriptors")
    assert usage.resident_mb < MEMORY_MB
    assert usage.descriptors < MAX_FDS


async def test_idle_links_between_processes(own):
    address = ("127.0.0.1", own.peer_port)
    crowd = Crowd(address)
    await crowd.send(IDLE_CONNECTIONS, [])
    await check_crowd(own.listener, [], 0, {200})
    await crowd.close()
