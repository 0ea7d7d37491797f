"""A cancelled submission runs after all, once its process reaches the store again."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import BOUNDS, Platform, Proxy, main  # noqa: E402

CUT_S = 5.5
"""Length of a `core_cut` in the site file of pedal-sched."""

OCCURRENCES = 4
INTERVAL_MS = 3000
FIRST_DUE_S = 20.0

STEP = {"count": 1, "cpu": 11000, "mem_mb": 23000, "gpu": 1, "estimate_ms": 1000}


async def play(platform: Platform, trouble: bool) -> str:
    """Submit at one process, cancel at another; return what was broken."""
    record = platform.record
    first, second = platform.nodes["front-split-1"], platform.nodes["front-rijeka-1"]
    warm_up = platform.add_job([STEP], 0.5)
    await platform.submit(second, "/batch/", warm_up)
    await platform.until(lambda: is_completed(platform, second, warm_up), 15, "it runs")
    due_ms = int((time.time() + FIRST_DUE_S) * 1000)
    job = platform.add_job(
        [STEP], 1.0,
        repeat_count=OCCURRENCES, first_ms=due_ms, interval_ms=INTERVAL_MS,
    )  # fmt: skip
    if trouble:
        record.write(f"partition of {first.name} from the store, {CUT_S} s")
        PROXY.cut()
        asyncio.get_running_loop().call_later(CUT_S, heal, record)
    posted = await platform.call(first, "POST", f"/batch/{job}", platform.body(job))
    deleted = await platform.call(second, "DELETE", f"/batch/{job}")
    cancelled_s = record.now_s
    record.write(f"submission: {posted}; cancel: {deleted}")
    if not (200 <= deleted < 300 or deleted == 410):
        return ""
    await asyncio.sleep(FIRST_DUE_S + OCCURRENCES * INTERVAL_MS / 1000 + 2)
    await platform.ask(second, "GET", f"/batch/{job}")
    bound_s = cancelled_s + BOUNDS["cancel_ms"] / 1000
    starts = [at for at, task, _ in platform.starts if task.startswith(job)]
    late = [at for at in starts if at > bound_s]
    if late:
        return f"UNASKED: {len(late)} starts after the cancel, the first {late[0]:.1f}"
    return ""


async def is_completed(platform: Platform, node, job: str) -> bool:
    _, answer = await platform.ask(node, "GET", f"/batch/{job}")
    return answer.get("state") == "completed"


def heal(record) -> None:
    record.write("the partition ends")
    PROXY.heal()


PROXY: Proxy


async def wire_proxy(platform: Platform) -> None:
    """Put the proxy between one process and the store."""
    global PROXY
    PROXY = Proxy(platform.store_port)
    platform.nodes["front-split-1"].store_port = await PROXY.start()


if __name__ == "__main__":
    sys.exit(main(play, FOLDER, minions=3, nodes=3, wire=wire_proxy))
