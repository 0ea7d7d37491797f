"""How long a new leader reads before it leads.

One far from the store read the progress, the workers and each part of the inbox one
after another, 0.9 s for 120 jobs, while urgent jobs waited.
"""

from __future__ import annotations

import asyncio

from result import Err, Ok

from chiveledge.clock import SystemClock
from chiveledge.platform._store import PlatformStore
from chiveledge.services import Row, Snapshot, Unavailable
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL

READ_S = 0.5
PARTS = [str(number) for number in range(8)]


async def test_progress_and_workers_are_read_at_once(make_cluster, monkeypatch):
    cluster = make_cluster(nodes=2)
    await cluster.advance(0.5)
    await cluster.submit("j", Step(usage=SMALL), work_s=20.0)
    await cluster.advance(1.0)
    snapshot = cluster.table.snapshot

    async def read_slowly(prefix):
        await cluster.clock.sleep(READ_S)
        return await snapshot(prefix)

    monkeypatch.setattr(cluster.table, "snapshot", read_slowly)
    await cluster.restart(cluster.nodes.index(cluster.leader))
    await cluster.advance(5.0)
    (line,) = cluster.leader.log.find("coordinator", "loaded")
    assert (line["jobs"], line["workers"]) == (1, 2)
    assert line["took_s"] < 2.5 * READ_S
    await cluster.advance(20.0)
    assert cluster.state("j") is JobState.COMPLETED
    assert len(cluster.starts("j")) == 1


class SlowStore(PlatformStore):
    """Store whose reads of a part wait until all parts are asked for."""

    def __init__(self) -> None:
        super().__init__(None, None, SystemClock())
        self._asked = 0
        self._all_asked = asyncio.Event()
        self.failing_part = ""

    async def _list_parts(self, table):
        return Ok(PARTS)

    async def _read_part(self, prefix, part):
        if not part:
            return Ok(Snapshot((), 3))
        self._asked += 1
        if self._asked == len(PARTS):
            self._all_asked.set()
        await asyncio.wait_for(self._all_asked.wait(), 5.0)
        if part == self.failing_part:
            return Err(Unavailable("too many calls"))
        return Ok(Snapshot((Row(f"{prefix}{part}:j", 9, "", ""),), 9))


async def test_parts_of_a_table_are_read_at_once():
    found = (await SlowStore().snapshot("inbox/")).unwrap()
    assert [row.key for row in found.rows] == [f"inbox/{part}:j" for part in PARTS]
    # A watch from an older version misses no change of a part that was read earlier.
    assert found.version == 3


async def test_table_of_which_a_part_cannot_be_read_is_not_known():
    store = SlowStore()
    store.failing_part = "5"
    assert isinstance(await store.snapshot("inbox/"), Err)
