"""A job that no set of the workers could hold is refused; one that only waits isn't."""

from __future__ import annotations

import pytest

from chiveledge.coordinator import _fleet_capacity
from chiveledge.intake import FLEET_KEY, Accepted, Infeasible
from chiveledge.intake._fleet_row import SETTLED_S
from chiveledge.workload import JobRequest, Step, Usage
from tests.coordinator.cluster import CAPACITY, SMALL

WHOLE_WORKER = Usage(1000, 100, CAPACITY.accelerators)
WIDE = Step(count=5, usage=WHOLE_WORKER, gang=True)
FITTING = Step(count=4, usage=WHOLE_WORKER, gang=True)


@pytest.fixture
async def cluster(make_cluster):
    """Return a cluster of four workers whose capacity is known to its nodes."""
    cluster = make_cluster(workers=4, nodes=2)
    await cluster.advance(SETTLED_S + 10.0)
    return cluster


@pytest.mark.parametrize(
    "step",
    [
        WIDE,
        Step(count=5, usage=SMALL, gang=True, max_per_worker=1),
        Step(count=1, usage=Usage(1000, 100, CAPACITY.accelerators + 1)),
        Step(count=33, usage=SMALL, gang=True, required_label="a"),
    ],
)
async def test_job_that_no_set_of_workers_holds_is_refused(cluster, step):
    """It was accepted, and nothing told its caller that it would never start."""
    outcome = await cluster.submit("j1", step, node=1)
    assert isinstance(outcome, Infeasible)
    assert "steps[0]" in outcome.reason and "ask for fewer" in outcome.reason
    await cluster.advance(2.0)
    assert cluster.state("j1") is None


@pytest.mark.parametrize(
    "step",
    [
        FITTING,
        Step(count=5, usage=WHOLE_WORKER),
        Step(count=32, usage=SMALL, gang=True),
        Step(count=40, usage=SMALL, gang=True, required_label="r0"),
    ],
)
async def test_job_that_only_waits_is_accepted(cluster, step):
    """Also one with a label that may be a rack, whose size isn't known."""
    await cluster.submit("j0", Step(count=32, usage=SMALL), work_s=20.0)
    await cluster.advance(1.0)
    assert await cluster.submit("j1", step, node=1) == Accepted()


async def test_workers_that_are_away_count_also_after_a_takeover(cluster):
    for name in ("w0", "w1"):
        cluster.crash_worker(name)
        cluster.unlist_worker(name)
    await cluster.advance(10.0)
    await cluster.restart(cluster.nodes.index(cluster.leader))
    await cluster.advance(SETTLED_S + 10.0)
    assert await cluster.submit("j1", FITTING) == Accepted()
    assert isinstance(await cluster.submit("j2", WIDE), Infeasible)


async def test_workers_that_are_gone_for_long_do_not_count(cluster, monkeypatch):
    monkeypatch.setattr(_fleet_capacity, "RETENTION_S", 30.0)
    cluster.unlist_worker("w0")
    await cluster.advance(20.0)
    assert await cluster.submit("j1", FITTING) == Accepted()
    await cluster.advance(20.0)
    assert isinstance(await cluster.submit("j2", FITTING), Infeasible)


async def test_nothing_is_refused_while_a_fleet_starts_or_grows(make_cluster):
    cluster = make_cluster(workers=4)
    await cluster.advance(SETTLED_S - 10.0)
    assert await cluster.submit("j1", WIDE) == Accepted()
    await cluster.advance(20.0)
    assert isinstance(await cluster.submit("j2", WIDE), Infeasible)
    cluster.resize_worker("w0", Usage(8000, 8000, 16), listed_after_s=0.0)
    await cluster.advance(10.0)
    assert await cluster.submit("j3", Step(count=6, usage=SMALL)) == Accepted()
    wider = Step(count=6, usage=WHOLE_WORKER, gang=True)
    assert await cluster.submit("j4", wider) == Accepted()


async def test_repeated_submission_of_an_accepted_job_is_accepted(cluster):
    """The fleet has shrunk since, or another process did not know it yet."""
    cluster.nodes[1].fleet.apply_changes([], [], True)
    assert await cluster.submit("j1", WIDE, node=1) == Accepted()
    assert await cluster.submit("j1", WIDE, node=0) == Accepted(repeated=True)


async def test_row_that_is_damaged_or_removed_refuses_nothing(cluster):
    node = cluster.nodes[0]
    row = cluster.table.rows[FLEET_KEY]
    for value in ("{", "[]", '{"pool":[[1]]}', '{"pool":[[["a"],1,1,-1,1]]}', "{}"):
        node.fleet.apply_changes([row._replace(value=value)], [], False)
        assert await cluster.submit("j1", WIDE) == Accepted(repeated=value != "{")
    assert len(node.log.find("intake", "bad_fleet")) == 4
    node.fleet.apply_changes([row], [], False)
    node.fleet.apply_changes([], [FLEET_KEY], False)
    empty = '{"other":[[["a"],1,1,1,0]]}'
    node.fleet.apply_changes([row._replace(value=empty)], [], False)
    assert await cluster.submit("j2", WIDE) == Accepted()
    request = JobRequest("j3", "q", "cafes", "", (WIDE,), 0, service="other")
    assert not node.fleet.explain_infeasible(request)


async def test_capacity_is_written_once_while_it_stays_the_same(cluster):
    version = cluster.table.rows[FLEET_KEY].version
    cluster.crash_worker("w0")
    await cluster.advance(30.0)
    assert cluster.table.rows[FLEET_KEY].version == version


async def test_capacity_that_is_too_long_for_a_row_refuses_nothing(cluster):
    for name in ("w0", "w1"):
        label = name * (cluster.table.max_value_chars // 3)
        entry = cluster.workers[name].entry
        cluster.list_worker(entry._replace(labels=frozenset({label})))
    await cluster.advance(10.0)
    assert cluster.table.rows[FLEET_KEY].value == "{}"
    assert await cluster.submit("j1", WIDE) == Accepted()
