"""The platform's transactional table service."""

from __future__ import annotations

import re
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.services import _wire
from chiveledge.services._http import HttpCaller
from chiveledge.services.errors import (
    CallError,
    Conflict,
    HistoryGone,
    Unavailable,
    Unsettled,
)

ABSENT = 0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
SETTLE_PAUSE_S = 0.1
MAX_OPERATIONS = 500


_PART = re.compile(r"[a-z]+/(\d+):")
"""How a key names the part of its table; all other rows are in one part."""


def key_in_part(table: str, part: int, name: str) -> str:
    """Return the key of a row in a numbered part of a table.

    Examples
    --------
    >>> key_in_part("inbox", 3, "00c0ffee")
    'inbox/3:00c0ffee'
    """
    return f"{table}/{part}:{name}"


def part_of(key: str) -> str:
    """Return the part that a row is in, empty for rows of no numbered part.

    Examples
    --------
    >>> part_of("inbox/3:00c0ffee"), part_of("progress/00c0ffee")
    ('3', '')
    """
    match = _PART.match(key)
    return match.group(1) if match else ""


def name_of(key: str) -> str:
    """Return a row's name within its table and part.

    Examples
    --------
    >>> name_of("inbox/3:00c0ffee"), name_of("progress/00c0ffee")
    ('00c0ffee', '00c0ffee')
    """
    match = _PART.match(key)
    return key[match.end() :] if match else key.partition("/")[2]


class Row(NamedTuple):
    """One row: its key, its version (1 or more) and its text value."""

    key: str
    version: int
    value: str
    write_id: str


class Check(NamedTuple):
    """Requires a row to have a version; `ABSENT` requires that it is not there."""

    key: str
    version: int


class Put(NamedTuple):
    """Writes a row."""

    key: str
    value: str


class Transaction(NamedTuple):
    """Checks and writes that take effect together or not at all.

    All its rows lie in one part. A service does the transactions of one part one after
    another, and those of different parts side by side.

    Attributes
    ----------
    write_id : str
        Unique name; it is kept in every row that the transaction writes.
    """

    write_id: str
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class TableService(Protocol):
    """Reads, scans and transactions over versioned rows."""

    async def read(self, key: str) -> Result[Row | None, CallError]:
        """Return a row, or None where there is none."""

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        """Return all rows whose keys start with `prefix`, in key order."""

    async def transact(self, transaction: Transaction) -> Result[int, CallError]:
        """Commit a transaction and return the version of the rows it wrote."""


class Snapshot(NamedTuple):
    """Rows of one prefix, and the version from which to watch for later changes."""

    rows: tuple[Row, ...]
    version: int


class Changes(NamedTuple):
    """What changed after a version: rows as they are now and keys that are gone."""

    rows: tuple[Row, ...]
    deleted: tuple[str, ...]
    version: int


class WatchedTable(TableService, Protocol):
    """A table service that also tells of changes."""

    async def snapshot(self, prefix: str) -> Result[Snapshot, CallError]:
        """Return all rows whose keys start with `prefix`, and their version."""

    async def watch(
        self, prefix: str, version: int, wait_s: float
    ) -> Result[Changes, CallError | HistoryGone]:
        """Wait up to `wait_s` for changes after `version`; return at the first."""


class HttpTable:
    """Client of the table service over HTTP.

    Parameters
    ----------
    caller : HttpCaller
        Connection to the service.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def read(self, key: str) -> Result[Row | None, CallError]:
        reply = await self._caller.call("GET", _wire.TABLE_READ, params={"key": key})
        match reply:
            case Ok(answer) if answer.status == HTTP_NOT_FOUND:
                return Ok(None)
            case Ok(answer) if answer.status == HTTP_OK:
                return Ok(Row(**answer.body))
            case Ok(answer):
                return Err(Unavailable(f"read of {key!r} got {answer.status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        reply = await self._caller.call(
            "GET", _wire.TABLE_SCAN, params={"prefix": prefix}
        )
        match reply:
            case Ok(answer) if answer.status == HTTP_OK:
                return Ok([Row(**row) for row in answer.body["rows"]])
            case Ok(answer):
                return Err(Unavailable(f"scan of {prefix!r} got {answer.status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def transact(self, transaction: Transaction) -> Result[int, CallError]:
        body = {
            "write_id": transaction.write_id,
            "checks": [check._asdict() for check in transaction.checks],
            "puts": [put._asdict() for put in transaction.puts],
            "deletes": list(transaction.deletes),
        }
        match await self._caller.call("POST", _wire.TABLE_TRANSACT, body):
            case Ok(answer) if answer.status == HTTP_OK:
                return Ok(answer.body["version"])
            case Ok(answer) if answer.status == HTTP_CONFLICT:
                return Err(Conflict(tuple(answer.body["keys"])))
            case Ok(answer):
                return Err(Unavailable(f"transaction got {answer.status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


async def commit_settled(
    table: TableService,
    transaction: Transaction,
    clock: Clock,
    *,
    patience_s: float,
) -> Result[int, CallError]:
    """Commit a transaction and settle lost replies by sending it again.

    The transaction must check the version of a row that it also writes: then it
    takes effect once at the most, and a conflict on that row together with our
    write ID in it shows that an earlier send was committed.

    Parameters
    ----------
    table : TableService
        The service.
    transaction : Transaction
        Sent again unchanged, with the same write ID.
    clock : Clock
        Source of time.
    patience_s : float
        How long to go on settling.

    Returns
    -------
    Result
        The version of the written rows, or an error. `Unsettled` means that the
        transaction may be committed, now or later.
    """
    deadline = clock.monotonic() + patience_s
    may_have_committed = False
    while True:
        result = await table.transact(transaction)
        match result:
            case Ok(version):
                return Ok(version)
            case Err(Conflict() as conflict):
                if not may_have_committed:
                    return Err(conflict)
                found = await _find_own_write(table, transaction)
                match found:
                    case Ok(None):
                        return Err(conflict)
                    case Ok(row):
                        return Ok(row.version)
                    case Err(_):
                        pass
            case Err(Unsettled()):
                may_have_committed = True
            case Err(Unavailable() as error):
                if not may_have_committed and clock.monotonic() >= deadline:
                    return Err(error)
        if clock.monotonic() >= deadline:
            return Err(Unsettled("the commit is not settled yet"))
        await clock.sleep(SETTLE_PAUSE_S)


async def _find_own_write(
    table: TableService, transaction: Transaction
) -> Result[Row | None, CallError]:
    for put in transaction.puts:
        match await table.read(put.key):
            case Ok(row) if row is not None and row.write_id == transaction.write_id:
                return Ok(row)
            case Err(error):
                return Err(error)
    return Ok(None)
