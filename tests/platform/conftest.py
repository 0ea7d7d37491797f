"""Fixtures with the store's stand-in on a loopback port."""

from __future__ import annotations

import pytest

from chiveledge.clock import SystemClock
from chiveledge.metrics import Metrics
from chiveledge.platform._store import PlatformStore
from chiveledge.services import ConnectionPool, HttpCaller
from standins.deployment import serve
from standins.platform import StoreStandIn


@pytest.fixture
async def stand_in():
    """Stand-in of the store, with its address."""
    store = StoreStandIn(SystemClock())
    runner, store.address = await serve(store.make_app())
    yield store
    await runner.cleanup()


@pytest.fixture
async def platform_store(stand_in):
    """Client of the store's stand-in."""
    pools = (ConnectionPool(), ConnectionPool())
    url = f"http://{stand_in.address}"
    callers = [HttpCaller(pool, url, metrics=Metrics()) for pool in pools]
    yield PlatformStore(*callers, SystemClock())
    for pool in pools:
        await pool.close()
