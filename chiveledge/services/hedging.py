"""Hedged transactions: sent again before the reply to an earlier send has arrived.

A store may lose some of its replies or commit some transactions late. A transaction
that checks the version of a row it writes takes effect at most once, so a second send
after a short delay costs one call and saves the wait for the first one's timeout.
"""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.services.errors import (
    CallError,
    Conflict,
    Rejected,
    Unavailable,
    Unsettled,
)
from chiveledge.services.table import TableService, Transaction

MIN_DELAY_S = 0.3
"""Minimum delay before another send; several usual reply times across regions."""

DELAY_FACTOR = 4.0
"""Delay in mean reply times, so that a slow store gets no additional load."""

REPLY_TIME_WEIGHT = 0.5
"""Weight of the latest reply time in the exponential moving average."""

MAX_SENDS = 4


class HedgeDelay:
    """Computes the delay before a transaction is sent again from recent reply times.

    A store that is many times slower than usual commits few transactions a second;
    sending each of them twice would fill its queue with duplicates.
    """

    def __init__(self) -> None:
        self._mean_reply_s = 0.0

    @property
    def delay_s(self) -> float:
        """Time without a reply after which to send again, in seconds."""
        return max(MIN_DELAY_S, DELAY_FACTOR * self._mean_reply_s)

    def record_reply(self, duration_s: float) -> None:
        """Record the time between a send and its reply."""
        self._mean_reply_s += REPLY_TIME_WEIGHT * (duration_s - self._mean_reply_s)


async def transact_hedged(
    table: TableService,
    transaction: Transaction,
    clock: Clock,
    hedge_delay: HedgeDelay,
    *,
    timeout_s: float,
) -> Result[int, CallError]:
    """Commit a transaction, sending it again while earlier sends are unanswered.

    The transaction must check the version of a row that it also writes, so that it
    takes effect at most once.

    Parameters
    ----------
    table : TableService
        Table to write to.
    transaction : Transaction
        Sent up to `MAX_SENDS` times, unchanged.
    clock : Clock
        Time source.
    hedge_delay : HedgeDelay
        Delay between sends; updated with the reply times.
    timeout_s : float
        Time limit, in seconds; nothing is sent if it is not positive.

    Returns
    -------
    Result
        The version of the written rows, or an error: `Conflict`, which an earlier
        send of this transaction may have caused; `Rejected` if the store takes no such
        transaction; `Unavailable` if certainly no send
        took effect; else `Unsettled`.
    """
    deadline_s = clock.monotonic() + timeout_s
    pending: set[asyncio.Task] = set()
    may_have_committed = False
    sends = 0
    try:
        while True:
            remaining_s = deadline_s - clock.monotonic()
            if sends < MAX_SENDS and remaining_s > 0:
                send = _send(table, transaction, clock, hedge_delay)
                pending.add(asyncio.ensure_future(send))
                sends += 1
            if not pending:
                return _make_timeout_error(may_have_committed)
            wait_s = min(
                hedge_delay.delay_s if sends < MAX_SENDS else remaining_s, remaining_s
            )
            await run_with_timeout(clock, _wait_for_any(pending), max(wait_s, 0.0))
            done = {task for task in pending if task.done()}
            pending -= done
            results = [task.result() for task in done]
            # Several sends may end at once. One that was refused says nothing of the
            # others, so it is looked at last.
            for result in results:
                match result:
                    case Ok(_) | Err(Conflict() | Rejected()):
                        return result
                    case Err(Unsettled()):
                        may_have_committed = True
            if results and not pending and not may_have_committed:
                return results[0]
            if clock.monotonic() >= deadline_s:
                return _make_timeout_error(may_have_committed or bool(pending))
    finally:
        for task in pending:
            task.cancel()


def _make_timeout_error(may_have_committed: bool) -> Err[CallError]:
    if may_have_committed:
        return Err(Unsettled("the outcome of the commit is not known yet"))
    return Err(Unavailable("the time limit passed before a send succeeded"))


async def _send(
    table: TableService, transaction: Transaction, clock: Clock, hedge_delay: HedgeDelay
) -> Result[int, CallError]:
    sent_s = clock.monotonic()
    result = await table.transact(transaction)
    if not isinstance(result.err(), Unsettled):
        hedge_delay.record_reply(clock.monotonic() - sent_s)
    return result


async def _wait_for_any(tasks: set[asyncio.Task]) -> None:
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
