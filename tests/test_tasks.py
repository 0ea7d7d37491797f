"""Tasks end although a cancellation is lost."""

from __future__ import annotations

import asyncio

from chiveledge.tasks import cancel_and_wait


async def test_task_that_loses_a_cancellation_ends():
    """A stopping process followed its configuration for good (soak, seeds 14 and 39).

    The HTTP client reports a cancellation that meets a timeout as that timeout.
    """
    lost = 0

    async def follow() -> None:
        nonlocal lost
        while True:
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                if lost:
                    raise
                lost += 1

    tasks = [asyncio.create_task(follow()), asyncio.create_task(asyncio.sleep(60.0))]
    await asyncio.sleep(0)
    await cancel_and_wait(tasks)
    assert lost == 1 and all(task.done() for task in tasks)


async def test_task_that_failed_before_raises_nothing():
    async def fail() -> None:
        raise ValueError

    task = asyncio.create_task(fail())
    await asyncio.sleep(0)
    await cancel_and_wait([task])
    assert task.done()
