"""Stand-in for a minion that runs one request per slot and counts the runs."""

from __future__ import annotations

import json
from collections import Counter

from aiohttp import web

from chiveledge.clock import Clock, SystemClock
from chiveledge.services import (
    MinionAnswer,
    MinionDeclined,
    MinionLost,
    MinionNotReached,
    MinionReply,
    MinionRequest,
)
from standins.faults import Faults, make_app

SLOTS = 8
HANG_S = 3600.0


class MemoryMinion:
    """In-memory minion that echoes the body of each request.

    The fault modes are ``fail``, ``hang``, ``cut`` (connection reset within the
    body), ``crossed`` (answer with another request's ID) and ``leaving`` (declines
    all requests).

    Attributes
    ----------
    runs : Counter
        Number of runs by the ``order`` field of the body, or else by request ID.
    """

    def __init__(
        self, name: str, clock: Clock | None = None, *, work_s: float = 0.01
    ) -> None:
        self.name = name
        self.clock = clock or SystemClock()
        self.work_s = work_s
        self.faults = Faults(self.clock)
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.most_running = 0
        self.declined = 0

    async def run(self, request: MinionRequest) -> MinionReply:
        if self.faults.down:
            return MinionNotReached("down")
        if not self.acquire_slot(request.body, request.request_id):
            return MinionDeclined(self.running)
        if self.faults.mode == "hang":
            await self.clock.sleep(request.deadline_s)
            return MinionLost("timeout")
        answer = await self.process(request.body)
        match self.faults.mode:
            case "cut":
                return MinionLost("truncated")
            case "crossed":
                return MinionLost("crossed")
            case "fail":
                return MinionAnswer(500, b"failed", "text/plain", self.running)
        if self.faults.consume_lost_reply():
            return MinionLost("reset")
        return MinionAnswer(200, answer, "application/json", self.running)

    def acquire_slot(self, body: bytes, request_id: str) -> bool:
        """Take a slot and count the run; return False if no slot is free."""
        if self.running >= SLOTS or self.faults.mode == "leaving":
            self.declined += 1
            return False
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.runs[str(_decode(body).get("order", request_id))] += 1
        return True

    async def process(self, body: bytes) -> bytes:
        """Process a body for its ``work_s``, release the slot and return the answer."""
        work_s = float(_decode(body).get("work_s", self.work_s))
        try:
            await self.clock.sleep(HANG_S if self.faults.mode == "hang" else work_s)
        finally:
            self.running -= 1
        size = int(_decode(body).get("answer_bytes", 0))
        echo = body.decode(errors="replace")
        answer = {"minion": self.name, "echo": echo, "filling": "x" * size}
        return json.dumps(answer).encode()


def make_minion_app(minion: MemoryMinion) -> web.Application:
    """Return the HTTP application of a minion."""

    async def run(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Running": str(minion.running),
        }
        if not minion.acquire_slot(body, request.headers["X-Request-Id"]):
            return web.Response(status=429, headers=headers)
        answer = await minion.process(body)
        match minion.faults.mode:
            case "fail":
                return web.Response(status=500, headers=headers, body=b"failed")
            case "crossed":
                headers["X-Request-Id"] = "another-request"
            case "cut":
                return await _send_half(request, headers, answer)
        return web.Response(
            body=answer, headers=headers, content_type="application/json"
        )

    async def statistics(_: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": minion.name,
                "runs": dict(minion.runs),
                "most_running": minion.most_running,
                "declined": minion.declined,
            }
        )

    app = make_app(minion.faults)
    app.router.add_post("/v1/run", run)
    app.router.add_get("/statistics", statistics)
    return app


async def _send_half(
    request: web.Request, headers: dict[str, str], answer: bytes
) -> web.StreamResponse:
    response = web.StreamResponse(headers=headers)
    response.content_length = len(answer)
    await response.prepare(request)
    await response.write(answer[: len(answer) // 2])
    request.transport.close()
    return response


def _decode(body: bytes) -> dict[str, object]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
