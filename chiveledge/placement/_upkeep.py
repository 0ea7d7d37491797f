"""Which machines have their upkeep next, and how long their work may go on.

Load answered: operators take all machines down in turn within a given time while the
fleet is full. Those with least to lose come first; each gets an even part of the time
for its work to end by itself.
"""

from __future__ import annotations

from collections.abc import Mapping

from chiveledge.services.machines import MachineName, Wave

ORDER_MARGIN_S = 1.0
"""Time for the order itself, its commits and the reading that shows its end."""


def choose_next(losses: Mapping[MachineName, float], slots: int) -> list[MachineName]:
    """Return the machines to be emptied next.

    Parameters
    ----------
    losses : mapping
        Core-seconds that would be lost on each machine now.
    slots : int
        How many more may be emptied or down.

    Examples
    --------
    >>> choose_next({"m1": 30.0, "m2": 0.0, "m3": 4.0}, 2)
    ['m2', 'm3']
    """
    ordered = sorted(losses, key=lambda name: (losses[name], name))
    return ordered[: max(0, slots)]


def find_patience_s(wave: Wave, upkeep_s: float, stop_s: float) -> float:
    """Return how long work on a machine of a wave may go on before it is stopped.

    Examples
    --------
    >>> find_patience_s(Wave(1, ("a", "b"), 20.0, 1), 2.0, 0.9)
    6.1
    """
    rounds = max(1, -(-len(wave.machines) // max(1, wave.most_down)))
    share_s = wave.within_s / rounds
    return round(max(0.0, share_s - upkeep_s - stop_s - ORDER_MARGIN_S), 3)
