"""Tasks of a draining worker whose entry lapsed in an outage of the store ran twice.

The worker answered one poll with 503 or refused it, which counted as its departure: its
runs were closed and started elsewhere while they worked on, and their ends were
acknowledged without effect (issue 42; cause: incident 38).
"""

from __future__ import annotations

import random

import pytest
from result import Err

from chiveledge.intake import Accepted
from chiveledge.services import Unavailable
from chiveledge.workload import JobState, Step
from standins.task_worker import MemoryTaskWorker
from tests.coordinator.cluster import SMALL, Cluster, Node

HANDOVER_S = 1.3
"""Time between the SIGTERMs of two leaders."""

STAY_S = 7.0
"""Shortest time that a worker stays after it announced draining."""

STEP_S = 0.05
RECOVERY_S = 20.0


class DrainDuringOutage:
    """Two changes of the leader, a wide job, and a drain while the store is away.

    The worker is listed no more after the outage, but stays, works on and answers.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = cluster
        self.accepted: list[str] = []

    async def run(self, *, refuses: bool, silent_store: bool) -> None:
        """Play until all jobs have had the time to end."""
        rng, cluster = self.rng, self.cluster
        await cluster.advance(0.5)
        await self._terminate_leader()
        await cluster.advance(HANDOVER_S)
        await self._terminate_leader()
        await cluster.advance(rng.uniform(3.0, 4.0))
        await self._submit("wide", 25, 8.0)
        for number in range(12):
            await self._submit(f"single{number}", 1, rng.uniform(4.5, 7.5))
        await cluster.advance(rng.uniform(0.3, 0.6))
        worker = rng.choice([w for w in cluster.workers.values() if w.runs])
        worker.faults.slowdown_factor = rng.choice([0.9, 1.0, 1.2])
        drained = worker.entry._replace(draining=True, leaves_s=STAY_S)
        cluster.list_worker(drained)
        await cluster.advance(0.3)
        self._set_store_away(silent_store, True)
        await cluster.advance(rng.uniform(3.2, 4.2))
        self._set_store_away(silent_store, False)
        cluster.unlist_worker(worker.entry.name)
        while not any(node.leads for node in cluster.nodes):
            await cluster.advance(STEP_S)
        await cluster.advance(rng.uniform(0.4, 0.8))
        if refuses:
            worker.faults.refuses_connections = True
            await cluster.advance(0.6)
            worker.faults.refuses_connections = False
        else:
            answer_one_poll_with_503(cluster.leader, worker)
        await cluster.advance(RECOVERY_S)

    async def _submit(self, job_id: str, count: int, work_s: float) -> None:
        step = Step(count=count, usage=SMALL)
        outcome = await self.cluster.submit(job_id, step, work_s=work_s)
        assert outcome == Accepted()
        self.accepted.append(job_id)

    async def _terminate_leader(self) -> None:
        """Let the leader handle SIGTERM; start its process again under its name."""
        cluster = self.cluster
        while not any(node.leads for node in cluster.nodes):
            await cluster.advance(STEP_S)
        node = cluster.leader
        await cluster.call(node.coordinator.stop())
        await cluster.restart(cluster.nodes.index(node))

    def _set_store_away(self, silent: bool, away: bool) -> None:
        if not silent:
            self.cluster.table.faults.down = away
            return
        for node in self.cluster.nodes:
            node.store.cut = away


def answer_one_poll_with_503(node: Node, worker: MemoryTaskWorker) -> None:
    """Let the next poll of a worker by a node fail without any effect."""
    connection = node.workers[worker.entry.name]

    async def answer_unhealthy(request):
        del connection.poll
        return Err(Unavailable("the worker returned status 503"))

    connection.poll = answer_unhealthy


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("silent_store", [False, True])
@pytest.mark.parametrize("refuses", [False, True])
async def test_tasks_of_a_draining_worker_without_an_entry_run_once(
    make_cluster, refuses, silent_store, seed
):
    cluster = make_cluster(workers=5, nodes=3)
    scenario = DrainDuringOutage(cluster, seed)
    await scenario.run(refuses=refuses, silent_store=silent_store)
    assert not cluster.double_runs
    assert not cluster.record.started_after_done
    states = {job_id: cluster.state(job_id) for job_id in scenario.accepted}
    assert set(states.values()) == {JobState.COMPLETED}, states
