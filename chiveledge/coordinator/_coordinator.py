"""Challenges for the leadership, leads while it is held, and starts over."""

from __future__ import annotations

from collections.abc import Callable

from chiveledge.coordinator._context import ReignContext
from chiveledge.coordinator._reign import Reign
from chiveledge.leadership import Leadership, choose_look_period_s


class Coordinator:
    """One process's part in leading a shard of workers and jobs.

    Parameters
    ----------
    context : ReignContext
        All that a reign works with.
    leadership : Leadership
        This process's challenge.
    count_hosts : callable, optional
        Returns how many hosts challenge.
    """

    def __init__(
        self,
        context: ReignContext,
        leadership: Leadership,
        count_hosts: Callable[[], int] = lambda: 1,
    ) -> None:
        self._context = context
        self._leadership = leadership
        self._count_hosts = count_hosts
        self._reign: Reign | None = None
        self._stopping = False

    @property
    def reign(self) -> Reign | None:
        """The present reign, if this process leads."""
        return self._reign

    async def run(self) -> None:
        """Challenge and lead until cancelled or told to stop."""
        context = self._context
        while not self._stopping:
            if not await self._leadership.challenge():
                period_s = choose_look_period_s(
                    context.timing.challenge_s, self._count_hosts()
                )
                await context.clock.sleep(self._leadership.next_look_s(period_s))
                continue
            context.log.write("leadership", "taken_over", epoch=self._leadership.epoch)
            self._reign = Reign(context, self._leadership)
            why = await self._reign.run()
            self._reign = None
            context.log.write("leadership", "lost", why=why)

    async def stop(self) -> None:
        """Give the leadership back at once, so that another process takes over."""
        self._stopping = True
        if self._reign is not None:
            self._reign.end("this process stops")
        await self._leadership.resign()
