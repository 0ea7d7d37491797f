"""Faults that every stand-in can be told to show, over ``POST /faults``."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults:
    """Switches of one stand-in; each call of ``POST /faults`` replaces them all.

    Attributes
    ----------
    down : bool
        Answer 503 without any effect.
    delay_s : float
        Wait before the handler runs.
    lose_replies : int
        Run the handler, then cut the connection, this many times.
    mode : str
        A fault that only this kind of stand-in knows.
    """

    def __init__(self) -> None:
        self.set({})

    def set(self, fields: dict[str, object]) -> None:
        self.down = bool(fields.get("down", False))
        self.delay_s = float(fields.get("delay_s", 0.0))
        self.lose_replies = int(fields.get("lose_replies", 0))
        self.mode = str(fields.get("mode", ""))

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path == "/faults":
            self.set(await request.json())
            return web.json_response({})
        if self.down:
            return web.json_response({}, status=503)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        response = await handler(request)
        if self.lose_replies > 0 and request.method != "GET":
            self.lose_replies -= 1
            request.transport.close()
        return response


def make_app(faults: Faults) -> web.Application:
    """Return an application that obeys `faults`."""
    app = web.Application(middlewares=[faults.middleware], client_max_size=16 << 20)
    app.router.add_post("/faults", _accept_faults)
    return app


async def _accept_faults(_: web.Request) -> web.Response:
    raise AssertionError("the middleware answers this path")


async def serve_app(app: web.Application, address: str, port: int) -> web.AppRunner:
    """Listen; return the runner, whose ``cleanup`` stops it."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, address, port, reuse_address=True).start()
    return runner
