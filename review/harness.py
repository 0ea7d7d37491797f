"""Small deployment for the cases of the review: real processes, stand-ins around them.

The processes are started with the command of the deploy file, with settings like those
of `DEPLOY.md`. The store, the minions and the clients are stand-ins in this process, on
loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
from aiohttp import web

from chiveledge.clock import SystemClock
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.workload import RunEnd, Usage
from standins.platform import StoreStandIn, describe_worker, make_worker_app
from standins.task_worker import FleetRecord, MemoryTaskWorker, StandInTask

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CAPACITY = Usage(32_000, 65_536, 8)
ROW_BYTES = 65_536
HEARTBEAT_S = 1.5

BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 2500,
    "grace_s": 6,
    "lost_slack_ms": 200,
    "config_apply_ms": 2500,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 6000,
    "recover_s": 12,
    "hold_max_ms": 10000,
    "stop_ms": 900,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "lease_ms": 3000,
    "upkeep_s": 2,
    "reclaim_ms": 3400,
}

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path_prefix": "/batch/",
            "service": "pool",
            "max_attempts": 3,
            "priority": 1,
            "stretch": 3.0,
            "target_runtime_ms": 3000,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/quote/",
            "service": "pool",
            "max_attempts": 3,
            "priority": 0,
            "stretch": 1.5,
            "target_runtime_ms": 500,
        },
    ],
    "services": [{"name": "pool", "enforces_capacity": True}],
    "tenants": [{"name": "t1", "api_keys": ["k1"], "guaranteed": {"gpu": 16}}],
    "limits": {"max_body_bytes": 262144},
}


def find_free_port() -> int:
    """Return a free port below those that the system gives out by itself."""
    for _ in range(100):
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


async def serve(app: web.Application) -> tuple[web.AppRunner, str]:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, backlog=512)
    await site.start()
    host, port = site._server.sockets[0].getsockname()[:2]
    return runner, f"{host}:{port}"


class Store(StoreStandIn):
    """The project's stand-in for the store, with the limit on a row's value."""

    def __init__(self, clock) -> None:
        super().__init__(clock)
        self.refused_rows: dict[str, int] = {}

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["set_keys"]:
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                key = f"{row['table']}/{row['key']}"
                self.refused_rows[key] = self.refused_rows.get(key, 0) + 1
                text = f"the value of {key} has {size} bytes"
                return web.json_response({"error": text}, status=400)
        return await super()._transact(request)


class Gate:
    """TCP proxy in front of one server, which can refuse connections for a while."""

    def __init__(self) -> None:
        self.address = ""
        self._port = 0
        self._target = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    def silence(self) -> None:
        """Deliver nothing more on the open connections; new ones work."""
        self._silent |= self._writers

    async def open(self, target: str = "") -> None:
        """Accept connections; the port stays the same after a refusal."""
        if target:
            host, _, port = target.rpartition(":")
            self._target = (host, int(port))
        self._server = await asyncio.start_server(
            self._connect, "127.0.0.1", self._port, backlog=512
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"

    async def refuse(self) -> None:
        """Refuse new connections and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connect(self, reader, writer) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._copy(reader, far_writer),
            self._copy(far_reader, writer),
            return_exceptions=True,
        )
        self._writers -= {writer, far_writer}
        self._silent -= {writer, far_writer}

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                if writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
        finally:
            writer.close()


class Record:
    """Writes what happened to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        line = f"{self.now_s:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Fleet:
    """Store, minions and processes of one case."""

    def __init__(self, case_folder: Path) -> None:
        self.clock = SystemClock()
        self.record = Record(case_folder)
        self.store = Store(self.clock)
        self.completed = FleetRecord()
        self.minions: list[MemoryTaskWorker] = []
        self.addresses: dict[str, str] = {}
        self.tasks: dict[str, StandInTask] = {}
        self.nodes: dict[str, asyncio.subprocess.Process] = {}
        self.ports: dict[str, int] = {}
        self.logs = Path(tempfile.mkdtemp(prefix="review-"))
        self._runners: list[web.AppRunner] = []
        self._background: list[asyncio.Task] = []
        self._sequence = 0
        self.silent: set[str] = set()
        self.gates: dict[str, Gate] = {}
        self.remaining_ms: dict[str, int] = {}

    async def start(self, nodes: int = 3, minions: int = 24) -> None:
        runner, self.store_address = await serve(self.store.make_app())
        self._runners.append(runner)
        self.store.write("op/config", CONFIGURATION)
        for number in range(minions):
            await self.add_minion(f"minion-{number:02d}", f"r1-{number // 8}")
        self._background.append(asyncio.create_task(self._beat()))
        for number in range(nodes):
            await self.launch(f"n{number}")
        for number in range(nodes):
            await self.wait_ready(f"n{number}")
        self.record.write(f"{nodes} processes ready, {minions} minions registered")

    async def add_minion(self, name: str, rack: str) -> MemoryTaskWorker:
        born_ms = int(time.time() * 1000)
        labels = frozenset({"a", rack})
        entry = WorkerEntry(
            name, "pool", "", "z", rack, labels, CAPACITY, incarnation_ms=born_ms
        )
        minion = MemoryTaskWorker(
            entry, self.clock, self._find_task, self.minions, self.completed
        )
        self.minions.append(minion)
        runner, address = await serve(self.make_minion_app(minion))
        self._runners.append(runner)
        self.gates[name] = Gate()
        await self.gates[name].open(address)
        self.addresses[name] = self.gates[name].address
        self._background.append(asyncio.create_task(minion.run()))
        self.publish(minion)
        return minion

    def make_minion_app(self, minion: MemoryTaskWorker) -> web.Application:
        return make_worker_app(minion)

    def publish(self, minion: MemoryTaskWorker) -> None:
        self._sequence += 1
        row = describe_worker(minion, self.addresses[minion.entry.name])
        row["sequence"] = self._sequence
        if minion.entry.draining:
            row["remaining_ms"] = self.remaining_ms[minion.entry.name]
        self.store.write(f"servers/{minion.entry.name}", row)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for minion in self.minions:
                if minion.entry.name not in self.silent:
                    self.publish(minion)

    def _find_task(self, task: str) -> StandInTask:
        return self.tasks[task.partition(".")[0]]

    def settings(self, name: str) -> dict:
        ports = [find_free_port() for _ in range(4)]
        self.ports[name] = self.ports.get(name, ports[0])
        return {
            "node": name,
            "role": "node",
            "class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "z",
            "region": "r",
            "zones": {"z": "r"},
            "listen": {
                "front": f"127.0.0.1:{self.ports[name]}",
                "ready": f"127.0.0.1:{ports[1]}",
            },
            "port_range": [ports[2], ports[3]],
            "limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0},
            "platform": {
                "address": self.store_address_of(name),
                "form": "table",
                "row_bytes": ROW_BYTES,
            },
            "bounds": BOUNDS,
            "orders": "call",
        }

    def store_address_of(self, name: str) -> str:
        return self.store_address

    async def launch(self, name: str) -> None:
        path = self.logs / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["node"]["run"])
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        added = {
            "CHIVELEDGE_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.logs / f"{name}.log").open("ab") as log:
            self.nodes[name] = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=kept | added, stdout=log, stderr=log
            )

    async def wait_ready(self, name: str) -> None:
        deadline_s = time.monotonic() + 15
        while time.monotonic() < deadline_s:
            status, _ = await self.call(name, "GET", "/batch/")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{name} isn't ready")

    async def call(
        self, name: str, method: str, path: str, body: object = None, wait_s: float = 3
    ) -> tuple[int, dict]:
        """Send a client's request; the status is 0 if there was no answer."""
        headers = {
            "Host": "h.example",
            "Authorization": "Bearer k1",
            "X-Deadline-Ms": str(int(wait_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(total=wait_s)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            try:
                async with session.request(
                    method,
                    f"http://127.0.0.1:{self.ports[name]}{path}",
                    data=None if body is None else json.dumps(body),
                    headers=headers,
                ) as response:
                    return response.status, await response.json(content_type=None)
            except (aiohttp.ClientError, TimeoutError, ValueError):
                return 0, {}

    async def submit(
        self, name: str, path: str, task: StandInTask, count: int, **fields: object
    ) -> int:
        """Submit a job of one step once; return the status."""
        self.tasks[path.rpartition("/")[2]] = task
        step = {
            "count": count,
            "cpu": task.usage.millicores,
            "mem_mb": task.usage.memory_mb,
            "gpu": task.usage.accelerators,
            "estimate_ms": int(task.work_s * 1000),
            **fields,
        }
        step = {key: value for key, value in step.items() if value}
        status, _ = await self.call(name, "POST", path, {"spec": "x", "steps": [step]})
        self.record.write(f"POST {path} at {name}, {count} tasks: {status}")
        return status

    async def submit_until_accepted(self, path, task, count, **fields) -> bool:
        """Submit a job, up to 5 times at one process after another."""
        for attempt in range(5):
            name = f"n{attempt % len(self.nodes)}"
            if await self.submit(name, path, task, count, **fields) == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, path: str) -> str:
        for name in self.nodes:
            status, body = await self.call(name, "GET", path)
            if status == 200:
                return body["state"]
        return f"no state ({status})"

    def starts(self, job_id: str) -> list[tuple[float, str, int]]:
        rows = [row for minion in self.minions for row in minion.faults.started]
        return sorted(row for row in rows if row[1].startswith(job_id))

    def running(self, job_id: str = "") -> list[str]:
        return [
            f"{task}#{run}@{minion.entry.name}"
            for minion in self.minions
            for task, run in minion.runs
            if task.startswith(job_id)
        ]

    def used_share(self) -> float:
        used = sum(
            run.task.usage.millicores
            for minion in self.minions
            for run in minion.runs.values()
        )
        return used / (CAPACITY.millicores * len(self.minions))

    def leader(self) -> str:
        row = self.store.table.rows.get("leadership/all/holder")
        if row is None:
            return ""
        value = base64.b64decode(row.value).split(b"\n", 1)[1]
        return json.loads(value)["holder"]

    def signal(self, name: str, number: int) -> None:
        self.nodes[name].send_signal(number)
        self.record.write(f"{signal.Signals(number).name} to {name}")

    def read_events(self, name: str) -> list[dict]:
        rows = []
        for line in (self.logs / f"{name}.log").read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows

    async def close(self) -> None:
        for process in self.nodes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        for gate in self.gates.values():
            await gate.refuse()
        for runner in self._runners:
            await runner.cleanup()


def main(case, folder: Path, make_fleet=Fleet) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 on an error."""

    async def run() -> int:
        fleet = make_fleet(folder)
        try:
            return await asyncio.wait_for(case(fleet), 110)
        finally:
            await fleet.close()

    try:
        code = asyncio.run(run())
    except BaseException as error:  # the case couldn't run
        print(f"the case couldn't run: {error!r}", flush=True)
        code = 2
    print({0: "the rule held", 1: "the rule was BROKEN"}.get(code, "not run"))
    sys.exit(code)


__all__ = [
    "TROUBLE",
    "Fleet",
    "RunEnd",
    "StandInTask",
    "Usage",
    "main",
    "make_worker_app",
]
