"""Shows the path on the users' platform: two processes against its stand-in."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

from chiveledge.workload import Usage
from standins.deployment import CONFIGURATION, Deployment
from standins.task_worker import StandInTask

GANG = StandInTask(0.5, Usage(1000, 0, 4), gang=2)
URGENT = StandInTask(0.5, Usage(1000, 0, 4))
LONG = StandInTask(20.0, Usage(1000, 0, 1))
SHORT = StandInTask(2.0, Usage(1000, 0, 1))


def say(text: str) -> None:
    """Print one line of the demo."""
    print(f"platform: {text}", flush=True)


async def show(deployment: Deployment) -> list[str]:
    """Play the demo; return what went wrong."""
    for name in ("n1", "n2"):
        await deployment.launch(name)
    await deployment.submit("n1", "/q/00000000000000b1", GANG, 2, gang=True)
    await deployment.wait_for("n2", "/q/00000000000000b1", "completed")
    say("a gang was accepted by n1, ran, and n2 shows it completed")
    await deployment.submit("n1", "/q/00000000000000b2", LONG, 8)
    await deployment.wait_for("n1", "/q/00000000000000b2", "running")
    await deployment.submit("n2", "/urgent/00000000000000b3", URGENT, 1)
    await deployment.wait_for("n2", "/urgent/00000000000000b3", "completed")
    say("an urgent job within its guarantee made room for itself and completed")
    await deployment.until(
        "n1", "DELETE", "/q/00000000000000b2", lambda status, _: status == 200
    )
    await deployment.wait_for("n2", "/q/00000000000000b2", "cancelled")
    say("the long job was cancelled")
    await deployment.submit("n1", "/q/00000000000000b4", SHORT, 4)
    await deployment.wait_for("n1", "/q/00000000000000b4", "running")
    leader = deployment.leader()
    other = {"n1": "n2", "n2": "n1"}[leader]
    await deployment.kill(leader)
    say(f"the leader {leader} was killed with four tasks running")
    await deployment.wait_for(other, "/q/00000000000000b4", "completed")
    say(f"{other} followed them to their end")
    version = CONFIGURATION["version"] + 1
    routes = CONFIGURATION["routes"][:1]
    changed = CONFIGURATION | {"version": version, "routes": routes}
    deployment.store.write("op/config", changed)
    await deployment.until(other, "GET", "/urgent/", lambda status, _: status == 404)
    say(f"version {version} took a queue away")
    wrong = []
    if deployment.starts("/q/00000000000000b4") != 4:
        wrong.append("a task of the job that ran through the kill started again")
    if deployment.record.started_after_done:
        wrong.append("a task started after its end")
    return wrong


async def main() -> int:
    """Run the demo; return 1 if anything was lost or doubled."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        await deployment.start()
        try:
            wrong = await show(deployment)
        finally:
            await deployment.close()
    for text in wrong:
        say(f"WRONG: {text}")
    say("nothing was lost or doubled" if not wrong else "failed")
    return int(bool(wrong))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
