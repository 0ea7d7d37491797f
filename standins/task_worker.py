"""In-process stand-in for a worker that runs single tasks under leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.services import CallError, Refused, Unsettled
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
from standins.run_record import FleetRecord, Overload, RecordedRun
from standins.simulated_task import StandInRun, StandInTask, WorkerFaults

ADVANCE_PERIOD_S = 0.05
"""Period at which the progress of runs is updated."""

STOP_DELAY_S = 0.2
"""Time from a stop order until the run ends."""

MAX_LISTED_ENDS = 500

MAX_LEASE_MS = 10_000
"""Longest lease, counted from the arrival of a request; longer ones are cut."""


class MemoryTaskWorker:
    """In-memory worker; each `crash` begins a new incarnation.

    Parameters
    ----------
    entry : WorkerEntry
        Entry of the worker in the platform's list.
    clock : Clock
        Source of time.
    find_task : callable
        Returns the simulated task of a task name.
    fleet : list, optional
        All workers, on which the members of a gang are counted.
    record : FleetRecord, optional
        Record shared by all workers.
    handle_crash : callable, optional
        Called after a task has crashed the worker, which is then down.

    Attributes
    ----------
    clock_rate : float
        Speed of the worker's clock relative to `clock`.
    start_answer_s : float
        Time from the start of a run until the order is answered.
    silent_when_down : bool
        Calls get no reply while its machine is down, instead of being refused.
    guards_capacity : bool
        Whether it declines a start that brings it over its capacity. Otherwise it
        records the start.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        clock: Clock,
        find_task: Callable[[str], StandInTask],
        fleet: list[MemoryTaskWorker] | None = None,
        record: FleetRecord | None = None,
        handle_crash: Callable[[MemoryTaskWorker], None] | None = None,
    ) -> None:
        self.faults = WorkerFaults()
        self.clock_rate = 1.0
        self.start_answer_s = 0.0
        self.silent_when_down = False
        self.guards_capacity = True
        self._clock = clock
        self._find_task = find_task
        self._fleet = fleet if fleet is not None else [self]
        self._record = record or FleetRecord()
        self._handle_crash = handle_crash
        self._run_ended = asyncio.Event()
        self._outages = 0
        self._reset(entry)

    def _reset(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.runs: dict[tuple[str, int], StandInRun] = {}
        self.ended: list[EndedTask] = []
        self._unacknowledged: dict[int, RecordedRun] = {}
        self.fence = 0
        self._last_number = 0
        self._highest_ended: dict[str, int] = {}
        self._lease_end_ms = 0
        self._started_s = self._clock.monotonic()
        self._advanced_s = self._started_s
        self._past_capacities: list[tuple[float, Usage]] = []

    def resize(self, capacity: Usage) -> None:
        """Shrink or grow the capacity while the worker runs."""
        past = (self._clock.monotonic(), self.entry.capacity)
        self._past_capacities.append(past)
        self.entry = self.entry._replace(capacity=capacity)

    def crash(self, incarnation_ms: int) -> None:
        """Drop all state and start a new incarnation under the same name."""
        self._lose_runs()
        self._reset(self.entry._replace(incarnation_ms=incarnation_ms))

    def go_down(self) -> None:
        """Drop all runs and break all connections, as a loss of power does."""
        self._lose_runs()
        self._outages += 1
        if self.silent_when_down:
            self.faults.unresponsive = True
            return
        self.faults.down = True
        self._run_ended.set()
        self._run_ended = asyncio.Event()

    def come_back(self, incarnation_ms: int) -> None:
        """Start a new incarnation under the same name after `go_down`."""
        self.faults.down = False
        self.faults.unresponsive = False
        self.crash(incarnation_ms)

    def leave(self) -> None:
        """Drop all runs and refuse connections from now on."""
        self._lose_runs()
        self.faults.refuses_connections = True

    @property
    def clock_ms(self) -> int:
        """Time on the worker's own monotonic clock, in ms since its start."""
        passed_s = self._clock.monotonic() - self._started_s
        return int(passed_s * 1000 * self.clock_rate)

    @property
    def _is_away(self) -> bool:
        return self.faults.unresponsive or self.faults.down

    def advance(self) -> None:
        """Update the progress of all runs and end those that are due."""
        now_s = self._clock.monotonic()
        passed_s = now_s - self._advanced_s
        self._advanced_s = now_s
        if self.clock_ms > self._lease_end_ms:
            self._lapse()
        for key, run in list(self.runs.items()):
            if run.stops_at_s is not None and now_s >= run.stops_at_s:
                self._end_run(key, RunEnd.STOPPED)
                continue
            if self.faults.hangs or not self._is_gang_present(run):
                continue
            if self.faults.fails_at_once:
                self._end_run(key, RunEnd.FAILED)
                continue
            run.done_s += passed_s / self.faults.slowdown_factor
            if run.done_s >= run.task.work_s:
                failed = run.task.fails or self.faults.fails
                self._end_run(key, RunEnd.FAILED if failed else RunEnd.DONE)

    async def run(self) -> None:
        """Advance periodically until cancelled."""
        while True:
            await self._clock.sleep(ADVANCE_PERIOD_S)
            self.advance()

    async def start(
        self, order: StartOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Start a run, or decline the order."""
        if self.faults.replaced:
            return self._decline(DeclineReason.OTHER_LIFE)
        if self._is_away or self.faults.refuses_connections:
            return await self._fail_unanswered()
        if self.faults.late_starts > 0:
            self.faults.late_starts -= 1
            asyncio.ensure_future(
                self._start_delayed(order, self.faults.late_start_delay_s)
            )
            return await self._fail_unanswered()
        result = self._start(order)
        if self.start_answer_s:
            outages = self._outages
            await self._clock.sleep(self.start_answer_s)
            if outages != self._outages:
                return await self._break_connection()
        return await self._reply(result)

    async def stop(
        self, order: StopOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Stop a run; one that hasn't started can't start afterwards."""
        if self.faults.replaced:
            return self._decline(DeclineReason.OTHER_LIFE)
        if self._is_away:
            return await self._fail_unanswered()
        return await self._reply(self._stop(order))

    async def pace(
        self, order: PaceOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Accept a pace order without slowing the run down."""
        if self.faults.replaced:
            return self._decline(DeclineReason.OTHER_LIFE)
        if self._is_away:
            return await self._fail_unanswered()
        return await self._reply(Ok(OrderAccepted(self.clock_ms)))

    async def poll(
        self, request: PollRequest
    ) -> Result[PollReport, Declined | CallError]:
        """Extend the lease, then wait for an ended run and return a report."""
        if self.faults.replaced:
            return self._decline(DeclineReason.OTHER_LIFE)
        if self._is_away or self.faults.refuses_connections:
            return await self._fail_unanswered()
        if self.faults.late_polls > 0:
            self.faults.late_polls -= 1
            asyncio.ensure_future(
                self._poll_delayed(request, self.faults.late_poll_delay_s)
            )
            return await self._fail_unanswered()
        if not self._hold(request):
            return self._decline(DeclineReason.FENCE)
        outages = self._outages
        if not self.ended and request.wait_s:
            await run_with_timeout(self._clock, self._run_ended.wait(), request.wait_s)
        if outages != self._outages:
            return await self._break_connection()
        if self.faults.unresponsive or self.faults.refuses_connections:
            return await self._fail_unanswered()
        return await self._reply(Ok(self._report()))

    async def close(self) -> None:
        """Do nothing, as there are no connections to close."""

    def _hold(self, request: PollRequest) -> bool:
        """Carry a poll out; return False without any effect if its fence is lower."""
        if request.fence < self.fence:
            return False
        self.fence = request.fence
        self.advance()
        self._extend_lease(request.lease_end_ms)
        self._drop_acknowledged(request.acknowledged)
        return True

    def _start(
        self, order: StartOrder, *, is_late: bool = False
    ) -> Result[OrderAccepted, Declined]:
        self.advance()
        key = (order.task, order.run)
        if order.fence < self.fence:
            return self._decline(DeclineReason.FENCE)
        self.fence = order.fence
        self._extend_lease(order.lease_end_ms)
        if key in self.runs:
            return Ok(OrderAccepted(self.clock_ms))
        if order.run <= self._highest_ended.get(order.task, 0):
            return self._decline(DeclineReason.OLD_RUN)
        if order.lease_end_ms <= self.clock_ms:
            return self._decline(DeclineReason.LEASE_EXPIRED)
        task = self._find_task(order.task)
        if not task.usage.fits(self._free_capacity()):
            if self.guards_capacity:
                return self._decline(DeclineReason.NO_CAPACITY)
            self._record_overload(order, task, is_late=is_late)
        resumed_s = float(order.checkpoint or 0.0)
        now_s = self._clock.monotonic()
        recorded = self._record.start(order, self.entry.name, now_s, is_late=is_late)
        self.runs[key] = StandInRun(order, task, recorded, done_s=resumed_s)
        self.faults.started.append((now_s, order.task, order.run))
        if task.is_deadly(order.task):
            asyncio.ensure_future(self._crash_under(self.runs[key]))
        return Ok(OrderAccepted(self.clock_ms))

    def _record_overload(
        self, order: StartOrder, task: StandInTask, *, is_late: bool
    ) -> None:
        """Record a start for which there is no room, and since when there is none."""
        used = self.entry.capacity.minus(self._free_capacity()).plus(task.usage)
        now_s = self._clock.monotonic()
        fitted_s = [s for s, past in self._past_capacities if used.fits(past)]
        since_s = now_s - max(fitted_s, default=float("-inf"))
        self._record.overloads.append(
            Overload(order.task, order.run, self.entry.name, now_s, since_s, is_late)
        )

    async def _start_delayed(self, order: StartOrder, delay_s: float) -> None:
        await self._clock.sleep(delay_s)
        if not self.faults.down and not self.faults.replaced:
            self._start(order, is_late=True)

    async def _crash_under(self, run: StandInRun) -> None:
        """Crash the worker unless the run ends before."""
        await self._clock.sleep(run.task.crash_after_s)
        self.advance()
        if self.runs.get((run.order.task, run.order.run)) is not run:
            return
        now_s = self._clock.monotonic()
        for present in self.runs.values():
            if present.is_deadly:
                self._record.crashes[present.order.task].append(now_s)
        self.go_down()
        if self._handle_crash is not None:
            self._handle_crash(self)

    async def _poll_delayed(self, request: PollRequest, delay_s: float) -> None:
        await self._clock.sleep(delay_s)
        if not self.faults.down and not self.faults.replaced:
            self._hold(request)

    def _stop(self, order: StopOrder) -> Result[OrderAccepted, Declined]:
        self.advance()
        if order.fence < self.fence:
            return self._decline(DeclineReason.FENCE)
        self.fence = order.fence
        run = self.runs.get((order.task, order.run))
        if run is None:
            highest = self._highest_ended.get(order.task, 0)
            self._highest_ended[order.task] = max(highest, order.run)
        elif run.stops_at_s is None:
            now_s = self._clock.monotonic()
            run.stops_at_s = now_s + STOP_DELAY_S
            run.recorded.stop_ordered_s = now_s
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
            self.clock_ms,
            self.entry.incarnation_ms,
            running,
            tuple(self.ended[:MAX_LISTED_ENDS]),
            has_more_ends=len(self.ended) > MAX_LISTED_ENDS,
        )

    def _drop_acknowledged(self, acknowledged: int) -> None:
        for number in [n for n in self._unacknowledged if n <= acknowledged]:
            self._unacknowledged.pop(number).noted_s = self._clock.monotonic()
        self.ended = [end for end in self.ended if end.number > acknowledged]

    def _extend_lease(self, until_ms: int | None) -> None:
        if until_ms is not None:
            until_ms = min(until_ms, self.clock_ms + MAX_LEASE_MS)
            self._lease_end_ms = max(self._lease_end_ms, until_ms)

    def _free_capacity(self) -> Usage:
        free = self.entry.capacity
        for run in self.runs.values():
            free = free.minus(run.task.usage)
        return free

    def _is_gang_present(self, run: StandInRun) -> bool:
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

    def _end_run(self, key: tuple[str, int], how: RunEnd) -> None:
        run = self.runs.pop(key)
        self._last_number += 1
        highest = self._highest_ended.get(key[0], 0)
        self._highest_ended[key[0]] = max(highest, key[1])
        saved = f"{run.done_s:08.2f}" if run.done_s else run.order.checkpoint
        self.ended.append(EndedTask(self._last_number, key[0], key[1], how, saved))
        run.recorded.ended_s = self._clock.monotonic()
        run.recorded.how = how
        self._unacknowledged[self._last_number] = run.recorded
        self._run_ended.set()
        self._run_ended = asyncio.Event()

    def _lapse(self) -> None:
        """End all runs; ends that were not acknowledged in time never count as such."""
        passed_s = (self.clock_ms - self._lease_end_ms) / 1000 / self.clock_rate
        lapsed_at_s = self._clock.monotonic() - passed_s
        for key, run in list(self.runs.items()):
            self._end_run(key, RunEnd.LAPSED)
            # The lapse may be noticed late; the run did no work after it.
            run.recorded.ended_s = max(run.recorded.started_s, lapsed_at_s)
        for recorded in self._unacknowledged.values():
            recorded.has_lapsed = True

    def _lose_runs(self) -> None:
        now_s = self._clock.monotonic()
        for run in self.runs.values():
            run.recorded.ended_s = now_s
        self.runs.clear()

    def _decline(self, reason: DeclineReason) -> Err[Declined]:
        return Err(Declined(reason, self.clock_ms))

    async def _reply(self, result: Result) -> Result:
        await asyncio.sleep(0)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return await self._fail_unanswered()
        return result

    async def _break_connection(self) -> Err[CallError]:
        """Fail a call that was being served when the worker went down."""
        if self.silent_when_down:
            return await self._fail_unanswered()
        await asyncio.sleep(0)
        return Err(Unsettled("the connection broke"))

    async def _fail_unanswered(self) -> Err[CallError]:
        if self.faults.refuses_connections or self.faults.down:
            await asyncio.sleep(0)
            return Err(Refused("connection refused"))
        await self._clock.sleep(0.5)
        return Err(Unsettled("no reply"))
