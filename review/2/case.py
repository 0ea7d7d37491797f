"""One unreadable entry in the list of minions stops all work for good."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BOUNDS, TROUBLE, Fleet, StandInTask, Usage, main  # noqa: E402

SMALL = StandInTask(1.0, Usage(2000, 1000, 0))
UNREADABLE = "[" * 4_000 if TROUBLE else "\x00\x01 not JSON"
WATCHED_S = 15.0
CALM_S = 3.0


async def case(fleet: Fleet) -> int:
    await fleet.start()
    first = f"/quote/{1:016x}"
    if not await fleet.submit_until_accepted(first, SMALL, 3):
        return 2
    await asyncio.sleep(4)
    fleet.record.write(f"before: {first} is {await fleet.state(first)}")
    fleet.store.write("servers/foreign", UNREADABLE)
    fleet.record.write(f"entry servers/foreign of {len(UNREADABLE)} bytes written")
    await asyncio.sleep(1)
    paths = [f"/quote/{number:016x}" for number in range(11, 16)]
    for path in paths:
        if not await fleet.submit_until_accepted(path, SMALL, 3):
            return 2
    await asyncio.sleep(BOUNDS["finish_s"])
    idle_since_s = dict.fromkeys(paths, fleet.record.now_s)
    idle_s = dict.fromkeys(paths, 0.0)
    until_s = fleet.record.now_s + WATCHED_S
    while fleet.record.now_s < until_s:
        await asyncio.sleep(0.2)
        for path in paths:
            job_id = path.rpartition("/")[2]
            state = await fleet.state(path)
            now_s = fleet.record.now_s
            if state == "completed" or fleet.running(job_id):
                idle_since_s[path] = now_s
            idle_s[path] = max(idle_s[path], now_s - idle_since_s[path])
    for path in paths:
        starts = len(fleet.starts(path.rpartition("/")[2]))
        fleet.record.write(
            f"{path}: {await fleet.state(path)}, {starts} of 3 tasks started,"
            f" idle for {idle_s[path]:.1f} s; in use {fleet.used_share():.0%}"
        )
    for name in fleet.nodes:
        events = [event.get("event") for event in fleet.read_events(name)]
        fleet.record.write(
            f"{name}: took over {events.count('taken_over')} times,"
            f" {events.count('task_failed')} terms ended by an error"
        )
    return int(any(span_s > CALM_S for span_s in idle_s.values()))


main(case, FOLDER)
