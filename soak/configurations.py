"""Queues that an operator adds and removes while other faults happen.

No process may answer as only versions allow that were replaced longer than the time
within which a change has to be in force.
"""

from __future__ import annotations

import asyncio
import copy
import random
from typing import NamedTuple

import aiohttp

from standins.deployment import CALLER, CONFIGURATION, Deployment

CONFIG_APPLY_S = 2.5
"""Time within which a change is in force; the default of the settings."""

PROBED_PREFIXES = ("/probed-a/", "/probed-b/", "/probed-c/")
PROBE_TIMEOUT_S = 3.0
PROBE_PAUSE_S = 0.05
MAX_CHANGE_PAUSE_S = 1.5
SERVED_STATUS = 200
UNKNOWN_QUEUE_STATUS = 404


class Version(NamedTuple):
    """Queues of a configuration, and when its write was acknowledged."""

    acknowledged_s: float
    prefixes: frozenset[str]


class Operator:
    """Writes configurations, each with some of `PROBED_PREFIXES`.

    Parameters
    ----------
    deployment : Deployment
        System under test.
    rng : random.Random
        Draws the versions.

    Attributes
    ----------
    versions : list of Version
        All that were written, the oldest first.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._number = CONFIGURATION["version"]
        self.versions = [Version(float("-inf"), frozenset())]

    def change(self) -> None:
        """Write a version."""
        self._number += self._rng.randint(1, 9)
        fields = copy.deepcopy(CONFIGURATION) | {"version": self._number}
        route = fields["routes"][0]
        route["target_runtime_ms"] = self._rng.randint(100, 2000)
        count = self._rng.randrange(len(PROBED_PREFIXES) + 1)
        prefixes = self._rng.sample(PROBED_PREFIXES, count)
        fields["routes"] += [route | {"path_prefix": prefix} for prefix in prefixes]
        self._deployment.store.write("op/config", fields)
        now_s = self._deployment.clock.monotonic()
        self.versions.append(Version(now_s, frozenset(prefixes)))

    def allows(self, prefix: str, status: int, sent_s: float) -> bool:
        """Return whether a version allows the answer to a request sent at `sent_s`."""
        if status not in (SERVED_STATUS, UNKNOWN_QUEUE_STATUS):
            return True
        applied_s = sent_s - CONFIG_APPLY_S
        replaced_s = [version.acknowledged_s for version in self.versions[1:]]
        return any(
            (prefix in version.prefixes) == (status == SERVED_STATUS)
            for version, end_s in zip(
                self.versions, [*replaced_s, float("inf")], strict=True
            )
            if end_s >= applied_s
        )


class Prober:
    """Lets an operator change queues, and asks all processes for them.

    Parameters
    ----------
    deployment : Deployment
        System under test.
    nodes : list of str
        Names of its processes.
    operator : Operator
        Changes the configuration.
    rng : random.Random
        Draws the pauses between changes.

    Attributes
    ----------
    violations : list of str
        Answers that no version allowed any more.
    """

    def __init__(
        self,
        deployment: Deployment,
        nodes: list[str],
        operator: Operator,
        rng: random.Random,
    ) -> None:
        self.violations: list[str] = []
        self._deployment = deployment
        self._nodes = nodes
        self._operator = operator
        self._rng = rng

    async def run(self) -> None:
        """Probe each process over a connection of its own until cancelled."""
        await asyncio.gather(self._change(), *map(self._probe, self._nodes))

    async def _change(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_CHANGE_PAUSE_S))
            self._operator.change()

    async def _probe(self, node: str) -> None:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout, headers=CALLER) as session:
            while True:
                for prefix in PROBED_PREFIXES:
                    await self._ask(session, node, prefix)
                await asyncio.sleep(PROBE_PAUSE_S)

    async def _ask(
        self, session: aiohttp.ClientSession, node: str, prefix: str
    ) -> None:
        sent_s = self._deployment.clock.monotonic()
        try:
            async with session.get(self._deployment.url(node) + prefix) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        if not self._operator.allows(prefix, status, sent_s):
            self.violations.append(
                f"{node} answered GET {prefix} with {status}, as an old version says"
            )
