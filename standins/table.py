"""Stand-in for the table service that keeps its rows in memory."""

from __future__ import annotations

import asyncio
import bisect

from aiohttp import web
from result import Err, Ok, Result

from chiveledge.clock import Clock, SystemClock, run_with_timeout
from chiveledge.services import (
    CallError,
    Changes,
    Check,
    Conflict,
    HistoryGone,
    Put,
    Rejected,
    Row,
    Snapshot,
    Transaction,
    Unavailable,
    Unsettled,
    parse_part,
)
from chiveledge.services.table import MAX_TRANSACTION_OPERATIONS
from standins.faults import Faults, make_app

LATE_WRITE_TIMEOUT_S = 0.8
"""Time after which a late write fails at its caller."""

UNRESPONSIVE_WATCHES = "mute_watches"
"""Fault mode in which watches get no reply, while all other calls work."""

WATCH_TIMEOUT_S = 0.6
"""Time after the end of its wait at which a watch without a reply fails."""


class MemoryTable:
    """In-memory table service; the version rises with each transaction.

    Attributes
    ----------
    keys : list of str
        Keys of all rows, sorted.
    transactions, reads : int
        Counts of committed transactions and of reads.
    late_writes : int
        Number of transactions that get no reply and are committed late.
    late_write_delay_s : float
        Delay of these transactions.
    max_value_chars, max_entries : int
        Longest value of a row, and most checks, puts and deletes of a transaction;
        others are rejected.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.faults = Faults(clock)
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.version = 0
        self.transactions = 0
        self.reads = 0
        self._history: list[tuple[int, str]] = []
        self._changed = asyncio.Event()
        self.late_writes = 0
        self.late_write_delay_s = 2.0
        self.max_value_chars = 65_536
        self.max_entries = MAX_TRANSACTION_OPERATIONS
        self._clock = clock or SystemClock()

    async def read(self, key: str) -> Result[Row | None, CallError]:
        return await self.faults.call(lambda: Ok(self.find(key)), writes=False)

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        return await self.faults.call(lambda: Ok(self.find_all(prefix)), writes=False)

    async def transact(self, transaction: Transaction) -> Result[int, CallError]:
        if self.late_writes > 0:
            self.late_writes -= 1
            asyncio.ensure_future(self._commit_late(transaction))
            await self._clock.sleep(LATE_WRITE_TIMEOUT_S)
            return Err(Unsettled("no reply"))
        return await self.faults.call(lambda: self.commit(transaction), writes=True)

    async def snapshot(self, prefix: str) -> Result[Snapshot, CallError]:
        return await self.faults.call(
            lambda: Ok(Snapshot(tuple(self.find_all(prefix)), self.version)),
            writes=False,
        )

    async def watch(
        self, prefix: str, version: int, wait_s: float
    ) -> Result[Changes, CallError | HistoryGone]:
        deadline = self._clock.monotonic() + wait_s
        while True:
            response = await self.faults.call(lambda: Ok(None), writes=False)
            if response.is_err():
                return response
            if self._history and version + 1 < self._history[0][0]:
                return Err(HistoryGone(version))
            keys = {
                key: None
                for changed, key in self._history
                if changed > version and key.startswith(prefix)
            }
            remaining_s = deadline - self._clock.monotonic()
            unresponsive = self.faults.mode == UNRESPONSIVE_WATCHES
            if unresponsive and remaining_s <= 0:
                await run_with_timeout(
                    self._clock, asyncio.Event().wait(), WATCH_TIMEOUT_S
                )
                return Err(Unsettled("the watch got no reply"))
            if not unresponsive and (keys or remaining_s <= 0):
                return Ok(self._collect_changes(list(keys)))
            await run_with_timeout(self._clock, self._changed.wait(), remaining_s)

    async def _commit_late(self, transaction: Transaction) -> None:
        await self._clock.sleep(self.late_write_delay_s)
        self.commit(transaction)

    def forget_history(self) -> None:
        """Drop the change history, so that watches from older versions fail."""
        self._history = [(self.version + 1, "")]

    def _collect_changes(self, keys: list[str]) -> Changes:
        return Changes(
            rows=tuple(self.rows[key] for key in keys if key in self.rows),
            deleted=tuple(key for key in keys if key not in self.rows),
            version=self.version,
        )

    def find(self, key: str) -> Row | None:
        self.reads += 1
        return self.rows.get(key)

    def find_all(self, prefix: str) -> list[Row]:
        self.reads += 1
        found = []
        for key in self.keys[bisect.bisect_left(self.keys, prefix) :]:
            if not key.startswith(prefix):
                break
            found.append(self.rows[key])
        return found

    def commit(self, transaction: Transaction) -> Result[int, CallError]:
        keys = [row[0] for row in (*transaction.checks, *transaction.puts)]
        if len({parse_part(key) for key in (*keys, *transaction.deletes)}) > 1:
            return Err(Unavailable("all rows of a transaction must be in one part"))
        entries = len(keys) + len(transaction.deletes)
        if entries > self.max_entries:
            return Err(Rejected(f"{entries} entries are too many"))
        for key, value in transaction.puts:
            if len(value) > self.max_value_chars:
                return Err(Rejected(f"the value of {key} is too long"))
        failed = [
            check.key
            for check in transaction.checks
            if (self.rows[check.key].version if check.key in self.rows else 0)
            != check.version
        ]
        if failed:
            return Err(Conflict(tuple(failed)))
        self.transactions += 1
        self.version += 1
        for key, value in transaction.puts:
            if key not in self.rows:
                bisect.insort(self.keys, key)
            self.rows[key] = Row(key, self.version, value, transaction.write_id)
        for key in transaction.deletes:
            if self.rows.pop(key, None):
                self.keys.remove(key)
        changed_keys = [key for key, _ in transaction.puts] + list(transaction.deletes)
        self._history += [(self.version, key) for key in changed_keys]
        self._changed.set()
        self._changed = asyncio.Event()
        return Ok(self.version)


def make_table_app(table: MemoryTable) -> web.Application:
    """Return the HTTP application of a table."""

    async def read(request: web.Request) -> web.Response:
        row = table.find(request.query["key"])
        if row is None:
            return web.json_response({}, status=404)
        return web.json_response(row._asdict())

    async def scan(request: web.Request) -> web.Response:
        rows = table.find_all(request.query["prefix"])
        return web.json_response({"rows": [row._asdict() for row in rows]})

    async def transact(request: web.Request) -> web.Response:
        body = await request.json()
        transaction = Transaction(
            body["write_id"],
            tuple(Check(**check) for check in body["checks"]),
            tuple(Put(**put) for put in body["puts"]),
            tuple(body["deletes"]),
        )
        match table.commit(transaction):
            case Ok(version):
                return web.json_response({"version": version})
            case Err(Conflict(keys)):
                return web.json_response({"keys": keys}, status=409)
            case Err(error):
                return web.json_response({"error": str(error)}, status=400)
        raise AssertionError("unreachable")

    async def statistics(_: web.Request) -> web.Response:
        counts = {"transactions": table.transactions, "reads": table.reads}
        return web.json_response(counts | {"rows": len(table.rows)})

    app = make_app(table.faults)
    app.router.add_get("/v1/row", read)
    app.router.add_get("/v1/rows", scan)
    app.router.add_post("/v1/transactions", transact)
    app.router.add_get("/statistics", statistics)
    return app
