"""After a change of the leader, tasks that have ended `done` are started again."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import TROUBLE, Fleet, RunEnd, StandInTask, Usage, main  # noqa: E402

WORK_S = 4.0
SMALL = StandInTask(WORK_S, Usage(40, 50, 0))
JOBS = 8
WIDTH = 90
COUNT = JOBS * WIDTH
DARK_S = 3.5
"""How long the killed process is away."""

KILL_AT_S = 3.7
"""When the leader is killed, in seconds after the start of the first task."""

WATCHED_S = 25.0


async def case(fleet: Fleet) -> int:
    await fleet.start(nodes=3, minions=4)
    paths = [f"/batch/{number:016x}" for number in range(1, JOBS + 1)]
    ends: dict[str, float] = {}
    for minion in fleet.minions:
        _note_ends(fleet, minion, ends)
    for path in paths:
        if not await fleet.submit_until_accepted(path, SMALL, WIDTH):
            return 2
    while len(fleet.starts("")) < COUNT:
        await asyncio.sleep(0.05)
        if fleet.record.now_s > 40:
            return 2
    spread = {m.entry.name: len(m.runs) for m in fleet.minions if m.runs}
    fleet.record.write(f"all {COUNT} tasks started: {spread}")
    await asyncio.sleep(KILL_AT_S - (fleet.clock.monotonic() - fleet.starts("")[0][0]))
    if TROUBLE:
        killed = fleet.leader()
        fleet.signal(killed, signal.SIGKILL)
        restarting = asyncio.create_task(_restart(fleet, killed))
    until_s = fleet.record.now_s + WATCHED_S
    while fleet.record.now_s < until_s:
        await asyncio.sleep(0.1)
        states = [await fleet.state(path) for path in paths]
        if set(states) == {"completed"} and not fleet.running():
            break
    if TROUBLE:
        await restarting
    repeated = [
        (started_s, task, run)
        for started_s, task, run in fleet.starts("")
        if started_s > ends.get(task, float("inf"))
    ]
    noted = fleet.completed.acknowledged_done
    broken = [row for row in repeated if row[1] in noted]
    for path in paths:
        fleet.record.write(f"{path} is {await fleet.state(path)}")
    fleet.record.write(
        f"{len(fleet.starts(''))} starts of {COUNT} tasks; {len(repeated)} after"
        f" the task had ended done, {len(broken)} of them with that end taken note of"
    )
    for started_s, task, run in broken[:20]:
        fleet.record.write(
            f"run {run} of {task} started {started_s - ends[task]:.2f} s after its end"
        )
    return int(bool(broken))


async def _restart(fleet: Fleet, name: str) -> None:
    """Start a killed process again, as the platform does."""
    await asyncio.sleep(DARK_S)
    await fleet.launch(name)
    fleet.record.write(f"{name} is started again")


def _note_ends(fleet: Fleet, minion, ends: dict[str, float]) -> None:
    """Record when each task first ended as done on a minion."""
    end_run = minion._end_run

    def end(key: tuple[str, int], how: RunEnd) -> None:
        if how is RunEnd.DONE:
            ends.setdefault(key[0], fleet.clock.monotonic())
        end_run(key, how)

    minion._end_run = end


main(case, FOLDER)
