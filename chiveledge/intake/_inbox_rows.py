"""Rows by which callers' processes hand jobs and cancellations to the leader.

The row of a job and those of its cancellations are in one part of the store. A
submission checks that the cancellation by its workspace does not exist, so that of the
two whichever is committed first decides about the other.
"""

from __future__ import annotations

import uuid

from chiveledge.cancellations import Cancellation, digest_owner
from chiveledge.intake._status_cache import (
    JobStatus,
    choose_part,
    encode_status,
    initial_job_status_key,
)
from chiveledge.services import (
    Check,
    Put,
    Row,
    Transaction,
    make_row_key,
    parse_row_name,
)
from chiveledge.services.table import ABSENT
from chiveledge.types import JobId, WorkspaceName
from chiveledge.workload import JobRequest, JobState, encode_request

INBOX_TABLE = "inbox"
INBOX_PREFIX = f"{INBOX_TABLE}/"
CANCEL_MARK = "~cancel"
OWNER_SEPARATOR = "~"
CANCELLED_VALUE = "{}"
REFUSED_VALUE = '{"refused": true}'


def job_key(job_id: JobId) -> str:
    """Return the key of the row that stores a job's request."""
    return make_row_key(INBOX_TABLE, choose_part(job_id), job_id)


def cancel_key(job_id: JobId, workspace: WorkspaceName) -> str:
    """Return the key of the row by which a workspace cancels a job."""
    name = f"{job_id}{CANCEL_MARK}{OWNER_SEPARATOR}{digest_owner(workspace)}"
    return make_row_key(INBOX_TABLE, choose_part(job_id), name)


def parse_cancel_key(key: str) -> Cancellation | None:
    """Return what the key of a cancellation row says; None for other inbox keys."""
    job_id, mark, owner = parse_row_name(key).partition(CANCEL_MARK)
    return Cancellation(job_id, owner.removeprefix(OWNER_SEPARATOR)) if mark else None


def make_submission(request: JobRequest, refusal_version: int = ABSENT) -> Transaction:
    """Return the transaction that stores a job unless it was stored or cancelled.

    Parameters
    ----------
    refusal_version : int, optional
        Version of the row by which an earlier submission was refused; it is replaced.
    """
    job_id = request.job_id
    withdrawal_key = cancel_key(job_id, request.workspace)
    status = JobStatus(
        request.queue, request.workspace, JobState.QUEUED, request.occurrences > 0
    )
    return Transaction(
        write_id=uuid.uuid4().hex,
        checks=(
            Check(job_key(job_id), ABSENT),
            Check(withdrawal_key, refusal_version),
        ),
        puts=(
            Put(job_key(job_id), encode_request(request)),
            Put(initial_job_status_key(job_id), encode_status(status)),
        ),
        deletes=() if refusal_version == ABSENT else (withdrawal_key,),
    )


def make_refusal(request: JobRequest, refusal_version: int) -> Transaction:
    """Return the transaction that keeps out earlier submissions of a refused job.

    Parameters
    ----------
    refusal_version : int
        Version of the row by which it was refused before, or `ABSENT`.
    """
    job_id = request.job_id
    key = cancel_key(job_id, request.workspace)
    checks = (Check(job_key(job_id), ABSENT), Check(key, refusal_version))
    return Transaction(uuid.uuid4().hex, checks, (Put(key, REFUSED_VALUE),))


def is_refusal(row: Row) -> bool:
    """Return whether a cancellation row is that of a refused submission.

    Unlike a cancellation by a caller, it does not hold for later submissions.
    """
    return row.value == REFUSED_VALUE


def make_cancellation(
    job_id: JobId, workspace: WorkspaceName, *, must_be_unknown: bool = False
) -> Transaction:
    """Return the transaction that stores a cancellation; it may be sent repeatedly.

    Parameters
    ----------
    must_be_unknown : bool, optional
        Store it only if no job has this ID.
    """
    checks = (Check(job_key(job_id), ABSENT),) if must_be_unknown else ()
    puts = (Put(cancel_key(job_id, workspace), CANCELLED_VALUE),)
    return Transaction(uuid.uuid4().hex, checks, puts)
