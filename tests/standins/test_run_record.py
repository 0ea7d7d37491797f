"""Which repeated runs the record of the stand-in workers reports."""

from __future__ import annotations

import pytest
from result import Ok

from chiveledge.clock import ManualClock
from chiveledge.services.task_worker import PollRequest, StartOrder, WorkerEntry
from chiveledge.workload import Usage
from standins.run_record import FleetRecord
from standins.simulated_task import StandInTask
from standins.task_worker import MemoryTaskWorker

LEASE_S = 6.0
WORK_S = 1.0


@pytest.fixture
def fleet():
    return Fleet()


class Fleet:
    """Two workers that share a record."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.record = FleetRecord()
        self.workers = [self._make_worker(name) for name in ("a", "b")]

    def _make_worker(self, name: str) -> MemoryTaskWorker:
        capacity = Usage(8000, 8000, 8)
        entry = WorkerEntry(name, "pool", "", "z", "r", frozenset(), capacity, 1)
        task = StandInTask(WORK_S)
        return MemoryTaskWorker(entry, self.clock, lambda _: task, record=self.record)

    async def start(self, worker: int, run: int = 1) -> None:
        lease_end_ms = self.workers[worker].clock_ms + int(LEASE_S * 1000)
        order = StartOrder("j.0.0.0", run, "", lease_end_ms, 1)
        assert isinstance(await self.workers[worker].start(order), Ok)

    async def acknowledge(self, worker: int, lease_end_s: float = LEASE_S) -> None:
        request = PollRequest(1, 1, int(lease_end_s * 1000))
        assert isinstance(await self.workers[worker].poll(request), Ok)

    async def pass_time(self, seconds: float) -> None:
        await self.clock.advance(seconds)
        for worker in self.workers:
            worker.advance()


async def test_runs_at_the_same_time_are_reported(fleet):
    await fleet.start(0)
    await fleet.pass_time(WORK_S / 2)
    await fleet.start(1, run=2)
    await fleet.pass_time(WORK_S)
    assert len(fleet.record.double_runs) == 1
    assert not fleet.record.started_after_done


@pytest.mark.parametrize("first", ["acknowledge", "start"])
async def test_start_after_a_done_run_is_reported_whenever_it_is_acknowledged(
    fleet, first
):
    await fleet.start(0)
    await fleet.pass_time(WORK_S)
    if first == "start":
        await fleet.start(1, run=2)
    await fleet.acknowledge(0)
    if first == "acknowledge":
        await fleet.start(1, run=2)
    assert len(fleet.record.started_after_done) == 1
    assert not fleet.record.double_runs


async def test_end_that_is_never_acknowledged_permits_another_start(fleet):
    await fleet.start(0)
    await fleet.pass_time(WORK_S)
    await fleet.start(1, run=2)
    assert not fleet.record.started_after_done


async def test_end_acknowledged_after_a_lapse_permits_another_start(fleet):
    """An acknowledgement doesn't count if the lease lapsed since the end."""
    await fleet.start(0)
    await fleet.pass_time(LEASE_S + 0.1)
    await fleet.acknowledge(0, 2 * LEASE_S)
    await fleet.start(1, run=2)
    assert not fleet.record.started_after_done


async def test_run_that_lapsed_did_no_work_after_its_lease(fleet):
    """A lapse that a busy stand-in notices late is no second run at the time."""
    fleet.workers[0]._find_task = lambda _: StandInTask(100.0)
    await fleet.start(0)
    await fleet.clock.advance(LEASE_S + 0.5)
    await fleet.start(1, run=2)
    fleet.workers[0].advance()
    assert not fleet.record.double_runs


async def test_crash_ends_the_runs_of_a_worker(fleet):
    await fleet.start(0)
    fleet.workers[0].crash(incarnation_ms=2)
    await fleet.pass_time(0.1)
    await fleet.start(1, run=2)
    assert not fleet.record.double_runs
