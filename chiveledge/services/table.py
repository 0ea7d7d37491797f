"""The platform's transactional table service."""

from __future__ import annotations

import re
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.decoding import check_type, check_whole_number
from chiveledge.services import _wire
from chiveledge.services._http import HttpCaller, classify_error_status, decode_reply
from chiveledge.services.errors import (
    CallError,
    Conflict,
    HistoryGone,
    Rejected,
    Unavailable,
    Unsettled,
)

ABSENT = 0
"""Version of a row that does not exist."""

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409

RETRY_DELAY_S = 0.1
"""Pause before a transaction is sent again."""

MAX_TRANSACTION_OPERATIONS = 500

_PART_PREFIX = re.compile(r"[a-z]+/(\d+):")
"""Matches the start of a key in a numbered part; all other rows are in one part."""


def make_row_key(table: str, part: int, name: str) -> str:
    """Return the key of a row in a numbered part of a table.

    Examples
    --------
    >>> make_row_key("inbox", 3, "00c0ffee")
    'inbox/3:00c0ffee'
    """
    return f"{table}/{part}:{name}"


def parse_part(key: str) -> str:
    """Return the part number in a key; empty if the row is in no numbered part.

    Examples
    --------
    >>> parse_part("inbox/3:00c0ffee"), parse_part("progress/00c0ffee")
    ('3', '')
    """
    match = _PART_PREFIX.match(key)
    return match.group(1) if match else ""


def parse_row_name(key: str) -> str:
    """Return the name in a key, without its table and part.

    Examples
    --------
    >>> parse_row_name("inbox/3:00c0ffee"), parse_row_name("progress/00c0ffee")
    ('00c0ffee', '00c0ffee')
    """
    match = _PART_PREFIX.match(key)
    return key[match.end() :] if match else key.partition("/")[2]


class Row(NamedTuple):
    """One row of a table.

    Attributes
    ----------
    version : int
        Version of the row, at least 1; each write raises it.
    write_id : str
        ID of the transaction that wrote the row.
    """

    key: str
    version: int
    value: str
    write_id: str


class Check(NamedTuple):
    """Requires a row to have a version; `ABSENT` requires that it does not exist."""

    key: str
    version: int


class Put(NamedTuple):
    """Sets the value of a row, which is created if it does not exist."""

    key: str
    value: str


class Transaction(NamedTuple):
    """Checks and writes that take effect together or not at all.

    All its rows must be in one part. The service executes the transactions of a part
    one after another and those of different parts concurrently.

    Attributes
    ----------
    write_id : str
        Unique ID; stored in every row that the transaction writes.
    deletes : tuple of str
        Keys of the rows to delete.
    """

    write_id: str
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class TableService(Protocol):
    """Table of versioned rows with atomic transactions."""

    async def read(self, key: str) -> Result[Row | None, CallError]:
        """Return a row, or None if it does not exist."""

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        """Return all rows whose keys start with `prefix`, in key order."""

    async def transact(self, transaction: Transaction) -> Result[int, CallError]:
        """Commit a transaction and return the version of the rows it wrote."""


class Snapshot(NamedTuple):
    """Rows under a prefix, and the version after which to watch for changes."""

    rows: tuple[Row, ...]
    version: int


class Changes(NamedTuple):
    """Changes after a version: present rows, deleted keys and the version reached."""

    rows: tuple[Row, ...]
    deleted: tuple[str, ...]
    version: int


class WatchedTable(TableService, Protocol):
    """Table service whose changes can be watched."""

    async def snapshot(self, prefix: str) -> Result[Snapshot, CallError]:
        """Return all rows under `prefix`, and the version to watch from."""

    async def watch(
        self, prefix: str, version: int, wait_s: float
    ) -> Result[Changes, CallError | HistoryGone]:
        """Return the changes after `version`, waiting up to `wait_s` for the first."""


class HttpTable:
    """Client of the table service over HTTP.

    Parameters
    ----------
    caller : HttpCaller
        Connections to the service.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def read(self, key: str) -> Result[Row | None, CallError]:
        reply = await self._caller.call("GET", _wire.TABLE_READ, params={"key": key})
        match reply:
            case Ok(answer) if answer.status == HTTP_NOT_FOUND:
                return Ok(None)
            case Ok(answer) if answer.status == HTTP_OK:
                return decode_reply(_decode_row, answer.body, "the table service")
            case Ok(answer):
                return Err(Unavailable(f"read of {key!r} returned {answer.status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        reply = await self._caller.call(
            "GET", _wire.TABLE_SCAN, params={"prefix": prefix}
        )
        match reply:
            case Ok(answer) if answer.status == HTTP_OK:
                return decode_reply(_decode_rows, answer.body, "the table service")
            case Ok(answer):
                return Err(Unavailable(f"scan of {prefix!r} returned {answer.status}"))
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
                return decode_reply(_decode_version, answer.body, "the table service")
            case Ok(answer) if answer.status == HTTP_CONFLICT:
                found = decode_reply(_decode_keys, answer.body, "the table service")
                return found.and_then(lambda keys: Err(Conflict(keys)))
            case Ok(answer):
                return Err(classify_error_status(answer.status, "the transaction"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode_row(fields: dict) -> Row:
    return Row(
        check_type(fields["key"], str),
        check_whole_number(fields["version"]),
        check_type(fields["value"], str),
        check_type(fields["write_id"], str),
    )


def _decode_rows(body: dict) -> list[Row]:
    return [_decode_row(row) for row in body["rows"]]


def _decode_version(body: dict) -> int:
    return check_whole_number(body["version"])


def _decode_keys(body: dict) -> tuple[str, ...]:
    return tuple(check_type(key, str) for key in body["keys"])


async def commit_with_retries(
    table: TableService,
    transaction: Transaction,
    clock: Clock,
    *,
    timeout_s: float,
) -> Result[int, CallError]:
    """Commit a transaction, sending it again while its outcome is unknown.

    The transaction must check the version of a row that it also writes. It then takes
    effect at most once, and a conflict on that row proves that an earlier send was
    committed if the row has the transaction's write ID.

    Parameters
    ----------
    table : TableService
        Table to write to.
    transaction : Transaction
        Sent again unchanged, with the same write ID.
    clock : Clock
        Time source.
    timeout_s : float
        Time after which the transaction is not sent again, in seconds.

    Returns
    -------
    Result
        The version of the written rows, or an error. `Unsettled` means that the
        transaction may be committed, now or later.
    """
    deadline_s = clock.monotonic() + timeout_s
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
            case Err(Rejected() as error):
                return Err(error)
            case Err(Unavailable() as error):
                if not may_have_committed and clock.monotonic() >= deadline_s:
                    return Err(error)
        if clock.monotonic() >= deadline_s:
            return Err(Unsettled("the outcome of the commit is not known yet"))
        await clock.sleep(RETRY_DELAY_S)


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
