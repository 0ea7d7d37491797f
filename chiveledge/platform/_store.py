"""Table service on the platform's store.

A product key is the platform's table, a slash and the platform's key, such as
``progress/00c0ffee``. For a row in a numbered part, the number and a colon precede the
platform's key, as in ``inbox/3:00c0ffee``; all other rows are in the unnamed part. The
write ID of the transaction is stored in front of a value's text, so that a write whose
answer was lost can be recognized.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.decoding import check_type, check_whole_number
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
    classify_error_status,
    decode_reply,
    make_row_key,
    parse_part,
    parse_row_name,
)
from chiveledge.services.health import ServiceHealth

T = TypeVar("T")

HTTP_OK = 200
HTTP_GONE = 410
HTTP_CONFLICT = 412

WRITE_ID_CHARS = 33
"""Length of a write ID and the line break after it."""

STATUS_TABLE = "status"
"""Table that operators read; its values have no write ID."""

SINGLE_PART_TABLES = frozenset({"op", "servers", STATUS_TABLE})
"""Tables that the platform defines; all their rows are in the unnamed part."""

MAX_PAGE_ROWS = 500
"""Maximum number of rows in one answer."""

MAX_PAGE_PARTS = 1000
"""Number of parts in a full page of the list of parts; a shorter page is the last."""

CALL_TIMEOUT_S = 0.8
WATCH_MARGIN_S = 0.6
"""Time allowed for the answer to a watch, in addition to the duration of the watch."""


class _Page(NamedTuple):
    """Consecutive rows of a part at one version.

    Attributes
    ----------
    last_key : str
        The platform's key of the last row, after which the next page begins; empty
        if there are no rows.
    """

    rows: tuple[Row, ...]
    version: int
    has_more: bool
    last_key: str


class PlatformStore:
    """Client of the platform's store.

    Parameters
    ----------
    caller : HttpCaller
        Connections to the store.
    watch_caller : HttpCaller
        Separate connections for watches, which occupy theirs for their whole duration.
    clock : Clock
        Time source.
    """

    def __init__(
        self, caller: HttpCaller, watch_caller: HttpCaller, clock: Clock
    ) -> None:
        self._caller = caller
        self._watch_caller = watch_caller
        self._clock = clock
        self._health = ServiceHealth(clock)

    @property
    def unresponsive(self) -> bool:
        """Whether the store currently answers no calls."""
        return self._health.unresponsive

    async def read(self, key: str) -> Result[Row | None, CallError]:
        """Return a row, or None if it does not exist."""
        address = _encode_key(key)
        params = {"from": address["key"], "limit": "1"}
        params |= {"table": address["table"], "part": address["part"]}
        match await self._read_page(params):
            case Ok(_Page(rows=rows)):
                return Ok(rows[0] if rows and rows[0].key == key else None)
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        """Return all rows whose keys start with a prefix."""
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
        # The other parts are read later, so a watch from the version of the first one
        # misses no change.
        return Ok(Snapshot(tuple(rows), first.version))

    async def _read_part(self, prefix: str, part: str) -> Result[Snapshot, CallError]:
        """Return the rows of one part whose keys start with a prefix."""
        rows: list[Row] = []
        version: int | None = None
        params = {"table": prefix.partition("/")[0], "part": part}
        params |= {"limit": str(MAX_PAGE_ROWS)}
        while True:
            match await self._read_page(params):
                case Ok(page):
                    pass
                case Err(error):
                    return Err(error)
            version = page.version if version is None else version
            rows += [row for row in page.rows if row.key.startswith(prefix)]
            if not page.has_more or not page.rows:
                return Ok(Snapshot(tuple(rows), version))
            params["from"] = page.last_key + "\0"

    async def _list_parts(self, table: str) -> Result[list[str], CallError]:
        """Return the numbered parts of a table."""
        parts: list[str] = []
        if table in SINGLE_PART_TABLES:
            return Ok(parts)
        params = {"table": table}
        while True:
            match await self._get("/rows-parts", params, _decode_parts):
                case Ok(page):
                    pass
                case Err(error):
                    return Err(error)
            parts += [part for part in page if part]
            if len(page) < MAX_PAGE_PARTS:
                return Ok(parts)
            params["after"] = page[-1]

    async def watch(
        self, prefix: str, version: int, wait_s: float
    ) -> Result[Changes, CallError | HistoryGone]:
        """Return the changes of a table after a version, waiting for the first one.

        Parameters
        ----------
        prefix : str
            Key prefix whose first component is the table.
        version : int
            Version after which changes are returned.
        wait_s : float
            Maximum time to wait for a change, in seconds.
        """
        params = {
            "table": prefix.partition("/")[0],
            "after": str(version),
            "wait_ms": str(int(wait_s * 1000)),
        }
        reply = await self._call(
            self._watch_caller,
            "GET",
            "/rows-feed",
            wait_s + WATCH_MARGIN_S,
            params=params,
        )
        match reply:
            case Ok(HttpReply(status=status, body=body)) if status == HTTP_OK:
                return _decode(_decode_changes, body)
            case Ok(HttpReply(status=status)) if status == HTTP_GONE:
                return Err(HistoryGone(version))
            case Ok(HttpReply(status=status)):
                return Err(Unavailable(f"the watch failed with status {status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def transact(self, transaction: Transaction) -> Result[int, CallError]:
        """Commit a transaction and return the version of the rows it wrote."""
        puts = transaction.puts
        body = {
            "expected_rev": [
                _encode_key(check.key) | {"ver": check.version}
                for check in transaction.checks
            ],
            "set_keys": [_encode_put(put, transaction.write_id) for put in puts],
            "remove": [_encode_key(key) for key in transaction.deletes],
        }
        reply = await self._call(
            self._caller, "POST", "/rows-tx", CALL_TIMEOUT_S, body=body
        )
        match reply:
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_OK:
                return _decode(lambda body: check_whole_number(body["ver"]), answer)
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_CONFLICT:
                found = _decode(partial(_find_mismatches, transaction.checks), answer)
                return found.and_then(lambda keys: Err(Conflict(keys)))
            case Ok(HttpReply(status=status)):
                return Err(classify_error_status(status, "the transaction"))
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

    async def _read_page(self, params: dict[str, str]) -> Result[_Page, CallError]:
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
                return Err(Unavailable(f"the read failed with status {status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode(decode: Callable[[Any], T], body: object) -> Result[T, Unsettled]:
    return decode_reply(decode, body, "the store")


def _encode_key(key: str) -> dict[str, str]:
    table = key.partition("/")[0]
    if table in SINGLE_PART_TABLES:
        return {"table": table, "part": "", "key": key.partition("/")[2]}
    return {"table": table, "part": parse_part(key), "key": parse_row_name(key)}


def _decode_key(row: dict) -> str:
    part = row.get("part") or ""
    if part.isdecimal():
        return make_row_key(row["table"], int(part), row["key"])
    return f"{row['table']}/{row['key']}"


def _encode_put(put: Put, write_id: str) -> dict[str, object]:
    """Encode a written row, with its write ID unless operators read the table."""
    address = _encode_key(put.key)
    has_write_id = address["table"] != STATUS_TABLE
    text = f"{write_id}\n{put.value}" if has_write_id else put.value
    return address | {"value": base64.b64encode(text.encode()).decode()}


def _decode_row(row: dict) -> Row:
    """Decode a row; the write ID is empty if another system wrote the row."""
    try:
        text = base64.b64decode(row.get("value") or "").decode()
    except (binascii.Error, ValueError):
        text = ""
    write_id, separator, value = text.partition("\n")
    if not separator or row["table"] in SINGLE_PART_TABLES:
        write_id, value = "", text
    return Row(_decode_key(row), check_whole_number(row["ver"]), value, write_id)


def _decode_page(body: dict) -> _Page:
    rows = body["rows"]
    return _Page(
        tuple(_decode_row(row) for row in rows),
        check_whole_number(body["ver"]),
        bool(body.get("has_more")),
        check_type(rows[-1]["key"], str) if rows else "",
    )


def _decode_parts(body: dict) -> list[str]:
    return [check_type(part, str) for part in body["parts"]]


def _decode_changes(body: dict) -> Changes:
    # A row that changed twice may be listed twice, the last change last.
    rows = {_decode_key(row): row for row in body["rows"]}.values()
    return Changes(
        rows=tuple(_decode_row(row) for row in rows if not row.get("deleted")),
        deleted=tuple(_decode_key(row) for row in rows if row.get("deleted")),
        version=check_whole_number(body["ver"]),
    )


def _find_mismatches(checks: tuple[Check, ...], answer: dict) -> tuple[str, ...]:
    """Return the keys whose current versions differ from the expected ones."""
    versions = {_decode_key(row): row["ver"] for row in answer.get("rows", ())}
    return tuple(
        check.key for check in checks if versions.get(check.key, 0) != check.version
    )
