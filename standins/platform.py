"""HTTP stand-in for the users' platform: its store, workers and operator.

It serves the published protocol on top of the in-process stand-ins, so that both
behave alike and show the same faults.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable

from aiohttp import web
from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.services import (
    Check,
    Conflict,
    HistoryGone,
    Put,
    Rejected,
    Transaction,
    Unavailable,
    make_row_key,
    parse_part,
    parse_row_name,
)
from chiveledge.services.task_worker import (
    Declined,
    DeclineReason,
    OrderAccepted,
    PaceOrder,
    PollRequest,
    StartOrder,
    StopOrder,
)
from standins.table import MemoryTable
from standins.task_worker import MemoryTaskWorker

_REASONS = {
    DeclineReason.FENCE: "fence",
    DeclineReason.OLD_RUN: "old",
    DeclineReason.LEASE_EXPIRED: "late",
    DeclineReason.NO_CAPACITY: "room",
    DeclineReason.NO_TICKET: "ticket",
}

MAX_TRANSACTION_ROWS = 100
ROW_BYTES = 65_536
READ_ONLY_TABLES = ("op", "servers")
PAGE_ROWS = 500
PAGE_PARTS = 1000


class StoreStandIn:
    """The platform's store on top of a `MemoryTable`.

    The protocol has no write IDs: clients store them within the values.

    Attributes
    ----------
    answered : int
        Number of calls that were answered.
    """

    def __init__(self, clock: Clock) -> None:
        self.answered = 0
        self.table = MemoryTable(clock)
        self.table.max_entries = MAX_TRANSACTION_ROWS
        self.table.max_value_chars = 2 * ROW_BYTES
        self._clock = clock

    def write(self, key: str, fields: object) -> int:
        """Write a row on behalf of the operator or a worker; return its version."""
        text = fields if isinstance(fields, str) else json.dumps(fields)
        value = base64.b64encode(text.encode()).decode()
        return self.table.commit(Transaction("", puts=(Put(key, value),))).unwrap()

    def remove(self, key: str) -> None:
        """Delete a row, as a departing worker does."""
        self.table.commit(Transaction("", deletes=(key,)))

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            client_max_size=2 << 20, middlewares=[self._count_answered]
        )
        app.router.add_post("/rows-tx", self._transact)
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-parts", self._parts)
        app.router.add_get("/rows-feed", self._feed)
        return app

    @web.middleware
    async def _count_answered(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        response = await handler(request)
        self.answered += 1
        return response

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        checks = tuple(
            Check(_make_key(row), row["ver"]) for row in body["expected_rev"]
        )
        puts = tuple(Put(_make_key(row), row["value"]) for row in body["set_keys"])
        deletes = tuple(_make_key(row) for row in body["remove"])
        if any(len(base64.b64decode(put.value)) > ROW_BYTES for put in puts):
            return web.json_response({"error": "a value is too long"}, status=400)
        if any(_parse_table(put.key) in READ_ONLY_TABLES for put in puts):
            return web.json_response({"error": "table is read-only"}, status=403)
        result = await self.table.transact(Transaction("", checks, puts, deletes))
        match result:
            case Ok(version):
                return self._respond({"ver": version})
            case Err(Conflict()):
                rows = [self._row(check.key) for check in checks]
                current = [row for row in rows if row is not None]
                return self._respond({"rows": current}, status=412)
            case Err(Rejected(reason)):
                return web.json_response({"error": reason}, status=400)
            case Err(error):
                return _respond_to_failure(request, error)
        raise AssertionError("unreachable")

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        table = query["table"]
        prefix = f"{table}/"
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        match await self.table.snapshot(prefix):
            case Err(error):
                return _respond_to_failure(request, error)
            case Ok(snapshot):
                pass
        keys = {
            _parse_name(row.key): row.key
            for row in snapshot.rows
            if _parse_part(row.key) == query.get("part", "")
        }
        names = [n for n in sorted(keys) if n >= first and (last is None or n < last)]
        rows = [self._row(keys[name]) for name in names[:limit]]
        return self._respond({"rows": rows, "has_more": len(names) > limit})

    async def _parts(self, request: web.Request) -> web.Response:
        match await self.table.snapshot(f"{request.query['table']}/"):
            case Err(error):
                return _respond_to_failure(request, error)
            case Ok(snapshot):
                parts = sorted({_parse_part(row.key) for row in snapshot.rows})
        after = request.query.get("after", "")
        parts = [part for part in parts if not after or part > after]
        return self._respond({"parts": parts[:PAGE_PARTS]})

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        prefix = f"{query['table']}/"
        wait_s = int(query.get("wait_ms", 0)) / 1000
        match await self.table.watch(prefix, int(query["after"]), wait_s):
            case Ok(changes):
                rows = [self._row(row.key) for row in changes.rows]
                rows += [
                    _make_deletion_row(key, changes.version) for key in changes.deleted
                ]
                return self._respond({"rows": rows, "ver": changes.version})
            case Err(HistoryGone()):
                return self._respond({}, status=410)
            case Err(error):
                return _respond_to_failure(request, error)
        raise AssertionError("unreachable")

    def _row(self, key: str) -> dict[str, object] | None:
        row = self.table.rows.get(key)
        if row is None:
            return None
        return {
            "table": _parse_table(key),
            "part": _parse_part(key),
            "key": _parse_name(key),
            "value": row.value,
            "ver": row.version,
        }

    def _respond(self, fields: dict[str, object], status: int = 200) -> web.Response:
        now_ms = int(self._clock.monotonic() * 1000)
        body = {"ver": self.table.version, "now_ms": now_ms} | fields
        return web.json_response(body, status=status)


def make_worker_app(worker: MemoryTaskWorker) -> web.Application:
    """Return the HTTP application of a worker."""

    async def start(request: web.Request) -> web.Response:
        body = await request.json()
        order = StartOrder(
            body["task"],
            body["run"],
            body["spec"],
            body["until_ms"],
            body.get("fence", 0),
            body.get("checkpoint_data", ""),
            body.get("ticket", ""),
        )
        return _respond_to_order(request, worker, await worker.start(order))

    async def stop(request: web.Request) -> web.Response:
        body = await request.json()
        order = StopOrder(body["task"], body["run"], body.get("fence", 0))
        return _respond_to_order(request, worker, await worker.stop(order))

    async def pace(request: web.Request) -> web.Response:
        body = await request.json()
        order = PaceOrder(
            body["task"], body["run"], body["percent"], body.get("fence", 0)
        )
        return _respond_to_order(request, worker, await worker.pace(order))

    async def hold(request: web.Request) -> web.Response:
        body = await request.json()
        wait_s = body.get("wait_ms", 0) / 1000
        reply = await worker.poll(
            PollRequest(
                body.get("fence", 0), body["last_seen"], body.get("until_ms"), wait_s
            )
        )
        match reply:
            case Ok(report):
                return web.json_response(
                    {
                        "clock_ms": report.clock_ms,
                        "born": report.incarnation_ms,
                        "running": [list(row) for row in report.running],
                        "ended": [list(row) for row in report.ended],
                    }
                )
        return _respond_to_order(request, worker, reply)

    @web.middleware
    async def check_instance(request: web.Request, handler) -> web.StreamResponse:
        expected = request.headers.get("X-Expect-Instance", worker.entry.name)
        if expected != worker.entry.name:
            return web.json_response({}, status=421)
        return await handler(request)

    app = web.Application(middlewares=[check_instance])
    app.router.add_post("/run-start", start)
    app.router.add_post("/run-stop", stop)
    app.router.add_post("/pace", pace)
    app.router.add_post("/hold", hold)
    return app


def describe_worker(worker: MemoryTaskWorker, address: str) -> dict[str, object]:
    """Return the fields of a worker's row in the store.

    Parameters
    ----------
    address : str
        Host and port of the worker's HTTP application.
    """
    entry = worker.entry
    return {
        "service": entry.service,
        "address": address,
        "zone": entry.domain,
        "version": "v1",
        "slots": 8,
        "state": "draining" if entry.draining else "ready",
        "cold_left_ms": 0,
        "capacity": {
            "cpu": entry.capacity.millicores,
            "mem_mb": entry.capacity.memory_mb,
            "gpu": entry.capacity.accelerators,
        },
        "labels": [*sorted(entry.labels - {entry.rack}), entry.rack],
        "clock_ms": worker.clock_ms,
        "born": entry.incarnation_ms,
        "sequence": 1,
    }


def _respond_to_order(
    request: web.Request, worker: MemoryTaskWorker, reply: Result
) -> web.Response:
    match reply:
        case Ok(OrderAccepted(clock_ms)):
            return web.json_response({"clock_ms": clock_ms})
        case Err(Declined(reason, clock_ms)):
            body = {"clock_ms": clock_ms, "reason": _REASONS[reason]}
            return web.json_response(body, status=409)
        case Err(error):
            return _respond_to_failure(request, error)
    raise AssertionError("unreachable")


def _respond_to_failure(request: web.Request, error: object) -> web.Response:
    if isinstance(error, Unavailable):
        return web.json_response({}, status=503)
    request.transport.close()
    return web.Response()


def _make_key(row: dict) -> str:
    if row["part"]:
        return make_row_key(row["table"], int(row["part"]), row["key"])
    return f"{row['table']}/{row['key']}"


def _parse_table(key: str) -> str:
    return key.partition("/")[0]


def _parse_part(key: str) -> str:
    """Return the part of a key; tables that others write have no parts."""
    return "" if _parse_table(key) in READ_ONLY_TABLES else parse_part(key)


def _parse_name(key: str) -> str:
    table, _, name = key.partition("/")
    return name if table in READ_ONLY_TABLES else parse_row_name(key)


def _make_deletion_row(key: str, version: int) -> dict[str, object]:
    row = {
        "table": _parse_table(key),
        "part": _parse_part(key),
        "key": _parse_name(key),
    }
    return row | {"ver": version, "deleted": True}


async def advance_workers(workers: list[MemoryTaskWorker]) -> None:
    """Advance all workers until cancelled."""
    await asyncio.gather(*(worker.run() for worker in workers))
