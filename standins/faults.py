"""Faults that every stand-in can be told to show, over ``POST /faults``."""

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
    """Switches of one stand-in; `set` replaces them all.

    Attributes
    ----------
    down : bool
        Answer 503 without any effect.
    delay_s : float
        Wait before the call has its effect.
    lose_replies : int
        Have the effect, then cut the connection, this many times.
    mode : str
        A fault that only this kind of stand-in knows.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self.set({})

    def set(self, fields: dict[str, object]) -> None:
        self.down = bool(fields.get("down", False))
        self.delay_s = float(fields.get("delay_s", 0.0))
        self.lose_replies = int(fields.get("lose_replies", 0))
        self.mode = str(fields.get("mode", ""))

    def loses_reply(self) -> bool:
        """Count down the replies to lose; return whether this one is lost."""
        if self.lose_replies <= 0:
            return False
        self.lose_replies -= 1
        return True

    async def call(
        self, effect: Callable[[], Result[T, CallError]], *, writes: bool
    ) -> Result[T, CallError]:
        """Make a call within one process obey the faults."""
        await asyncio.sleep(0)
        if self.down:
            return Err(Unavailable("down"))
        if self.delay_s:
            await self._clock.sleep(self.delay_s)
        result = effect()
        if writes and self.loses_reply():
            return Err(Unsettled("the reply was lost"))
        return result

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Make a call over HTTP obey the faults."""
        if request.path == "/faults":
            self.set(await request.json())
            return web.json_response({})
        if self.down:
            return web.json_response({}, status=503)
        if self.delay_s:
            await self._clock.sleep(self.delay_s)
        response = await handler(request)
        if request.method != "GET" and self.loses_reply():
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
