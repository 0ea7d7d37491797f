"""Stand-in for the object store."""

from __future__ import annotations

from aiohttp import web

from standins.faults import Faults, make_app


class ObjectsStandIn:
    """Whole objects in memory."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.texts: dict[str, str] = {}
        self.app = make_app(self.faults)
        self.app.router.add_put("/v1/objects/{name:.+}", self._write)
        self.app.router.add_get("/v1/objects/{name:.+}", self._read)

    async def _write(self, request: web.Request) -> web.Response:
        self.texts[request.match_info["name"]] = (await request.json())["text"]
        return web.json_response({})

    async def _read(self, request: web.Request) -> web.Response:
        text = self.texts.get(request.match_info["name"])
        if text is None:
            return web.json_response({}, status=404)
        return web.json_response({"text": text})
