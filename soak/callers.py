"""Callers of a soak: they keep connections open, come back, and remember all."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from chiveledge.workload import Usage
from standins.deployment import CALLER, Deployment
from standins.task_worker import StandInTask

MAX_JOBS = 25
"""Jobs of one caller: four callers' work takes eight accelerators some 25 s."""

TRIES = 4
CALL_S = 3.0
ACCEPTED = 200
REFUSALS = (429, 503)
NOT_KNOWN = 410


@dataclass
class JobRecord:
    """What a caller knows of its job.

    Attributes
    ----------
    refused : bool
        Whether every try was answered as surely not run.
    cancelled : bool
        Whether its cancelling was asked for.
    states : list of str
        What was read of it, statuses of answers without a state too.
    """

    path: str
    count: int
    accepted: bool = False
    refused: bool = False
    cancelled: bool = False
    states: list[str] = field(default_factory=list)

    @property
    def job_id(self) -> str:
        """ID of the job."""
        return self.path.rpartition("/")[2]


class Caller:
    """Hands jobs in at any process, one after another.

    Parameters
    ----------
    deployment : Deployment
        The processes.
    nodes : list of str
        Their names.
    rng : random.Random
        Draws jobs and processes.
    """

    def __init__(
        self, deployment: Deployment, nodes: list[str], rng: random.Random, prefix: int
    ) -> None:
        self.jobs: list[JobRecord] = []
        self._deployment = deployment
        self._nodes = nodes
        self._rng = rng
        self._prefix = prefix

    async def run(self) -> None:
        """Hand up to `MAX_JOBS` jobs in, until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        async with aiohttp.ClientSession(timeout=timeout, headers=CALLER) as session:
            while len(self.jobs) < MAX_JOBS:
                await self._hand_in(session)
                await asyncio.sleep(self._rng.uniform(0.05, 0.4))

    async def _hand_in(self, session: aiohttp.ClientSession) -> None:
        queue = self._rng.choice(("q", "q", "urgent"))
        job_id = f"{self._prefix:04x}{len(self.jobs):012x}"
        gang = self._rng.random() < 0.4
        count = self._rng.randint(1, 4)
        usage = Usage(1000, 0, 1)
        task = StandInTask(
            self._rng.uniform(0.2, 2.5), usage, gang=count if gang else 1
        )
        self._deployment.tasks[job_id] = task
        record = JobRecord(f"/{queue}/{job_id}", count)
        self.jobs.append(record)
        step = {"count": count, "cpu": 1000, "gpu": 1, "gang": gang}
        step["checkpoint"] = self._rng.random() < 0.5
        body = {"spec": "x", "steps": [step]}
        answers = []
        for _ in range(TRIES):
            answers.append(await self._call(session, "POST", record.path, body))
            if answers[-1] == ACCEPTED:
                record.accepted = True
                break
            await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        record.refused = all(answer in REFUSALS for answer in answers)
        if record.accepted and self._rng.random() < 0.1:
            # Also if the answer is never seen, as at the end of the soak.
            record.cancelled = True
            if await self._call(session, "DELETE", record.path) == NOT_KNOWN:
                record.states.append(str(NOT_KNOWN))

    async def _call(
        self, session: aiohttp.ClientSession, method: str, path: str, body=None
    ) -> int:
        """Return the status of an answer, 0 for none."""
        url = self._deployment.url(self._rng.choice(self._nodes))
        try:
            async with session.request(method, url + path, json=body) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
