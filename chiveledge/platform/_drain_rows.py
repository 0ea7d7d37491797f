"""Rows of the users' platform with which operators drain failure domains.

There is one row a domain, named after it. The product's own interface has rows of its
own, see `drain_store.py`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from chiveledge.decision_log import DecisionLog
from chiveledge.decoding import DECODE_ERRORS, check_type, describe_error, parse_json
from chiveledge.drains import Drain
from chiveledge.services import Row
from chiveledge.types import DomainName

DRAIN_PREFIX = "op/evacuate/"


class DrainRows:
    """Drains that operators requested by rows.

    Only the key counts: the domain that it names is drained, also if the value can't be
    read.

    Parameters
    ----------
    log : DecisionLog
        Receives a line for each drain that is set or lifted.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._drains: dict[DomainName, Drain] = {}

    @property
    def drains(self) -> Mapping[DomainName, Drain]:
        """Drains in force, by domain."""
        return self._drains

    def apply_changes(
        self, rows: Iterable[Row], deleted: Iterable[str], is_snapshot: bool
    ) -> None:
        """Apply changed and deleted rows; a snapshot replaces the drains.

        Rows of other prefixes and a row that names no domain are ignored.
        """
        rows = [row for row in rows if _find_domain(row.key)]
        lifted = {_find_domain(key) for key in deleted}
        if is_snapshot:
            lifted |= self._drains.keys() - {_find_domain(row.key) for row in rows}
        for domain in sorted(lifted & self._drains.keys()):
            del self._drains[domain]
            self._log.write("drains", "lifted", failure_domain=domain)
        for row in rows:
            self._set(row)

    def _set(self, row: Row) -> None:
        domain = _find_domain(row.key)
        if domain not in self._drains:
            self._log.write("drains", "set", failure_domain=domain, version=row.version)
            self._check_value(row)
        self._drains[domain] = Drain(domain)

    def _check_value(self, row: Row) -> None:
        """Log a value that can't be read; the drain is in force all the same."""
        try:
            check_type(parse_json(row.value), dict)
        except DECODE_ERRORS as error:
            reason = describe_error(error)
            self._log.write("drains", "unreadable", key=row.key, reason=reason)


def _find_domain(key: str) -> DomainName:
    """Return the failure domain that a row drains; empty if it drains none."""
    return key.removeprefix(DRAIN_PREFIX) if key.startswith(DRAIN_PREFIX) else ""
