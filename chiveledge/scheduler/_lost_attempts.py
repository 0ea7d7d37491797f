"""Bounds how often a job starts again after its workers were lost under it.

Load pattern: a job crashes each worker that starts it, and reports no failure. A worker
that restarts while it runs only one job is evidence against that job; a silent worker,
or one that ran other jobs too, is less, and the loss of half of a region is none.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import StrEnum
from typing import NamedTuple

LOSS_WINDOW = timedelta(minutes=10)
"""Time after which earlier losses don't count any more if none follows."""

MAX_BLAME = 8
"""Blame at which a job is given up: four attempts, each ended by a restart of workers
that ran nothing else."""

SHARED_LOSS_S = 5.0
"""Time within which losses of the same worker under several jobs count as one loss
that they share."""


class LossSign(StrEnum):
    """What is known of the workers that were lost under an attempt.

    They have restarted if they answer, but no longer know the attempt; they are silent
    if they don't answer or didn't start their members. The loss is widespread if at
    least half of the region's workers, and more than one, are lost.
    """

    RESTARTED = "restarted"
    SILENT = "silent"
    WIDESPREAD = "widespread"


class LossRecord(NamedTuple):
    """Losses of workers under a job, as its row keeps them.

    Attributes
    ----------
    blame : int
        Weight of the evidence that the job itself causes the losses: the sum of 0 to 2
        for each.
    last_at : datetime
        Wall time of the last one.
    """

    blame: int
    last_at: datetime

    @property
    def is_exhausted(self) -> bool:
        """Whether the job has to be given up."""
        return self.blame >= MAX_BLAME


def add_loss(
    record: LossRecord | None, sign: LossSign, *, alone: bool, now: datetime
) -> LossRecord:
    """Return the record with one more loss.

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
    """Return the blame for one loss."""
    match sign:
        case LossSign.RESTARTED if alone:
            return 2
        case LossSign.RESTARTED | LossSign.SILENT:
            return 1
        case LossSign.WIDESPREAD:
            return 0
    raise AssertionError(f"unknown sign {sign!r}")
