"""The platform's store as the product's table service.

A product key is the platform's table, a slash and the platform's key. All rows lie
in the unnamed part, since a transaction spans one part. A value carries the
transaction's write ID before the text, so that a write without an answer can be
recognised.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable

from result import Err, Ok, Result

from chiveledge.clock import Clock
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
)
from chiveledge.services.health import ServiceHealth

HTTP_OK = 200
HTTP_GONE = 410
HTTP_CONFLICT = 412

STATUS_TABLE = "status"
"""Rows that operators read."""

PAGE_ROWS = 500
"""Most rows that a reading returns."""

CALL_TIMEOUT_S = 0.8
WATCH_MARGIN_S = 0.6
"""Time beyond its wait after which a watch counts as silent."""


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
    def silent(self) -> bool:
        """Whether calls get no answer now."""
        return self._health.silent

    async def read(self, key: str) -> Result[Row | None, CallError]:
        """Return a row, or None where there is none."""
        table, name = _split(key)
        params = {"table": table, "part": "", "from": name, "limit": "1"}
        match await self._page(params):
            case Ok(body):
                rows = _decode_rows(body["rows"])
                return Ok(rows[0] if rows and rows[0].key == key else None)
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        """Return all rows under a prefix."""
        return (await self.snapshot(prefix)).map(lambda found: list(found.rows))

    async def snapshot(self, prefix: str) -> Result[Snapshot, CallError]:
        """Return all rows under a prefix, and the version to watch from."""
        table, start = _split(prefix)
        rows: list[Row] = []
        version: int | None = None
        params = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
        if start:
            params["from"] = start
        while True:
            match await self._page(params):
                case Ok(body):
                    pass
                case Err(error):
                    return Err(error)
            # Later pages are newer: watching from the first one misses nothing.
            version = body["ver"] if version is None else version
            page = _decode_rows(body["rows"])
            rows += [row for row in page if row.key.startswith(prefix)]
            if not body.get("has_more") or not page:
                return Ok(Snapshot(tuple(rows), version))
            params["from"] = _split(page[-1].key)[1] + "\0"

    async def watch(
        self, prefix: str, version: int, wait_s: float
    ) -> Result[Changes, CallError | HistoryGone]:
        """Wait for changes of a table after a version."""
        table, _ = _split(prefix)
        params = {
            "table": table,
            "after": str(version),
            "wait_ms": str(int(wait_s * 1000)),
        }
        reply = await self._call(
            self._watcher, "GET", "/rows-feed", wait_s + WATCH_MARGIN_S, params=params
        )
        match reply:
            case Ok(HttpReply(status=status, body=body)) if status == HTTP_OK:
                return Ok(_decode_changes(body))
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
                return Ok(answer["ver"])
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_CONFLICT:
                return Err(Conflict(_find_differing(transaction.checks, answer)))
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
                self._health.note_silence(sent_s)
            case _:
                self._health.note_answer()
        return reply

    async def _page(self, params: dict[str, str]) -> Result[dict, CallError]:
        reply = await self._call(
            self._caller, "GET", "/rows-get", CALL_TIMEOUT_S, params=params
        )
        match reply:
            case Ok(HttpReply(status=status, body=body)) if status == HTTP_OK:
                return Ok(body)
            case Ok(HttpReply(status=status)):
                return Err(Unavailable(f"the reading got {status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _split(key: str) -> tuple[str, str]:
    table, _, name = key.partition("/")
    return table, name


def _address(key: str) -> dict[str, object]:
    table, name = _split(key)
    return {"table": table, "part": "", "key": name}


def _key_of(row: dict) -> str:
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


def _decode_changes(body: dict) -> Changes:
    rows = body["rows"]
    return Changes(
        rows=tuple(_decode_row(row) for row in rows if not row.get("deleted")),
        deleted=tuple(_key_of(row) for row in rows if row.get("deleted")),
        version=body["ver"],
    )


def _find_differing(checks: tuple[Check, ...], answer: dict) -> tuple[str, ...]:
    """Return the keys whose present versions are not the expected ones."""
    present = {_key_of(row): row["ver"] for row in answer.get("rows", ())}
    return tuple(
        check.key for check in checks if present.get(check.key, 0) != check.version
    )
