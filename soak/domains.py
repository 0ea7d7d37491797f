"""Failure domains that operators drain and give back while other faults happen.

They drain one, all at once, or one without workers, with rows that can or can't be
read, and give some back within a second. No run may begin in a domain that has been
drained for longer than `DRAIN_BOUND_S`.
"""

from __future__ import annotations

import asyncio
import random

from standins.deployment import DRAIN_BOUND_S, WORKER_DOMAINS, Deployment

MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
MAX_DRAINS = 4
"""Drains of one seed."""

SHORT_DRAIN_S = (0.05, 0.9)
LONG_DRAIN_S = (DRAIN_BOUND_S + 0.5, DRAIN_BOUND_S + 4.0)
"""Shortest and longest time, as for `SHORT_DRAIN_S`."""

REQUESTS = ({}, {"by": "soak"}, "", "[" * 4000)
"""Values of the rows; the last two are no objects."""


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
        """Drain domains for a time, then give them back, also when cancelled."""
        print(f"  drain {domains} for {duration_s:.1f} s", flush=True)
        try:
            for domain in domains:
                self._deployment.drain(domain, self._rng.choice(REQUESTS))
            await asyncio.sleep(duration_s)
        finally:
            for domain in domains:
                self._deployment.give_back(domain)
