"""Disturbances that come in series beside the faults, from a sequence of their own.

Odd entries in the list of workers, configuration changes, signals to all processes one
after another, and jobs of a thousand tasks. None of them may cost a job or a process.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable

from chiveledge.workload import Usage
from soak.callers import JobRecord
from soak.configurations import Operator
from standins.deployment import Deployment
from standins.platform import describe_worker
from standins.simulated_task import StandInTask

MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.5
SIGNAL_GAP_S = 0.05
SETTLED_S = 1.0
"""Age from which a process is sent SIGHUP; its entry point certainly runs by then."""

MAX_LARGE_JOBS = 2
LARGE_JOB_TASKS = 1200
TINY = StandInTask(0.3, Usage(10, 1, 0))
ODD_TEXTS = ("[" * 4000, "\x00", "", "null", '{"born":' + "9" * 400 + "}")


class Disturber:
    """Disturbs a deployment until it is cancelled.

    Parameters
    ----------
    deployment : Deployment
        System under test.
    nodes : list of str
        Names of its processes.
    rng : random.Random
        Draws the disturbances.
    operator : Operator
        Changes the configuration.

    Attributes
    ----------
    jobs : list of JobRecord
        The large jobs that were submitted.
    """

    def __init__(
        self,
        deployment: Deployment,
        nodes: list[str],
        rng: random.Random,
        operator: Operator,
    ) -> None:
        self.jobs: list[JobRecord] = []
        self._deployment = deployment
        self._nodes = nodes
        self._rng = rng
        self._operator = operator
        self._first_seen_s: dict[int, float] = {}

    async def run(self) -> None:
        """Disturb until cancelled."""
        disturb: list[Callable] = [
            self._write_odd_entries,
            self._change_configuration,
            self._hang_up,
            self._submit_large_job,
        ]
        while True:
            self._note_processes()
            await self._rng.choice(disturb)()
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    def _note_processes(self) -> None:
        now_s = self._deployment.clock.monotonic()
        for process in self._deployment.processes.values():
            self._first_seen_s.setdefault(process.pid, now_s)

    async def _write_odd_entries(self) -> None:
        store = self._deployment.store
        for text in ODD_TEXTS:
            store.write(f"servers/odd-{self._rng.randrange(5)}", text)
        entry = describe_worker(self._deployment.workers[0], "127.0.0.1:70000")
        store.write("servers/odd-port", entry)
        store.remove(f"servers/odd-{self._rng.randrange(5)}")

    async def _change_configuration(self) -> None:
        """Write some versions at once, as operators do who correct each other."""
        for _ in range(self._rng.randint(1, 3)):
            self._operator.change()

    async def _hang_up(self) -> None:
        now_s = self._deployment.clock.monotonic()
        for name in self._nodes:
            process = self._deployment.processes[name]
            is_settled = now_s - self._first_seen_s.get(process.pid, now_s) > SETTLED_S
            if is_settled and process.returncode is None:
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_GAP_S)

    async def _submit_large_job(self) -> None:
        if len(self.jobs) >= MAX_LARGE_JOBS:
            return
        job_id = f"{0xB16:04x}{len(self.jobs):012x}"
        self._deployment.tasks[job_id] = TINY
        record = JobRecord(f"/q/{job_id}", LARGE_JOB_TASKS)
        self.jobs.append(record)
        usage = TINY.usage
        step = {
            "count": LARGE_JOB_TASKS,
            "cpu": usage.millicores,
            "mem_mb": usage.memory_mb,
        }
        body = {"spec": "x", "steps": [step]}
        node = self._rng.choice(self._nodes)
        status, _ = await self._deployment.call(node, "POST", record.path, body)
        record.accepted = status == 200
