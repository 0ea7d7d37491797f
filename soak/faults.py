"""Faults of a soak, drawn from its seed; several overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from typing import TypeAlias

from soak.proxy import LinkMode, LinkProxy
from standins.deployment import Deployment

LONGEST_S = 4.0
SHORTEST_S = 0.3


@dataclass(frozen=True)
class LinkFault:
    """A link misbehaves for a while."""

    link: str
    mode: LinkMode
    for_s: float


@dataclass(frozen=True)
class Pause:
    """A process stands still for a while."""

    node: str
    for_s: float


@dataclass(frozen=True)
class Kill:
    """A process ends at once and starts again after a while."""

    node: str
    for_s: float


@dataclass(frozen=True)
class Stop:
    """A process is told to stop and starts again once it has."""

    node: str


@dataclass(frozen=True)
class StoreFault:
    """The store is down or slow, or loses replies, for a while."""

    down: bool
    delay_s: float
    lose_replies: int
    for_s: float


@dataclass(frozen=True)
class WorkerCrash:
    """A worker loses all it runs and starts anew under its name."""

    number: int


Fault: TypeAlias = LinkFault | Pause | Kill | Stop | StoreFault | WorkerCrash


def draw_fault(
    rng: random.Random, nodes: list[str], links: list[str], workers: int
) -> Fault:
    """Return one fault."""
    for_s = rng.uniform(SHORTEST_S, LONGEST_S)
    node = rng.choice(nodes)
    kind = rng.choice(
        (LinkFault, LinkFault, Pause, Kill, Stop, StoreFault, WorkerCrash)
    )
    if kind is LinkFault:
        modes = [mode for mode in LinkMode if mode is not LinkMode.PASS]
        return LinkFault(rng.choice(links), rng.choice(modes), for_s)
    if kind is StoreFault:
        return StoreFault(
            down=rng.random() < 0.4,
            delay_s=rng.choice((0.0, 0.1, 0.4)),
            lose_replies=rng.choice((0, 2, 6)),
            for_s=for_s,
        )
    if kind is WorkerCrash:
        return WorkerCrash(rng.randrange(workers))
    return Stop(node) if kind is Stop else kind(node, for_s)


class FaultInjector:
    """Carries faults out and takes them back.

    Parameters
    ----------
    deployment : Deployment
        Processes, store and workers.
    links : dict
        Proxies by name.
    """

    def __init__(self, deployment: Deployment, links: dict[str, LinkProxy]) -> None:
        self._deployment = deployment
        self._links = links
        self._busy: set[str] = set()

    async def inject(self, fault: Fault) -> None:
        """Carry one fault out, to its end."""
        match fault:
            case LinkFault(link, mode, for_s):
                proxy = self._links[link]
                proxy.delay_s = 0.2
                proxy.set_mode(mode)
                await asyncio.sleep(for_s)
                proxy.set_mode(LinkMode.PASS)
            case StoreFault(down, delay_s, lose_replies, for_s):
                faults = self._deployment.store.table.faults
                faults.set(
                    {"down": down, "delay_s": delay_s, "lose_replies": lose_replies}
                )
                await asyncio.sleep(for_s)
                faults.set({})
            case WorkerCrash(number):
                self._crash(number)
            case Pause(node) | Kill(node) | Stop(node):
                await self._disturb(node, fault)

    def _crash(self, number: int) -> None:
        worker = self._deployment.workers[number]
        worker.crash(worker.entry.incarnation_ms + 1)
        self._deployment.publish(worker)

    async def _disturb(self, node: str, fault: Pause | Kill | Stop) -> None:
        if node in self._busy:
            return
        self._busy.add(node)
        process = self._deployment.processes[node]
        match fault:
            case Pause(for_s=for_s):
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(for_s)
                process.send_signal(signal.SIGCONT)
            case Kill(for_s=for_s):
                await self._deployment.kill(node)
                await asyncio.sleep(for_s)
                await self._deployment.launch(node)
            case Stop():
                process.send_signal(signal.SIGTERM)
                await process.wait()
                await self._deployment.launch(node)
        self._busy.discard(node)
