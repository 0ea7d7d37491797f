"""Processes of the system against the stand-in of the users' platform."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from chiveledge.clock import SystemClock
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.workload import Usage
from standins.platform import StoreStandIn, describe_worker, make_worker_app
from standins.task_worker import FleetRecord, MemoryTaskWorker, StandInTask

PATIENCE_S = 30.0
POLL_S = 0.05
WORKER_CAPACITY = Usage(8000, 8000, 4)
CALLER = {"Host": "h.example", "Authorization": "Bearer k1"}

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path_prefix": "/q/",
            "service": "pool",
            "max_attempts": 2,
            "priority": 1,
            "stretch": 3.0,
            "target_runtime_ms": 500,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/urgent/",
            "service": "pool",
            "max_attempts": 2,
            "priority": 0,
            "stretch": 1.5,
            "target_runtime_ms": 500,
        },
    ],
    "services": [{"name": "pool", "enforces_capacity": True}],
    "tenants": [{"name": "t1", "api_keys": ["k1"], "guaranteed": {"gpu": 4}}],
}


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def serve(app: web.Application) -> tuple[web.AppRunner, str]:
    """Listen on a free port; return the runner and the address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = site._server.sockets[0].getsockname()[:2]
    return runner, f"{host}:{port}"


async def _keep_address(name: str, address: str) -> str:
    return address


class Deployment:
    """The store, two workers and any number of processes on this machine.

    Parameters
    ----------
    folder : Path
        Where settings and logs lie.
    wrap : callable, optional
        Returns the address under which a part is to be reached, by its name and its
        real address; a place for faults on the way.
    """

    def __init__(
        self, folder: Path, wrap: Callable[[str, str], Awaitable[str]] | None = None
    ) -> None:
        self.clock = SystemClock()
        self.store = StoreStandIn(self.clock)
        self.record = FleetRecord()
        self.workers: list[MemoryTaskWorker] = []
        self.tasks: dict[str, StandInTask] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._folder = folder
        self._wrap = wrap or _keep_address
        self._store_addresses: dict[str, str] = {}
        self._worker_addresses: dict[str, str] = {}
        self._ports: dict[str, int] = {}
        self._runners: list[web.AppRunner] = []
        self._movers: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the stand-ins and write the first configuration."""
        runner, self._address = await serve(self.store.make_app())
        self._runners.append(runner)
        for number in range(2):
            await self._add_worker(f"i-{number}")
        self.store.write("op/config", CONFIGURATION)

    async def _add_worker(self, name: str) -> None:
        entry = WorkerEntry(
            name,
            "pool",
            "",
            "z",
            "r1",
            frozenset({"a", "r1"}),
            WORKER_CAPACITY,
            incarnation_ms=1,
        )
        worker = MemoryTaskWorker(
            entry, self.clock, self._describe, self.workers, self.record
        )
        self.workers.append(worker)
        runner, address = await serve(make_worker_app(worker))
        self._runners.append(runner)
        self._worker_addresses[name] = await self._wrap(name, address)
        self.publish(worker)
        self._movers.append(asyncio.create_task(worker.run()))

    def publish(self, worker: MemoryTaskWorker) -> None:
        """Write a worker's row as it is now."""
        name = worker.entry.name
        row = describe_worker(worker, self._worker_addresses[name])
        self.store.write(f"servers/{name}", row)

    def url(self, name: str) -> str:
        """Return where a process takes callers' requests."""
        return f"http://127.0.0.1:{self._ports[name]}"

    def _describe(self, task: str) -> StandInTask:
        return self.tasks[task.partition(".")[0]]

    async def launch(self, name: str) -> None:
        """Start a process, or start it again at its address."""
        port = self._ports.setdefault(name, free_port())
        if name not in self._store_addresses:
            self._store_addresses[name] = await self._wrap(
                f"{name}-store", self._address
            )
        settings = {
            "node": name,
            "zone": "z",
            "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{port}"},
            "port_range": [free_port(), free_port()],
            "platform": {"address": self._store_addresses[name], "form": "table"},
            "bounds": {"grace_s": 4},
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        with self._log_path(name).open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chiveledge.platform",
                env=os.environ | {"CHIVELEDGE_BOOT": str(path)},
                stdout=log,
            )

    async def kill(self, name: str) -> None:
        """End a process at once."""
        self.processes[name].kill()
        await self.processes[name].wait()

    def read_events(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of a process."""
        lines = self._log_path(name).read_text().splitlines()
        return [json.loads(line) for line in lines]

    def _log_path(self, name: str) -> Path:
        return self._folder / f"{name}.log"

    async def call(
        self, name: str, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Make a caller's call; status 0 means no answer."""
        url = self.url(name) + path
        data = json.dumps(body) if body else None
        async with aiohttp.ClientSession() as session:
            try:
                async with session.request(
                    method, url, data=data, headers=CALLER
                ) as response:
                    return response.status, await response.json()
            except aiohttp.ClientError:
                return 0, {}

    async def until(
        self,
        name: str,
        method: str,
        path: str,
        wanted: Callable[[int, dict[str, Any]], bool],
        body: object = None,
    ) -> None:
        """Repeat a call until its answer is as wanted."""
        deadline = self.clock.monotonic() + PATIENCE_S
        answer = (0, {})
        while self.clock.monotonic() < deadline:
            answer = await self.call(name, method, path, body)
            if wanted(*answer):
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError(f"{method} {path} at {name}: last answer {answer}")

    async def submit(
        self, name: str, path: str, task: StandInTask, count: int, **fields: object
    ) -> None:
        """Hand a job of one step in, until it is accepted."""
        self.tasks[path.rpartition("/")[2]] = task
        step = {
            "count": count,
            "cpu": task.usage.millicores,
            "gpu": task.usage.accelerators,
            **fields,
        }
        body = {"spec": "x", "steps": [step]}
        await self.until(name, "POST", path, lambda status, _: status == 200, body)

    async def wait_for(self, name: str, path: str, state: str) -> None:
        """Wait until a job shows a state."""
        await self.until(
            name, "GET", path, lambda _, answer: answer.get("state") == state
        )

    def leader(self) -> str:
        """Return the process that leads."""
        value = self.store.table.rows["leadership/all/holder"].value
        return json.loads(base64.b64decode(value).split(b"\n", 1)[1])["holder"]

    def starts(self, path: str) -> int:
        """Return how many starts of a job's tasks the workers carried out."""
        job_id = path.rpartition("/")[2]
        rows = [row for worker in self.workers for row in worker.faults.started]
        return sum(task.startswith(job_id) for _, task, _ in rows)

    async def close(self) -> None:
        """End everything."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for mover in self._movers:
            mover.cancel()
        await asyncio.gather(*self._movers, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
