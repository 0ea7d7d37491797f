"""Runs two processes against a stand-in of the users' platform and kills the leader."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

from chiveledge.workload import Usage
from standins.deployment import CONFIGURATION, Deployment
from standins.simulated_task import StandInTask

GANG = StandInTask(0.5, Usage(1000, 0, 4), gang=2)
URGENT = StandInTask(0.5, Usage(1000, 0, 4))
LONG = StandInTask(20.0, Usage(1000, 0, 1))
SHORT = StandInTask(2.0, Usage(1000, 0, 1))


def print_progress(text: str) -> None:
    """Print a progress line of the demo."""
    print(f"platform: {text}", flush=True)


async def run_steps(deployment: Deployment) -> list[str]:
    """Run the steps of the demo; return the faults found."""
    for name in ("n1", "n2"):
        await deployment.launch(name)
    await deployment.submit("n1", "/q/00000000000000b1", GANG, 2, gang=True)
    await deployment.wait_for("n2", "/q/00000000000000b1", "completed")
    print_progress("n1 accepted a gang; n2 reports it as completed")
    await deployment.submit("n1", "/q/00000000000000b2", LONG, 8)
    await deployment.wait_for("n1", "/q/00000000000000b2", "running")
    await deployment.submit("n2", "/urgent/00000000000000b3", URGENT, 1)
    await deployment.wait_for("n2", "/urgent/00000000000000b3", "completed")
    print_progress("an urgent job within its guarantee obtained capacity and completed")
    await deployment.call_until(
        "n1", "DELETE", "/q/00000000000000b2", lambda status, _: status == 200
    )
    await deployment.wait_for("n2", "/q/00000000000000b2", "cancelled")
    print_progress("cancelled the long job")
    await deployment.submit("n1", "/q/00000000000000b4", SHORT, 4)
    await deployment.wait_for("n1", "/q/00000000000000b4", "running")
    leader = deployment.leader()
    other = {"n1": "n2", "n2": "n1"}[leader]
    await deployment.kill(leader)
    print_progress(f"killed the leader {leader} while four tasks were running")
    await deployment.wait_for(other, "/q/00000000000000b4", "completed")
    print_progress(f"{other} took over and tracked them to completion")
    version = CONFIGURATION["version"] + 1
    routes = CONFIGURATION["routes"][:1]
    changed = CONFIGURATION | {"version": version, "routes": routes}
    deployment.store.write("op/config", changed)
    await deployment.call_until(
        other, "GET", "/urgent/", lambda status, _: status == 404
    )
    print_progress(f"configuration version {version} removed a queue")
    faults = []
    if deployment.count_starts("/q/00000000000000b4") != 4:
        faults.append("a task that ran when the leader was killed started again")
    if deployment.record.started_after_done:
        faults.append("a task started after it had completed")
    return faults


async def main() -> int:
    """Run the demo; return 1 if a fault was found."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        await deployment.start()
        try:
            faults = await run_steps(deployment)
        finally:
            await deployment.close()
    for text in faults:
        print_progress(f"FAULT: {text}")
    print_progress("no task was lost or run twice" if not faults else "failed")
    return int(bool(faults))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
