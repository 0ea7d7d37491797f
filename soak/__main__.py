"""Plays seeds: ``python -m soak --seeds 1,2,3 --seconds 20``."""

from __future__ import annotations

import asyncio
import random
import re
import sys
import tempfile
from pathlib import Path

import defopt

from soak.callers import Caller
from soak.checks import Watcher
from soak.faults import FaultInjector, draw_fault
from soak.proxy import LinkProxy
from standins.deployment import Deployment

JOB_ID = re.compile(r"[0-9a-f]{16}")


async def play(seed: int, *, seconds: float, nodes: int, callers: int) -> list[str]:
    """Play one seed; return the promises that were broken."""
    rng = random.Random(seed)
    links: dict[str, LinkProxy] = {}

    async def wrap(name: str, address: str) -> str:
        links[name] = LinkProxy(address)
        return await links[name].start()

    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), wrap=wrap)
        await deployment.start()
        names = [f"n{number}" for number in range(1, nodes + 1)]
        try:
            for name in names:
                await deployment.launch(name)
            broken = await _disturb(deployment, links, names, rng, seconds, callers)
            _print_traces(deployment, names, broken)
            return broken
        finally:
            for link in links.values():
                await link.close()
            await deployment.close()


def _print_traces(deployment: Deployment, names: list[str], broken: list[str]) -> None:
    """Print what all processes logged of the jobs named in broken promises."""
    job_ids = {job_id for text in broken for job_id in JOB_ID.findall(text)}
    lines = [line for name in names for line in deployment.read_events(name)]
    for line in sorted(lines, key=lambda line: line["t"]):
        if line.get("id") in job_ids:
            print(f"  {line}", flush=True)


async def _disturb(
    deployment: Deployment,
    links: dict[str, LinkProxy],
    names: list[str],
    rng: random.Random,
    seconds: float,
    callers: int,
) -> list[str]:
    for name in names:
        await deployment.until(name, "GET", "/q/", lambda status, _: status == 200)
    watcher = Watcher(deployment)
    crowd = [
        Caller(deployment, names, random.Random(rng.random()), number)
        for number in range(callers)
    ]
    running = [asyncio.create_task(part.run()) for part in (watcher, *crowd)]
    injector = FaultInjector(deployment, links)
    faults = []
    clock = deployment.clock
    ends_s = clock.monotonic() + seconds
    while clock.monotonic() < ends_s:
        fault = draw_fault(rng, names, sorted(links), len(deployment.workers))
        print(f"  {fault}", flush=True)
        faults.append(asyncio.create_task(injector.inject(fault)))
        await asyncio.sleep(rng.uniform(0.2, 2.0))
    await asyncio.gather(*faults)
    for task in running[1:]:
        task.cancel()
    await asyncio.gather(*running[1:], return_exceptions=True)
    jobs = [job for caller in crowd for job in caller.jobs]
    await watcher.settle(jobs, names[0])
    running[0].cancel()
    accepted = sum(job.accepted for job in jobs)
    refused = sum(job.refused for job in jobs)
    print(f"  {len(jobs)} jobs, {accepted} accepted, {refused} refused", flush=True)
    return watcher.broken


def main(
    *, seeds: str = "1", seconds: float = 20.0, nodes: int = 3, callers: int = 4
) -> int:
    """Play seeds one after another.

    :param seeds: numbers, separated by commas, or FIRST-LAST
    :param seconds: how long faults come
    :param nodes: processes of the system
    :param callers: callers that hand jobs in at the same time
    """
    first, dash, last = seeds.partition("-")
    chosen = (
        range(int(first), int(last) + 1)
        if dash
        else [int(seed) for seed in seeds.split(",")]
    )
    red = 0
    for seed in chosen:
        print(f"seed {seed}", flush=True)
        options = {"seconds": seconds, "nodes": nodes, "callers": callers}
        broken = asyncio.run(play(seed, **options))
        for text in broken:
            print(f"  BROKEN: {text}", flush=True)
        red += bool(broken)
    print(f"{len(chosen)} seeds, {red} with a broken promise", flush=True)
    return int(red > 0)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
