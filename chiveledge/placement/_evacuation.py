"""What leaves a worker that is about to go, and when.

Load answered: workers that are emptied and taken away at short notice. What ends in
time stays. Work that is saved stays to the last moment, so that its room elsewhere
and its progress here are both used; work that would be lost anyway starts anew
elsewhere at once, unless it nearly ends in time, as workers often stay longer than
they must.
"""

from __future__ import annotations

STOP_MARGIN_S = 0.6
"""Time that a stop and the look that lists its end need beyond the stop itself."""

OVERSTAY_S = 2.0
"""Workers often stay this much longer than they said at least."""


def should_leave(
    leaves_s: float, remaining_s: float, *, saved: bool, stop_s: float
) -> bool:
    """Return whether a run on a leaving worker is to be stopped now.

    Parameters
    ----------
    leaves_s : float
        Least time that the worker still has.
    remaining_s : float
        Expected time until the run ends by itself.
    saved : bool
        Whether a stop keeps its progress.
    stop_s : float
        Time that a stop takes at the most.

    Examples
    --------
    >>> should_leave(5.0, 3.0, saved=False, stop_s=0.9)
    False
    >>> should_leave(2.0, 9.0, saved=False, stop_s=0.9)
    True
    """
    if remaining_s <= leaves_s:
        return False
    if saved:
        return leaves_s <= stop_s + STOP_MARGIN_S
    return remaining_s > leaves_s + OVERSTAY_S
