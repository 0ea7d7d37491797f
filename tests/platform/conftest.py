"""The platform's stand-in on loopback ports."""

from __future__ import annotations

import pytest
from aiohttp import web

from chiveledge.clock import SystemClock
from chiveledge.metrics import Metrics
from chiveledge.platform._store import PlatformStore
from chiveledge.services import HttpCaller, SessionPool
from standins.platform import StoreStandIn


async def serve(app: web.Application) -> tuple[web.AppRunner, str]:
    """Listen on a free port; return the runner and the address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = site._server.sockets[0].getsockname()[:2]
    return runner, f"{host}:{port}"


@pytest.fixture
async def stand_in():
    """The store's stand-in and its address."""
    store = StoreStandIn(SystemClock())
    runner, store.address = await serve(store.make_app())
    yield store
    await runner.cleanup()


@pytest.fixture
async def platform_store(stand_in):
    """The adapter's client of the stand-in."""
    pools = (SessionPool(), SessionPool())
    url = f"http://{stand_in.address}"
    callers = [HttpCaller(pool, url, metrics=Metrics()) for pool in pools]
    yield PlatformStore(*callers, SystemClock())
    for pool in pools:
        await pool.close()
