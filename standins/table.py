"""Stand-in for the table service: rows in memory."""

from __future__ import annotations

import bisect

from aiohttp import web
from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.platform import CallError, Check, Conflict, Put, Row, Transaction
from standins.faults import Faults, make_app


class MemoryTable:
    """A table service within one process; versions only grow."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.faults = Faults(clock)
        self.rows: dict[str, Row] = {}
        self.keys: list[str] = []
        self.version = 0
        self.transactions = 0
        self.reads = 0

    async def read(self, key: str) -> Result[Row | None, CallError]:
        return await self.faults.call(lambda: Ok(self.find(key)), writes=False)

    async def scan(self, prefix: str) -> Result[list[Row], CallError]:
        return await self.faults.call(lambda: Ok(self.find_all(prefix)), writes=False)

    async def transact(self, transaction: Transaction) -> Result[int, CallError]:
        return await self.faults.call(lambda: self.commit(transaction), writes=True)

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
        return Ok(self.version)


def make_table_app(table: MemoryTable) -> web.Application:
    """Return the HTTP form of a table."""

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
            case Err(conflict):
                return web.json_response({"keys": conflict.keys}, status=409)

    async def statistics(_: web.Request) -> web.Response:
        counts = {"transactions": table.transactions, "reads": table.reads}
        return web.json_response(counts | {"rows": len(table.rows)})

    app = make_app(table.faults)
    app.router.add_get("/v1/row", read)
    app.router.add_get("/v1/rows", scan)
    app.router.add_post("/v1/transactions", transact)
    app.router.add_get("/statistics", statistics)
    return app
