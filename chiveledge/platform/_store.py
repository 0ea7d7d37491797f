"""The platform's store as the product's table service.

A product key is the platform's table, a slash and the platform's key, before which a
numbered part is named; all other rows lie in the unnamed part. A value carries the
transaction's write ID before the text, so that a write without an answer can be
recognised.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.platform._typed import DECODE_ERRORS, typed
from chiveledge.services import (
    CallError,
    Changes,
    Check,
    Conflict,
    HistoryGone,
    HttpCaller,
    HttpReply,
    Put,
    Row,
    Snapshot,
    Transaction,
    Unavailable,
    Unsettled,
    make_row_key,
    parse_part,
    parse_row_name,
)
from chiveledge.services.health import ServiceHealth

T = TypeVar("T")

HTTP_OK = 200
HTTP_GONE = 410
HTTP_CONFLICT = 412

STATUS_TABLE = "status"
"""Rows that operators read."""

UNPARTED_TABLES = frozenset({"op", "servers", STATUS_TABLE})
"""Tables that the platform itself defines; their rows lie in the unnamed part."""

PAGE_ROWS = 500
"""Most rows that a reading returns."""

PAGE_PARTS = 1000
"""Parts that a full page of their list holds."""

CALL_TIMEOUT_S = 0.8
WATCH_MARGIN_S = 0.6
"""Time beyond its wait after which a watch counts as silent."""


class _Page(NamedTuple):
    """Some rows of a part, as of one moment."""

    rows: tuple[Row, ...]
    version: int
    has_more: bool


class PlatformStore:
    """Client of the platform's store.

    Parameters
    ----------
    caller : HttpCaller
        Connections to the store.
    watcher : HttpCaller
        Connections for watches, which stay busy for long.
    clock : Clock
        Source of time.
    """

    def __init__(self, caller: HttpCaller, watcher: HttpCaller, clock: Clock) -> None:
        self._caller = caller
        self._watcher = watcher
        self._clock = clock
        self._health = ServiceHealth(clock)

    @property
    def unresponsive(self) -> bool:
        """Whether calls get no answer now."""
        return self._health.unresponsive

    async def read(self, key: str) -> Result[Row | None, CallError]:
        """Return a row, or None where there is none."""
        address = _address(key)
        params = {"from": address["key"], "limit": "1"}
        params |= {"table": address["table"], "part": address["part"]}
        match await self._page(params):
            case Ok(_Page(rows=rows)):
                return Ok(rows[0] if rows and rows[0].key == key else None)
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        """Return all rows under a prefix."""
        return (await self.snapshot(prefix)).map(lambda found: list(found.rows))

    async def snapshot(self, prefix: str) -> Result[Snapshot, CallError]:
        """Return all rows under a prefix, and the version to watch from."""
        match await self._read_part(prefix, ""):
            case Ok(first):
                pass
            case Err(error):
                return Err(error)
        match await self._list_parts(prefix.partition("/")[0]):
            case Ok(parts):
                pass
            case Err(error):
                return Err(error)
        rows = list(first.rows)
        for part in parts:
            match await self._read_part(prefix, part):
                case Ok(found):
                    rows += found.rows
                case Err(error):
                    return Err(error)
        # Later readings are newer: watching from the first one misses nothing.
        return Ok(Snapshot(tuple(rows), first.version))

    async def _read_part(self, prefix: str, part: str) -> Result[Snapshot, CallError]:
        """Return the rows under a prefix that lie in one part."""
        rows: list[Row] = []
        version: int | None = None
        params = {"table": prefix.partition("/")[0], "part": part}
        params |= {"limit": str(PAGE_ROWS)}
        while True:
            match await self._page(params):
                case Ok(page):
                    pass
                case Err(error):
                    return Err(error)
            version = page.version if version is None else version
            rows += [row for row in page.rows if row.key.startswith(prefix)]
            if not page.has_more or not page.rows:
                return Ok(Snapshot(tuple(rows), version))
            params["from"] = parse_row_name(page.rows[-1].key) + "\0"

    async def _list_parts(self, table: str) -> Result[list[str], CallError]:
        """Return the named parts of a table of the product."""
        parts: list[str] = []
        if table in UNPARTED_TABLES:
            return Ok(parts)
        params = {"table": table}
        while True:
            match await self._get("/rows-parts", params, _decode_parts):
                case Ok(page):
                    pass
                case Err(error):
                    return Err(error)
            parts += [part for part in page if part]
            if len(page) < PAGE_PARTS:
                return Ok(parts)
            params["after"] = page[-1]

    async def watch(
        self, prefix: str, version: int, wait_s: float
    ) -> Result[Changes, CallError | HistoryGone]:
        """Wait for changes of a table after a version."""
        params = {
            "table": prefix.partition("/")[0],
            "after": str(version),
            "wait_ms": str(int(wait_s * 1000)),
        }
        reply = await self._call(
            self._watcher, "GET", "/rows-feed", wait_s + WATCH_MARGIN_S, params=params
        )
        match reply:
            case Ok(HttpReply(status=status, body=body)) if status == HTTP_OK:
                return _decode(_decode_changes, body)
            case Ok(HttpReply(status=status)) if status == HTTP_GONE:
                return Err(HistoryGone(version))
            case Ok(HttpReply(status=status)):
                return Err(Unavailable(f"the watch got {status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def transact(self, transaction: Transaction) -> Result[int, CallError]:
        """Commit a transaction; return the version of the rows it wrote."""
        puts = transaction.puts
        body = {
            "expected_rev": [
                _address(check.key) | {"ver": check.version}
                for check in transaction.checks
            ],
            "set_keys": [_encode_put(put, transaction.write_id) for put in puts],
            "remove": [_address(key) for key in transaction.deletes],
        }
        reply = await self._call(
            self._caller, "POST", "/rows-tx", CALL_TIMEOUT_S, body=body
        )
        match reply:
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_OK:
                return _decode(lambda body: typed(body["ver"], int), answer)
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_CONFLICT:
                found = _decode(partial(_find_differing, transaction.checks), answer)
                return found.and_then(lambda keys: Err(Conflict(keys)))
            case Ok(HttpReply(status=status)):
                return Err(Unavailable(f"the transaction got {status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def _call(
        self,
        caller: HttpCaller,
        method: str,
        path: str,
        timeout_s: float,
        *,
        body: dict | None = None,
        params: dict[str, str] | None = None,
    ) -> Result[HttpReply, Unavailable | Unsettled]:
        sent_s = self._clock.monotonic()
        reply = await caller.call(
            method, path, body, params=params, timeout_s=timeout_s
        )
        match reply:
            case Err(Unsettled()):
                self._health.record_missing_reply(sent_s)
            case _:
                self._health.record_reply()
        return reply

    async def _page(self, params: dict[str, str]) -> Result[_Page, CallError]:
        return await self._get("/rows-get", params, _decode_page)

    async def _get(
        self, path: str, params: dict[str, str], decode: Callable[[Any], T]
    ) -> Result[T, CallError]:
        reply = await self._call(
            self._caller, "GET", path, CALL_TIMEOUT_S, params=params
        )
        match reply:
            case Ok(HttpReply(status=status, body=body)) if status == HTTP_OK:
                return _decode(decode, body)
            case Ok(HttpReply(status=status)):
                return Err(Unavailable(f"the reading got {status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode(decode: Callable[[Any], T], body: object) -> Result[T, Unsettled]:
    """Return what an answer holds, or that it is none, as it can't be read."""
    try:
        return Ok(decode(typed(body, dict)))
    except DECODE_ERRORS as error:
        return Err(Unsettled(f"the store's answer can't be read: {error!r}"))


def _address(key: str) -> dict[str, str]:
    table = key.partition("/")[0]
    if table in UNPARTED_TABLES:
        return {"table": table, "part": "", "key": key.partition("/")[2]}
    return {"table": table, "part": parse_part(key), "key": parse_row_name(key)}


def _key_of(row: dict) -> str:
    part = row.get("part") or ""
    if part.isdecimal():
        return make_row_key(row["table"], int(part), row["key"])
    return f"{row['table']}/{row['key']}"


def _encode_put(put: Put, write_id: str) -> dict[str, object]:
    """Return a written row; those that operators read have their text alone."""
    address = _address(put.key)
    marked = address["table"] != STATUS_TABLE
    text = f"{write_id}\n{put.value}" if marked else put.value
    return address | {"value": base64.b64encode(text.encode()).decode()}


def _decode_row(row: dict) -> Row:
    """Return a row; one of another writer has no write ID and keeps its text."""
    try:
        text = base64.b64decode(row.get("value") or "").decode()
    except (binascii.Error, ValueError):
        text = ""
    write_id, separator, value = text.partition("\n")
    if not separator:
        write_id, value = "", text
    return Row(_key_of(row), row["ver"], value, write_id)


def _decode_rows(rows: Iterable[dict]) -> list[Row]:
    return [_decode_row(row) for row in rows]


def _decode_page(body: dict) -> _Page:
    return _Page(
        tuple(_decode_rows(body["rows"])),
        typed(body["ver"], int),
        bool(body.get("has_more")),
    )


def _decode_parts(body: dict) -> list[str]:
    return [typed(part, str) for part in body["parts"]]


def _decode_changes(body: dict) -> Changes:
    rows = body["rows"]
    return Changes(
        rows=tuple(_decode_row(row) for row in rows if not row.get("deleted")),
        deleted=tuple(_key_of(row) for row in rows if row.get("deleted")),
        version=typed(body["ver"], int),
    )


def _find_differing(checks: tuple[Check, ...], answer: dict) -> tuple[str, ...]:
    """Return the keys whose present versions are not the expected ones."""
    present = {_key_of(row): row["ver"] for row in answer.get("rows", ())}
    return tuple(
        check.key for check in checks if present.get(check.key, 0) != check.version
    )
