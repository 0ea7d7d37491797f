"""When a refused caller may come back while the store is away.

Load answered: an outage of some seconds under constant load. Callers have few tries;
with a fixed short pause they use them all up before the store returns, with a long
one they lose time after it. The expected rest of an outage grows with its age.
"""

from __future__ import annotations

SHORTEST_S = 1
LONGEST_S = 5


def choose_retry_after_s(outage_age_s: float) -> int:
    """Return the pause in whole seconds that a refused caller is told.

    Parameters
    ----------
    outage_age_s : float
        Time since the store was last seen to answer.

    Examples
    --------
    >>> choose_retry_after_s(0.2), choose_retry_after_s(2.4), choose_retry_after_s(60)
    (1, 2, 5)
    """
    return int(min(max(outage_age_s, SHORTEST_S), LONGEST_S))
