"""Sends an order to a worker again if it is not answered soon.

Load pattern: workers leave some orders unanswered and carry them out late. A gang
begins with its last member, and urgent work waits for the last of the stops made for
it, so one order without an answer delays a whole gang by its timeout. Repeating an
order is safe: a worker starts and stops a run at most once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.services import CallError
from chiveledge.services.task_worker import Declined, OrderAccepted

HEDGE_DELAY_S = 0.25
"""Time without an answer after which an order is repeated: several round trips between
regions, and a third of an order's timeout."""

OrderResult = Result[OrderAccepted, CallError | Declined]


class HedgedAnswer(NamedTuple):
    """Answer to an order that was sent once or twice.

    Attributes
    ----------
    unanswered : bool
        Whether one of two copies has got no answer, so that it may be carried out
        later.
    """

    result: OrderResult
    unanswered: bool


async def send_once(
    clock: Clock,
    send: Callable[[], Coroutine[None, None, OrderResult]],
    may_repeat: Callable[[], bool] = lambda: False,
) -> HedgedAnswer:
    """Send an order that must not be repeated; has the parameters of `send_hedged`."""
    return HedgedAnswer(await send(), unanswered=False)


async def send_hedged(
    clock: Clock,
    send: Callable[[], Coroutine[None, None, OrderResult]],
    may_repeat: Callable[[], bool] = lambda: True,
) -> HedgedAnswer:
    """Send an order, and a copy of it if there is no answer within `HEDGE_DELAY_S`.

    Parameters
    ----------
    send : callable
        Sends the order once and returns its answer.
    may_repeat : callable, optional
        Returns whether a copy may be sent; called once `HEDGE_DELAY_S` has passed. If
        it may not, the answer to the first order is awaited.
    """
    first = asyncio.create_task(send())
    timer = asyncio.create_task(clock.sleep(HEDGE_DELAY_S))
    copies = [first]
    try:
        await asyncio.wait({first, timer}, return_when=asyncio.FIRST_COMPLETED)
        if first.done():
            return HedgedAnswer(first.result(), unanswered=False)
        if not may_repeat():
            return HedgedAnswer(await first, unanswered=False)
        copies.append(asyncio.create_task(send()))
        return await _wait_for_answer(copies)
    finally:
        timer.cancel()
        for copy in copies:
            copy.cancel()


async def _wait_for_answer(copies: list[asyncio.Task[OrderResult]]) -> HedgedAnswer:
    """Return the first answer of the worker, or the last error if it gives none."""
    waiting = set(copies)
    while True:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for copy in done:
            if _is_answer(copy.result()):
                return HedgedAnswer(copy.result(), unanswered=len(copies) > 1)
        if not waiting:
            return HedgedAnswer(copies[0].result(), unanswered=True)


def _is_answer(result: OrderResult) -> bool:
    match result:
        case Ok(_) | Err(Declined()):
            return True
    return False
