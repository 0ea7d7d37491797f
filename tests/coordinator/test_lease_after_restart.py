"""The lease of a worker that started again shortly before another leader took over.

The leader that saw the restart assumes that an order to the earlier incarnation granted
the longest lease there is. What it only assumes must not become a grant: the next
leader counts on the lease of ordinary orders.
"""

from __future__ import annotations

import pytest

from chiveledge.workload import Step
from tests.coordinator.cluster import SMALL, Cluster, Reboot
from tests.coordinator.test_acknowledgement import advance_until

ONE = Step(count=1, usage=SMALL)
SILENT_S = 7.0


async def restart_worker_with_run(cluster: Cluster):
    """Let w0, the only listed worker, restart with a run of j1; return it.

    The present leader has seen the restart and started j1 there once more.
    """
    await cluster.advance(0.5)
    cluster.unlist_worker("w1")
    worker = cluster.workers["w0"]
    await cluster.submit("j1", ONE, work_s=30.0)
    await advance_until(cluster, lambda: worker.runs)
    worker.crash(incarnation_ms=2)
    cluster.list_worker(worker.entry)
    await advance_until(cluster, lambda: worker.runs)
    return worker


async def await_term(cluster: Cluster, epoch: int) -> None:
    """Wait until the leader of an epoch has polled w0."""

    def has_polled() -> bool:
        for node in cluster.nodes:
            term = node.coordinator.term
            if term is not None and node.coordinator._leadership.epoch == epoch:
                return "w0" in term.links and term.links["w0"].fence_raised
        return False

    await advance_until(cluster, has_polled)


async def lose_contact(cluster: Cluster, worker) -> None:
    """Let a worker work on without answers for a while, beside an idle one."""
    worker.faults.unresponsive = True
    cluster.list_worker(cluster.workers["w1"].entry)
    await cluster.advance(SILENT_S)
    worker.faults.unresponsive = False
    await cluster.advance(8.0)


@pytest.mark.parametrize("stops", [1, 2])
async def test_run_outlives_leaders_that_stop_after_a_restart(make_cluster, stops):
    cluster = make_cluster(workers=2, nodes=1 + stops)
    worker = await restart_worker_with_run(cluster)
    for epoch in range(2, 2 + stops):
        await cluster.call(cluster.leader.coordinator.stop())
        await await_term(cluster, epoch)
    await lose_contact(cluster, worker)
    assert not cluster.double_runs


async def test_run_outlives_a_term_that_ends_after_a_restart(make_cluster):
    cluster = make_cluster(workers=2)
    worker = await restart_worker_with_run(cluster)
    cluster.leader.coordinator.term.end("for the test")
    await await_term(cluster, 2)
    await lose_contact(cluster, worker)
    assert not cluster.double_runs


async def test_done_end_of_a_run_that_the_next_leader_started(make_cluster):
    # Both runs of j2 were started by one leader, the second after the first was done.
    cluster = make_cluster(workers=2, nodes=2)
    worker = await restart_worker_with_run(cluster)
    await cluster.call(cluster.leader.coordinator.stop())
    await await_term(cluster, 2)
    await cluster.submit("j2", ONE, work_s=6.0)
    await advance_until(cluster, lambda: len(worker.runs) == 2)
    await lose_contact(cluster, worker)
    assert not cluster.record.started_after_done
    assert not cluster.double_runs


async def test_lease_that_a_repeated_start_grants_the_next_incarnation(make_cluster):
    """An order with an end on the earlier, longer clock granted 10 s after a restart.

    Runs started there later have the later incarnation, so the next leader assumes
    the lease of ordinary orders, 6 s. No order is late.
    """
    cluster = make_cluster(
        nodes=2, reboot=Reboot(after_s=0.4, silent=True), start_answer_s=0.02
    )
    await cluster.advance(0.5)
    cluster.unlist_worker("w1")
    await cluster.advance(12.9)
    worker = cluster.workers["w0"]
    list_worker, cluster.list_worker = cluster.list_worker, lambda entry: None
    cluster.crash_worker("w0")
    await cluster.submit("j1", ONE, work_s=1.0)
    leader = cluster.leader
    await advance_until(cluster, lambda: leader.log.find("workers", "reborn"))
    list_worker(worker.entry)
    await advance_until(cluster, lambda: cluster.record.acknowledged_done)
    await cluster.submit("j2", ONE, work_s=30.0)
    await advance_until(cluster, lambda: worker.runs)
    await cluster.call(leader.coordinator.stop())
    await await_term(cluster, 2)
    worker.faults.unresponsive = True
    list_worker(cluster.workers["w1"].entry)
    await cluster.advance(9.5)
    worker.faults.unresponsive = False
    await cluster.advance(3.0)
    assert not any(run.is_late for runs in cluster.record.runs.values() for run in runs)
    assert not cluster.double_runs
