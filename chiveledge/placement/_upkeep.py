"""Order and timing of upkeep in a wave.

In a wave, operators take all machines down in turn within a given time, possibly while
the fleet is full. The machines on which the least work would be lost come first. Each
gets an even share of the time, less upkeep and stop, in which its runs may finish.
"""

from __future__ import annotations

from collections.abc import Mapping

from chiveledge.services.machines import MachineName, Wave

ORDER_MARGIN_S = 1.0
"""Time for the upkeep order, its commits and the read that shows its completion."""


def choose_next_machines(
    losses: Mapping[MachineName, float], slots: int
) -> list[MachineName]:
    """Return the machines to drain next, those with the least loss first.

    Parameters
    ----------
    losses : mapping
        Core-seconds of work that draining each machine now would lose.
    slots : int
        How many more machines may be draining or down.

    Examples
    --------
    >>> choose_next_machines({"m1": 30.0, "m2": 0.0, "m3": 4.0}, 2)
    ['m2', 'm3']
    """
    ordered = sorted(losses, key=lambda name: (losses[name], name))
    return ordered[: max(0, slots)]


def find_drain_timeout_s(wave: Wave, upkeep_s: float, stop_s: float) -> float:
    """Return how long runs on a draining machine may go on before they are stopped.

    Parameters
    ----------
    wave : Wave
        Machines, time and how many machines may be down at once.
    upkeep_s : float
        Time that the upkeep of one machine takes.
    stop_s : float
        Longest time that a stop takes.

    Examples
    --------
    >>> find_drain_timeout_s(Wave(1, ("a", "b"), 20.0, 1), 2.0, 0.9)
    6.1
    """
    rounds = max(1, -(-len(wave.machines) // max(1, wave.max_down)))
    share_s = wave.within_s / rounds
    return round(max(0.0, share_s - upkeep_s - stop_s - ORDER_MARGIN_S), 3)
