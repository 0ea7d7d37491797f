"""The rows that hold the progress of one job, and what has to be written to them.

A job has a header row, and a row for each part if its progress is too long for one.
Every write of a job checks and rewrites the header, so that a write which arrives late
has no effect. Parts that don't fit in one transaction are stored by several; until the
last of them, the header is rewritten unchanged and the parts stay without effect.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from chiveledge.services import Check, Put, Row
from chiveledge.types import JobId
from chiveledge.workload import JobProgress, encode_progress

MAX_ENTRIES = 100
"""Most checks, puts and deletes in one transaction of the store."""

PROGRESS_PREFIX = "progress/"
PART_SEPARATOR = "~"
"""Separates the ID of a job from the name of a part in a key."""


def progress_key(job_id: JobId, part: str = "") -> str:
    """Return the key of a job's header row, or of the row of a part."""
    suffix = PART_SEPARATOR + part if part else ""
    return PROGRESS_PREFIX + job_id + suffix


class StoredJob(NamedTuple):
    """Rows of one job as they were read from the store.

    Attributes
    ----------
    header : Row or None
        None if only parts are left of a job that was being removed.
    parts : dict
        Rows of the parts by the name of the part, the one written last at the end.
    """

    header: Row | None
    parts: dict[str, Row]

    @property
    def part_texts(self) -> list[tuple[str, str]]:
        """Name and text of each part, the one written last at the end."""
        return [(name, row.value) for name, row in self.parts.items()]


def group_rows(rows: Iterable[Row]) -> dict[JobId, StoredJob]:
    """Return the rows of each job under `PROGRESS_PREFIX`."""
    headers: dict[JobId, Row] = {}
    parts: dict[JobId, dict[str, Row]] = {}
    for row in sorted(rows, key=lambda row: row.version):
        name = row.key.removeprefix(PROGRESS_PREFIX)
        job_id, _, part = name.partition(PART_SEPARATOR)
        if part:
            parts.setdefault(job_id, {})[part] = row
        else:
            headers[job_id] = row
    return {
        job_id: StoredJob(headers.get(job_id), parts.get(job_id, {}))
        for job_id in headers.keys() | parts.keys()
    }


class WriteBudget(NamedTuple):
    """Room that is left in a transaction.

    Attributes
    ----------
    entries : int
        Checks, puts and deletes.
    chars : int
        Characters of values.
    """

    entries: int
    chars: int


@dataclass
class JobWrite:
    """Writes of one job within a transaction.

    Attributes
    ----------
    puts : tuple of Put
        Header and parts.
    deletes : tuple of str
        Keys of parts that no longer exist.
    is_whole : bool
        Whether the job's present progress is stored by this write.
    has_more : bool
        Whether another write has to follow.
    part_hashes : dict
        Hash of the text of each part after this write, by name.
    """

    job: JobProgress
    puts: tuple[Put, ...]
    deletes: tuple[str, ...]
    is_whole: bool
    has_more: bool
    part_hashes: dict[str, int]

    @property
    def header(self) -> str:
        """Text of the header row."""
        return self.puts[0].value

    @property
    def check(self) -> Check:
        """Check that the header has not been written meanwhile."""
        return Check(progress_key(self.job.job_id), self.job.version)

    @property
    def used(self) -> WriteBudget:
        """Entries and characters that the write takes."""
        return WriteBudget(
            1 + len(self.puts) + len(self.deletes),
            sum(len(put.value) for put in self.puts),
        )


@dataclass
class StoredRows:
    """What is known to be stored of one job.

    Attributes
    ----------
    header : str
        Text of the header row; empty if there is none.
    part_hashes : dict
        Hash of the text of each part, by name.
    """

    header: str = ""
    part_hashes: dict[str, int] = field(default_factory=dict)

    @classmethod
    def from_store(cls, stored: StoredJob) -> StoredRows:
        """Return the rows of a job that were read from the store."""
        header = stored.header.value if stored.header else ""
        return cls(header, {name: hash(text) for name, text in stored.part_texts})

    def make_write(
        self, job: JobProgress, max_row_chars: int, budget: WriteBudget
    ) -> JobWrite:
        """Return the next write of a job's progress within a budget.

        Parameters
        ----------
        job : JobProgress
            Job to write.
        max_row_chars : int
            Longest text of a row.
        budget : WriteBudget
            Room for the write. The header is written even if it exceeds the budget.
        """
        header, parts = encode_progress(job, max_row_chars)
        changed = [name for name, text in parts.items() if self._is_changed(name, text)]
        chosen = _take_fitting(changed, parts, budget, len(header))
        is_whole = len(chosen) == len(changed)
        obsolete = [name for name in self.part_hashes if name not in parts]
        room = max(0, budget.entries - 2 - len(chosen)) if is_whole else 0
        removed = obsolete[:room]
        hashes = self.part_hashes | {name: hash(parts[name]) for name in chosen}
        if not is_whole:
            header = self.header or _encode_initial_header(job, max_row_chars)
        return JobWrite(
            job,
            (
                Put(progress_key(job.job_id), header),
                *(Put(progress_key(job.job_id, n), parts[n]) for n in chosen),
            ),
            tuple(progress_key(job.job_id, name) for name in removed),
            is_whole,
            has_more=not is_whole or len(removed) < len(obsolete),
            part_hashes={n: h for n, h in hashes.items() if n not in removed},
        )

    def _is_changed(self, name: str, text: str) -> bool:
        return self.part_hashes.get(name) != hash(text)


def _encode_initial_header(job: JobProgress, max_row_chars: int) -> str:
    return encode_progress(JobProgress(job.request), max_row_chars).header


def _take_fitting(
    names: list[str], texts: dict[str, str], budget: WriteBudget, header_chars: int
) -> list[str]:
    """Return the first names whose texts fit into a budget beside the header."""
    chosen = []
    chars = header_chars
    for name in names[: max(0, budget.entries - 2)]:
        chars += len(texts[name])
        if chars > budget.chars:
            break
        chosen.append(name)
    return chosen
