"""One schedule with many occurrences that are due makes every process hang in turn."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BOUNDS, TROUBLE, Fleet, StandInTask, Usage, main  # noqa: E402

SMALL = StandInTask(1.0, Usage(2000, 1000, 0))
REPEATS = 525_600
INTERVAL_MS = 60_000
DUE = 300_000
"""Occurrences that are due: those of the past 208 days."""

WATCHED_S = 20.0
CALM_S = 3.0
DEADLINE_S = 3.0


async def case(fleet: Fleet) -> int:
    await fleet.start()
    schedule = f"/batch/{0xB16:016x}"
    fleet.tasks[schedule.rpartition("/")[2]] = SMALL
    step = {"count": 1, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 1000}
    now_ms = int(time.time() * 1000)
    first_ms = now_ms - DUE * INTERVAL_MS if TROUBLE else now_ms
    body = {
        "spec": "x",
        "steps": [step],
        "repeat_count": REPEATS,
        "interval_ms": INTERVAL_MS,
        "first_ms": first_ms,
    }
    await asyncio.sleep(2)
    status, _ = await fleet.call("n0", "POST", schedule, body)
    fleet.record.write(
        f"POST {schedule}: {REPEATS} times, each {INTERVAL_MS} ms, the first at"
        f" {first_ms} ms: {status}"
    )
    if status != 200:
        fleet.record.write("the schedule was rejected")
        return 0
    paths = [f"/quote/{number:016x}" for number in range(1, 6)]
    accepted = await asyncio.gather(
        *(fleet.submit_until_accepted(path, SMALL, 3) for path in paths)
    )
    if not all(accepted):
        return 2
    await asyncio.sleep(BOUNDS["finish_s"])
    began_s = fleet.record.now_s
    idle_since_s = dict.fromkeys(paths, began_s)
    idle_s = dict.fromkeys(paths, 0.0)
    unanswered = {name: 0 for name in fleet.nodes}
    asked = 0
    while fleet.record.now_s < began_s + WATCHED_S:
        await asyncio.sleep(0.2)
        path = paths[asked % len(paths)]
        asked += 1
        replies = await asyncio.gather(
            *(fleet.call(name, "GET", path, wait_s=DEADLINE_S) for name in fleet.nodes)
        )
        for name, (status, _) in zip(fleet.nodes, replies, strict=True):
            unanswered[name] += status == 0
        now_s = fleet.record.now_s
        for path in paths:
            job_id = path.rpartition("/")[2]
            done = len(fleet.completed.acknowledged_done & _task_names(job_id)) == 3
            if done or fleet.running(job_id) or fleet.used_share() >= 0.5:
                idle_since_s[path] = now_s
            idle_s[path] = max(idle_s[path], now_s - idle_since_s[path])
    states = await asyncio.gather(*(fleet.state(path) for path in paths))
    for path, state in zip(paths, states, strict=True):
        starts = len(fleet.starts(path.rpartition("/")[2]))
        fleet.record.write(
            f"{path}: {state}, {starts} of 3 tasks started,"
            f" idle for {idle_s[path]:.1f} s; in use {fleet.used_share():.0%}"
        )
    fleet.record.write(
        f"GETs without an answer in {DEADLINE_S} s, of {asked} at each process:"
        f" {unanswered}"
    )
    return int(any(span_s > CALM_S for span_s in idle_s.values()))


def _task_names(job_id: str) -> set[str]:
    return {f"{job_id}.0.0.{index}" for index in range(3)}


main(case, FOLDER)
