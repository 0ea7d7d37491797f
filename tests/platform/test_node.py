"""Whole processes against the stand-in of the platform, killed and stopped."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import sys

import aiohttp
import pytest

from chiveledge.clock import SystemClock
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.workload import Usage
from standins.platform import StoreStandIn, describe_worker, make_worker_app
from standins.task_worker import MemoryTaskWorker, StandInTask
from tests.platform.conftest import serve
from tests.platform.test_front import AUTH, CONFIGURATION

PATIENCE_S = 30.0
POLL_S = 0.05
JOB = {"spec": "x", "steps": [{"count": 3, "cpu": 1000, "gpu": 1, "gang": True}]}
TASK = StandInTask(0.4, Usage(1000, 0, 1), gang=3)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Deployment:
    """Store, two workers and the processes."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.clock = SystemClock()
        self.store = StoreStandIn(self.clock)
        self.workers: list[MemoryTaskWorker] = []
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ports: dict[str, int] = {}
        self.runners = []
        self.movers = []

    async def start(self) -> None:
        runner, self.address = await serve(self.store.make_app())
        self.runners.append(runner)
        for number in range(2):
            entry = WorkerEntry(
                f"i-{number}",
                "pool",
                "",
                "z",
                "r1",
                frozenset({"a", "r1"}),
                Usage(8000, 8000, 4),
                born_ms=1,
            )
            worker = MemoryTaskWorker(entry, self.clock, lambda _: TASK, self.workers)
            self.workers.append(worker)
            runner, address = await serve(make_worker_app(worker))
            self.runners.append(runner)
            fields = describe_worker(worker, address)
            self.store.write(f"servers/{entry.name}", fields)
            self.movers.append(asyncio.create_task(worker.run()))
        self.store.write("op/config", CONFIGURATION)

    async def launch(self, name: str) -> None:
        port = self.ports.setdefault(name, free_port())
        settings = {
            "node": name,
            "zone": "z",
            "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{port}"},
            "platform": {"address": self.address, "form": "table"},
            "bounds": {"grace_s": 4},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chiveledge.platform",
            env=os.environ | {"CHIVELEDGE_BOOT": str(path)},
            stdout=(self.folder / f"{name}.log").open("ab"),
        )

    async def call(self, name: str, method: str, job_id: str, body=None):
        url = f"http://127.0.0.1:{self.ports[name]}/q/{job_id}"
        async with aiohttp.ClientSession() as session:
            try:
                data = json.dumps(body) if body else None
                async with session.request(
                    method, url, data=data, headers=AUTH
                ) as response:
                    return response.status, await response.json()
            except aiohttp.ClientError:
                return 0, {}

    async def until(self, name: str, method: str, job_id: str, wanted, body=None):
        deadline = self.clock.monotonic() + PATIENCE_S
        while self.clock.monotonic() < deadline:
            answer = await self.call(name, method, job_id, body)
            if wanted(answer):
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError(f"{method} {job_id} at {name}: last answer {answer}")

    async def run_job(self, name: str, job_id: str) -> None:
        await self.until(name, "POST", job_id, lambda a: a[0] == 200, JOB)
        await self.until(
            name, "GET", job_id, lambda a: a[1].get("state") == "completed"
        )

    def leader(self) -> str:
        value = self.store.table.rows["leadership/all/holder"].value
        return json.loads(base64.b64decode(value).split(b"\n", 1)[1])["holder"]

    def starts(self, job_id: str) -> int:
        rows = [row for worker in self.workers for row in worker.faults.started]
        return sum(task.startswith(job_id) for _, task, _ in rows)

    async def close(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for mover in self.movers:
            mover.cancel()
        await asyncio.gather(*self.movers, return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()


@pytest.fixture
async def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    await deployment.start()
    for name in ("n1", "n2"):
        await deployment.launch(name)
    yield deployment
    await deployment.close()


async def test_jobs_survive_a_killed_leader_and_a_stop(deployment):
    await deployment.run_job("n1", "00000000000000a1")
    leader = deployment.leader()
    other = {"n1": "n2", "n2": "n1"}[leader]
    deployment.processes[leader].kill()
    await deployment.processes[leader].wait()
    await deployment.run_job(other, "00000000000000a2")
    await deployment.launch(leader)
    await deployment.run_job(leader, "00000000000000a3")
    deployment.processes[other].send_signal(signal.SIGTERM)
    assert await deployment.processes[other].wait() == 0
    await deployment.run_job(leader, "00000000000000a4")
    for number in range(1, 5):
        assert deployment.starts(f"00000000000000a{number}") == 3
    text = (deployment.folder / f"{other}.log").read_text()
    events = [json.loads(line)["event"] for line in text.splitlines()]
    assert events[0] == "start"
    assert events[-1] == "stop"
