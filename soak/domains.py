"""Failure domains that operators drain and give back beside the other faults.

One at a time, all at once, one without workers, with a request that can't be read, and
back within a second. No run may begin there once the bound is over.
"""

from __future__ import annotations

import asyncio
import random

from standins.deployment import DRAIN_BOUND_S, WORKER_DOMAINS, Deployment

MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
MAX_DRAINS = 4
SHORT_DRAIN_S = (0.05, 0.9)
LONG_DRAIN_S = (DRAIN_BOUND_S + 0.5, DRAIN_BOUND_S + 4.0)
REQUESTS = ({}, {"by": "soak"}, "", "[" * 4000)


class DomainDrainer:
    """Drains failure domains and gives them back, until it is cancelled.

    Parameters
    ----------
    deployment : Deployment
        System under test.
    rng : random.Random
        Draws domains and times.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng

    async def run(self) -> None:
        """Drain up to `MAX_DRAINS` times."""
        domains = sorted(set(WORKER_DOMAINS.values()))
        choices = [*([domain] for domain in domains), domains, ["nobody-is-here"]]
        for _ in range(MAX_DRAINS):
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            bounds = self._rng.choice((SHORT_DRAIN_S, LONG_DRAIN_S, LONG_DRAIN_S))
            await self._drain(self._rng.choice(choices), self._rng.uniform(*bounds))

    async def _drain(self, domains: list[str], duration_s: float) -> None:
        print(f"  drain {domains} for {duration_s:.1f} s", flush=True)
        try:
            for domain in domains:
                self._deployment.drain(domain, self._rng.choice(REQUESTS))
            await asyncio.sleep(duration_s)
        finally:
            for domain in domains:
                self._deployment.give_back(domain)
