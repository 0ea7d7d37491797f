"""Pairs of faults at the same moment, followed by a period without faults.

Checks the same invariants as `test_random_faults`: no task runs twice at the same time
or after its end was acknowledged, and every accepted job ends in an expected state.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.coordinator.test_random_faults import FaultScenario

SLOW_ANSWER_S = 0.25
LEASES_LAPSE_S = 7.0
"""Longer than the lease on a worker's runs."""


class FaultPairScenario(FaultScenario):
    """Submits jobs while one pair of faults is injected repeatedly.

    Parameters
    ----------
    seed : int
        Seed of the jobs and of the nodes and workers that the faults hit.
    pair : str
        Name of the method that injects the pair.
    """

    def __init__(self, seed: int, pair: str) -> None:
        super().__init__(seed)
        self._inject_pair = getattr(self, pair)

    async def inject_fault(self, number: int) -> None:
        await self._inject_pair()

    async def slow_store_that_turns_a_host_away(self) -> None:
        faults = self.cluster.table.faults
        node = self.rng.choice(self.cluster.nodes)
        faults.delay_s = SLOW_ANSWER_S
        node.store.cut = True
        self.repairs.append(lambda: setattr(faults, "delay_s", 0.0))
        self.repairs.append(lambda: setattr(node.store, "cut", False))
        await self.cluster.advance(1.0)

    async def leader_replaced_while_leases_lapse(self) -> None:
        faults = self.cluster.table.faults
        faults.down = True
        await self.cluster.restart(self.rng.randrange(3))
        await self.cluster.advance(LEASES_LAPSE_S)
        faults.down = False

    async def leader_lost_after_an_answer_amid_changes(self) -> None:
        cluster = self.cluster
        for _ in range(3):
            revision = cluster.catalogue.revision + 1
            cluster.catalogue = replace(cluster.catalogue, revision=revision)
            await self.submit_job(1000 + revision)
            leaders = [i for i, node in enumerate(cluster.nodes) if node.leads]
            if leaders:
                await cluster.restart(leaders[0])

    async def host_cut_while_a_worker_is_emptied(self) -> None:
        cluster = self.cluster
        node = self.rng.choice(cluster.nodes)
        worker = self.rng.choice(list(cluster.workers.values()))
        node.store.cut = True
        leaving = worker.entry._replace(draining=True, leaves_s=2.5)
        cluster.list_worker(leaving)
        await cluster.advance(3.0)
        worker.crash(worker.entry.incarnation_ms + 1)
        cluster.list_worker(worker.entry)
        node.store.cut = False

    async def slow_worker_while_answers_are_lost(self) -> None:
        worker = self.rng.choice(list(self.cluster.workers.values()))
        worker.faults.slowdown_factor = 8.0
        self.cluster.table.faults.lose_replies = 3
        self.repairs.append(lambda: setattr(worker.faults, "slowdown_factor", 1.0))
        await self.cluster.advance(0.5)


PAIRS = [
    "slow_store_that_turns_a_host_away",
    "leader_replaced_while_leases_lapse",
    "leader_lost_after_an_answer_amid_changes",
    "host_cut_while_a_worker_is_emptied",
    "slow_worker_while_answers_are_lost",
]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("pair", PAIRS)
async def test_no_job_is_lost_or_repeated_under_fault_pairs(pair, seed):
    scenario = FaultPairScenario(seed, pair)
    try:
        await scenario.run()
        await scenario.check()
    finally:
        await scenario.cluster.close()
