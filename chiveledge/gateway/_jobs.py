"""Submits, reads and cancels gang jobs through the table service."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from result import Err, Ok, Result

from chiveledge.cancellations import RETENTION_S, CancellationQuota
from chiveledge.clock import Clock
from chiveledge.configuration import ConfigurationReplica
from chiveledge.jobs import (
    Job,
    JobSpec,
    JobState,
    cancel_key,
    decode_job,
    encode_job,
    inbox_key,
    is_job_id,
    job_key,
    make_job_id,
    region_of,
)
from chiveledge.membership import Membership
from chiveledge.metrics import Metrics
from chiveledge.scheduler import Planner, list_workers
from chiveledge.services import (
    CallError,
    Check,
    Conflict,
    GroupCommit,
    HostRole,
    ObjectStore,
    Put,
    TableService,
    Unavailable,
)
from chiveledge.services.table import ABSENT
from chiveledge.types import JobId, RegionName, WorkspaceName

JOB_COMMIT_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class JobAccepted:
    """The job's row is committed.

    Attributes
    ----------
    job : Job
        The committed job.
    repeated : bool
        Whether an earlier request with the same key submitted it.
    """

    job: Job
    repeated: bool


@dataclass(frozen=True)
class JobRefused:
    """The job was not stored."""

    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class JobUnknown:
    """The job may have been committed; a status query shows whether it was."""

    job_id: JobId


SubmitOutcome: TypeAlias = JobAccepted | JobRefused | JobUnknown


class JobService:
    """Submits, reads and cancels jobs on behalf of callers.

    Parameters
    ----------
    table : TableService
        Stores the jobs.
    objects : ObjectStore
        Stores results that are too large for a row.
    configuration : ConfigurationReplica
        Provides the configuration in force.
    membership : Membership
        Provides the known workers.
    clock : Clock
        Time source.
    metrics : Metrics
        Receives the counters of the group commit.
    notify_leader : callable
        Notifies a region's leader of new rows.
    regions : sequence of str
        Regions of the deployment.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        configuration: ConfigurationReplica,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
        notify_leader: Callable[[RegionName], None],
        regions: Sequence[RegionName],
    ) -> None:
        self._table = table
        self._objects = objects
        self._configuration = configuration
        self._membership = membership
        self._clock = clock
        self._notify_leader = notify_leader
        self._regions = tuple(regions)
        self._writes = GroupCommit(
            table, clock, metrics, timeout_s=JOB_COMMIT_TIMEOUT_S
        )
        self._quota = CancellationQuota(
            clock, RETENTION_S, count_hosts=self._count_hosts
        )
        # Apart from submissions: a job and its early cancellation in one transaction
        # would each hold against the other.
        self._early_cancellations = GroupCommit(
            table, clock, metrics, timeout_s=JOB_COMMIT_TIMEOUT_S
        )

    def _count_hosts(self) -> int:
        return len(self._membership.find_by_role(HostRole.CHIVELEDGE))

    async def submit(
        self, workspace: WorkspaceName, key: str, spec: JobSpec
    ) -> SubmitOutcome:
        """Commit a job's row; a repeated key returns the existing job."""
        why = self._explain_infeasible(spec)
        if why:
            return JobRefused(why)
        job_id = make_job_id(spec.region, workspace, key)
        job = Job(job_id, workspace, spec, self._clock.now())
        result = await self._writes.commit(
            checks=(
                Check(job.key, ABSENT),
                Check(cancel_key(job_id, workspace), ABSENT),
            ),
            puts=(Put(job.key, encode_job(job)), Put(inbox_key(job_id), "{}")),
        )
        match result:
            case Ok(_):
                self._notify_leader(spec.region)
                return JobAccepted(job, repeated=False)
            case Err(Conflict(keys)) if job.key not in keys:
                return JobRefused(
                    "Idempotency-Key: its job was cancelled before it was stored; "
                    "choose a new one"
                )
            case Err(Conflict()):
                return await self._find_existing(job)
            case Err(Unavailable(reason)):
                return JobRefused(reason, retry_after_s=1.0)
            case Err(_):
                return JobUnknown(job_id)
        raise AssertionError("unreachable")

    async def find(
        self, workspace: WorkspaceName, job_id: JobId
    ) -> Result[Job | None, CallError]:
        """Return a job of the workspace, or None."""
        found = await self._read(job_id)
        return found.map(
            lambda job: job if job is not None and job.workspace == workspace else None
        )

    async def _read(self, job_id: JobId) -> Result[Job | None, CallError]:
        row = await self._table.read(job_key(job_id))
        return row.map(lambda row: None if row is None else decode_job(row.value))

    async def read_results(self, job: Job) -> Result[tuple[str, ...], CallError]:
        """Return the results of a finished job's members."""
        if not job.result_object:
            return Ok(job.results)
        match await self._objects.read(job.result_object):
            case Ok(str() as text):
                return Ok(tuple(json.loads(text)))
            case Ok(_):
                return Err(Unavailable("the object with the results no longer exists"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def cancel(
        self, workspace: WorkspaceName, job_ids: Sequence[JobId]
    ) -> dict[JobId, str]:
        """Request the cancellation of jobs and return the status of each request.

        The values are ``"requested"``, ``"ended"``, ``"not_found"``,
        ``"refused"``, ``"too_many"`` and ``"unknown"``.
        """
        answers = await asyncio.gather(
            *(self._cancel(workspace, job_id) for job_id in job_ids)
        )
        for region in {region_of(job_id) for job_id in job_ids}:
            self._notify_leader(region)
        return dict(zip(job_ids, answers, strict=True))

    async def _cancel(self, workspace: WorkspaceName, job_id: JobId) -> str:
        match await self._read(job_id):
            case Ok(None) if is_job_id(job_id, self._regions):
                return await self._cancel_unknown(workspace, job_id)
            case Ok(None):
                return "not_found"
            case Ok(job) if job.workspace != workspace:
                # IDs depend on workspaces: no submission of the caller is on its way.
                return "not_found"
            case Ok(job) if job.state.ended:
                return "ended"
            case Err(_):
                return "refused"
        key = cancel_key(job_id, workspace)
        result = await self._writes.commit(
            checks=(Check(key, ABSENT),), puts=(Put(key, "{}"),)
        )
        match result:
            case Ok(_) | Err(Conflict()):
                return "requested"
            case Err(Unavailable()):
                return "refused"
            case Err(_):
                return "unknown"
        raise AssertionError("unreachable")

    async def _cancel_unknown(self, workspace: WorkspaceName, job_id: JobId) -> str:
        """Store the cancellation of a job whose submission may be on its way.

        The row is written again if it is there: its time starts anew.
        """
        if self._quota.reserve(job_id, workspace) > 0:
            return "too_many"
        result = await self._early_cancellations.commit(
            checks=(Check(job_key(job_id), ABSENT),),
            puts=(Put(cancel_key(job_id, workspace), "{}"),),
        )
        match result:
            case Ok(_):
                return "not_found"
            case Err(Conflict()):
                self._quota.release(job_id, workspace)
                return await self._cancel(workspace, job_id)
            case Err(Unavailable()):
                self._quota.release(job_id, workspace)
                return "refused"
            case Err(_):
                return "unknown"
        raise AssertionError("unreachable")

    async def _find_existing(self, job: Job) -> SubmitOutcome:
        match await self.find(job.workspace, job.job_id):
            case Ok(found) if found is not None and found.spec == job.spec:
                return JobAccepted(found, repeated=True)
            case Ok(found) if found is not None:
                return JobRefused(
                    "Idempotency-Key: already used for another job; choose a new one"
                )
            case _:
                return JobUnknown(job.job_id)

    def _explain_infeasible(self, spec: JobSpec) -> str:
        if spec.region not in self._regions:
            known = ", ".join(self._regions)
            return f"region: got {spec.region!r}; use one of {known}"
        workers = list_workers(self._membership.entries, spec.region)
        if not workers:
            # The host list may be stale; the leader rejects an infeasible job.
            return ""
        sizes = [worker.size for worker in workers]
        planner = Planner(spec.region, sizes, self._configuration.current.document)
        return planner.explain_infeasible(spec)


def describe_job(job: Job) -> dict[str, object]:
    """Return the representation of a job in the caller API."""
    attempt = job.attempt
    return {
        "job_id": job.job_id,
        "workspace": job.workspace,
        "state": str(job.state),
        "reason": job.reason,
        "attempts": job.attempts,
        "members": job.spec.members,
        "borrowed": bool(attempt and attempt.borrowed),
        "workers": list(attempt.workers) if attempt else [],
        "submitted_at": job.submitted_at.isoformat(),
        "ended_at": job.ended_at.isoformat() if job.ended_at else "",
        "finished": job.state is JobState.FINISHED,
    }
