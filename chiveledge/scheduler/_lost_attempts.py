"""Bounds how often a job starts again after its workers were lost under it.

Load pattern: a job crashes each worker that starts it, and reports no failure. A worker
that restarts under the only job on it points to that job; a silent worker or one that
other jobs shared says less, and the loss of half of a region nothing.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import StrEnum
from typing import NamedTuple

LOSS_WINDOW = timedelta(minutes=10)
"""Time after which earlier losses don't count any more if none follows."""

MAX_BLAME = 8
"""Blame at which a job is given up: four restarts of workers that ran nothing else."""

SHARED_LOSS_S = 5.0
"""Time within which losses of the same worker under several jobs have one cause."""


class LossSign(StrEnum):
    """What is known of the workers that were lost under an attempt."""

    RESTARTED = "restarted"
    SILENT = "silent"
    WIDESPREAD = "widespread"


class LossRecord(NamedTuple):
    """Losses of workers under a job, as its row keeps them.

    Attributes
    ----------
    blame : int
        Sum over the losses of how much each points to the job.
    last_at : datetime
        Wall time of the last one.
    """

    blame: int
    last_at: datetime

    @property
    def is_exhausted(self) -> bool:
        """Whether the job is given up."""
        return self.blame >= MAX_BLAME


def add_loss(
    record: LossRecord | None, sign: LossSign, *, alone: bool, now: datetime
) -> LossRecord:
    """Return the record with one more lost attempt.

    Parameters
    ----------
    record : LossRecord or None
        Earlier losses, if there were any.
    sign : LossSign
        What is known of the workers.
    alone : bool
        Whether no other job ran on them.
    now : datetime
        Wall time of the loss.

    Examples
    --------
    >>> now = datetime(2026, 1, 1)
    >>> record = add_loss(None, LossSign.RESTARTED, alone=True, now=now)
    >>> add_loss(record, LossSign.SILENT, alone=True, now=now).blame
    3
    """
    is_recent = record is not None and now - record.last_at < LOSS_WINDOW
    before = record.blame if is_recent else 0
    return LossRecord(before + _weigh(sign, alone), now)


def _weigh(sign: LossSign, alone: bool) -> int:
    match sign:
        case LossSign.RESTARTED if alone:
            return 2
        case LossSign.RESTARTED | LossSign.SILENT:
            return 1
        case LossSign.WIDESPREAD:
            return 0
    raise AssertionError(f"unknown sign {sign!r}")
