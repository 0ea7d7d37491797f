"""Drains of failure domains: operators take a domain out and give it back.

Load pattern: a whole failure domain leaves while the fleet is full, and what would have
started there competes for the rest. Nothing starts in a drained domain; what runs there
goes on.

Operators request drains by rows of the users' platform (`platform/_drain_rows.py`) or
on the product's own interface (`drain_store.py`).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from chiveledge.types import DomainName


class Drain(NamedTuple):
    """Request of an operator that nothing more starts in a failure domain.

    Attributes
    ----------
    author : str
        Operator who requested it; empty if that is not known.
    since_ms : int
        Wall time of the request in milliseconds since 1970; 0 if that is not known.
    """

    domain: DomainName
    author: str = ""
    since_ms: int = 0


class KnownDrains(NamedTuple):
    """The drains as a process knows them.

    Attributes
    ----------
    drains : mapping
        Drains in force, by domain.
    age_s : float
        Time since they were last confirmed, in seconds; infinite if they never were.
    max_age_s : float
        Age up to which they are relied on, in seconds; infinite if nothing promises
        that a drain takes effect within a time.
    """

    drains: Mapping[DomainName, Drain]
    age_s: float = 0.0
    max_age_s: float = float("inf")

    @property
    def is_current(self) -> bool:
        """Whether the drains were confirmed recently enough to be relied on."""
        return self.age_s <= self.max_age_s

    def may_start_in(self, domain: DomainName) -> bool:
        """Return whether new runs may start in a failure domain.

        They may start nowhere while the drains are too old.

        Examples
        --------
        >>> known = KnownDrains({"a": Drain("a")}, age_s=1.0, max_age_s=3.0)
        >>> known.may_start_in("a"), known.may_start_in("b")
        (False, True)
        >>> known._replace(age_s=4.0).may_start_in("b")
        False
        """
        return self.is_current and domain not in self.drains


NO_DRAINS = KnownDrains({})
