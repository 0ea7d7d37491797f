"""Outcomes of hedged transactions."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from chiveledge.clock import ManualClock
from chiveledge.services import (
    Check,
    HedgeDelay,
    Put,
    Transaction,
    Unavailable,
    Unsettled,
    transact_hedged,
)
from standins.table import MemoryTable

WRITE = Transaction("w", (Check("a/1", 0),), (Put("a/1", "x"),))


@pytest.mark.parametrize("timeout_s", [0.0, -0.2])
async def test_expired_deadline_sends_nothing_and_returns_unavailable(timeout_s):
    """A deadline shorter than the time of the reply leaves none for the commit."""
    clock = ManualClock()
    table = MemoryTable(clock)
    result = await transact_hedged(
        table, WRITE, clock, HedgeDelay(), timeout_s=timeout_s
    )
    assert isinstance(result.err(), Unavailable)
    assert table.find("a/1") is None


class ScriptedTable:
    """Table service that replies to each send after a set time with a set result."""

    def __init__(self, clock: ManualClock, *script) -> None:
        self._clock = clock
        self._script = list(script)

    async def transact(self, transaction):
        took_s, result = self._script.pop(0)
        self._clock.jump(took_s)
        return result


@pytest.mark.parametrize(
    "script,outcome",
    [
        ([(0.1, Ok(7))], Ok(7)),
        ([(2.0, Err(Unavailable("busy")))], Err(Unavailable("busy"))),
        ([(0.1, Err(Unsettled("lost"))), (0.1, Ok(8))], Ok(8)),
        ([(2.0, Err(Unsettled("lost")))], Unsettled),
        ([(0.999, Err(Unsettled("lost"))), (0.1, Err(Unavailable("busy")))], Unsettled),
        ([(0.0, Err(Unsettled("lost")))] * 4, Unsettled),
    ],
)
async def test_unavailable_is_returned_only_if_no_send_can_have_taken_effect(
    script, outcome
):
    clock = ManualClock()
    table = ScriptedTable(clock, *script)
    result = await transact_hedged(table, WRITE, clock, HedgeDelay(), timeout_s=1.0)
    if outcome is Unsettled:
        assert isinstance(result.err(), Unsettled)
    else:
        assert result == outcome


class SimultaneousTable:
    """Table service that replies to two sends at the same moment, then to no other."""

    def __init__(self, *results) -> None:
        self._results = list(results)
        self._both_sent = asyncio.Event()

    async def transact(self, transaction):
        if self._both_sent.is_set():
            await asyncio.Event().wait()
        result = self._results.pop(0)
        if not self._results:
            self._both_sent.set()
        await self._both_sent.wait()
        return result


@pytest.mark.parametrize(
    "first,outcome", [(Err(Unsettled("lost")), Unsettled), (Ok(7), Ok(7))]
)
@pytest.mark.parametrize("swapped", [False, True])
async def test_refused_send_does_not_hide_another_that_ends_with_it(
    first, outcome, swapped
):
    """The caller was told that a job never runs whose first send may have stored it."""
    for _ in range(20):
        clock = ManualClock()
        results = [first, Err(Unavailable("busy"))]
        table = SimultaneousTable(*(reversed(results) if swapped else results))
        sending = asyncio.ensure_future(
            transact_hedged(table, WRITE, clock, HedgeDelay(), timeout_s=0.5)
        )
        await clock.advance(0.6)
        result = sending.result()
        assert result == outcome or isinstance(result.err(), Unsettled)
        assert not isinstance(result.err(), Unavailable)
