"""Outcomes of an attempt to run a gang."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from chiveledge.scheduler._lost_attempts import LossSign
from chiveledge.types import WorkerName


@dataclass(frozen=True)
class AllFinished:
    """Every member finished; results are in the order of the members."""

    results: tuple[str, ...]


@dataclass(frozen=True)
class MembersFailed:
    """At least one member failed."""

    workers: tuple[WorkerName, ...]


@dataclass(frozen=True)
class MembersLost:
    """Members were lost, since workers are unresponsive or their leases lapsed."""

    workers: tuple[WorkerName, ...]
    sign: LossSign = LossSign.SILENT


@dataclass(frozen=True)
class Reclaimed:
    """The attempt was preempted, or stopped since its worker ran out of memory."""

    reason: str


@dataclass(frozen=True)
class Cancelled:
    """The owner cancelled the job."""


@dataclass(frozen=True)
class NeverStarted:
    """The attempt ended before every member had started; some may have."""

    reason: str


@dataclass(frozen=True)
class StartRejected:
    """The store rejects the row that says that the attempt runs."""

    reason: str


AttemptOutcome: TypeAlias = (
    AllFinished
    | MembersFailed
    | MembersLost
    | Reclaimed
    | Cancelled
    | NeverStarted
    | StartRejected
)
