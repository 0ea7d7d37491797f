"""Failure domains that operators take out and give back.

Guards against starts in a drained domain by any path, against starts while the drains
aren't known, and against work that is lost or stopped because of a drain. The fixture
checks that no task runs twice.
"""

from __future__ import annotations

import pytest
from result import Err

from chiveledge.coordinator._progress_rows import PROGRESS_PREFIX
from chiveledge.placement import WorkerView
from chiveledge.placement._packing import _best_fit_key
from chiveledge.platform._drain_rows import DRAIN_PREFIX
from chiveledge.services import Unavailable
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import CAPACITY, SMALL, Cluster
from tests.coordinator.test_random_faults import FaultScenario
from tests.placement.fleets import make_demand

MAX_AGE_S = 3.5
KNOWN_S = 0.6
"""Longest time until a drain is known: one watch."""

WHOLE = Step(usage=SMALL._replace(accelerators=8))
FOUR = Step(count=4, usage=WHOLE.usage, gang=True)
SERIES_SEEDS = range(6)


@pytest.fixture
def make(make_cluster):
    """Return a factory of clusters of four workers in two failure domains."""

    def make_one(**options) -> Cluster:
        options = {"workers": 4, "domains": ("a", "b")} | options
        return make_cluster(drain_max_age_s=MAX_AGE_S, **options)

    return make_one


def list_starts(cluster: Cluster, domain: str, since_s: float = 0.0) -> list[str]:
    """Return the tasks that workers of a domain started from a time on."""
    return [
        task
        for worker in cluster.workers.values()
        if worker.entry.domain == domain
        for start_s, task, _ in worker.faults.started
        if start_s >= since_s
    ]


async def drain(cluster: Cluster, *domains: str) -> float:
    """Drain domains; return the time from which on nothing starts there."""
    for domain in domains:
        cluster.drain(domain)
    await cluster.advance(KNOWN_S)
    return cluster.clock.monotonic()


def after_storing(cluster: Cluster, action) -> None:
    """Act once the first run is stored, some time before its order is sent."""
    table = cluster.table
    transact = table.transact
    acted = []

    async def transact_slowly(transaction):
        result = await transact(transaction)
        keys = [put.key for put in transaction.puts]
        if not acted and any(key.startswith(PROGRESS_PREFIX) for key in keys):
            acted.append(keys)
            action()
            await cluster.clock.sleep(KNOWN_S)
        return result

    table.transact = transact_slowly


def refuse_drain_reads(cluster: Cluster):
    """Let the store refuse reads of the drains, no others; return what ends that."""
    table = cluster.table
    calls = {"watch": table.watch, "snapshot": table.snapshot}

    def refuse(name: str) -> None:
        async def read_others(prefix, *arguments):
            if prefix == DRAIN_PREFIX:
                return Err(Unavailable("too many reads"))
            return await calls[name](prefix, *arguments)

        setattr(table, name, read_others)

    for name in calls:
        refuse(name)
    return lambda: [delattr(table, name) for name in calls]


@pytest.mark.parametrize("value", ["{}", "", "[1"])
@pytest.mark.parametrize("gang", [False, True])
async def test_nothing_starts_in_a_drained_domain(make, gang, value):
    cluster = make()
    await cluster.advance(1.0)
    cluster.drain("a", value)
    since_s = await drain(cluster, "without workers", "unknown")
    for number in range(6):
        await cluster.submit(f"j{number}", Step(count=4, usage=SMALL, gang=gang))
    await cluster.advance(8.0)
    assert not list_starts(cluster, "a", since_s)
    states = {cluster.state(f"j{number}") for number in range(6)}
    assert states == {JobState.COMPLETED}


async def test_domain_that_is_given_back_counts_at_the_next_plan(make):
    cluster = make()
    await cluster.advance(1.0)
    since_s = await drain(cluster, "a")
    await cluster.submit("j1", FOUR)
    await cluster.advance(5.0)
    assert not cluster.starts("j1")
    assert cluster.state("j1") is JobState.QUEUED
    cluster.undrain("a")
    await cluster.advance(KNOWN_S)
    assert len(cluster.starts("j1")) == 4
    assert list_starts(cluster, "a", since_s)
    (waiting,) = cluster.leader.log.find("drains", "lifted")
    assert waiting["failure_domain"] == "a"


async def test_all_domains_drained_and_given_back(make):
    cluster = make()
    await cluster.advance(1.0)
    since_s = await drain(cluster, "a", "b")
    for queue in ("urgent", "standard", "batch"):
        await cluster.submit(queue, WHOLE, queue=queue)
    await cluster.advance(20.0)
    assert not list_starts(cluster, "a", since_s) + list_starts(cluster, "b", since_s)
    cluster.undrain("a")
    cluster.undrain("b")
    await cluster.advance(3.0)
    for queue in ("urgent", "standard", "batch"):
        assert cluster.state(queue) is JobState.COMPLETED


@pytest.mark.parametrize("lasting", [False, True])
async def test_runs_go_on_and_start_again_elsewhere(make, lasting):
    """A drain stops nothing; what ends there without success goes elsewhere."""
    cluster = make()
    await cluster.advance(1.0)
    step = FOUR._replace(gang=False, lasting=lasting)
    await cluster.submit("j1", step, work_s=1e6 if lasting else 6.0)
    await cluster.advance(1.0)
    began = cluster.starts("j1")
    assert len(began) == 4
    since_s = await drain(cluster, "a")
    await cluster.advance(1.0)
    assert cluster.starts("j1") == began
    assert sum(len(worker.runs) for worker in cluster.workers.values()) == 4
    cluster.crash_worker("w0")
    await cluster.advance(20.0)
    assert not list_starts(cluster, "a", since_s)
    if not lasting:
        assert len(list_starts(cluster, "b", since_s)) == 1
        assert cluster.state("j1") is JobState.COMPLETED


@pytest.mark.parametrize("gang", [False, True])
async def test_run_that_was_stored_is_not_sent_into_a_drained_domain(make, gang):
    cluster = make()
    await cluster.advance(1.0)
    after_storing(cluster, lambda: cluster.drain("a"))
    await cluster.submit("j1", FOUR._replace(gang=gang))
    await cluster.advance(1.0)
    assert not list_starts(cluster, "a")
    withdrawn = cluster.leader.log.find("orders", "not_started")
    assert len(withdrawn) == (4 if gang else 2)
    cluster.undrain("a")
    await cluster.advance(5.0)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_unanswered_order_is_not_repeated_and_its_late_copy_starts_nothing(make):
    """The order was sent before the drain; copies of it would go out after it."""
    cluster = make(workers=2)
    await cluster.advance(1.0)
    await drain(cluster, "b")
    worker = cluster.workers["w0"]
    worker.faults.late_starts = 9
    worker.faults.late_start_delay_s = 6.0
    await cluster.submit("j1", WHOLE)
    cluster.leader.drain_rows.apply_changes(
        [row for key, row in cluster.table.rows.items() if key == DRAIN_PREFIX + "b"],
        (),
        True,
    )
    cluster.drain("a")
    cluster.undrain("b")
    await cluster.advance(0.05)
    while not worker.faults.late_starts < 9:
        await cluster.advance(0.05)
    await cluster.advance(20.0)
    assert worker.faults.late_starts >= 7, "at most one copy besides the first"
    assert not list_starts(cluster, "a")
    assert cluster.state("j1") is JobState.COMPLETED


async def test_drain_lifted_and_set_again_within_a_second(make):
    cluster = make()
    await cluster.advance(1.0)
    await drain(cluster, "a")
    cluster.undrain("a")
    await cluster.advance(0.3)
    since_s = await drain(cluster, "a")
    await cluster.submit("j1", Step(count=4, usage=WHOLE.usage))
    await cluster.advance(5.0)
    assert not list_starts(cluster, "a", since_s)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_new_leader_knows_the_drain(make):
    cluster = make(nodes=2)
    await cluster.advance(1.0)
    since_s = await drain(cluster, "a")
    leader = cluster.leader
    await cluster.submit("j1", WHOLE._replace(count=6), work_s=1.5, node=1)
    await cluster.advance(0.3)
    await cluster.restart(cluster.nodes.index(leader))
    await cluster.advance(25.0)
    assert not list_starts(cluster, "a", since_s)
    assert cluster.state("j1", node=1) is JobState.COMPLETED


async def test_nothing_starts_while_the_drains_are_not_known(make):
    cluster = make()
    await cluster.advance(1.0)
    accept_reads = refuse_drain_reads(cluster)
    await cluster.advance(MAX_AGE_S + 0.5)
    cluster.drain("a")
    since_s = cluster.clock.monotonic()
    await cluster.submit("j1", Step(count=4, usage=WHOLE.usage))
    await cluster.advance(5.0)
    assert not cluster.starts("j1")
    (line,) = cluster.leader.log.find("drains", "unknown")
    assert line["age_s"] > MAX_AGE_S
    assert not cluster.leader.log.find("drains", "known_again")
    accept_reads()
    await cluster.advance(5.0)
    assert not list_starts(cluster, "a", since_s)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.leader.log.find("drains", "known_again")) == 1


async def test_process_that_never_read_the_drains_starts_nothing(make):
    cluster = make()
    accept_reads = refuse_drain_reads(cluster)
    await cluster.advance(1.0)
    await cluster.submit("j1", WHOLE)
    await cluster.advance(10.0)
    assert not cluster.starts("j1")
    accept_reads()
    await cluster.advance(3.0)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_drain_set_and_lifted_while_the_history_is_lost(make):
    cluster = make()
    await cluster.advance(1.0)
    await drain(cluster, "a")
    cluster.leader.store.cut = True
    await cluster.advance(0.1)
    cluster.undrain("a")
    cluster.drain("b")
    cluster.table.forget_history()
    cluster.leader.store.cut = False
    await cluster.advance(2.0)
    since_s = cluster.clock.monotonic()
    await cluster.submit("j1", Step(count=4, usage=WHOLE.usage))
    await cluster.advance(5.0)
    assert not list_starts(cluster, "b", since_s)
    assert cluster.state("j1") is JobState.COMPLETED


@pytest.mark.parametrize("late", [False, True])
async def test_no_run_is_stopped_for_a_place_in_a_drained_domain(make, late):
    """`late`: the domain is drained once the runs were stopped, before the start."""
    cluster = make(workers=2)
    await cluster.advance(1.0)
    batch = Step(count=2, usage=WHOLE.usage)
    await cluster.submit("batch", batch, queue="batch", work_s=30.0)
    await cluster.advance(1.0)
    since_s = 0.0 if late else await drain(cluster, "a")
    await cluster.submit("urgent", batch, queue="urgent", work_s=1.0)
    log = cluster.leader.log
    if late:
        while not log.find("coordinator", "deferred"):
            await cluster.advance(0.05)
        (node,) = cluster.nodes
        cluster.drain("a")
        node.drain_rows.apply_changes([cluster.table.rows[DRAIN_PREFIX + "a"]], (), 0)
        since_s = cluster.clock.monotonic()
    await cluster.advance(8.0)
    assert not list_starts(cluster, "a", since_s)
    placed = log.find("coordinator", "placed")
    assert not [p for p in placed if p["id"] == "urgent" and "w0" in p["workers"]]
    stopped_on = {line["worker"] for line in log.find("orders", "stop")}
    assert stopped_on == ({"w0", "w1"} if late else {"w1"})
    assert cluster.state("urgent") is JobState.COMPLETED
    cluster.undrain("a")
    await cluster.advance(45.0)
    assert cluster.state("batch") is JobState.COMPLETED


async def test_job_whose_label_is_drained_waits_and_says_so(make):
    cluster = make(domains=("a", "a", "b", "b"))
    await cluster.advance(1.0)
    await drain(cluster, "a")
    await cluster.submit("j1", WHOLE._replace(required_label="r0"))
    await cluster.submit("j2", WHOLE)
    await cluster.advance(6.0)
    assert cluster.state("j1") is JobState.QUEUED
    assert cluster.state("j2") is JobState.COMPLETED
    log = cluster.leader.log
    (line,) = log.find("coordinator", "waits_for_drain")
    assert (line["id"], line["label"], line["failure_domains"]) == ("j1", "r0", ["a"])
    cluster.undrain("a")
    await cluster.advance(3.0)
    assert cluster.state("j1") is JobState.COMPLETED
    (line,) = log.find("coordinator", "drain_wait_over")
    assert line["waited_s"] > 5.0


async def test_worker_that_is_listed_later_is_drained_too(make):
    cluster = make()
    await cluster.advance(1.0)
    await drain(cluster, "c")
    entry = cluster.workers["w0"].entry._replace(
        name="w9", domain="c", address="10.0.0.9:1", machine=""
    )
    cluster._add_worker(entry)
    cluster.list_worker(entry)
    await cluster.advance(1.0)
    await cluster.submit("j1", Step(count=5, usage=WHOLE.usage))
    await cluster.advance(6.0)
    assert not list_starts(cluster, "c")
    assert cluster.state("j1") is JobState.COMPLETED


@pytest.mark.parametrize("into_drained", [False, True])
async def test_worker_that_changes_its_domain(make, into_drained):
    """The domain of its last entry counts, not that in which it was listed first."""
    cluster = make(workers=2)
    await cluster.advance(1.0)
    entry = cluster.workers["w0"].entry
    await drain(cluster, "c" if into_drained else "a")
    cluster.list_worker(entry._replace(domain="c"))
    await cluster.advance(KNOWN_S)
    await cluster.submit("j1", WHOLE._replace(count=2))
    await cluster.advance(6.0)
    assert bool(cluster.workers["w0"].faults.started) is not into_drained
    assert cluster.state("j1") is JobState.COMPLETED


async def test_entry_that_moves_a_worker_into_a_drained_domain_stops_its_order(make):
    cluster = make(workers=2)
    await cluster.advance(1.0)
    await drain(cluster, "c")
    entry = cluster.workers["w0"].entry._replace(domain="c")
    after_storing(cluster, lambda: cluster.list_worker(entry))
    await cluster.submit("j1", WHOLE._replace(count=2, gang=True))
    await cluster.advance(5.0)
    assert not cluster.starts("j1")
    cluster.undrain("c")
    await cluster.advance(5.0)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_follower_that_stopped_ends_starts(make):
    """Its copy of the drains would be relied on for ever."""
    cluster = make()
    await cluster.advance(1.0)
    cluster.leader.tasks[2].cancel()
    await cluster.advance(MAX_AGE_S + 0.5)
    cluster.drain("a")
    await cluster.submit("j1", WHOLE._replace(count=4))
    await cluster.advance(10.0)
    assert not cluster.starts("j1")


async def test_withdrawn_starts_are_no_failures(make):
    """A gang that is withdrawn more often than it may fail ends well all the same."""
    cluster = make()
    await cluster.advance(1.0)
    await drain(cluster, "a")
    await cluster.submit("j1", FOUR)
    rounds = 2 * cluster.catalogue.queues["standard"].max_attempts
    for _ in range(rounds):
        after_storing(cluster, lambda: cluster.drain("a"))
        cluster.undrain("a")
        await cluster.advance(2.0)
        del cluster.table.transact
    withdrawn = cluster.leader.log.find("orders", "not_started")
    assert len(withdrawn) == FOUR.count * rounds
    assert not cluster.starts("j1")
    cluster.undrain("a")
    await cluster.advance(5.0)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_worker_that_starts_again_is_cold_again(make):
    """Its entry says so with the same number as after its first start."""
    cluster = make(workers=2, domains=("a",))
    entry = cluster.workers["w0"].entry._replace(cold_left_s=5.0)
    cluster.list_worker(entry)
    await cluster.advance(8.0)
    link = cluster.leader.coordinator.term.links["w0"]
    assert link.cold_until_s < cluster.clock.monotonic()
    cluster.list_worker(entry._replace(incarnation_ms=7000))
    await cluster.advance(0.5)
    assert link.cold_until_s > cluster.clock.monotonic()


async def test_suspects_in_a_drained_domain_leave_others_avoided(make):
    cluster = make(workers=8)
    await cluster.advance(1.0)
    await drain(cluster, "a")
    suspicion = cluster.leader.coordinator.term._workers._suspicion
    for name in ("w1", "w0", "w2", "w4"):
        await cluster.advance(0.05)
        suspicion.record_stall(name, cluster.clock.monotonic())
    await cluster.submit("j1", WHOLE._replace(count=4))
    await cluster.advance(1.0)
    assert len(cluster.starts("j1")) == 3
    assert not cluster.workers["w1"].faults.started


async def test_urgent_work_prefers_workers_that_are_not_cold(make):
    cluster = make(workers=2, domains=("a",))
    cold = cluster.workers["w0"].entry._replace(cold_left_s=5.0)
    cluster.list_worker(cold)
    await cluster.advance(1.0)
    await cluster.submit("j1", WHOLE, queue="urgent")
    await cluster.advance(1.0)
    await cluster.submit("j2", WHOLE._replace(count=2), queue="urgent")
    await cluster.advance(0.5)
    started = {name: w.faults.started for name, w in cluster.workers.items()}
    assert started["w1"][0][1].startswith("j1.")
    assert started["w0"], "a cold worker is better than none"


def test_order_of_other_work_does_not_depend_on_cold_workers():
    def find_key(*, cold: bool, urgent: bool):
        worker = WorkerView(
            "w", "pool", "r", frozenset(), CAPACITY, CAPACITY, cold=cold
        )
        demand = make_demand(usage=SMALL, priority=0 if urgent else 1)
        assert demand.urgent is urgent
        return _best_fit_key(worker, CAPACITY, SMALL, demand)

    assert find_key(cold=True, urgent=False) == find_key(cold=False, urgent=False)
    assert find_key(cold=True, urgent=True) > find_key(cold=False, urgent=True)


class DrainScenario(FaultScenario):
    """Jobs, random faults and drains that are set and lifted at random."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, domains=("a", "b", "c"), drain_max_age_s=MAX_AGE_S)
        self.periods: list[list] = []

    async def inject_fault(self, number: int) -> None:
        if self.rng.random() < 0.5:
            await super().inject_fault(number)
            return
        domain = self.rng.choice("abc")
        if DRAIN_PREFIX + domain in self.cluster.table.rows:
            self.lift(domain)
        else:
            self.cluster.drain(domain)
            now_s = self.cluster.clock.monotonic()
            self.periods.append([domain, now_s, float("inf")])

    def lift(self, domain: str) -> None:
        self.cluster.undrain(domain)
        now_s = self.cluster.clock.monotonic()
        for period in self.periods:
            if period[0] == domain and period[2] == float("inf"):
                period[2] = now_s

    async def repair_all(self) -> None:
        await super().repair_all()
        for domain in "abc":
            self.lift(domain)

    def list_forbidden_starts(self, allowed_s: float) -> list[tuple]:
        """Return the starts of orders sent later than a time after a drain."""
        return [
            (period, start_s, task)
            for period in self.periods
            for worker in self.cluster.workers.values()
            if worker.entry.domain == period[0]
            for start_s, task, _ in worker.faults.started
            if period[1] + allowed_s < start_s < period[2]
        ]


@pytest.mark.parametrize("seed", SERIES_SEEDS)
async def test_random_faults_and_drains(seed):
    """Orders that are carried out up to 6 s late were sent before the drain."""
    scenario = DrainScenario(seed)
    try:
        await scenario.run()
        await scenario.check()
        assert scenario.periods
        assert not scenario.list_forbidden_starts(MAX_AGE_S + 6.0)
    finally:
        await scenario.cluster.close()
