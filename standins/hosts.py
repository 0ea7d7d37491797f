"""Stand-in for the platform's list of hosts."""

from __future__ import annotations

from aiohttp import web
from result import Ok, Result

from chiveledge.clock import Clock
from chiveledge.services import CallError, HostEntry, HostState
from standins.faults import Faults, make_app


class MemoryHosts:
    """In-memory list of hosts; tests change it with `set_state`."""

    def __init__(self, entries: list[HostEntry], clock: Clock | None = None) -> None:
        self.faults = Faults(clock)
        self.entries = list(entries)
        self.version = 1

    async def read(self) -> Result[list[HostEntry], CallError]:
        return await self.faults.call(lambda: Ok(list(self.entries)), writes=False)

    def set_state(self, name: str, state: str) -> None:
        """Set the state of one entry, or remove the entry if it is ``"gone"``."""
        self.version += 1
        if state == "gone":
            self.entries = [e for e in self.entries if e.name != name]
            return
        self.entries = [
            e._replace(state=HostState(state)) if e.name == name else e
            for e in self.entries
        ]


def make_hosts_app(hosts: MemoryHosts) -> web.Application:
    """Return the HTTP application of a list; ``POST /state`` changes it."""

    async def show(request: web.Request) -> web.Response:
        version = str(hosts.version)
        if request.query.get("known") == version:
            return web.json_response({"version": version})
        entries = [entry._asdict() for entry in hosts.entries]
        return web.json_response({"version": version, "hosts": entries})

    async def set_state(request: web.Request) -> web.Response:
        body = await request.json()
        hosts.set_state(body["name"], body["state"])
        return web.json_response({})

    app = make_app(hosts.faults)
    app.router.add_get("/v1/hosts", show)
    app.router.add_post("/state", set_state)
    return app
