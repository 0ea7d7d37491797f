"""Competes for the leadership of a shard and leads while this process holds it."""

from __future__ import annotations

from collections.abc import Callable

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._term import LeaderTerm
from chiveledge.leadership import Leadership, choose_poll_period_s


class Coordinator:
    """Competes for the leadership of a shard and runs its leader terms.

    Parameters
    ----------
    context : TermContext
        Stores, clients, clock and timing of a term.
    leadership : Leadership
        Acquires and holds the leadership for this process.
    count_hosts : callable, optional
        Returns how many hosts compete for the leadership.
    """

    def __init__(
        self,
        context: TermContext,
        leadership: Leadership,
        count_hosts: Callable[[], int] = lambda: 1,
    ) -> None:
        self._context = context
        self._leadership = leadership
        self._count_hosts = count_hosts
        self._term: LeaderTerm | None = None
        self._stopping = False

    @property
    def term(self) -> LeaderTerm | None:
        """The present term, None if this process does not lead."""
        return self._term

    async def run(self) -> None:
        """Compete and lead until cancelled or stopped."""
        context = self._context
        while not self._stopping:
            leads = await self._leadership.challenge()
            if self._stopping:
                # The takeover was in flight when `stop` found nothing to release.
                await self._leadership.resign()
                return
            if not leads:
                period_s = choose_poll_period_s(
                    context.timing.lease_poll_s, self._count_hosts()
                )
                await context.clock.sleep(self._leadership.next_poll_delay_s(period_s))
                continue
            context.log.write("leadership", "taken_over", epoch=self._leadership.epoch)
            self._term = LeaderTerm(context, self._leadership)
            reason = await self._term.run()
            self._term = None
            context.log.write("leadership", "lost", why=reason)

    async def stop(self) -> None:
        """End the term and release the leadership at once for another process.

        A takeover in flight is not awaited; if it succeeds, `run` releases it.
        """
        self._stopping = True
        if self._term is not None:
            self._term.end("this process is shutting down")
        await self._leadership.resign()
