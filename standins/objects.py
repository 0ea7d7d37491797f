"""Stand-in for the object store."""

from __future__ import annotations

from aiohttp import web
from result import Ok, Result

from chiveledge.clock import Clock
from chiveledge.services import CallError
from standins.faults import Faults, make_app


class MemoryObjects:
    """In-memory object store; objects are texts."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.faults = Faults(clock)
        self.texts: dict[str, str] = {}

    async def write(self, name: str, text: str) -> Result[None, CallError]:
        return await self.faults.call(
            lambda: Ok(self.texts.update({name: text})), writes=True
        )

    async def read(self, name: str) -> Result[str | None, CallError]:
        return await self.faults.call(lambda: Ok(self.texts.get(name)), writes=False)


def make_objects_app(objects: MemoryObjects) -> web.Application:
    """Return the HTTP application of an object store."""

    async def write(request: web.Request) -> web.Response:
        objects.texts[request.match_info["name"]] = (await request.json())["text"]
        return web.json_response({})

    async def read(request: web.Request) -> web.Response:
        text = objects.texts.get(request.match_info["name"])
        if text is None:
            return web.json_response({}, status=404)
        return web.json_response({"text": text})

    app = make_app(objects.faults)
    app.router.add_put("/v1/objects/{name:.+}", write)
    app.router.add_get("/v1/objects/{name:.+}", read)
    return app
