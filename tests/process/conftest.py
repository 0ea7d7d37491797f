"""Runs processes of the project and stand-ins in the event loop of the test."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest

from chiveledge.process import Process
from chiveledge.services import HostEntry, HostRole
from chiveledge.settings import ProcessSettings
from standins.faults import serve_app
from standins.hosts import MemoryHosts, make_hosts_app
from standins.minion import MemoryMinion, make_minion_app
from standins.objects import MemoryObjects, make_objects_app
from standins.ports import find_free_port
from standins.table import MemoryTable, make_table_app
from standins.worker import MemoryWorker, make_worker_app
from tests.support import REGION, make_document

OPERATOR_TOKEN = "operator-token"
TIMEOUT_S = 30.0


class Deployment:
    """Processes of the project and the stand-ins of their platform."""

    def __init__(self, session):
        self.session = session
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.minions = [MemoryMinion(f"minion-{n}") for n in range(3)]
        self.workers = [MemoryWorker(f"worker-{n}") for n in range(2)]
        self.hosts = MemoryHosts([])
        self.processes = {}
        self._runners = []
        self._tasks = {}
        self._ports = {}
        self._urls = {}

    async def start_platform(self):
        for name, app in (
            ("table", make_table_app(self.table)),
            ("objects", make_objects_app(self.objects)),
            ("hosts", make_hosts_app(self.hosts)),
        ):
            self._urls[name] = await self._serve(app)
        for minion in self.minions:
            url = await self._serve(make_minion_app(minion))
            self.hosts.entries.append(
                HostEntry(minion.name, HostRole.MINION, url, REGION, "a", "planner")
            )
        for worker in self.workers:
            url = await self._serve(make_worker_app(worker))
            entry = HostEntry(worker.name, HostRole.WORKER, url, REGION, "a", "rack")
            entry = entry._replace(accelerators=8, cores=32, memory_mb=65536)
            self.hosts.entries.append(entry)

    async def start(self, name, roles=("gateway", "scheduler"), **timing):
        """Start a process, by default with both roles, and wait until it is healthy."""
        http_port, peer_port = find_free_port(), find_free_port()
        self._ports[name] = http_port
        settings = ProcessSettings.model_validate(
            {
                "host": name,
                "process": "main",
                "roles": roles,
                "region": REGION,
                "domain": "a",
                "http": {"address": "127.0.0.1", "port": http_port},
                "peer": {"address": "127.0.0.1", "port": peer_port},
                "platform": self._urls,
                "operator_token": OPERATOR_TOKEN,
                "regions": [REGION],
                "timing": timing,
            }
        )
        self.hosts.entries.append(
            HostEntry(
                settings.name,
                HostRole.CHIVELEDGE,
                f"127.0.0.1:{peer_port}",
                REGION,
                "a",
            )
        )
        self.hosts.version += 1
        process = Process(settings)
        self.processes[name] = process
        self._tasks[name] = asyncio.create_task(process.run())
        await self.wait_until(lambda: self.returns_ok(name, "/healthz"))

    def url(self, name):
        return f"http://127.0.0.1:{self._ports[name]}"

    async def wait_stopped(self, name):
        await asyncio.wait_for(self._tasks.pop(name), TIMEOUT_S)

    async def call(self, name, method, path, body=None, **headers):
        """Call a process; return status, headers and decoded body."""
        headers = {key.replace("_", "-"): value for key, value in headers.items()}
        data = json.dumps(body) if isinstance(body, dict) else body
        async with self.session.request(
            method, self.url(name) + path, data=data, headers=headers
        ) as response:
            raw = await response.text()
            decoded = json.loads(raw) if raw.startswith(("{", "[")) else raw
            return response.status, response.headers, decoded

    async def operate(self, name, method, path, body=None, **headers):
        """Call a process as an operator."""
        token = f"Bearer {OPERATOR_TOKEN}"
        return await self.call(name, method, path, body, Authorization=token, **headers)

    async def ask(self, name, method, path, body=None, workspace="cafes", **headers):
        """Call a process as a caller of a workspace."""
        token = f"Bearer {workspace}-token"
        return await self.call(
            name,
            method,
            path,
            body,
            Authorization=token,
            Chiveledge_Workspace=workspace,
            **headers,
        )

    async def configure(self, name, document=None, expect=0):
        """Replace the document that has the revision `expect`."""
        text = (document or make_document()).model_dump_json()
        return await self.operate(
            name, "PUT", "/v1/admin/configuration", text, If_Match=str(expect)
        )

    async def returns_ok(self, name, path):
        try:
            status, _, _ = await self.call(name, "GET", path)
        except (aiohttp.ClientError, OSError):
            return False
        return status == 200

    async def wait_until(self, condition):
        """Wait for an asynchronous condition; the timeout only ends a hung test."""
        async with asyncio.timeout(TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.02)

    async def close(self):
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(self, app):
        runner = await serve_app(app, "127.0.0.1", 0)
        self._runners.append(runner)
        return f"http://127.0.0.1:{runner.addresses[0][1]}"


@pytest.fixture
async def deployment():
    async with aiohttp.ClientSession() as session:
        running = Deployment(session)
        await running.start_platform()
        yield running
        await running.close()
