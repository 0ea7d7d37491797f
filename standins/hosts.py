"""Stand-in for the platform's list of hosts."""

from __future__ import annotations

from aiohttp import web

from standins.faults import Faults, make_app


class HostsStandIn:
    """A list that tests change with ``PUT /entries`` and ``POST /state``."""

    def __init__(self, entries: list[dict[str, object]]) -> None:
        self.faults = Faults()
        self.entries = entries
        self.version = 1
        self.app = make_app(self.faults)
        self.app.router.add_get("/v1/hosts", self._list)
        self.app.router.add_post("/state", self._set_state)

    def set_state(self, name: str, state: str) -> None:
        """Set one entry live or leaving, or remove it with ``"gone"``."""
        if state == "gone":
            self.entries = [e for e in self.entries if e["name"] != name]
        for entry in self.entries:
            if entry["name"] == name:
                entry["state"] = state
        self.version += 1

    async def _list(self, request: web.Request) -> web.Response:
        version = str(self.version)
        if request.query.get("known") == version:
            return web.json_response({"version": version})
        return web.json_response({"version": version, "hosts": self.entries})

    async def _set_state(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.set_state(body["name"], body["state"])
        return web.json_response({})
