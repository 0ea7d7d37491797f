"""What the decision log tells of runs that were closed without a reported end."""

from __future__ import annotations

import pytest

from chiveledge.workload import RunEnd, Step
from tests.coordinator.cluster import SMALL

WORK_S = 30.0
LONGER_THAN_LEASE_S = 8.0


@pytest.fixture
async def cluster(make_cluster):
    """Return a cluster whose only worker runs a long task."""
    cluster = make_cluster(workers=1)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=WORK_S)
    await cluster.advance(3.0)
    return cluster


async def test_closed_line_of_a_lapsed_run_has_the_ages_that_it_rests_on(cluster):
    cluster.workers["w0"].faults.unresponsive = True
    await cluster.advance(LONGER_THAN_LEASE_S)
    (line,) = cluster.leader.log.find("settlement", "closed")
    assert line["how"] is RunEnd.LAPSED
    assert line["lease_left_s"] < 0 < line["answer_age_s"]
    assert line["listed"] and not line["draining"]
    assert "no reply" in line["error"]
    assert cluster.leader.metrics.value("runs_closed_unreported_lapsed") == 1


async def test_closed_line_of_a_run_that_never_started_tells_since_when(cluster):
    worker = cluster.workers["w0"]
    worker.leave()
    worker.faults.refuses_connections = False
    await cluster.advance(3.0)
    line = cluster.leader.log.find("settlement", "closed")[0]
    assert line["how"] is RunEnd.NOT_STARTED
    assert line["resolved_age_s"] > 0
    assert line["reported"] and not line["adopted"] and not line["error"]


async def test_restart_line_tells_what_was_acknowledged_before(cluster):
    await cluster.submit("j2", Step(count=1, usage=SMALL), work_s=0.2)
    await cluster.advance(2.0)
    (line,) = cluster.leader.log.find("settlement", "acknowledged")
    assert line["ends"] == 1 and line["answer_age_s"] is not None
    cluster.workers["w0"].crash(incarnation_ms=2)
    await cluster.advance(3.0)
    (line,) = cluster.leader.log.find("workers", "reborn")
    assert (line["earlier_ms"], line["born_ms"]) == (1, 2)
    assert line["runs"] == 1 and line["acknowledged"] == 1


async def test_start_order_without_an_answer_has_a_line(cluster):
    cluster.workers["w0"].faults.late_starts = 1
    await cluster.submit("j2", Step(count=1, usage=SMALL), work_s=0.2)
    await cluster.advance(2.0)
    (line,) = cluster.leader.log.find("orders", "unanswered")
    assert line["task"] == "j2.0.0.0" and line["run"] == 1
