"""Runs stand-ins as a process: ``python -m standins FILE KIND [KIND ...]``.

The file is the platform's list of hosts and the addresses of its services.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pyjson5

from standins.faults import serve_app
from standins.hosts import HostsStandIn
from standins.minion import MinionStandIn
from standins.objects import ObjectsStandIn
from standins.table import TableStandIn
from standins.worker import WorkerStandIn


def _make_app(entry: dict[str, object]):
    match entry["role"]:
        case "minion":
            return MinionStandIn(entry["name"]).app
        case "worker":
            sizes = {k: entry[k] for k in ("accelerators", "cores", "memory_mb")}
            return WorkerStandIn(entry["name"], **sizes).app
    raise ValueError(f"no stand-in for role {entry['role']!r}")


def _list_apps(platform: dict[str, object], kind: str):
    match kind:
        case "table":
            return [(platform["table"], TableStandIn().app)]
        case "objects":
            return [(platform["objects"], ObjectsStandIn().app)]
        case "hosts":
            return [(platform["hosts"], HostsStandIn(platform["entries"]).app)]
    return [
        (entry["url"], _make_app(entry))
        for entry in platform["entries"]
        if entry["role"] == kind
    ]


async def _serve(path: str, kinds: list[str]) -> None:
    platform = pyjson5.decode(Path(path).read_text(encoding="utf-8"))
    for kind in kinds:
        for url, app in _list_apps(platform, kind):
            address, _, port = url.removeprefix("http://").rpartition(":")
            await serve_app(app, address, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(_serve(sys.argv[1], sys.argv[2:]))
    except KeyboardInterrupt:
        pass
