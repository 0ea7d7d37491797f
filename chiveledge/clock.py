"""The clock interface that every part receives as an argument."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Awaitable
from datetime import UTC, datetime, timedelta
from typing import NamedTuple, Protocol, TypeVar

from result import Err, Ok, Result

DRAIN_ROUNDS = 30

T = TypeVar("T")


class TimedOut(NamedTuple):
    """Work that was cancelled since it took too long."""

    seconds: float


class Clock(Protocol):
    """Source of monotonic time, wall time and delays."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """The clock of the machine.

    Monotonic time includes the time in which the machine was suspended, since
    leases run on meanwhile.
    """

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        return datetime.now(UTC)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class ManualClock:
    """A clock that moves only when told to, for tests and benchmarks.

    Parameters
    ----------
    start : datetime, optional
        Wall time at monotonic second zero.
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
        due = self._elapsed_s + max(seconds, 0.0)
        heapq.heappush(self._sleepers, (due, self._sequence, future))
        await future

    def jump(self, seconds: float) -> None:
        """Move the time forward without waking sleepers in between."""
        self._elapsed_s += seconds

    async def advance(self, seconds: float) -> None:
        """Move the time forward and wake every sleeper that falls due, in order."""
        target_s = self._elapsed_s + seconds
        await _drain_ready()
        while self._sleepers and self._sleepers[0][0] <= target_s:
            due = self._sleepers[0][0]
            self._elapsed_s = max(self._elapsed_s, due)
            if self._wake_due(due):
                await _drain_ready()
        self._elapsed_s = target_s
        await _drain_ready()

    def _wake_due(self, due: float) -> bool:
        """Wake all sleepers of one moment; return whether there was any."""
        woken = False
        while self._sleepers and self._sleepers[0][0] == due:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
                woken = True
        return woken


async def run_with_timeout(
    clock: Clock, work: Awaitable[T], seconds: float
) -> Result[T, TimedOut]:
    """Wait for work, and cancel it when a time has passed on the given clock.

    Parameters
    ----------
    clock : Clock
        Judges the time.
    work : awaitable
        What to wait for.
    seconds : float
        Bound.
    """
    task = asyncio.ensure_future(work)
    sleeper = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait({task, sleeper}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return Ok(task.result())
        return Err(TimedOut(seconds))
    finally:
        sleeper.cancel()
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def _drain_ready() -> None:
    for _ in range(DRAIN_ROUNDS):
        await asyncio.sleep(0)
