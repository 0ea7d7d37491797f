"""Bounds retries to a share of requests, so that an outage makes no storm."""

from __future__ import annotations

RETRY_SHARE = 0.1
MOST_SAVED = 10.0


class RetryBudget:
    """A bucket that each request fills a little and each retry empties by one."""

    def __init__(
        self, *, share: float = RETRY_SHARE, most_saved: float = MOST_SAVED
    ) -> None:
        self._share = share
        self._most_saved = most_saved
        self._saved = most_saved

    def admit(self) -> None:
        """Count a new request."""
        self._saved = min(self._saved + self._share, self._most_saved)

    def spend(self) -> bool:
        """Take a retry from the budget; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
