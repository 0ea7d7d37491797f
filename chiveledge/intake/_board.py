"""The public state of all jobs, in a copy that every process keeps."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.services import Row, key_in_part, name_of, part_of
from chiveledge.types import JobId, WorkspaceName
from chiveledge.workload import JobState

BOARD_TABLE = "board"
BOARD_PREFIX = f"{BOARD_TABLE}/"

ARRIVAL_PARTS = 8
"""Parts of the store over which arriving jobs are spread. Transactions of a part wait
for each other: callers should not wait for the leader's, nor it for theirs, when the
store is slow."""


class BoardEntry(NamedTuple):
    """What callers may see of a job.

    Attributes
    ----------
    timed : bool
        Whether it runs at set times; such jobs are not counted as waiting.
    """

    queue: str
    workspace: WorkspaceName
    state: JobState
    timed: bool = False


def spread_job(job_id: JobId) -> int:
    """Return the part in which a job arrives."""
    return zlib.crc32(job_id.encode()) % ARRIVAL_PARTS


def board_key(job_id: JobId) -> str:
    """Return the key of the public row that the leader writes."""
    return BOARD_PREFIX + job_id


def arrival_key(job_id: JobId) -> str:
    """Return the key of the public row that stands until the leader's does."""
    return key_in_part(BOARD_TABLE, spread_job(job_id), job_id)


def encode_entry(entry: BoardEntry) -> str:
    """Return the text of a public row."""
    return json.dumps(list(entry), separators=(",", ":"))


def decode_entry(text: str) -> BoardEntry:
    """Return the entry of a row's text."""
    queue, workspace, state, timed = json.loads(text)
    return BoardEntry(queue, workspace, JobState(state), timed)


class JobBoard:
    """Copy of the public rows; the leader's row goes before that of the arrival."""

    def __init__(self) -> None:
        self._arrivals: dict[JobId, BoardEntry] = {}
        self._entries: dict[JobId, BoardEntry] = {}

    def on_rows(self, rows: Iterable[Row], deleted: Iterable[str], whole: bool) -> None:
        """Take changes in."""
        if whole:
            self._arrivals.clear()
            self._entries.clear()
        for row in rows:
            self._side(row.key)[name_of(row.key)] = decode_entry(row.value)
        for key in deleted:
            self._side(key).pop(name_of(key), None)

    def _side(self, key: str) -> dict[JobId, BoardEntry]:
        return self._arrivals if part_of(key) else self._entries

    def find(self, job_id: JobId) -> BoardEntry | None:
        """Return a job's entry, or None if the copy does not have it."""
        return self._entries.get(job_id) or self._arrivals.get(job_id)

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return sum(
            entry.queue == queue and entry.state is JobState.QUEUED and not entry.timed
            for entry in (self._arrivals | self._entries).values()
        )
