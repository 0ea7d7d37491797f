"""The public state of all jobs, in a copy that every process keeps."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.services import Row
from chiveledge.types import JobId, WorkspaceName
from chiveledge.workload import JobState

BOARD_PREFIX = "board/"


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


def board_key(job_id: JobId) -> str:
    """Return the key of a job's public row."""
    return BOARD_PREFIX + job_id


def encode_entry(entry: BoardEntry) -> str:
    """Return the text of a public row."""
    return json.dumps(list(entry), separators=(",", ":"))


def decode_entry(text: str) -> BoardEntry:
    """Return the entry of a row's text."""
    queue, workspace, state, timed = json.loads(text)
    return BoardEntry(queue, workspace, JobState(state), timed)


class JobBoard:
    """Copy of the public rows."""

    def __init__(self) -> None:
        self._entries: dict[JobId, BoardEntry] = {}

    def on_rows(self, rows: Iterable[Row], deleted: Iterable[str], whole: bool) -> None:
        """Take changes in."""
        if whole:
            self._entries.clear()
        for row in rows:
            self._entries[row.key.removeprefix(BOARD_PREFIX)] = decode_entry(row.value)
        for key in deleted:
            self._entries.pop(key.removeprefix(BOARD_PREFIX), None)

    def find(self, job_id: JobId) -> BoardEntry | None:
        """Return a job's entry, or None if the copy does not have it."""
        return self._entries.get(job_id)

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return sum(
            entry.queue == queue and entry.state is JobState.QUEUED and not entry.timed
            for entry in self._entries.values()
        )
