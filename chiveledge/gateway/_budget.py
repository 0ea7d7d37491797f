"""Limits retries to a fraction of requests, which prevents retry storms."""

from __future__ import annotations

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket for retries.

    Parameters
    ----------
    ratio : float
        Tokens added per request; a retry takes one token.
    max_tokens : float
        Capacity of the bucket, which starts full.
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, max_tokens: float = MAX_TOKENS
    ) -> None:
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def record_request(self) -> None:
        """Add the tokens of a new request."""
        self._tokens = min(self._tokens + self._ratio, self._max_tokens)

    def try_spend(self) -> bool:
        """Take one token for a retry; return whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
