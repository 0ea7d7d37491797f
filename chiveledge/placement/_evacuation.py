"""When to stop runs on a worker that drains and is removed at short notice.

Runs that finish before the worker leaves aren't stopped. Runs with checkpoints go on
until the last moment, so that they progress while other work uses the capacity
elsewhere. Other runs would lose their progress anyway, so they are stopped at once to
restart elsewhere, unless they would finish soon after the announced time: workers often
leave later than announced.
"""

from __future__ import annotations

STOP_MARGIN_S = 0.6
"""Time beyond the stop itself for its order and the poll that reports its end."""

OVERSTAY_S = 2.0
"""How much longer than announced workers often stay."""


def should_evacuate(
    leaves_s: float, remaining_s: float, *, saved: bool, stop_s: float
) -> bool:
    """Return whether to stop a run on a leaving worker now.

    Parameters
    ----------
    leaves_s : float
        Minimum time until the worker leaves, as announced.
    remaining_s : float
        Expected time until the run finishes.
    saved : bool
        Whether the run resumes from a checkpoint after a stop.
    stop_s : float
        Longest time that a stop takes.

    Examples
    --------
    >>> should_evacuate(5.0, 3.0, saved=False, stop_s=0.9)
    False
    >>> should_evacuate(2.0, 9.0, saved=False, stop_s=0.9)
    True
    """
    if remaining_s <= leaves_s:
        return False
    if saved:
        return leaves_s <= stop_s + STOP_MARGIN_S
    return remaining_s > leaves_s + OVERSTAY_S
