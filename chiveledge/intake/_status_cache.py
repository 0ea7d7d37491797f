"""Rows with the public status of jobs, and the cache of them in each process."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from chiveledge.decision_log import DecisionLog
from chiveledge.decoding import DECODE_ERRORS, check_type, describe_error, parse_json
from chiveledge.services import Row, make_row_key, parse_part, parse_row_name
from chiveledge.types import JobId, WorkspaceName
from chiveledge.workload import JobState

JOB_STATUS_TABLE = "board"
JOB_STATUS_PREFIX = f"{JOB_STATUS_TABLE}/"

FLEET_KEY = f"{JOB_STATUS_PREFIX}~fleet"
"""Key of the row with the fleet's capacity; no job has an ID with a tilde."""

INITIAL_STATUS_PARTS = 8
"""Number of store parts over which the rows of new jobs are distributed.

Transactions of one part are serialized. With parts of their own, submissions and the
leader's writes do not delay each other when the store is slow.
"""


class JobStatus(NamedTuple):
    """Public status of a job.

    Attributes
    ----------
    timed : bool
        Whether the job runs on a schedule; such jobs are not counted as waiting.
    """

    queue: str
    workspace: WorkspaceName
    state: JobState
    timed: bool = False


def choose_part(job_id: JobId) -> int:
    """Return the store part of the rows that a job's submission writes."""
    return zlib.crc32(job_id.encode()) % INITIAL_STATUS_PARTS


def job_status_key(job_id: JobId) -> str:
    """Return the key of the status row that the leader writes."""
    return JOB_STATUS_PREFIX + job_id


def initial_job_status_key(job_id: JobId) -> str:
    """Return the key of the status row that the submission writes.

    It is valid until the leader has written its own status row.
    """
    return make_row_key(JOB_STATUS_TABLE, choose_part(job_id), job_id)


def encode_status(status: JobStatus) -> str:
    """Encode a status as the value of its row."""
    return json.dumps(list(status), separators=(",", ":"))


def decode_status(text: str) -> Result[JobStatus, str]:
    """Decode a status from the value of its row, or return why it is invalid."""
    try:
        queue, workspace, state, timed = check_type(parse_json(text), list)
        return Ok(
            JobStatus(
                check_type(queue, str),
                check_type(workspace, str),
                JobState(state),
                check_type(timed, bool),
            )
        )
    except DECODE_ERRORS as error:
        return Err(f"can't decode the status: {describe_error(error)}")


class JobStatusCache:
    """Cache of the status rows; the leader's row of a job has precedence.

    Parameters
    ----------
    log : DecisionLog
        Receives a line for each row that can't be decoded.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._initial_statuses: dict[JobId, JobStatus] = {}
        self._current_statuses: dict[JobId, JobStatus] = {}

    def apply_changes(
        self, rows: Iterable[Row], deleted: Iterable[str], is_snapshot: bool
    ) -> None:
        """Apply changed and deleted rows; a snapshot replaces the whole cache."""
        if is_snapshot:
            self._initial_statuses.clear()
            self._current_statuses.clear()
        for row in rows:
            if row.key == FLEET_KEY:
                continue
            match decode_status(row.value):
                case Ok(status):
                    self._statuses_of(row.key)[parse_row_name(row.key)] = status
                case Err(reason):
                    self._log.write("intake", "bad_status", key=row.key, reason=reason)
        for key in deleted:
            self._statuses_of(key).pop(parse_row_name(key), None)

    def _statuses_of(self, key: str) -> dict[JobId, JobStatus]:
        return self._initial_statuses if parse_part(key) else self._current_statuses

    def find(self, job_id: JobId) -> JobStatus | None:
        """Return a job's status, or None if it is not cached."""
        return self._current_statuses.get(job_id) or self._initial_statuses.get(job_id)

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue wait to start, except those on a schedule."""
        return sum(
            status.queue == queue
            and status.state is JobState.QUEUED
            and not status.timed
            for status in (self._initial_statuses | self._current_statuses).values()
        )
