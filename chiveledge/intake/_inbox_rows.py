"""Rows by which callers' processes hand jobs and cancellations to the leader.

The row of a job and those of its cancellations are in one part of the store. A
submission checks that the cancellation by its workspace does not exist, so that of the
two whichever is committed first decides about the other.
"""

from __future__ import annotations

import hashlib
import uuid
from typing import NamedTuple

from chiveledge.intake._status_cache import (
    JobStatus,
    choose_part,
    encode_status,
    initial_job_status_key,
)
from chiveledge.services import Check, Put, Transaction, make_row_key, parse_row_name
from chiveledge.services.table import ABSENT
from chiveledge.types import JobId, WorkspaceName
from chiveledge.workload import JobRequest, JobState, encode_request

INBOX_TABLE = "inbox"
INBOX_PREFIX = f"{INBOX_TABLE}/"
CANCEL_MARK = "~cancel"
OWNER_SEPARATOR = "~"
OWNER_CHARS = 16
"""Length of the digest that stands for a workspace, whose name may be long."""


class Cancellation(NamedTuple):
    """What the key of a cancellation row says.

    Attributes
    ----------
    owner : str
        Digest of the workspace that cancelled; empty in the rows of earlier versions,
        which only the owner of a stored job could write.
    """

    job_id: JobId
    owner: str

    def applies_to(self, workspace: WorkspaceName) -> bool:
        """Whether a job of a workspace is cancelled."""
        return self.owner in ("", _digest(workspace))


def job_key(job_id: JobId) -> str:
    """Return the key of the row that stores a job's request."""
    return make_row_key(INBOX_TABLE, choose_part(job_id), job_id)


def cancel_key(job_id: JobId, workspace: WorkspaceName) -> str:
    """Return the key of the row by which a workspace cancels a job."""
    name = f"{job_id}{CANCEL_MARK}{OWNER_SEPARATOR}{_digest(workspace)}"
    return make_row_key(INBOX_TABLE, choose_part(job_id), name)


def parse_cancel_key(key: str) -> Cancellation | None:
    """Return what the key of a cancellation row says; None for other inbox keys."""
    job_id, mark, owner = parse_row_name(key).partition(CANCEL_MARK)
    return Cancellation(job_id, owner.removeprefix(OWNER_SEPARATOR)) if mark else None


def make_submission(request: JobRequest) -> Transaction:
    """Return the transaction that stores a job unless it was stored or cancelled."""
    job_id = request.job_id
    status = JobStatus(
        request.queue, request.workspace, JobState.QUEUED, request.occurrences > 0
    )
    return Transaction(
        write_id=uuid.uuid4().hex,
        checks=(
            Check(job_key(job_id), ABSENT),
            Check(cancel_key(job_id, request.workspace), ABSENT),
        ),
        puts=(
            Put(job_key(job_id), encode_request(request)),
            Put(initial_job_status_key(job_id), encode_status(status)),
        ),
    )


def make_cancellation(
    job_id: JobId, workspace: WorkspaceName, *, must_be_unknown: bool
) -> Transaction:
    """Return the transaction that stores a cancellation; it may be sent repeatedly.

    Parameters
    ----------
    must_be_unknown : bool
        Store it only if no job has this ID.
    """
    checks = (Check(job_key(job_id), ABSENT),) if must_be_unknown else ()
    puts = (Put(cancel_key(job_id, workspace), "{}"),)
    return Transaction(uuid.uuid4().hex, checks, puts)


def _digest(workspace: WorkspaceName) -> str:
    return hashlib.sha256(workspace.encode()).hexdigest()[:OWNER_CHARS]
