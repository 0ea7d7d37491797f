"""One large job stops all jobs of all tenants for good."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BOUNDS, TROUBLE, Fleet, StandInTask, Usage, main  # noqa: E402

LARGE = StandInTask(1.0, Usage(100, 100, 0))
SMALL = StandInTask(1.0, Usage(2000, 1000, 0))
LARGE_COUNT = 1500 if TROUBLE else 150
WATCHED_S = 20.0
CALM_S = 3.0


async def case(fleet: Fleet) -> int:
    await fleet.start()
    paths = [f"/quote/{number:016x}" for number in range(1, 6)]
    for path in paths:
        if not await fleet.submit_until_accepted(path, SMALL, 3):
            return 2
    await asyncio.sleep(4)
    for path in paths:
        fleet.record.write(f"before: {path} is {await fleet.state(path)}")
    large = f"/batch/{0xB16:016x}"
    later = [f"/quote/{number:016x}" for number in range(11, 16)]
    if not await fleet.submit_until_accepted(large, LARGE, LARGE_COUNT):
        fleet.record.write("the large job was rejected")
        return 0
    for path in later:
        if not await fleet.submit_until_accepted(path, SMALL, 3):
            return 2
    await asyncio.sleep(BOUNDS["finish_s"])
    idle_since_s = {path: fleet.record.now_s for path in (large, *later)}
    broken: dict[str, float] = {}
    until_s = fleet.record.now_s + WATCHED_S
    while fleet.record.now_s < until_s:
        await asyncio.sleep(0.2)
        for path in idle_since_s:
            job_id = path.rpartition("/")[2]
            state = await fleet.state(path)
            may_wait = fleet.used_share() >= 0.5
            if state == "completed" or fleet.running(job_id) or may_wait:
                idle_since_s[path] = fleet.record.now_s
            broken[path] = max(
                broken.get(path, 0.0), fleet.record.now_s - idle_since_s[path]
            )
    for path, idle_s in broken.items():
        starts = len(fleet.starts(path.rpartition("/")[2]))
        fleet.record.write(
            f"{path}: {await fleet.state(path)}, {starts} tasks started,"
            f" idle for {idle_s:.1f} s; in use {fleet.used_share():.0%}"
        )
    fleet.record.write(f"rows refused by the store: {fleet.store.refused_rows}")
    return int(any(idle_s > CALM_S for idle_s in broken.values()))


main(case, FOLDER)
