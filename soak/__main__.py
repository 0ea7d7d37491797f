"""Soak test: ``python -m soak --seeds 1,2,3 --seconds 20``."""

from __future__ import annotations

import asyncio
import random
import re
import sys
import tempfile
from pathlib import Path

import defopt

from soak.callers import Caller
from soak.checks import InvariantChecker
from soak.configurations import Operator, Prober
from soak.disturbances import Disturber
from soak.domains import DomainDrainer
from soak.drains import DrainInjector
from soak.faults import FaultInjector, draw_fault
from soak.proxy import LinkProxy
from standins.deployment import Deployment

JOB_ID = re.compile(r"[0-9a-f]{16}")


async def run_seed(seed: int, *, seconds: float, nodes: int, callers: int) -> list[str]:
    """Run the soak with one seed; return the violated invariants."""
    rng = random.Random(seed)
    links: dict[str, LinkProxy] = {}

    async def start_proxy(name: str, address: str) -> str:
        links[name] = LinkProxy(address)
        return await links[name].start()

    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), map_address=start_proxy)
        await deployment.start()
        names = [f"n{number}" for number in range(1, nodes + 1)]
        try:
            for name in names:
                await deployment.launch(name)
            operator = Operator(deployment, random.Random(f"operator {seed}"))
            disturber = Disturber(
                deployment, names, random.Random(f"odd {seed}"), operator
            )
            prober = Prober(
                deployment, names, operator, random.Random(f"prober {seed}")
            )
            drains = DrainInjector(deployment, links, random.Random(f"drain {seed}"))
            domains = DomainDrainer(deployment, random.Random(f"domain {seed}"))
            disturbers = (disturber, drains, domains, prober)
            violations = await _run_faults(
                deployment, links, names, rng, seconds, callers, disturbers
            )
            violations += prober.violations
            _print_job_logs(deployment, names, violations)
            return violations
        finally:
            for link in links.values():
                await link.close()
            await deployment.close()


def _print_job_logs(
    deployment: Deployment, names: list[str], violations: list[str]
) -> None:
    """Print the log lines of all processes about the jobs named in `violations`."""
    job_ids = {job_id for text in violations for job_id in JOB_ID.findall(text)}
    lines = [line for name in names for line in deployment.read_events(name)]
    for line in sorted(lines, key=lambda line: line["t"]):
        if line.get("id") in job_ids:
            print(f"  {line}", flush=True)


async def _run_faults(
    deployment: Deployment,
    links: dict[str, LinkProxy],
    names: list[str],
    rng: random.Random,
    seconds: float,
    callers: int,
    disturbers: tuple[Disturber, DrainInjector, DomainDrainer, Prober],
) -> list[str]:
    """Inject faults for `seconds` while callers submit jobs; return the violations.

    The `disturbers` act at the same time; the first submits jobs of its own too.
    """
    for name in names:
        await deployment.call_until(name, "GET", "/q/", lambda status, _: status == 200)
    checker = InvariantChecker(deployment)
    active_callers = [
        Caller(deployment, names, random.Random(rng.random()), number)
        for number in range(callers)
    ]
    active = (*disturbers, *active_callers)
    tasks = [asyncio.create_task(x.run()) for x in active]
    injector = FaultInjector(deployment, links)
    faults = []
    clock = deployment.clock
    deadline_s = clock.monotonic() + seconds
    while clock.monotonic() < deadline_s:
        fault = draw_fault(rng, names, sorted(links), len(deployment.workers))
        print(f"  {fault}", flush=True)
        faults.append(asyncio.create_task(injector.inject(fault)))
        await asyncio.sleep(rng.uniform(0.2, 2.0))
    await asyncio.gather(*faults)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    disturber, *_ = disturbers
    jobs = [job for caller in (disturber, *active_callers) for job in caller.jobs]
    await checker.check_jobs(jobs, names[0])
    checker.check_processes()
    accepted = sum(job.accepted for job in jobs)
    refused = sum(job.refused for job in jobs)
    print(f"  {len(jobs)} jobs, {accepted} accepted, {refused} refused", flush=True)
    return checker.violations


def main(
    *, seeds: str = "1", seconds: float = 20.0, nodes: int = 3, callers: int = 4
) -> int:
    """Run the soak with each seed in turn and print the violated invariants.

    :param seeds: comma-separated numbers, or a range FIRST-LAST
    :param seconds: how long faults are injected
    :param nodes: number of processes of the system
    :param callers: number of callers that submit jobs concurrently
    """
    first, dash, last = seeds.partition("-")
    selected = (
        range(int(first), int(last) + 1)
        if dash
        else [int(seed) for seed in seeds.split(",")]
    )
    failed = 0
    for seed in selected:
        print(f"seed {seed}", flush=True)
        options = {"seconds": seconds, "nodes": nodes, "callers": callers}
        violations = asyncio.run(run_seed(seed, **options))
        for text in violations:
            print(f"  VIOLATED: {text}", flush=True)
        failed += bool(violations)
    print(f"{len(selected)} seeds, {failed} with a violated invariant", flush=True)
    return int(failed > 0)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
