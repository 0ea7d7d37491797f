"""Stand-in for the table service: rows in memory, one lock-free event loop."""

from __future__ import annotations

import bisect

from aiohttp import web

from standins.faults import Faults, make_app


class TableStandIn:
    """Rows by key, with versions that only grow."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.rows: dict[str, dict[str, object]] = {}
        self.keys: list[str] = []
        self.version = 0
        self.transactions = 0
        self.reads = 0
        self.app = make_app(self.faults)
        self.app.router.add_get("/v1/row", self._read)
        self.app.router.add_get("/v1/rows", self._scan)
        self.app.router.add_post("/v1/transactions", self._transact)
        self.app.router.add_get("/statistics", self._statistics)

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        row = self.rows.get(request.query["key"])
        return web.json_response(row or {}, status=200 if row else 404)

    async def _scan(self, request: web.Request) -> web.Response:
        self.reads += 1
        prefix = request.query["prefix"]
        rows = []
        for key in self.keys[bisect.bisect_left(self.keys, prefix) :]:
            if not key.startswith(prefix):
                break
            rows.append(self.rows[key])
        return web.json_response({"rows": rows})

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        failed = [
            check["key"]
            for check in body["checks"]
            if self.rows.get(check["key"], {}).get("version", 0) != check["version"]
        ]
        if failed:
            return web.json_response({"keys": failed}, status=409)
        self.transactions += 1
        self.version += 1
        for put in body["puts"]:
            if put["key"] not in self.rows:
                bisect.insort(self.keys, put["key"])
            row = {"version": self.version, "write_id": body["write_id"]}
            self.rows[put["key"]] = put | row
        for key in body["deletes"]:
            if self.rows.pop(key, None):
                self.keys.remove(key)
        return web.json_response({"version": self.version})

    async def _statistics(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "transactions": self.transactions,
                "reads": self.reads,
                "rows": len(self.rows),
            }
        )
