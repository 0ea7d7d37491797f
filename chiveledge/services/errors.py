"""Errors that calls to the platform return as values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class Unavailable:
    """The call certainly had no effect."""

    reason: str


@dataclass(frozen=True)
class Rejected(Unavailable):
    """The call had no effect, and none if it is repeated, such as one over a limit."""


@dataclass(frozen=True)
class Refused(Unavailable):
    """The call had no effect: no process takes connections at the address."""


@dataclass(frozen=True)
class Unsettled:
    """The call may have taken effect; its reply was lost, late or unreadable."""

    reason: str


@dataclass(frozen=True)
class Conflict:
    """The call had no effect, because rows or resources were not as expected.

    Attributes
    ----------
    keys : tuple of str
        Keys of the rows, or names of the resources.
    """

    keys: tuple[str, ...]
    reason: str = ""


@dataclass(frozen=True)
class HistoryGone:
    """The changes after `version` are no longer kept; read a snapshot instead."""

    version: int


CallError: TypeAlias = Unavailable | Unsettled | Conflict
