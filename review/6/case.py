"""A gang must run that neither the rack of its data nor the rest can hold."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import BROKEN, HELD, NOT_RUN, TROUBLE, main

from chiveledge.workload import Usage
from standins.simulated_task import StandInTask

MINIONS = 24
RACK = 8
MEMBERS = 20
FINISH_S = 14.0
SPAN_S = 3.0
WATCHED_S = 40.0
GANG = StandInTask(6.1, Usage(2800, 5700, 1), gang=MEMBERS)
PATH = "/batch/00000000000000a1"


async def play(case) -> int:
    await case.start_minions(MINIONS, ["z1", "z2", "z3"], RACK)
    for name in ("n1", "n2", "n3"):
        await case.launch(name)
    await asyncio.sleep(4)
    case.tasks[PATH[-16:]] = GANG
    step = {
        "count": MEMBERS,
        "cpu": 2800,
        "mem_mb": 5700,
        "gpu": 1,
        "estimate_ms": 6100,
        "gang": True,
        "anti_affinity": 1,
    }
    if TROUBLE:
        step["affinity"] = "r-0"
    if await case.post("n1", PATH, {"spec": "x", "steps": [step]}) != 200:
        return NOT_RUN
    accepted_s = case.clock.monotonic()
    state = ""
    while case.clock.monotonic() < accepted_s + WATCHED_S and state != "completed":
        await asyncio.sleep(0.5)
        state = await case.get_state("n2", PATH)
    starts = case.count_starts(PATH)
    waited_s = round(case.clock.monotonic() - accepted_s, 1)
    case.note(event="end", shown=state, starts=starts, after_s=waited_s)
    is_late = waited_s > FINISH_S + SPAN_S
    return BROKEN if state != "completed" and not starts and is_late else HELD


main(play, "haneul-sched")
