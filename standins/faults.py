"""Faults that every stand-in can inject; set over HTTP with ``POST /faults``."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp import web
from result import Err, Result

from chiveledge.clock import Clock, SystemClock
from chiveledge.services import CallError, Unavailable, Unsettled

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
T = TypeVar("T")


class Faults:
    """Faults of one stand-in; `set` replaces them all.

    Attributes
    ----------
    down : bool
        Whether calls fail (status 503) without any effect.
    delay_s : float
        Delay before a call takes effect.
    lose_replies : int
        Number of writes that take effect before the connection is closed
        without a reply.
    mode : str
        Name of a fault that is specific to the kind of stand-in.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self.set({})

    def set(self, fields: dict[str, object]) -> None:
        self.down = bool(fields.get("down", False))
        self.delay_s = float(fields.get("delay_s", 0.0))
        self.lose_replies = int(fields.get("lose_replies", 0))
        self.mode = str(fields.get("mode", ""))

    def consume_lost_reply(self) -> bool:
        """Return whether the reply to this call is lost, and count it down."""
        if self.lose_replies <= 0:
            return False
        self.lose_replies -= 1
        return True

    async def call(
        self, effect: Callable[[], Result[T, CallError]], *, writes: bool
    ) -> Result[T, CallError]:
        """Make an in-process call subject to the faults."""
        await asyncio.sleep(0)
        if self.down:
            return Err(Unavailable("down"))
        if self.delay_s:
            await self._clock.sleep(self.delay_s)
        result = effect()
        if writes and self.consume_lost_reply():
            return Err(Unsettled("the reply was lost"))
        return result

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Make an HTTP call subject to the faults."""
        if request.path == "/faults":
            self.set(await request.json())
            return web.json_response({})
        if self.down:
            return web.json_response({}, status=503)
        if self.delay_s:
            await self._clock.sleep(self.delay_s)
        response = await handler(request)
        if request.method != "GET" and self.consume_lost_reply():
            request.transport.close()
        return response


def make_app(faults: Faults) -> web.Application:
    """Return an application without routes of its own, subject to `faults`."""
    app = web.Application(middlewares=[faults.middleware], client_max_size=16 << 20)
    app.router.add_post("/faults", _accept_faults)
    return app


async def _accept_faults(_: web.Request) -> web.Response:
    raise AssertionError("the middleware handles this path")


async def serve_app(app: web.Application, address: str, port: int) -> web.AppRunner:
    """Serve `app`; return its runner, whose ``cleanup`` stops it."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, address, port, reuse_address=True).start()
    return runner
