"""Stand-in for a minion: runs a request a slot and counts what it ran."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

from aiohttp import web

from standins.faults import Faults, make_app

SLOTS = 8


class MinionStandIn:
    """Answers each request with its own body and ID.

    The modes are ``fail``, ``hang``, ``cut`` (reset in mid-body), ``crossed``
    (another request's ID) and ``leaving`` (declines everything).
    """

    def __init__(self, name: str, *, work_s: float = 0.01) -> None:
        self.name = name
        self.work_s = work_s
        self.faults = Faults()
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.most_running = 0
        self.declined = 0
        self.app = make_app(self.faults)
        self.app.router.add_post("/v1/run", self._run)
        self.app.router.add_get("/statistics", self._statistics)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["X-Request-Id"]
        body = await request.read()
        mode = self.faults.mode
        headers = {"X-Request-Id": request_id, "X-Running": str(self.running)}
        if self.running >= SLOTS or mode == "leaving":
            self.declined += 1
            return web.Response(status=429, headers=headers)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.runs[_find_key(body, request_id)] += 1
        try:
            await asyncio.sleep(
                3600 if mode == "hang" else _find_work(body, self.work_s)
            )
        finally:
            self.running -= 1
        if mode == "fail":
            return web.Response(status=500, headers=headers, body=b"failed")
        if mode == "crossed":
            headers["X-Request-Id"] = "another-request"
        answer = json.dumps(
            {"minion": self.name, "echo": body.decode(errors="replace")}
        ).encode()
        if mode == "cut":
            return await self._send_half(request, headers, answer)
        return web.Response(
            body=answer, headers=headers, content_type="application/json"
        )

    async def _send_half(
        self, request: web.Request, headers: dict[str, str], answer: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_length = len(answer)
        await response.prepare(request)
        await response.write(answer[: len(answer) // 2])
        request.transport.close()
        return response

    async def _statistics(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self.name,
                "runs": dict(self.runs),
                "most_running": self.most_running,
                "declined": self.declined,
            }
        )


def _find_key(body: bytes, request_id: str) -> str:
    """Return the order number of the body, so that double runs can be counted."""
    return str(_decode(body).get("order", request_id))


def _find_work(body: bytes, default_s: float) -> float:
    return float(_decode(body).get("work_s", default_s))


def _decode(body: bytes) -> dict[str, object]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
