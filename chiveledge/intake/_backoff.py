"""Retry delay for callers that are refused during an outage of the store.

Callers make few retries. In an outage of several seconds under constant load, a short
fixed delay uses them all up before the store recovers, and a long one adds latency
after it. The expected remaining duration of an outage grows with its age.
"""

from __future__ import annotations

MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 5


def choose_retry_after_s(outage_age_s: float) -> int:
    """Return the Retry-After value for a refused caller, in whole seconds.

    Parameters
    ----------
    outage_age_s : float
        Time since the last answer of the store, in seconds.

    Examples
    --------
    >>> choose_retry_after_s(0.2), choose_retry_after_s(2.4), choose_retry_after_s(60)
    (1, 2, 5)
    """
    return int(min(max(outage_age_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S))
