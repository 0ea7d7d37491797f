"""Sends a conditional transaction again while its first send is still unanswered.

Load answered: a store that loses a share of its answers, or does some writes late.
The same transaction takes effect once at the most, so a second send after a short
while costs one call and saves the timeout of the first.
"""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.services.errors import CallError, Conflict, Unavailable, Unsettled
from chiveledge.services.table import TableService, Transaction

SHORTEST_PAUSE_S = 0.3
"""Pause before another send; several times an ordinary answer over regions."""

PAUSE_ANSWERS = 4.0
"""Pause before another send, in answer times: a slow store must not get more work."""

NEWEST_WEIGHT = 0.5
MAX_SENDS = 4


class HedgePacer:
    """Learns how long answers take, and from it how long to wait for one.

    Load answered: a store many times slower than usual takes few transactions a
    second; sending each of them twice would fill its queue with copies.
    """

    def __init__(self) -> None:
        self._answer_s = 0.0

    @property
    def pause_s(self) -> float:
        """Time after which a send counts as late."""
        return max(SHORTEST_PAUSE_S, PAUSE_ANSWERS * self._answer_s)

    def note_answer(self, took_s: float) -> None:
        """A send was answered."""
        self._answer_s += NEWEST_WEIGHT * (took_s - self._answer_s)


async def transact_hedged(
    table: TableService,
    transaction: Transaction,
    clock: Clock,
    pacer: HedgePacer,
    *,
    patience_s: float,
) -> Result[int, CallError]:
    """Commit a transaction that must check the version of a row it also writes.

    Parameters
    ----------
    table : TableService
        The service.
    transaction : Transaction
        Sent up to `MAX_SENDS` times, unchanged.
    clock : Clock
        Source of time.
    pacer : HedgePacer
        Knows how long answers take at present.
    patience_s : float
        How long to go on.

    Returns
    -------
    Result
        The version, or an error: `Conflict`, also if an earlier send of ours made
        it; `Unavailable` if surely no send took effect; else `Unsettled`.
    """
    deadline = clock.monotonic() + patience_s
    pending: set[asyncio.Task] = set()
    may_have_committed = False
    sends = 0
    try:
        while True:
            left_s = deadline - clock.monotonic()
            if sends < MAX_SENDS and left_s > 0:
                send = _send(table, transaction, clock, pacer)
                pending.add(asyncio.ensure_future(send))
                sends += 1
            if not pending:
                return _give_up(may_have_committed)
            wait_s = min(pacer.pause_s if sends < MAX_SENDS else left_s, left_s)
            await run_with_timeout(clock, _first(pending), max(wait_s, 0.0))
            done = {task for task in pending if task.done()}
            pending -= done
            for result in [task.result() for task in done]:
                match result:
                    case Ok(_) | Err(Conflict()):
                        return result
                    case Err(Unsettled()):
                        may_have_committed = True
                    case Err(Unavailable()) if not pending and not may_have_committed:
                        return result
            if clock.monotonic() >= deadline:
                return _give_up(may_have_committed or bool(pending))
    finally:
        for task in pending:
            task.cancel()


def _give_up(may_have_committed: bool) -> Err[CallError]:
    if may_have_committed:
        return Err(Unsettled("the commit is not settled yet"))
    return Err(Unavailable("no time is left to store it"))


async def _send(
    table: TableService, transaction: Transaction, clock: Clock, pacer: HedgePacer
) -> Result[int, CallError]:
    sent_s = clock.monotonic()
    result = await table.transact(transaction)
    if not isinstance(result.err(), Unsettled):
        pacer.note_answer(clock.monotonic() - sent_s)
    return result


async def _first(tasks: set[asyncio.Task]) -> None:
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
