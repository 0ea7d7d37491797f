"""Fixtures that run each contract test against an in-process fake and over HTTP."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import NamedTuple

import aiohttp
import pytest

from chiveledge.services import (
    HostEntry,
    HostRole,
    HttpCaller,
    HttpHostList,
    HttpMinion,
    HttpObjectStore,
    HttpTable,
    HttpWorker,
)
from standins.faults import Faults, serve_app
from standins.hosts import MemoryHosts, make_hosts_app
from standins.minion import MemoryMinion, make_minion_app
from standins.objects import MemoryObjects, make_objects_app
from standins.table import MemoryTable, make_table_app
from standins.worker import MemoryWorker, make_worker_app

CALL_TIMEOUT_S = 5.0
ENTRIES = [
    HostEntry("minion-1", HostRole.MINION, "http://127.0.0.1:1", "honam", "honam-a"),
    HostEntry("worker-1", HostRole.WORKER, "http://127.0.0.1:2", "honam", "honam-a"),
]


class Service(NamedTuple):
    """A client of a service, and the fake that it calls."""

    client: object
    fake: object

    @property
    def faults(self) -> Faults:
        return self.fake.faults


FAKES = {
    "table": (MemoryTable, make_table_app, HttpTable),
    "objects": (MemoryObjects, make_objects_app, HttpObjectStore),
    "hosts": (lambda: MemoryHosts(ENTRIES), make_hosts_app, HttpHostList),
    "worker": (lambda: MemoryWorker("worker-1"), make_worker_app, HttpWorker),
}


@asynccontextmanager
async def open_http(app, connect):
    """Serve an application on a free port and yield a client connected to it."""
    runner = await serve_app(app, "127.0.0.1", 0)
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        yield connect(session, f"http://127.0.0.1:{port}")
    await runner.cleanup()


def make_fixture(name):
    make_fake, make_app, make_client = FAKES[name]

    @pytest.fixture(params=["memory", "http"])
    async def service(request):
        fake = make_fake()
        if request.param == "memory":
            yield Service(fake, fake)
            return

        def connect(session, url):
            return make_client(HttpCaller(session, url, timeout_s=CALL_TIMEOUT_S))

        async with open_http(make_app(fake), connect) as client:
            yield Service(client, fake)

    return service


table = make_fixture("table")
objects = make_fixture("objects")
hosts = make_fixture("hosts")
worker = make_fixture("worker")


@pytest.fixture(params=["memory", "http"])
async def minion(request):
    fake = MemoryMinion("minion-1")
    if request.param == "memory":
        yield Service(fake, fake)
        return
    async with open_http(make_minion_app(fake), HttpMinion) as client:
        yield Service(client, fake)
