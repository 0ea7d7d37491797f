"""Stand-ins as a process: ``python -m standins FILE KIND [KIND ...]``.

FILE is a JSON5 file with the platform's list of hosts and the URLs of its services.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pyjson5
from aiohttp import web

from chiveledge.services import HostEntry, HostRole
from standins.faults import serve_app
from standins.hosts import MemoryHosts, make_hosts_app
from standins.minion import MemoryMinion, make_minion_app
from standins.objects import MemoryObjects, make_objects_app
from standins.table import MemoryTable, make_table_app
from standins.worker import MemoryWorker, make_worker_app


def make_target_app(entry: HostEntry) -> web.Application:
    """Return the application of a listed minion or worker."""
    if entry.role is HostRole.MINION:
        return make_minion_app(MemoryMinion(entry.name))
    return make_worker_app(
        MemoryWorker(entry.name, entry.accelerators, entry.cores, entry.memory_mb)
    )


def list_apps(platform: dict, kind: str) -> list[tuple[str, web.Application]]:
    """Return the URL and application of each stand-in of one kind."""
    entries = [HostEntry(**entry) for entry in platform["entries"]]
    entries = [entry._replace(role=HostRole(entry.role)) for entry in entries]
    match kind:
        case "table":
            return [(platform["table"], make_table_app(MemoryTable()))]
        case "objects":
            return [(platform["objects"], make_objects_app(MemoryObjects()))]
        case "hosts":
            return [(platform["hosts"], make_hosts_app(MemoryHosts(entries)))]
    return [(e.url, make_target_app(e)) for e in entries if e.role == kind]


async def serve(path: str, kinds: list[str]) -> None:
    """Serve the given kinds of stand-ins until the process ends."""
    platform = pyjson5.decode(Path(path).read_text(encoding="utf-8"))
    for kind in kinds:
        for url, app in list_apps(platform, kind):
            address, _, port = url.removeprefix("http://").rpartition(":")
            await serve_app(app, address, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(serve(sys.argv[1], sys.argv[2:]))
    except KeyboardInterrupt:
        pass
