"""Callers of a soak: each submits jobs over kept-alive connections and records them."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from chiveledge.workload import Usage
from standins.deployment import CALLER, Deployment
from standins.simulated_task import StandInTask

MAX_JOBS = 25
"""Jobs per caller; those of four callers occupy eight accelerators for some 25 s."""

MAX_SUBMISSIONS = 4
CALL_TIMEOUT_S = 3.0
ACCEPTED_STATUS = 200
REFUSED_STATUSES = (429, 503)
UNKNOWN_JOB_STATUS = 410

EARLY_CANCEL_SHARE = 0.1
"""Share of jobs that are cancelled beside their submission."""


@dataclass
class JobRecord:
    """A submitted job and the answers that its caller got.

    Attributes
    ----------
    refused : bool
        Whether every submission was answered with a status that guarantees that
        the job doesn't run.
    cancelled : bool
        Whether its cancellation was requested.
    withdrawn : bool
        Whether its cancellation beside its submission was answered that there is no
        such job: it must neither be accepted nor run.
    states : list of str
        States that were read, in order; the HTTP status of an answer without one.
    """

    path: str
    count: int
    accepted: bool = False
    refused: bool = False
    cancelled: bool = False
    withdrawn: bool = False
    states: list[str] = field(default_factory=list)

    @property
    def job_id(self) -> str:
        """ID of the job."""
        return self.path.rpartition("/")[2]


class Caller:
    """Submits jobs one after another, each request to a random process.

    Parameters
    ----------
    deployment : Deployment
        The system under test.
    nodes : list of str
        Names of its processes.
    rng : random.Random
        Draws jobs and processes.
    prefix : int
        Start of the caller's job IDs, which keeps callers' IDs distinct.
    """

    def __init__(
        self, deployment: Deployment, nodes: list[str], rng: random.Random, prefix: int
    ) -> None:
        self.jobs: list[JobRecord] = []
        self._deployment = deployment
        self._nodes = nodes
        self._rng = rng
        self._prefix = prefix
        # Apart, so that the draws of earlier seeds stay as they were.
        self._cancel_rng = random.Random(prefix)

    async def run(self) -> None:
        """Submit up to `MAX_JOBS` jobs; stop early when cancelled."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout, headers=CALLER) as session:
            while len(self.jobs) < MAX_JOBS:
                await self._submit_job(session)
                await asyncio.sleep(self._rng.uniform(0.05, 0.4))

    async def _submit_job(self, session: aiohttp.ClientSession) -> None:
        queue = self._rng.choice(("q", "q", "urgent"))
        job_id = f"{self._prefix:04x}{len(self.jobs):012x}"
        is_gang = self._rng.random() < 0.4
        count = self._rng.randint(1, 4)
        usage = Usage(1000, 0, 1)
        task = StandInTask(
            self._rng.uniform(0.2, 2.5), usage, gang=count if is_gang else 1
        )
        self._deployment.tasks[job_id] = task
        record = JobRecord(f"/{queue}/{job_id}", count)
        self.jobs.append(record)
        step = {"count": count, "cpu": 1000, "gpu": 1, "gang": is_gang}
        step["checkpoint"] = self._rng.random() < 0.5
        body = {"spec": "x", "steps": [step]}
        async with asyncio.TaskGroup() as group:
            if self._cancel_rng.random() < EARLY_CANCEL_SHARE:
                group.create_task(self._cancel_early(session, record))
            await self._send(session, record, body)
        if record.accepted and self._rng.random() < 0.1:
            # Recorded before the call: it takes effect even if its answer is lost, as
            # when the soak ends first.
            record.cancelled = True
            if await self._call(session, "DELETE", record.path) == UNKNOWN_JOB_STATUS:
                record.states.append(str(UNKNOWN_JOB_STATUS))

    async def _send(
        self, session: aiohttp.ClientSession, record: JobRecord, body: dict
    ) -> None:
        """Submit a job until it is accepted, `MAX_SUBMISSIONS` times at most."""
        answers = []
        for _ in range(MAX_SUBMISSIONS):
            answers.append(await self._call(session, "POST", record.path, body))
            if answers[-1] == ACCEPTED_STATUS:
                record.accepted = True
                break
            await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        record.refused = all(answer in REFUSED_STATUSES for answer in answers)

    async def _cancel_early(
        self, session: aiohttp.ClientSession, record: JobRecord
    ) -> None:
        """Cancel a job while its submission may still be on its way."""
        await asyncio.sleep(self._cancel_rng.uniform(0.0, 1.0))
        record.cancelled = True
        node = self._cancel_rng.choice(self._nodes)
        status = await self._call(session, "DELETE", record.path, node=node)
        record.withdrawn = status == UNKNOWN_JOB_STATUS

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body=None,
        node: str = "",
    ) -> int:
        """Return the HTTP status of a node, drawn if none is given; 0 if unanswered."""
        url = self._deployment.url(node or self._rng.choice(self._nodes))
        try:
            async with session.request(method, url + path, json=body) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
