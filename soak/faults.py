"""Faults of a soak, drawn at random from its seed; they may overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from typing import TypeAlias

from soak.proxy import LinkMode, LinkProxy
from standins.deployment import Deployment
from standins.run_record import Span

MAX_FAULT_S = 4.0
MIN_FAULT_S = 0.3


@dataclass(frozen=True)
class LinkFault:
    """A link applies a fault mode for `duration_s`."""

    link: str
    mode: LinkMode
    duration_s: float


@dataclass(frozen=True)
class Pause:
    """A process is suspended (SIGSTOP) for `duration_s`."""

    node: str
    duration_s: float


@dataclass(frozen=True)
class Kill:
    """A process is killed (SIGKILL) and started again after `duration_s`."""

    node: str
    duration_s: float


@dataclass(frozen=True)
class Stop:
    """A process is asked to stop (SIGTERM) and started again once it has ended."""

    node: str


@dataclass(frozen=True)
class StoreFault:
    """The store is down or slow, or loses replies, for `duration_s`."""

    down: bool
    delay_s: float
    lose_replies: int
    duration_s: float


@dataclass(frozen=True)
class WorkerCrash:
    """A worker loses all its runs and starts a new incarnation."""

    number: int


Fault: TypeAlias = LinkFault | Pause | Kill | Stop | StoreFault | WorkerCrash


def draw_fault(
    rng: random.Random, nodes: list[str], links: list[str], workers: int
) -> Fault:
    """Return a random fault."""
    duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
    node = rng.choice(nodes)
    kind = rng.choice(
        (LinkFault, LinkFault, Pause, Kill, Stop, StoreFault, WorkerCrash)
    )
    if kind is LinkFault:
        modes = [mode for mode in LinkMode if mode is not LinkMode.PASS]
        return LinkFault(rng.choice(links), rng.choice(modes), duration_s)
    if kind is StoreFault:
        return StoreFault(
            down=rng.random() < 0.4,
            delay_s=rng.choice((0.0, 0.1, 0.4)),
            lose_replies=rng.choice((0, 2, 6)),
            duration_s=duration_s,
        )
    if kind is WorkerCrash:
        return WorkerCrash(rng.randrange(workers))
    return Stop(node) if kind is Stop else kind(node, duration_s)


class FaultInjector:
    """Injects faults and reverts them.

    Parameters
    ----------
    deployment : Deployment
        System under test.
    links : dict
        Proxies by link name.
    """

    def __init__(self, deployment: Deployment, links: dict[str, LinkProxy]) -> None:
        self._deployment = deployment
        self._links = links
        self._disrupted: set[str] = set()
        self._crashed: set[int] = set()

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and revert it when its time is over."""
        match fault:
            case LinkFault(link, mode, duration_s):
                proxy = self._links[link]
                proxy.delay_s = 0.2
                proxy.set_mode(mode)
                await asyncio.sleep(duration_s)
                proxy.set_mode(LinkMode.PASS)
            case StoreFault(down, delay_s, lose_replies, duration_s):
                faults = self._deployment.store.table.faults
                faults.set(
                    {"down": down, "delay_s": delay_s, "lose_replies": lose_replies}
                )
                await asyncio.sleep(duration_s)
                faults.set({})
            case WorkerCrash(number):
                await self._crash_worker(number)
            case Pause(node) | Kill(node) | Stop(node):
                await self._disrupt_process(node, fault)

    async def _crash_worker(self, number: int) -> None:
        if number in self._crashed:
            return
        self._crashed.add(number)
        await self._deployment.crash_worker(number)
        self._crashed.discard(number)

    async def _disrupt_process(self, node: str, fault: Pause | Kill | Stop) -> None:
        if node in self._disrupted:
            return
        self._disrupted.add(node)
        process = self._deployment.processes[node]
        match fault:
            case Pause(duration_s=duration_s):
                clock = self._deployment.clock
                since_s = clock.monotonic()
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(duration_s)
                process.send_signal(signal.SIGCONT)
                self._deployment.record.pauses.append(Span(since_s, clock.monotonic()))
            case Kill(duration_s=duration_s):
                await self._deployment.kill(node)
                await asyncio.sleep(duration_s)
                await self._deployment.launch(node)
            case Stop():
                process.send_signal(signal.SIGTERM)
                await process.wait()
                await self._deployment.launch(node)
        self._disrupted.discard(node)
