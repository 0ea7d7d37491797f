"""Jobs and the encoding of their rows in the table service."""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Collection
from datetime import datetime
from enum import StrEnum
from typing import NamedTuple

from pydantic import Field

from chiveledge.cancellations import Cancellation, digest_owner
from chiveledge.configuration import RequestClass
from chiveledge.services import MemberPlacement
from chiveledge.settings import StrictModel
from chiveledge.types import (
    AttemptId,
    Epoch,
    JobId,
    RegionName,
    WorkerName,
    WorkspaceName,
)

MAX_MEMBERS = 64
MAX_PAYLOAD_CHARS = 65536
DIGEST_CHARS = 20

_DIGEST = re.compile(rf"[0-9a-f]{{{DIGEST_CHARS}}}")


class JobState(StrEnum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class JobSpec(StrictModel):
    """Specification of a job, as callers submit it.

    Attributes
    ----------
    region : str
        Region in which the gang runs.
    request_class : RequestClass
        Urgency of the job.
    members : int
        Number of members of the gang, which run all together or not at all.
    accelerators, cores, memory_mb : int
        Declared size of one member.
    adjacent : bool
        Whether all accelerators of the gang must be in one cell.
    run_time_hint_s : float
        Declared run time, which only affects the order of jobs; 0 if not known.
    payload : str
        Opaque input of the members.
    """

    region: RegionName
    request_class: RequestClass = RequestClass.STANDARD
    members: int = Field(default=1, ge=1, le=MAX_MEMBERS)
    accelerators: int = Field(default=0, ge=0, le=MAX_MEMBERS)
    cores: int = Field(default=1, ge=1)
    memory_mb: int = Field(default=256, ge=1)
    adjacent: bool = True
    run_time_hint_s: float = Field(default=0.0, ge=0)
    payload: str = Field(default="{}", max_length=MAX_PAYLOAD_CHARS)


class CellRecord(NamedTuple):
    """Stored form of a cell, which does not depend on the numbering of trees.

    Attributes
    ----------
    worker : str
        Worker of the first accelerator.
    index : int
        Index of the first accelerator on that worker.
    size : int
        Accelerators in the cell.
    bound_size, bound_per_worker : int
        Shape of the guaranteed cell that contains the cell; 0 for a borrower.
    """

    worker: WorkerName
    index: int
    size: int
    bound_size: int = 0
    bound_per_worker: int = 0


class Attempt(NamedTuple):
    """One attempt to run a gang on a fixed placement.

    Attributes
    ----------
    started_at : datetime
        Wall time of the placement.
    """

    attempt_id: AttemptId
    epoch: Epoch
    started_at: datetime
    members: tuple[MemberPlacement, ...]
    cells: tuple[CellRecord, ...]

    @property
    def borrowed(self) -> bool:
        """Whether the attempt may be preempted when a guarantee is claimed."""
        return not any(cell.bound_size for cell in self.cells)

    @property
    def workers(self) -> tuple[WorkerName, ...]:
        """Names of the members' workers, without duplicates."""
        return tuple(dict.fromkeys(member.worker for member in self.members))


class Job(NamedTuple):
    """A job as it is stored in its row.

    Attributes
    ----------
    attempts : int
        Number of committed attempts.
    attempt : Attempt or None
        Running attempt.
    failed_on : tuple of str
        Workers on which a member failed, once for each attempt.
    saved_s : float
        Run time that checkpoints have saved, in seconds.
    results : tuple of str
        Result of each member of a finished job, unless they are large.
    result_object : str
        Name of the object that holds large results.
    reason : str
        Why the job failed or waits.
    blame : int
        Weight of the evidence that the job causes the losses of its workers; see
        `scheduler/_lost_attempts.py`.
    lost_at : datetime, optional
        Wall time of the last such loss.
    """

    job_id: JobId
    workspace: WorkspaceName
    spec: JobSpec
    submitted_at: datetime
    state: JobState = JobState.QUEUED
    attempts: int = 0
    attempt: Attempt | None = None
    failed_on: tuple[WorkerName, ...] = ()
    saved_s: float = 0.0
    results: tuple[str, ...] = ()
    result_object: str = ""
    reason: str = ""
    ended_at: datetime | None = None
    blame: int = 0
    lost_at: datetime | None = None

    @property
    def key(self) -> str:
        """Key of the job's row."""
        return job_key(self.job_id)


def make_job_id(region: RegionName, workspace: WorkspaceName, key: str) -> JobId:
    """Return the ID of the job with an idempotency key of a workspace."""
    digest = hashlib.sha256(f"{workspace}\n{key}".encode()).hexdigest()[:DIGEST_CHARS]
    return f"{region}.{digest}"


def is_job_id(text: str, regions: Collection[RegionName]) -> bool:
    """Return whether a job of one of the regions can have an ID."""
    region, _, digest = text.rpartition(".")
    return region in regions and _DIGEST.fullmatch(digest) is not None


def region_of(job_id: JobId) -> RegionName:
    """Return the region of a job."""
    return job_id.rpartition(".")[0]


def job_key(job_id: JobId) -> str:
    """Return the key of a job's row."""
    return f"job/{region_of(job_id)}/{job_id}"


def inbox_key(job_id: JobId) -> str:
    """Return the key of the row that announces a new job to the leader."""
    return f"inbox/{region_of(job_id)}/{job_id}"


def cancel_prefix(region: RegionName) -> str:
    """Return the prefix of the keys of a region's cancellations."""
    return f"cancel/{region}/"


def cancel_key(job_id: JobId, workspace: WorkspaceName) -> str:
    """Return the key of the row by which a workspace asks to cancel a job."""
    return f"{cancel_prefix(region_of(job_id))}{digest_owner(workspace)}/{job_id}"


def parse_cancel_key(key: str) -> Cancellation:
    """Return what the key of a cancellation row says.

    Examples
    --------
    >>> parse_cancel_key("cancel/gyeonggi/5f0e/gyeonggi.00c0ffee").job_id
    'gyeonggi.00c0ffee'
    """
    _, _, rest = key.removeprefix("cancel/").partition("/")
    owner, _, job_id = rest.rpartition("/")
    return Cancellation(job_id, owner)


def encode_job(job: Job) -> str:
    """Return the value of a job's row."""
    fields = job._asdict()
    fields["spec"] = job.spec.model_dump(mode="json")
    fields["submitted_at"] = job.submitted_at.isoformat()
    fields["ended_at"] = job.ended_at.isoformat() if job.ended_at else None
    if job.lost_at is None:
        # Processes of an earlier version read the rows of other jobs, too.
        del fields["blame"], fields["lost_at"]
    else:
        fields["lost_at"] = job.lost_at.isoformat()
    if job.attempt is not None:
        fields["attempt"] = _encode_attempt(job.attempt)
    return json.dumps(fields)


def decode_job(text: str) -> Job:
    """Return the job that a row's value encodes."""
    fields = json.loads(text)
    fields["spec"] = JobSpec.model_validate(fields["spec"])
    fields["submitted_at"] = datetime.fromisoformat(fields["submitted_at"])
    if fields["ended_at"]:
        fields["ended_at"] = datetime.fromisoformat(fields["ended_at"])
    if fields.get("lost_at"):
        fields["lost_at"] = datetime.fromisoformat(fields["lost_at"])
    fields["state"] = JobState(fields["state"])
    fields["failed_on"] = tuple(fields["failed_on"])
    fields["results"] = tuple(fields["results"])
    if fields["attempt"] is not None:
        fields["attempt"] = _decode_attempt(fields["attempt"])
    return Job(**fields)


def _encode_attempt(attempt: Attempt) -> dict[str, object]:
    fields = attempt._asdict()
    fields["started_at"] = attempt.started_at.isoformat()
    fields["members"] = [list(member) for member in attempt.members]
    fields["cells"] = [list(cell) for cell in attempt.cells]
    return fields


def _decode_attempt(fields: dict[str, object]) -> Attempt:
    members = tuple(
        MemberPlacement(member, worker, tuple(accelerators), cores, memory_mb)
        for member, worker, accelerators, cores, memory_mb in fields["members"]
    )
    return Attempt(
        attempt_id=fields["attempt_id"],
        epoch=fields["epoch"],
        started_at=datetime.fromisoformat(fields["started_at"]),
        members=members,
        cells=tuple(CellRecord(*cell) for cell in fields["cells"]),
    )
