"""Workers that drain, lose their entry and are unreachable for a moment, but live on.

The platform removes the entry of a worker whose heartbeats don't arrive, whether the
worker has left, is cut off, or reaches everybody but the platform.
"""

from __future__ import annotations

import asyncio
import random

from soak.proxy import LinkProxy
from standins.deployment import Deployment

MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
MAX_STEP_S = 1.2
"""Longest time that a worker drains, lives without its entry, or is unreachable."""

LEAVES_MS = 30_000
"""Time that a draining worker announces: long, so that its runs stay there."""

MAX_DRAINS = 6


class DrainInjector:
    """Lets one worker after another drain and come back, until it is cancelled.

    Parameters
    ----------
    deployment : Deployment
        System under test.
    links : dict
        Proxies by link name.
    rng : random.Random
        Draws workers and times.
    """

    def __init__(
        self, deployment: Deployment, links: dict[str, LinkProxy], rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._links = links
        self._rng = rng

    async def run(self) -> None:
        """Drain up to `MAX_DRAINS` workers."""
        for _ in range(MAX_DRAINS):
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            await self._drain(self._rng.randrange(len(self._deployment.workers)))

    async def _drain(self, number: int) -> None:
        worker = self._deployment.workers[number]
        name = worker.entry.name
        worker.entry = worker.entry._replace(draining=True)
        try:
            self._deployment.publish(worker, leaves_ms=LEAVES_MS)
            await self._pause()
            self._deployment.store.remove(f"servers/{name}")
            await self._pause()
            await self._links[name].refuse(self._rng.uniform(0.1, MAX_STEP_S))
            await self._pause()
        finally:
            worker.entry = worker.entry._replace(draining=False)
            self._deployment.publish(worker)

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.1, MAX_STEP_S))
