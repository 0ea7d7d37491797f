"""Ends asyncio tasks for good."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

CANCEL_AGAIN_S = 0.5
"""Time after which a task that goes on is cancelled once more."""


async def cancel_and_wait(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks, again if need be, and wait until all have ended.

    A cancellation that meets the timeout of a call may be reported as that timeout, and
    the task goes on as after any other one.

    Parameters
    ----------
    tasks : iterable of asyncio.Task
        Their exceptions are dropped.
    """
    tasks = list(tasks)
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)
    await asyncio.gather(*tasks, return_exceptions=True)
