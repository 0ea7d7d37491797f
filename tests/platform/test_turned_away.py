"""Processes that the store turns away, while it serves the operator."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from standins.deployment import CONFIGURATION, Deployment, serve

CONFIG_APPLY_S = 2.5
"""Time within which a change is in force; the default of the settings."""

ROUTE = CONFIGURATION["routes"][0]
CHANGED = CONFIGURATION | {
    "version": CONFIGURATION["version"] + 1,
    "routes": [ROUTE | {"name": "r3", "path_prefix": "/added/"}],
}
"""Configuration with one queue that is new, and without those that were there."""


class TurningStore:
    """Front of the store that turns away the calls of some processes.

    Attributes
    ----------
    turned_away : set of str
        Names of the processes whose calls are refused.
    """

    def __init__(self) -> None:
        self.turned_away: set[str] = set()
        self.deployment: Deployment | None = None
        self._runners: list[web.AppRunner] = []

    async def map_address(self, name: str, address: str) -> str:
        """Return the address of a front of its own for each process."""
        process, separator, _ = name.partition("-store")
        if not separator:
            return address

        @web.middleware
        async def check(request, handler):
            if process in self.turned_away:
                return web.json_response({}, status=429)
            response = await handler(request)
            # A watch that was open before is refused as well.
            if process in self.turned_away and request.method == "GET":
                return web.json_response({}, status=429)
            return response

        app = self.deployment.store.make_app()
        app.middlewares.append(check)
        runner, front = await serve(app)
        self._runners.append(runner)
        return front

    async def close(self) -> None:
        for runner in self._runners:
            await runner.cleanup()


@pytest.fixture
async def store():
    store = TurningStore()
    yield store
    await store.close()


@pytest.fixture
async def deployment(tmp_path, store):
    deployment = Deployment(tmp_path, store.map_address)
    store.deployment = deployment
    await deployment.start()
    for name in ("n1", "n2"):
        await deployment.launch(name)
    for name in ("n1", "n2"):
        await wait_for_status(deployment, name, "/q/", 200)
    for name in ("n1", "n2"):
        await wait_until_joined(deployment, name)
    yield deployment
    await deployment.close()


async def wait_for_status(deployment, name: str, path: str, expected: int) -> None:
    await deployment.call_until(name, "GET", path, lambda status, _: status == expected)


async def wait_until_joined(deployment, name: str) -> None:
    """Wait until a process has registered itself for its peers."""
    key = f"hosts/{name}"
    while key not in deployment.store.table.rows:
        await asyncio.sleep(0.05)


async def collect_statuses(deployment, path: str, seconds: float) -> set[int]:
    """Return the statuses with which both processes answer during a time."""
    statuses = set()
    end_s = deployment.clock.monotonic() + seconds
    while deployment.clock.monotonic() < end_s:
        for name in ("n1", "n2"):
            status, _ = await deployment.call(name, "GET", path)
            statuses.add(status)
        await asyncio.sleep(0.05)
    return statuses


async def test_processes_without_store_refuse_by_no_old_configuration(
    deployment, store
):
    store.turned_away |= {"n1", "n2"}
    deployment.store.write("op/config", CHANGED)
    await asyncio.sleep(CONFIG_APPLY_S)
    assert await collect_statuses(deployment, "/added/", 1.0) == {503}
    assert await collect_statuses(deployment, "/q/", 1.0) == {503}
    store.turned_away.clear()
    for name in ("n1", "n2"):
        await wait_for_status(deployment, name, "/added/", 200)
        await wait_for_status(deployment, name, "/q/", 404)


async def test_process_without_store_answers_as_its_peer_knows(deployment, store):
    store.turned_away |= {"n1"}
    deployment.store.write("op/config", CHANGED)
    await asyncio.sleep(CONFIG_APPLY_S)
    # On a busy machine the connection to the peer may time out.
    assert await collect_statuses(deployment, "/added/", 1.0) - {503} == {200}
    assert await collect_statuses(deployment, "/q/", 1.0) - {503} == {404}
