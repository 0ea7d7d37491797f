"""How long a new leader reads before it leads.

One far from the store read the progress, the workers and the inbox one after another,
0.9 s for 120 jobs, while urgent jobs waited.
"""

from __future__ import annotations

from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL

READ_S = 0.5


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
