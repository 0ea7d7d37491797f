"""Capacity of workers that shrinks and grows again while they run.

The platform: "A start brings a minion that doesn't guard its `capacity` over it. What
is being stopped still counts. A room that has shrunk counts `contact_ms` and one beat
later." A worker's row shows its capacity up to one heartbeat later. Runs that exceed a
capacity that shrank may go on.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from result import Err

from chiveledge.coordinator._progress_rows import PROGRESS_PREFIX, progress_key
from chiveledge.services import Put, Transaction, Unavailable
from chiveledge.services.task_worker import StartOrder
from chiveledge.workload import JobState, Step, Usage
from standins import task_worker
from standins.simulated_task import StandInTask
from tests.coordinator.cluster import CAPACITY, SMALL, WORKER_PREFIX, Cluster
from tests.coordinator.test_random_faults import FaultScenario

HALF = Usage(4000, 4000, 4)
NONE = Usage()
WHOLE = Step(usage=SMALL._replace(accelerators=8))
KNOWN_S = 6.0
"""Longer than the time after which a capacity that shrank counts."""

SERIES_SEEDS = range(24)


@pytest.fixture(params=[False, True], ids=["unguarded", "guarded"])
def make(make_cluster, request):
    """Return a factory of clusters whose workers guard their capacity, or don't."""

    def make_one(**options) -> Cluster:
        cluster = make_cluster(**options)
        if not request.param:
            cluster.guard_no_capacity()
        return cluster

    return make_one


def refuse_progress(cluster: Cluster) -> Callable[[], None]:
    """Let the store refuse writes of progress, no others; return what ends that."""
    table = cluster.table
    transact = table.transact

    async def transact_others(transaction):
        if any(put.key.startswith(PROGRESS_PREFIX) for put in transaction.puts):
            return Err(Unavailable("too many writes"))
        return await transact(transaction)

    def end() -> None:
        del table.transact

    table.transact = transact_others
    return end


def refuse_worker_list(cluster: Cluster) -> Callable[[], None]:
    """Let the store refuse reads of the list of workers, no other calls."""
    table = cluster.table
    calls = {"watch": table.watch, "snapshot": table.snapshot}

    def refuse(name: str) -> None:
        async def read_others(prefix, *arguments):
            if prefix == WORKER_PREFIX:
                return Err(Unavailable("too many reads"))
            return await calls[name](prefix, *arguments)

        setattr(table, name, read_others)

    def end() -> None:
        for name in calls:
            delattr(table, name)

    for name in calls:
        refuse(name)
    return end


async def start_unknown_run(cluster: Cluster, name: str, work_s: float) -> None:
    """Let a worker carry out an order of which the leader knows nothing."""
    cluster.tasks["unknown"] = StandInTask(work_s, HALF)
    worker = cluster.workers[name]
    order = StartOrder(
        "unknown.0.0.0", 1, "", worker.clock_ms + 6000, worker.fence, "", ""
    )
    assert worker._start(order, is_late=True).is_ok()


async def test_start_that_was_stored_while_the_capacity_shrank_is_not_sent(make):
    """A start was planned, and its order was sent once its run was stored."""
    cluster = make(workers=1)
    await cluster.advance(0.5)
    end_refusal = refuse_progress(cluster)
    await cluster.submit("j1", WHOLE, work_s=1.0)
    cluster.resize_worker("w0", HALF)
    await cluster.advance(KNOWN_S)
    end_refusal()
    await cluster.advance(1.0)
    assert not cluster.starts("j1")
    cluster.resize_worker("w0", CAPACITY)
    await cluster.advance(5.0)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_gang_that_was_stored_while_one_of_its_workers_shrank_is_not_sent(make):
    """One member had no room any more; the others were started all the same."""
    cluster = make(workers=3)
    await cluster.advance(0.5)
    end_refusal = refuse_progress(cluster)
    await cluster.submit(
        "j1", WHOLE._replace(count=2, gang=True, checkpoints=True), work_s=1.0
    )
    await cluster.advance(0.2)
    links = cluster.leader.coordinator.term.links
    name = next(name for name, link in links.items() if link.runs)
    cluster.resize_worker(name, HALF)
    await cluster.advance(KNOWN_S)
    end_refusal()
    await cluster.advance(1.0)
    await cluster.advance(5.0)
    assert cluster.starts("j1") == [("j1.0.0.0", 2), ("j1.0.0.1", 2)]
    assert cluster.state("j1") is JobState.COMPLETED


async def test_start_is_not_sent_again_after_the_capacity_shrank(make):
    """The first copies had no effect; the third attempt came after the row."""
    cluster = make(workers=1)
    await cluster.advance(0.5)
    worker = cluster.workers["w0"]
    cluster.resize_worker("w0", HALF, listed_after_s=4.5)
    await cluster.advance(4.1)
    start = worker.start

    async def start_unanswered(order):
        return await worker._fail_unanswered()

    worker.start = start_unanswered
    await cluster.submit("j1", WHOLE, work_s=1.0)
    await cluster.advance(1.2)
    worker.start = start
    await cluster.advance(2.0)
    assert not cluster.starts("j1")
    cluster.resize_worker("w0", CAPACITY)
    await cluster.advance(5.0)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_nothing_starts_beside_an_unknown_run_that_is_being_stopped(
    make, monkeypatch
):
    """A run that no job had open took capacity that was planned as free."""
    monkeypatch.setattr(task_worker, "STOP_DELAY_S", 0.9)
    cluster = make(workers=1)
    await cluster.advance(0.5)
    await start_unknown_run(cluster, "w0", work_s=30.0)
    while not cluster.leader.log.find("orders", "stop_unknown"):
        await cluster.advance(0.05)
    await cluster.submit("j1", WHOLE, work_s=1.0)
    await cluster.advance(4.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert not cluster.record.overloads


async def test_deferred_start_waits_for_an_unknown_run(make, monkeypatch):
    """The stops that it waited for were over before that of the unknown run."""
    monkeypatch.setattr(task_worker, "STOP_DELAY_S", 0.9)
    cluster = make(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", WHOLE._replace(usage=HALF), queue="batch", work_s=30.0)
    await cluster.advance(1.0)
    await cluster.submit("j2", WHOLE, queue="urgent", work_s=0.5)
    await cluster.advance(0.4)
    assert not cluster.starts("j2")
    await start_unknown_run(cluster, "w0", work_s=30.0)
    await cluster.advance(6.0)
    assert cluster.state("j2") is JobState.COMPLETED
    assert not cluster.record.overloads


async def test_nothing_starts_beside_runs_of_a_job_that_cannot_be_decoded(make):
    """They are left running, and took capacity that was planned as free."""
    cluster = make(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", WHOLE._replace(usage=HALF), work_s=8.0)
    await cluster.advance(1.0)
    put = Put(progress_key("j1"), "not readable")
    cluster.table.commit(Transaction("w", puts=(put,)))
    await cluster.restart(0)
    await cluster.advance(4.0)
    assert "j1" in cluster.leader.coordinator.term._unreadable_jobs
    await cluster.submit("j2", WHOLE, work_s=1.0)
    await cluster.advance(9.0)
    assert cluster.state("j2") is JobState.COMPLETED
    assert not cluster.record.overloads


async def test_restarted_worker_gets_nothing_before_its_row_shows_its_capacity(make):
    """A poll showed the restart first, and the row of the earlier life counted."""
    cluster = make(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j0", Step(usage=SMALL), work_s=30.0)
    await cluster.advance(1.0)
    worker = cluster.workers["w0"]
    worker.resize(HALF)
    worker.crash(incarnation_ms=2)
    await cluster.call(cluster.nodes[0].job_store.cancel("j0", "cafes", 2.0))
    cluster.list_worker_later("w0")
    while not cluster.leader.log.find("workers", "reborn"):
        await cluster.advance(0.05)
    await cluster.submit("j1", WHOLE, work_s=1.0)
    await cluster.advance(1.0)
    await cluster.submit("j2", WHOLE._replace(usage=HALF), work_s=1.0)
    await cluster.advance(4.0)
    assert not cluster.starts("j1")
    assert cluster.state("j2") is JobState.COMPLETED
    assert not cluster.record.overloads


async def test_nothing_starts_by_a_list_of_workers_that_cannot_be_read(make):
    """The store answered all but reads of the list, so no capacity was known."""
    cluster = make(workers=1)
    await cluster.advance(0.5)
    end_refusal = refuse_worker_list(cluster)
    cluster.resize_worker("w0", HALF)
    await cluster.advance(KNOWN_S)
    await cluster.submit("j1", WHOLE, work_s=1.0)
    await cluster.advance(3.0)
    assert not cluster.starts("j1")
    end_refusal()
    await cluster.submit("j2", WHOLE._replace(usage=HALF), work_s=1.0)
    await cluster.advance(3.0)
    assert not cluster.starts("j1")
    assert cluster.state("j2") is JobState.COMPLETED


async def test_running_work_is_left_alone_on_a_worker_that_shrank(make):
    cluster = make(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", WHOLE, work_s=8.0)
    await cluster.advance(1.0)
    cluster.resize_worker("w0", HALF)
    await cluster.advance(9.0)
    assert len(cluster.starts("j1")) == 1
    assert cluster.state("j1") is JobState.COMPLETED


async def test_job_that_fits_nowhere_waits_until_a_worker_grows(make):
    cluster = make(workers=2)
    await cluster.advance(0.5)
    for name in cluster.workers:
        cluster.resize_worker(name, HALF)
    await cluster.advance(2.0)
    await cluster.submit("large", WHOLE, work_s=1.0)
    await cluster.submit("small", Step(count=8, usage=SMALL), work_s=1.0)
    await cluster.advance(20.0)
    assert cluster.state("large") is JobState.QUEUED
    assert cluster.state("small") is JobState.COMPLETED
    cluster.resize_worker("w1", CAPACITY)
    await cluster.advance(4.0)
    assert cluster.state("large") is JobState.COMPLETED


async def test_stops_free_the_excess_as_well_as_the_room_of_an_urgent_task(make):
    """The worker was over its capacity; stopping one run didn't make any room."""
    cluster = make(workers=1)
    await cluster.advance(0.5)
    small = Step(count=8, usage=SMALL)
    await cluster.submit("j1", small, queue="batch", work_s=30.0)
    await cluster.advance(1.0)
    cluster.resize_worker("w0", HALF)
    await cluster.advance(KNOWN_S)
    await cluster.submit("j2", Step(usage=SMALL), queue="urgent", work_s=1.0)
    await cluster.advance(3.0)
    assert cluster.state("j2") is JobState.COMPLETED
    assert len(cluster.workers["w0"].runs) == 4


async def test_deferred_start_on_a_worker_that_shrank_is_planned_again(
    make, monkeypatch
):
    """Its capacity was reserved before the worker shrank below it."""
    monkeypatch.setattr(task_worker, "STOP_DELAY_S", 0.9)
    cluster = make(workers=2)
    await cluster.advance(0.5)
    for number in range(2):
        await cluster.submit(f"b{number}", WHOLE, queue="batch", work_s=30.0)
    await cluster.advance(1.0)
    await cluster.submit("j1", WHOLE, queue="urgent", work_s=1.0)
    await cluster.advance(0.3)
    (stop,) = cluster.leader.log.find("orders", "stop")
    cluster.resize_worker(stop["worker"], HALF, listed_after_s=0.1)
    await cluster.advance(6.0)
    assert cluster.state("j1") is JobState.COMPLETED
    assert cluster.starts("j1") == [("j1.0.0.0", 1)]


async def test_worker_without_any_capacity_gets_nothing(make):
    cluster = make(workers=2)
    await cluster.advance(0.5)
    cluster.resize_worker("w0", NONE, listed_after_s=0.0)
    await cluster.advance(0.5)
    for number in range(4):
        await cluster.submit(f"j{number}", WHOLE, queue="urgent", work_s=0.5)
    await cluster.advance(6.0)
    assert not cluster.workers["w0"].faults.started
    assert all(cluster.state(f"j{n}") is JobState.COMPLETED for n in range(4))


async def test_next_leader_counts_the_runs_of_a_worker_that_shrank(make):
    cluster = make(workers=1, nodes=2)
    await cluster.advance(0.5)
    leader = cluster.nodes.index(cluster.leader)
    await cluster.submit("j1", Step(count=6, usage=SMALL), work_s=20.0, node=leader)
    await cluster.advance(1.0)
    cluster.resize_worker("w0", HALF)
    await cluster.advance(2.0)
    await cluster.restart(leader)
    other = 1 - leader
    await cluster.submit("j2", Step(count=2, usage=SMALL), work_s=1.0, node=other)
    await cluster.advance(KNOWN_S + 6.0)
    assert not cluster.starts("j2")
    await cluster.advance(12.0)
    assert cluster.state("j2", node=other) is JobState.COMPLETED


class ResizeScenario(FaultScenario):
    """Random faults while workers shrink and grow again."""

    def __init__(self, seed: int, *, guarded: bool) -> None:
        super().__init__(seed)
        if not guarded:
            self.cluster.guard_no_capacity()

    async def inject_fault(self, number: int) -> None:
        rng, cluster = self.rng, self.cluster
        for name in rng.sample(sorted(cluster.workers), rng.randint(1, 4)):
            cluster.resize_worker(
                name, self.draw_capacity(), listed_after_s=rng.choice([0.0, 0.7, 1.5])
            )
        match rng.randrange(4):
            case 0:
                # It is a worker of another size after its restart.
                name, worker = rng.choice(list(cluster.workers.items()))
                worker.resize(self.draw_capacity())
                worker.crash(worker.entry.incarnation_ms + 1)
                cluster.list_worker_later(name, rng.uniform(0.0, 1.5))
            case 1 if "transact" not in vars(cluster.table):
                self.repairs.append(refuse_progress(cluster))
            case _:
                await super().inject_fault(number)

    def draw_capacity(self) -> Usage:
        return Usage(*(self.rng.choice([0, full // 2, full]) for full in CAPACITY))

    async def repair_all(self) -> None:
        await super().repair_all()
        for name in self.cluster.workers:
            self.cluster.resize_worker(name, CAPACITY)

    async def check(self) -> None:
        await super().check()
        assert not self.cluster.record.starts_over_capacity


@pytest.mark.parametrize("guarded", [False, True], ids=["unguarded", "guarded"])
@pytest.mark.parametrize("seed", SERIES_SEEDS)
async def test_no_start_exceeds_capacity_in_random_faults(seed, guarded):
    scenario = ResizeScenario(seed, guarded=guarded)
    try:
        await scenario.run()
        await scenario.check()
    finally:
        await scenario.cluster.close()
