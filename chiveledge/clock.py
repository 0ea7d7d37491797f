"""Clock interface, its implementations, and timeouts measured by a given clock."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Awaitable
from datetime import UTC, datetime, timedelta
from typing import NamedTuple, Protocol, TypeVar

from result import Err, Ok, Result

EVENT_LOOP_ROUNDS = 30
"""Iterations of the event loop in which woken tasks run until they wait again."""

T = TypeVar("T")


class TimedOut(NamedTuple):
    """Error of an awaitable that was cancelled after `timeout_s`."""

    timeout_s: float


class Clock(Protocol):
    """Source of monotonic time, wall time and delays."""

    def monotonic(self) -> float:
        """Return the time in seconds on a clock that never goes backwards."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """The system clock.

    Its monotonic time includes the time in which the machine was suspended, since
    leases expire meanwhile.
    """

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        return datetime.now(UTC)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class ManualClock:
    """A clock that advances only on request, for tests and benchmarks.

    Parameters
    ----------
    start : datetime, optional
        Wall time at monotonic time 0.
    """

    def __init__(self, start: datetime | None = None) -> None:
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed_s = 0.0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._sequence = 0

    def monotonic(self) -> float:
        return self._elapsed_s

    def now(self) -> datetime:
        return self._start + timedelta(seconds=self._elapsed_s)

    async def sleep(self, seconds: float) -> None:
        future = asyncio.get_running_loop().create_future()
        self._sequence += 1
        due_s = self._elapsed_s + max(seconds, 0.0)
        heapq.heappush(self._sleepers, (due_s, self._sequence, future))
        await future

    def jump(self, seconds: float) -> None:
        """Advance the time without waking the tasks that sleep on this clock.

        They wake in the next call of `advance`, as after a pause of the process.
        """
        self._elapsed_s += seconds

    async def advance(self, seconds: float) -> None:
        """Advance the time, waking each sleeping task at the time it is due."""
        target_s = self._elapsed_s + seconds
        await _run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= target_s:
            due_s = self._sleepers[0][0]
            self._elapsed_s = max(self._elapsed_s, due_s)
            if self._wake_due(due_s):
                await _run_ready_tasks()
        self._elapsed_s = target_s
        await _run_ready_tasks()

    def _wake_due(self, due_s: float) -> bool:
        """Wake all tasks due at the given time; return whether there were any."""
        any_woken = False
        while self._sleepers and self._sleepers[0][0] == due_s:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
                any_woken = True
        return any_woken


async def run_with_timeout(
    clock: Clock, awaitable: Awaitable[T], timeout_s: float
) -> Result[T, TimedOut]:
    """Wait for an awaitable, and cancel it at a timeout measured by the given clock.

    Parameters
    ----------
    clock : Clock
        Measures the timeout.
    awaitable : awaitable
        Awaitable to wait for.
    timeout_s : float
        Timeout.

    Returns
    -------
    Result
        The awaitable's value, or `TimedOut`.
    """
    task = asyncio.ensure_future(awaitable)
    sleeper = asyncio.ensure_future(clock.sleep(timeout_s))
    try:
        await asyncio.wait({task, sleeper}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return Ok(task.result())
        return Err(TimedOut(timeout_s))
    finally:
        sleeper.cancel()
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def _run_ready_tasks() -> None:
    for _ in range(EVENT_LOOP_ROUNDS):
        await asyncio.sleep(0)
