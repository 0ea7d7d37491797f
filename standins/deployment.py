"""Deployment of real processes against the stand-in for the users' platform."""

from __future__ import annotations

import asyncio
import base64
import json
import os
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
from standins.ports import find_free_port
from standins.run_record import FleetRecord
from standins.simulated_task import StandInTask
from standins.task_worker import MemoryTaskWorker

CONDITION_TIMEOUT_S = 30.0
"""Time within which a repeated call must satisfy its condition."""

POLL_PERIOD_S = 0.05

WORKER_RESTART_S = 0.3
"""Time from the crash of a worker until it serves again."""

WORKER_DOMAINS = {"i-0": "z", "i-1": "y"}
"""Failure domain of each worker."""

DRAIN_BOUND_S = 3.0
"""Time after a drain from which no run may begin in the failure domain."""

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


async def serve(app: web.Application) -> tuple[web.AppRunner, str]:
    """Serve `app` on a free port; return its runner and address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = site._server.sockets[0].getsockname()[:2]
    return runner, f"{host}:{port}"


async def _keep_address(name: str, address: str) -> str:
    return address


class Deployment:
    """A store, two workers and any number of processes on this machine.

    Parameters
    ----------
    folder : Path
        Directory for the settings and logs of the processes.
    map_address : callable, optional
        Returns the address at which the processes reach a service, from its name
        and its real address, so that a proxy may inject faults.

    Attributes
    ----------
    record : FleetRecord
        Record of all runs on all workers.
    tasks : dict
        Simulated task of each job ID.
    """

    def __init__(
        self,
        folder: Path,
        map_address: Callable[[str, str], Awaitable[str]] | None = None,
    ) -> None:
        self.clock = SystemClock()
        self.store = StoreStandIn(self.clock)
        self.record = FleetRecord()
        self.workers: list[MemoryTaskWorker] = []
        self.tasks: dict[str, StandInTask] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._folder = folder
        self._map_address = map_address or _keep_address
        self._store_addresses: dict[str, str] = {}
        self._worker_addresses: dict[str, str] = {}
        self._worker_runners: dict[str, web.AppRunner] = {}
        self._ports: dict[str, int] = {}
        self._runners: list[web.AppRunner] = []
        self._worker_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the stand-ins and write the first configuration."""
        runner, self._address = await serve(self.store.make_app())
        self._runners.append(runner)
        for name in WORKER_DOMAINS:
            await self._add_worker(name)
        self.store.write("op/config", CONFIGURATION)

    async def _add_worker(self, name: str) -> None:
        entry = WorkerEntry(
            name,
            "pool",
            "",
            WORKER_DOMAINS[name],
            "r1",
            frozenset({"a", "r1"}),
            WORKER_CAPACITY,
            incarnation_ms=1,
        )
        worker = MemoryTaskWorker(
            entry, self.clock, self._find_task, self.workers, self.record
        )
        self.workers.append(worker)
        self.record.domains[name] = entry.domain
        runner, address = await serve(make_worker_app(worker))
        self._runners.append(runner)
        self._worker_runners[name] = runner
        self._worker_addresses[name] = await self._map_address(name, address)
        self.publish(worker)
        self._worker_tasks.append(asyncio.create_task(worker.run()))

    async def crash_worker(self, number: int) -> None:
        """Crash a worker, with its connections, and start its next incarnation.

        No call that was sent to the crashed incarnation reaches the next one.
        """
        worker = self.workers[number]
        runner = self._worker_runners[worker.entry.name]
        (site,) = runner.sites
        _, port = runner.addresses[0]
        await site.stop()
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        worker.crash(worker.entry.incarnation_ms + 1)
        await asyncio.sleep(WORKER_RESTART_S)
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.publish(worker)

    def publish(self, worker: MemoryTaskWorker, leaves_ms: int | None = None) -> None:
        """Write a worker's row in its present state to the store.

        Parameters
        ----------
        leaves_ms : int, optional
            Time after which a draining worker leaves, as it announces.
        """
        name = worker.entry.name
        row = describe_worker(worker, self._worker_addresses[name])
        if leaves_ms is not None:
            row["remaining_ms"] = leaves_ms
        self.store.write(f"servers/{name}", row)

    def drain(self, domain: str, fields: object) -> None:
        """Drain a failure domain as an operator; `fields` is the value of the row."""
        self.store.write(f"op/evacuate/{domain}", fields)
        self.record.start_drain(domain, self.clock.monotonic())

    def give_back(self, domain: str) -> None:
        """Give a drained failure domain back."""
        self.record.end_drain(domain, self.clock.monotonic())
        self.store.remove(f"op/evacuate/{domain}")

    def url(self, name: str) -> str:
        """Return the base URL at which a process accepts callers' requests."""
        return f"http://127.0.0.1:{self._ports[name]}"

    def _find_task(self, task: str) -> StandInTask:
        return self.tasks[task.partition(".")[0]]

    async def launch(self, name: str) -> None:
        """Start a process; a restarted one keeps its port."""
        port = self._ports.setdefault(name, find_free_port())
        if name not in self._store_addresses:
            self._store_addresses[name] = await self._map_address(
                f"{name}-store", self._address
            )
        settings = {
            "node": name,
            "zone": "z",
            "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{port}"},
            "port_range": [find_free_port(), find_free_port()],
            "platform": {"address": self._store_addresses[name], "form": "table"},
            "bounds": {"grace_s": 4, "evac_ms": int(DRAIN_BOUND_S * 1000)},
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
        """Kill a process and wait for its end."""
        self.processes[name].kill()
        await self.processes[name].wait()

    def read_events(self, name: str) -> list[dict[str, Any]]:
        """Return the decoded log lines of a process."""
        lines = self._log_path(name).read_text().splitlines()
        return [json.loads(line) for line in lines]

    def _log_path(self, name: str) -> Path:
        return self._folder / f"{name}.log"

    async def call(
        self, name: str, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a caller's request; return status (0 without an answer) and body."""
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

    async def call_until(
        self,
        name: str,
        method: str,
        path: str,
        condition: Callable[[int, dict[str, Any]], bool],
        body: object = None,
    ) -> None:
        """Repeat a call until its answer satisfies `condition`."""
        deadline = self.clock.monotonic() + CONDITION_TIMEOUT_S
        answer = (0, {})
        while self.clock.monotonic() < deadline:
            answer = await self.call(name, method, path, body)
            if condition(*answer):
                return
            await asyncio.sleep(POLL_PERIOD_S)
        raise AssertionError(f"{method} {path} at {name}: last answer {answer}")

    async def submit(
        self, name: str, path: str, task: StandInTask, count: int, **fields: object
    ) -> None:
        """Submit a job of one step, repeatedly until it is accepted."""
        self.tasks[path.rpartition("/")[2]] = task
        step = {
            "count": count,
            "cpu": task.usage.millicores,
            "gpu": task.usage.accelerators,
            **fields,
        }
        body = {"spec": "x", "steps": [step]}
        await self.call_until(name, "POST", path, lambda status, _: status == 200, body)

    async def wait_for(self, name: str, path: str, state: str) -> None:
        """Wait until a job is in `state`."""
        await self.call_until(
            name, "GET", path, lambda _, answer: answer.get("state") == state
        )

    def leader(self) -> str:
        """Return the name of the process that holds the leadership."""
        value = self.store.table.rows["leadership/all/holder"].value
        return json.loads(base64.b64decode(value).split(b"\n", 1)[1])["holder"]

    def count_starts(self, path: str) -> int:
        """Return how often the workers started tasks of a job."""
        job_id = path.rpartition("/")[2]
        rows = [row for worker in self.workers for row in worker.faults.started]
        return sum(task.startswith(job_id) for _, task, _ in rows)

    async def close(self) -> None:
        """End the processes, the workers and their servers."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for worker_task in self._worker_tasks:
            worker_task.cancel()
        await asyncio.gather(*self._worker_tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
