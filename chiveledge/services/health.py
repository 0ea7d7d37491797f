"""Whether a service responds, derived from all calls to it."""

from __future__ import annotations

from chiveledge.clock import Clock

UNRESPONSIVE_PERIOD_S = 1.5
"""How long a service counts as unresponsive after an unanswered call."""


class ServiceHealth:
    """Tracks whether a service responds to calls.

    A service may accept calls and reply to none. If callers check this state first,
    only the first calls wait for their timeouts instead of every call.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_reply_s = float("-inf")
        self._last_missing_reply_s = float("-inf")

    def record_reply(self) -> None:
        """Record that a call got a reply, whatever its content."""
        self._last_reply_s = self._clock.monotonic()

    def record_missing_reply(self, sent_s: float) -> None:
        """Record that a call sent at `sent_s` got no reply.

        Ignored if the service has replied to another call since.
        """
        if self._last_reply_s < sent_s:
            self._last_missing_reply_s = self._clock.monotonic()

    @property
    def unresponsive(self) -> bool:
        """Whether a call got no reply in the period, and none got one since."""
        if self._last_missing_reply_s < self._last_reply_s:
            return False
        return (
            self._clock.monotonic() - self._last_missing_reply_s < UNRESPONSIVE_PERIOD_S
        )
