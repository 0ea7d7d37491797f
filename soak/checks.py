"""The promises of the pages, from what callers and workers see."""

from __future__ import annotations

import asyncio
from collections import Counter

from soak.callers import NOT_KNOWN, JobRecord
from standins.deployment import Deployment

CHECK_S = 0.02
SETTLE_S = 60.0
"""Longest time until all accepted jobs have ended after the last fault."""


class Watcher:
    """Watches the workers while faults come and go.

    Attributes
    ----------
    broken : list of str
        Promises that were broken.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.broken: list[str] = []
        self._deployment = deployment

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self._check_double_runs()
            await asyncio.sleep(CHECK_S)

    def _check_double_runs(self) -> None:
        for worker in self._deployment.workers:
            worker.advance()
        running = Counter(
            task for worker in self._deployment.workers for task, _ in worker.runs
        )
        self._note(f"{task} runs twice" for task, n in running.items() if n > 1)

    def _note(self, texts) -> None:
        self.broken += [text for text in texts if text not in self.broken]

    async def settle(self, jobs: list[JobRecord], node: str) -> None:
        """Wait until every accepted job has ended, and check how."""
        deadline_s = self._deployment.clock.monotonic() + SETTLE_S
        accepted = [job for job in jobs if job.accepted]
        while accepted and self._deployment.clock.monotonic() < deadline_s:
            for job in list(accepted):
                status, answer = await self._deployment.call(node, "GET", job.path)
                state = answer.get("state") or str(status)
                job.states.append(state)
                if state in ("completed", "cancelled", "failed"):
                    accepted.remove(job)
            await asyncio.sleep(CHECK_S * 10)
        self._note(f"{job.path} never ended: {job.states[-1]}" for job in accepted)
        for job in jobs:
            self._check_end(job)
        late = self._deployment.record.started_after_done
        self._note(f"{task} started after its end was noted" for task in late)

    def _check_end(self, job: JobRecord) -> None:
        started = self._deployment.starts(job.path)
        if job.refused and started:
            self._note([f"{job.path} was refused and ran"])
        if not job.accepted or not job.states:
            return
        if str(NOT_KNOWN) in job.states:
            self._note([f"{job.path} was accepted and is not known"])
        if job.states[-1] == "failed":
            self._note([f"{job.path} failed, though none of its tasks did"])
        if job.states[-1] == "cancelled" and not job.cancelled:
            self._note([f"{job.path} was cancelled by nobody"])
        if job.states[-1] == "completed" and started < job.count:
            self._note([f"{job.path} completed with {started} starts"])
