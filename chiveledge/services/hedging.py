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

HEDGE_S = 0.3
"""Pause before another send; several times an ordinary answer over regions."""

MAX_SENDS = 4


async def transact_hedged(
    table: TableService,
    transaction: Transaction,
    clock: Clock,
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
                pending.add(asyncio.ensure_future(table.transact(transaction)))
                sends += 1
            wait_s = min(HEDGE_S if sends < MAX_SENDS else left_s, left_s)
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
            given_up = clock.monotonic() >= deadline
            if given_up or (sends >= MAX_SENDS and not pending):
                return Err(Unsettled("the commit is not settled yet"))
    finally:
        for task in pending:
            task.cancel()


async def _first(tasks: set[asyncio.Task]) -> None:
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
