"""When a run that makes no progress is given up.

Load pattern: some workers stop working on what they run, while they answer polls as
usual. An urgent gang with a member there is late unless it is started again within
what its objective leaves. Runs of hours, on the other hand, show no progress for
minutes, as progress is reported in whole percents. The time allowed therefore grows
with the run's expected time.
"""

from __future__ import annotations

MIN_STALL_S = 1.2
"""Shortest time without progress after which a run counts as stalled: two polls and
some delay of the network."""

STALL_SHARE = 0.25
"""Share of the expected run time without progress that marks a stalled run. A worker
that is several times slower than usual still shows some percents in it."""


def find_stall_timeout_s(
    expected_s: float, earlier_stalls: int, *, lone: bool, lone_timeout_s: float
) -> float:
    """Return the time without progress after which a run counts as stalled.

    Parameters
    ----------
    expected_s : float
        Expected run time of the task.
    earlier_stalls : int
        Runs of the task that were given up before. The time doubles with each, since
        the estimate may be far too short.
    lone : bool
        Whether nothing shows that the run could progress: the members of a gang wait
        for each other before they begin.
    lone_timeout_s : float
        Shortest time for such a run.

    Examples
    --------
    >>> find_stall_timeout_s(2.5, 0, lone=False, lone_timeout_s=3.0)
    1.2
    >>> find_stall_timeout_s(2.5, 0, lone=True, lone_timeout_s=3.0)
    3.0
    >>> find_stall_timeout_s(3600.0, 1, lone=False, lone_timeout_s=3.0)
    1800.0
    """
    timeout_s = max(MIN_STALL_S, STALL_SHARE * expected_s)
    if lone:
        timeout_s = max(timeout_s, lone_timeout_s)
    return timeout_s * 2**earlier_stalls
