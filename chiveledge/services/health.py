"""Whether a service answers at all, judged by all calls to it together."""

from __future__ import annotations

from chiveledge.clock import Clock

SILENCE_S = 1.5
"""How long a service counts as silent after a call went unanswered."""


class ServiceHealth:
    """Remembers the last answer and the last call that got none.

    Load answered: a service that takes calls and answers nothing. Without this each
    new call would wait for its own timeout; with it only the first ones do.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_s = float("-inf")
        self._unanswered_s = float("-inf")

    def note_answer(self) -> None:
        """A call was answered, whatever the answer."""
        self._answered_s = self._clock.monotonic()

    def note_silence(self, sent_s: float) -> None:
        """A call that was sent at `sent_s` got no answer."""
        if self._answered_s < sent_s:
            self._unanswered_s = self._clock.monotonic()

    @property
    def silent(self) -> bool:
        """Whether the newest sign is a call without an answer."""
        if self._unanswered_s < self._answered_s:
            return False
        return self._clock.monotonic() - self._unanswered_s < SILENCE_S
