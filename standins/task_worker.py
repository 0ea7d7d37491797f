"""Stand-in for a worker that runs single tasks under leases, within one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.services import CallError, Unavailable, Unsettled
from chiveledge.services.task_worker import (
    Declined,
    DeclineReason,
    EndedTask,
    OrderAccepted,
    PaceOrder,
    PollReport,
    PollRequest,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from chiveledge.workload import RunEnd, Usage

STEP_S = 0.05
"""How often running work is brought forward."""

STOP_TAKES_S = 0.2
LONGEST_LEASE_MS = 10_000


@dataclass
class StandInTask:
    """What a task of the stand-in needs and how it ends.

    Attributes
    ----------
    work_s : float
        Work until its end.
    fails : bool
        Whether it ends as failed.
    gang : int
        Members that must be present before any works; 1 for none.
    ready_at_once : bool
        Whether it shows full progress while it runs, as a serving task does.
    """

    work_s: float = 1.0
    usage: Usage = Usage(1000, 100, 0)
    fails: bool = False
    gang: int = 1
    ready_at_once: bool = False


@dataclass
class StandInRun:
    """A run on the stand-in."""

    order: StartOrder
    task: StandInTask
    done_s: float = 0.0
    stops_at_s: float | None = None


@dataclass
class WorkerFaults:
    """What a stand-in worker does wrong; each counter counts down.

    Attributes
    ----------
    silent : bool
        No call arrives.
    gone : bool
        Nobody listens at its address.
    lose_replies : int
        Calls that take effect without an answer.
    lose_orders : int
        Starts that take effect without an answer, `late_s` later.
    hangs, fails : bool
        All runs stand still, or end as failed.
    fails_at_once : bool
        All runs end as failed as soon as they have begun.
    slow_x : float
        All runs take this many times as long.
    """

    silent: bool = False
    gone: bool = False
    lose_replies: int = 0
    lose_orders: int = 0
    late_s: float = 0.0
    hangs: bool = False
    fails: bool = False
    fails_at_once: bool = False
    slow_x: float = 1.0
    started: list[tuple[float, str, int]] = field(default_factory=list)


@dataclass
class FleetRecord:
    """What happened on all workers together.

    Attributes
    ----------
    noted_done : set of str
        Tasks whose end as done was acknowledged by a leader.
    started_after_done : list of str
        Tasks that were started in spite of that.
    """

    noted_done: set[str] = field(default_factory=set)
    started_after_done: list[str] = field(default_factory=list)


class MemoryTaskWorker:
    """One life after another of a worker.

    Parameters
    ----------
    entry : WorkerEntry
        Name and capacity.
    clock : Clock
        Source of time.
    describe : callable
        Returns what a task needs, by its name without the run.
    fleet : list, optional
        All workers, among which members of a gang find each other.
    record : FleetRecord, optional
        Shared by all workers.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        clock: Clock,
        describe: Callable[[str], StandInTask],
        fleet: list[MemoryTaskWorker] | None = None,
        record: FleetRecord | None = None,
    ) -> None:
        self.faults = WorkerFaults()
        self.clock_rate = 1.0
        self._clock = clock
        self._describe = describe
        self._fleet = fleet if fleet is not None else [self]
        self._record = record or FleetRecord()
        self._changed = asyncio.Event()
        self._begin(entry)

    def _begin(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.runs: dict[tuple[str, int], StandInRun] = {}
        self.ended: list[EndedTask] = []
        self.fence = 0
        self._number = 0
        self._highest_ended: dict[str, int] = {}
        self._lease_end_ms = 0
        self._began_s = self._clock.monotonic()
        self._moved_s = self._began_s

    def crash(self, incarnation_ms: int) -> None:
        """Lose everything and start again under the same name."""
        self._begin(self.entry._replace(incarnation_ms=incarnation_ms))

    def leave(self) -> None:
        """End everything and go."""
        self.runs.clear()
        self.faults.gone = True

    @property
    def clock_ms(self) -> int:
        """The worker's own steady clock."""
        passed_s = self._clock.monotonic() - self._began_s
        return int(passed_s * 1000 * self.clock_rate)

    def advance(self) -> None:
        """Bring running work forward to the present time."""
        now_s = self._clock.monotonic()
        passed_s = now_s - self._moved_s
        self._moved_s = now_s
        if self.runs and self.clock_ms > self._lease_end_ms:
            for key in list(self.runs):
                self._finish(key, RunEnd.LAPSED)
        for key, run in list(self.runs.items()):
            if run.stops_at_s is not None and now_s >= run.stops_at_s:
                self._finish(key, RunEnd.STOPPED)
                continue
            if self.faults.hangs or not self._gang_is_present(run):
                continue
            if self.faults.fails_at_once:
                self._finish(key, RunEnd.FAILED)
                continue
            run.done_s += passed_s / self.faults.slow_x
            if run.done_s >= run.task.work_s:
                failed = run.task.fails or self.faults.fails
                self._finish(key, RunEnd.FAILED if failed else RunEnd.DONE)

    async def run(self) -> None:
        """Advance until cancelled."""
        while True:
            await self._clock.sleep(STEP_S)
            self.advance()

    async def start(
        self, order: StartOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Start a run."""
        if self.faults.silent or self.faults.gone:
            return await self._no_answer()
        if self.faults.lose_orders > 0:
            self.faults.lose_orders -= 1
            asyncio.ensure_future(self._start_late(order, self.faults.late_s))
            return await self._no_answer()
        return await self._answer(self._start(order))

    async def stop(
        self, order: StopOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Stop or bar a run."""
        if self.faults.silent:
            return await self._no_answer()
        return await self._answer(self._stop(order))

    async def pace(
        self, order: PaceOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Accept a pace; the stand-in's work does not slow down."""
        if self.faults.silent:
            return await self._no_answer()
        return await self._answer(Ok(OrderAccepted(self.clock_ms)))

    async def poll(
        self, request: PollRequest
    ) -> Result[PollReport, Declined | CallError]:
        """Extend the lease and report, as soon as there is an end to report."""
        if self.faults.silent or self.faults.gone:
            return await self._no_answer()
        if request.fence < self.fence:
            return Err(Declined(DeclineReason.FENCE, self.clock_ms))
        self.fence = request.fence
        self._extend(request.lease_end_ms)
        self._forget_seen(request.acknowledged)
        if not self.ended and request.wait_s:
            await run_with_timeout(self._clock, self._changed.wait(), request.wait_s)
        if self.faults.silent or self.faults.gone:
            return await self._no_answer()
        return await self._answer(Ok(self._report()))

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    def _start(self, order: StartOrder) -> Result[OrderAccepted, Declined]:
        self.advance()
        key = (order.task, order.run)
        if order.fence < self.fence:
            return self._decline(DeclineReason.FENCE)
        self.fence = order.fence
        self._extend(order.lease_end_ms)
        if key in self.runs:
            return Ok(OrderAccepted(self.clock_ms))
        if order.run <= self._highest_ended.get(order.task, 0):
            return self._decline(DeclineReason.OLD_RUN)
        if order.lease_end_ms <= self.clock_ms:
            return self._decline(DeclineReason.LEASE_EXPIRED)
        task = self._describe(order.task)
        if not task.usage.fits(self._free()):
            return self._decline(DeclineReason.NO_CAPACITY)
        saved_s = float(order.checkpoint or 0.0)
        self.runs[key] = StandInRun(order, task, done_s=saved_s)
        if order.task in self._record.noted_done:
            self._record.started_after_done.append(order.task)
        self.faults.started.append((self._clock.monotonic(), order.task, order.run))
        return Ok(OrderAccepted(self.clock_ms))

    async def _start_late(self, order: StartOrder, late_s: float) -> None:
        life = self.entry.incarnation_ms
        await self._clock.sleep(late_s)
        if self.entry.incarnation_ms == life:
            self._start(order)

    def _stop(self, order: StopOrder) -> Result[OrderAccepted, Declined]:
        self.advance()
        if order.fence < self.fence:
            return self._decline(DeclineReason.FENCE)
        self.fence = order.fence
        run = self.runs.get((order.task, order.run))
        if run is None:
            known = self._highest_ended.get(order.task, 0)
            self._highest_ended[order.task] = max(known, order.run)
        elif run.stops_at_s is None:
            run.stops_at_s = self._clock.monotonic() + STOP_TAKES_S
        return Ok(OrderAccepted(self.clock_ms))

    def _report(self) -> PollReport:
        self.advance()
        running = tuple(
            RunningTask(
                run.order.task,
                run.order.run,
                f"{run.done_s:08.2f}" if run.done_s else run.order.checkpoint,
                100
                if run.task.ready_at_once
                else int(100 * run.done_s / run.task.work_s),
            )
            for run in self.runs.values()
        )
        return PollReport(
            self.clock_ms, self.entry.incarnation_ms, running, tuple(self.ended[:500])
        )

    def _forget_seen(self, acknowledged: int) -> None:
        for end in self.ended:
            if end.number <= acknowledged and end.how is RunEnd.DONE:
                self._record.noted_done.add(end.task)
        self.ended = [end for end in self.ended if end.number > acknowledged]

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is not None:
            until_ms = min(until_ms, self.clock_ms + LONGEST_LEASE_MS)
            self._lease_end_ms = max(self._lease_end_ms, until_ms)

    def _free(self) -> Usage:
        free = self.entry.capacity
        for run in self.runs.values():
            free = free.minus(run.task.usage)
        return free

    def _gang_is_present(self, run: StandInRun) -> bool:
        if run.task.gang <= 1:
            return True
        step = run.order.task.rsplit(".", 1)[0]
        present = sum(
            other.order.run == run.order.run
            and other.order.task.rsplit(".", 1)[0] == step
            for worker in self._fleet
            for other in worker.runs.values()
        )
        return present >= run.task.gang or run.done_s > 0

    def _finish(self, key: tuple[str, int], how: RunEnd) -> None:
        run = self.runs.pop(key)
        self._number += 1
        known = self._highest_ended.get(key[0], 0)
        self._highest_ended[key[0]] = max(known, key[1])
        saved = f"{run.done_s:08.2f}" if run.done_s else run.order.checkpoint
        self.ended.append(EndedTask(self._number, key[0], key[1], how, saved))
        self._changed.set()
        self._changed = asyncio.Event()

    def _decline(self, reason: DeclineReason) -> Err[Declined]:
        return Err(Declined(reason, self.clock_ms))

    async def _answer(self, result: Result) -> Result:
        await asyncio.sleep(0)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return await self._no_answer()
        return result

    async def _no_answer(self) -> Err[CallError]:
        if self.faults.gone:
            await asyncio.sleep(0)
            return Err(Unavailable("connection refused"))
        await self._clock.sleep(0.5)
        return Err(Unsettled("no answer"))
