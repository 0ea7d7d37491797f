"""Drains of failure domains in the table service, changed by compare-and-set.

A drain is a row of its own, so it outlasts leaders and hosts. Each change also writes
one row that all changes share: it then takes effect at most once, and a copy of it that
the store carries out late can't undo a change that was made since.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.decoding import (
    DECODE_ERRORS,
    check_type,
    check_whole_number,
    parse_json,
)
from chiveledge.drains import Drain
from chiveledge.services import (
    CallError,
    Check,
    Conflict,
    Put,
    Row,
    TableService,
    Transaction,
    Unavailable,
    Unsettled,
    commit_with_retries,
    parse_part,
)
from chiveledge.types import DomainName

DRAIN_PREFIX = "drains/"
LAST_CHANGE_KEY = "drain-changes/last"
"""Row that every change checks and writes."""

COMMIT_TIMEOUT_S = 3.0
MAX_TRIES = 8
"""Tries of a change while other operators change drains at the same time."""

MAX_DOMAIN_CHARS = 100
MS_PER_S = 1000


class DrainChange(NamedTuple):
    """An operator's request to drain a failure domain or to lift its drain.

    Attributes
    ----------
    drained : bool
        Whether the domain is drained after the change.
    author : str
        Name of the operator, stored for the audit.
    """

    domain: DomainName
    drained: bool
    author: str


@dataclass(frozen=True)
class DrainCommitted:
    """The change is committed.

    Attributes
    ----------
    drain : Drain
        The drain now in force, or the one that was lifted. If none was there to lift,
        author and time are those of the change.
    changed : bool
        False if the domain was as requested before.
    """

    drain: Drain
    changed: bool


@dataclass(frozen=True)
class DrainRefused:
    """The change was not made and will not be."""

    reason: str


@dataclass(frozen=True)
class DrainUnknown:
    """The change may have been committed, or be committed later, as `write_id`."""

    write_id: str


DrainOutcome: TypeAlias = DrainCommitted | DrainRefused | DrainUnknown


def make_drain_key(domain: DomainName) -> str:
    """Return the key of the row of a domain's drain."""
    return DRAIN_PREFIX + domain


def find_domain_problem(domain: str) -> str:
    """Return why a failure domain can't have this name, with the remedy.

    The text is empty if it can.

    Examples
    --------
    >>> find_domain_problem("gyeonggi-a")
    ''
    >>> find_domain_problem("")
    "domain: got ''; give 1 to 100 printable characters without spaces around them"
    """
    if (
        not 0 < len(domain) <= MAX_DOMAIN_CHARS
        or not domain.isprintable()
        or domain != domain.strip()
    ):
        shown = domain[:MAX_DOMAIN_CHARS]
        return (
            f"domain: got {shown!r}; give 1 to {MAX_DOMAIN_CHARS} printable characters "
            "without spaces around them"
        )
    if parse_part(make_drain_key(domain)) or domain in (".", ".."):
        return f"domain: got {domain!r}; the name can't be that of a row or path"
    return ""


def decode_drain(row: Row) -> Drain:
    """Decode the row of a drain.

    The key alone drains the domain: if the value can't be read, author and time are
    those of an unknown request.
    """
    domain = row.key.removeprefix(DRAIN_PREFIX)
    try:
        fields = parse_json(row.value)
        author = check_type(fields["author"], str)
        return Drain(domain, author, check_whole_number(fields["since_ms"]))
    except DECODE_ERRORS:
        return Drain(domain)


async def read_drains(
    table: TableService,
) -> Result[dict[DomainName, Drain], CallError]:
    """Return the drains in force, by domain."""
    rows = await table.scan(DRAIN_PREFIX)
    return rows.map(lambda found: {d.domain: d for d in map(decode_drain, found)})


async def change_drain(
    table: TableService, clock: Clock, change: DrainChange, write_id: str
) -> DrainOutcome:
    """Drain a failure domain, or lift its drain.

    If the domain is already as requested, a transaction is committed all the same: an
    earlier change whose answer was lost can't take effect after it.

    Parameters
    ----------
    table : TableService
        Stores the drains.
    clock : Clock
        Source of time.
    change : DrainChange
        The request, whose domain has a valid name.
    write_id : str
        Unique name of this change.

    Returns
    -------
    DrainOutcome
        `DrainRefused` also if the store can't be read, or if other changes came first
        in `MAX_TRIES` tries.
    """
    for attempt in range(MAX_TRIES):
        match await _read_rows(table, change.domain):
            case Ok((last, row)):
                pass
            case Err(error):
                return DrainRefused(f"the table service is not available: {error}")
        drain = decode_drain(row) if row else _make_drain(change, clock)
        transaction = _build_transaction(
            change, last, row, drain, f"{write_id}.{attempt}"
        )
        result = await commit_with_retries(
            table, transaction, clock, timeout_s=COMMIT_TIMEOUT_S
        )
        match result:
            case Ok(_):
                return DrainCommitted(drain, changed=(row is None) == change.drained)
            case Err(Conflict()):
                continue
            case Err(Unsettled()):
                return DrainUnknown(transaction.write_id)
            case Err(Unavailable(reason)):
                return DrainRefused(f"the table service did not take it: {reason}")
    return DrainRefused("others change drains at the same time; send it again")


async def _read_rows(
    table: TableService, domain: DomainName
) -> Result[tuple[Row | None, Row | None], CallError]:
    """Return the row of the last change and the row of a domain's drain."""
    match await table.read(LAST_CHANGE_KEY):
        case Ok(last):
            row = await table.read(make_drain_key(domain))
            return row.map(lambda found: (last, found))
        case Err(error):
            return Err(error)
    raise AssertionError("unreachable")


def _make_drain(change: DrainChange, clock: Clock) -> Drain:
    since_ms = int(clock.now().timestamp() * MS_PER_S)
    return Drain(change.domain, change.author, since_ms)


def _build_transaction(
    change: DrainChange,
    last: Row | None,
    row: Row | None,
    drain: Drain,
    write_id: str,
) -> Transaction:
    key = make_drain_key(change.domain)
    checks = (
        Check(LAST_CHANGE_KEY, last.version if last else 0),
        Check(key, row.version if row else 0),
    )
    puts = [Put(LAST_CHANGE_KEY, json.dumps(change._asdict()))]
    if change.drained and row is None:
        fields = {"author": drain.author, "since_ms": drain.since_ms}
        puts.append(Put(key, json.dumps(fields)))
    deletes = (key,) if row and not change.drained else ()
    return Transaction(write_id, checks, tuple(puts), deletes)
