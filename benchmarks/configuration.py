"""Measures the time and peer traffic of a configuration change in all processes."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import aiohttp

from benchmarks.reporting import percentile, print_result
from demo.deployment import Deployment

EXAMPLE = Path(__file__).parents[1] / "examples" / "haneul"
OPERATOR = {"Authorization": "Bearer operator-demo-token"}
CHANGES = 40
TARGET_S = 2.0
CHANGES_PER_DAY = 1200
DAY_S = 86400


async def run() -> None:
    """Start the example deployment, measure changes of the preset and stop it."""
    with tempfile.TemporaryDirectory() as logs:
        deployment = Deployment(EXAMPLE, Path(logs))
        try:
            deployment.start_stand_ins()
            deployment.start_hosts()
            async with aiohttp.ClientSession() as session:
                await _measure(deployment, session)
        finally:
            deployment.stop()


async def _measure(deployment: Deployment, session: aiohttp.ClientSession) -> None:
    await deployment.wait_listening(session)
    text = (EXAMPLE / "configuration.json5").read_bytes()
    path = "/v1/admin/configuration"
    await _put(deployment, session, path, revision=0, body=text)
    await deployment.wait_ready(session)
    before = await _fetch_peer_bytes(deployment, session)
    started_s = time.perf_counter()
    times_s = []
    for number in range(CHANGES):
        preset = ("peak", "ordinary")[number % 2]
        changed_s = time.perf_counter()
        await _put(
            deployment, session, f"/v1/admin/preset/{preset}", revision=1 + number
        )
        await _wait_for_revision(deployment, session, 2 + number)
        times_s.append(time.perf_counter() - changed_s)
    sent_bytes = await _fetch_peer_bytes(deployment, session) - before
    idle_bytes = (time.perf_counter() - started_s) * 100.0 * len(deployment.running)
    print_result(
        "config_propagation_p99_s", percentile(times_s, 0.99), "s", baseline=TARGET_S
    )
    print_result("config_propagation_p50_s", percentile(times_s, 0.5), "s")
    change_bytes = max(sent_bytes - idle_bytes, 0) / CHANGES / len(deployment.running)
    print_result("config_bytes_per_change_per_process", change_bytes, "B")
    per_s = change_bytes * CHANGES_PER_DAY / DAY_S
    print_result("config_bytes_per_second", per_s, "B/s", baseline=3000.0)


async def _put(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    path: str,
    *,
    revision: int,
    body: bytes = b"",
) -> None:
    url = deployment.urls("gateway")[0]
    headers = OPERATOR | {"If-Match": str(revision)}
    async with session.put(url + path, data=body, headers=headers) as response:
        assert response.status == 200, await response.text()


async def _wait_for_revision(
    deployment: Deployment, session: aiohttp.ClientSession, revision: int
) -> None:
    pending = {running.url for running in deployment.running}
    while pending:
        for url in list(pending):
            async with session.get(f"{url}/readyz") as response:
                if (await response.json())["revision"] >= revision:
                    pending.discard(url)


async def _fetch_peer_bytes(
    deployment: Deployment, session: aiohttp.ClientSession
) -> int:
    total = 0
    for running in deployment.running:
        async with session.get(
            f"{running.url}/v1/admin/metrics", headers=OPERATOR
        ) as response:
            total += (await response.json())["counters"].get("peer_bytes", 0)
    return total


def main() -> None:
    """Run the benchmark."""
    asyncio.run(run())


if __name__ == "__main__":
    main()
