"""Invariants of the system, checked on what callers and workers observe."""

from __future__ import annotations

import asyncio

from soak.callers import UNKNOWN_JOB_STATUS, JobRecord
from standins.deployment import DRAIN_BOUND_S, Deployment

CHECK_PERIOD_S = 0.02
COMPLETION_TIMEOUT_S = 60.0
"""Time within which all accepted jobs must end after the last fault."""


class InvariantChecker:
    """Checks the jobs and the runs after a soak.

    Attributes
    ----------
    violations : list of str
        Descriptions of the violated invariants.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.violations: list[str] = []
        self._deployment = deployment

    def _record(self, texts) -> None:
        self.violations += [text for text in texts if text not in self.violations]

    async def check_jobs(self, jobs: list[JobRecord], node: str) -> None:
        """Wait for all accepted jobs to end, then check the outcome of every job."""
        deadline_s = self._deployment.clock.monotonic() + COMPLETION_TIMEOUT_S
        accepted = [job for job in jobs if job.accepted]
        while accepted and self._deployment.clock.monotonic() < deadline_s:
            for job in list(accepted):
                status, answer = await self._deployment.call(node, "GET", job.path)
                state = answer.get("state") or str(status)
                job.states.append(state)
                if state in ("completed", "cancelled", "failed"):
                    accepted.remove(job)
            await asyncio.sleep(CHECK_PERIOD_S * 10)
        self._record(f"{job.path} never ended: {job.states[-1]}" for job in accepted)
        for job in jobs:
            self._check_outcome(job)
        record = self._deployment.record
        self._record(f"runs twice: {text}" for text in record.double_runs)
        self._record(
            f"started after done: {text}" for text in record.started_after_done
        )
        in_drained = record.list_starts_in_drained(DRAIN_BOUND_S)
        self._record(f"started in a drained domain: {text}" for text in in_drained)

    def check_processes(self) -> None:
        """Check that no process ended by itself; the others were started again."""
        self._record(
            f"{name} ended by itself with {process.returncode}"
            for name, process in self._deployment.processes.items()
            if process.returncode is not None
        )

    def _check_outcome(self, job: JobRecord) -> None:
        started = self._deployment.count_starts(job.path)
        if job.refused and started:
            self._record([f"{job.path} was refused but ran"])
        if job.withdrawn and (started or job.accepted):
            self._record([f"{job.path} is said not to exist, but was stored"])
        if not job.accepted or not job.states:
            return
        if str(UNKNOWN_JOB_STATUS) in job.states:
            self._record([f"{job.path} was accepted but is unknown"])
        if job.states[-1] == "failed":
            self._record([f"{job.path} failed although none of its tasks did"])
        if job.states[-1] == "cancelled" and not job.cancelled:
            self._record([f"{job.path} was cancelled without a request"])
        if job.states[-1] == "completed" and started < job.count:
            self._record([f"{job.path} completed with {started} starts"])
