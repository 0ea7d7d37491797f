"""Steps that wait for a reason that operators don't expect have a line in the log."""

from __future__ import annotations

import pytest

from chiveledge.coordinator import _planning
from chiveledge.placement import WaitCause
from chiveledge.workload import JobState, Step, Usage
from tests.coordinator.cluster import CAPACITY, SMALL

FULL_WORKER = Usage(1000, 100, CAPACITY.accelerators)


async def test_gang_that_no_fleet_of_this_size_holds_is_named_once(make_cluster):
    """It waited for ever, and no line, counter or trace told why."""
    cluster = make_cluster(workers=4)
    await cluster.advance(1.0)
    await cluster.submit("j1", Step(count=5, usage=FULL_WORKER, gang=True))
    await cluster.advance(10.0)
    log, metrics = cluster.leader.log, cluster.leader.metrics
    (line,) = log.find("coordinator", "waits")
    assert (line["id"], line["step"]) == ("j1", "j1.0.0")
    assert line["cause"] is WaitCause.TOO_LARGE
    assert (line["tasks"], line["workers"], line["candidates"]) == (5, 4, 4)
    assert metrics.value("waits_too_large") == 1


async def test_end_of_a_named_wait_has_a_line(make_cluster):
    cluster = make_cluster(workers=2)
    await cluster.advance(1.0)
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=8.0)
    await cluster.advance(1.0)
    await cluster.submit("j2", Step(count=2, usage=FULL_WORKER, gang=True))
    await cluster.advance(5.0)
    log = cluster.leader.log
    (line,) = log.find("coordinator", "waits")
    assert line["cause"] is WaitCause.FULL
    assert not log.find("coordinator", "wait_over")
    await cluster.advance(8.0)
    (line,) = log.find("coordinator", "wait_over")
    assert line["step"] == "j2.0.0"
    assert cluster.state("j2") is JobState.COMPLETED


@pytest.mark.parametrize("busy", [1, 3])
async def test_reservation_is_named_only_if_most_of_the_fleet_is_free(
    make_cluster, monkeypatch, busy
):
    """Of four workers one is reserved; the other three are full, or one of them is."""
    monkeypatch.setattr(_planning, "count_reserved", lambda *_: 1)
    cluster = make_cluster(workers=4)
    await cluster.advance(1.0)
    await cluster.submit("u", Step(count=1, usage=SMALL), queue="urgent", work_s=0.2)
    await cluster.submit("j1", Step(count=busy, usage=FULL_WORKER), work_s=20.0)
    await cluster.advance(1.0)
    await cluster.submit("j2", Step(count=3, usage=FULL_WORKER, gang=True))
    await cluster.advance(6.0)
    causes = [line["cause"] for line in cluster.leader.log.find("coordinator", "waits")]
    assert causes == ([WaitCause.RESERVED] if busy == 1 else [])


async def test_waiting_on_a_full_fleet_has_no_line(make_cluster):
    cluster = make_cluster(workers=1)
    await cluster.advance(1.0)
    await cluster.submit("j1", Step(count=1, usage=FULL_WORKER), work_s=20.0)
    await cluster.submit("j2", Step(count=1, usage=FULL_WORKER))
    await cluster.advance(10.0)
    assert not cluster.leader.log.find("coordinator", "waits")
