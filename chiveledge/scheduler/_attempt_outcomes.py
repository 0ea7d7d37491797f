"""The ways in which an attempt of a gang ends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from chiveledge.types import WorkerName


@dataclass(frozen=True)
class AllFinished:
    """Every member finished; results in the order of members."""

    results: tuple[str, ...]


@dataclass(frozen=True)
class MembersFailed:
    """Members failed on these workers."""

    workers: tuple[WorkerName, ...]


@dataclass(frozen=True)
class MembersLost:
    """Members vanished: a worker is silent, or its lease lapsed."""

    workers: tuple[WorkerName, ...]


@dataclass(frozen=True)
class Reclaimed:
    """A claim on a guarantee, or a worker that ran short, takes the place."""

    reason: str


@dataclass(frozen=True)
class Cancelled:
    """The owner cancelled the job."""


@dataclass(frozen=True)
class NeverStarted:
    """No member ran."""

    reason: str


AttemptOutcome: TypeAlias = (
    AllFinished | MembersFailed | MembersLost | Reclaimed | Cancelled | NeverStarted
)
