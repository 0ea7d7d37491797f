"""Error values of calls to the platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class Unavailable:
    """The call surely had no effect."""

    reason: str


@dataclass(frozen=True)
class Unsettled:
    """The call may have had its effect; the reply was lost or late."""

    reason: str


@dataclass(frozen=True)
class Conflict:
    """The call had no effect, because these keys or items were not as expected."""

    keys: tuple[str, ...]
    reason: str = ""


@dataclass(frozen=True)
class HistoryGone:
    """Changes after the asked version are not kept any more; take a snapshot."""

    version: int


CallError: TypeAlias = Unavailable | Unsettled | Conflict
