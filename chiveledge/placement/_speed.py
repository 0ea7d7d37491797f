"""Which workers run slowly now, found from how far their runs come.

Load answered: a few workers become several times slower for some seconds while they
look healthy, and each gang with one member there is as late as that member. Tasks
of one step need about the same work, so a run is compared with its siblings on
other workers; one without siblings is compared with what its queue's tasks take.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from chiveledge.types import WorkerName

SLOW_SPEED = 0.5
"""A worker is slow below this share of the usual speed; tasks of a step vary less."""

SLOW_MEMORY_S = 3.0
"""How long a worker counts as slow after it was last seen to be."""

SLOW_SHARE = 0.4
"""Most workers that may count as slow; beyond it the comparison is off."""

SLOW_SPELL_S = 6.0
"""How long a worker is taken to be slow in all; such spells last seconds."""

START_S = 0.2
"""Time from the end of a stop until the run has started elsewhere."""

ALL_DONE_PERCENT = 100


class RunPace(NamedTuple):
    """How fast a run comes forward.

    Attributes
    ----------
    siblings : str
        Step of one occurrence; its tasks need about the same work.
    percent_per_s : float
        Its rate lately.
    usual_percent_per_s : float
        Rate of its queue's tasks; 0 where it is not known.
    """

    worker: WorkerName
    siblings: str
    percent_per_s: float
    usual_percent_per_s: float


class WorkerSpeeds:
    """Remembers which workers were slow lately."""

    def __init__(self) -> None:
        self._slow_since_s: dict[WorkerName, float] = {}
        self._slow_until_s: dict[WorkerName, float] = {}

    def update(self, paces: Iterable[RunPace], now_s: float) -> list[WorkerName]:
        """Take over the paces of all runs; return the workers newly found slow."""
        speeds = estimate_speeds(list(paces))
        found = []
        for worker, speed in speeds.items():
            if speed >= SLOW_SPEED:
                self._slow_until_s.pop(worker, None)
                continue
            if not self.is_slow(worker, now_s):
                found.append(worker)
                self._slow_since_s[worker] = now_s
            self._slow_until_s[worker] = now_s + SLOW_MEMORY_S
        return found

    def is_slow(self, worker: WorkerName, now_s: float) -> bool:
        """Whether a worker was slow lately."""
        return now_s < self._slow_until_s.get(worker, 0.0)

    def spell_left_s(self, worker: WorkerName, now_s: float) -> float:
        """Return how much longer a slow worker is taken to stay slow."""
        since_s = self._slow_since_s.get(worker, now_s)
        return max(0.0, SLOW_SPELL_S - (now_s - since_s))

    def slow(self, now_s: float, total: int) -> set[WorkerName]:
        """Return the slow workers, or none if they are too many to be true."""
        names = {name for name in self._slow_until_s if self.is_slow(name, now_s)}
        return names if len(names) <= max(1, total * SLOW_SHARE) else set()


def estimate_speeds(paces: list[RunPace]) -> dict[WorkerName, float]:
    """Return each worker's speed against the usual one.

    Examples
    --------
    >>> paces = [RunPace(w, "j.0.0", 10.0, 0.0) for w in ("a", "b", "c")]
    >>> estimate_speeds([*paces, RunPace("d", "j.0.0", 2.0, 0.0)])["d"]
    0.2
    """
    steps: dict[str, list[RunPace]] = defaultdict(list)
    for pace in paces:
        steps[pace.siblings].append(pace)
    ratios: dict[WorkerName, list[float]] = defaultdict(list)
    for pace in paces:
        others = [
            other.percent_per_s
            for other in steps[pace.siblings]
            if other.worker != pace.worker
        ]
        usual = median(others) if others else pace.usual_percent_per_s
        if usual > 0:
            ratios[pace.worker].append(pace.percent_per_s / usual)
    return {worker: median(values) for worker, values in ratios.items()}


class Straggler(NamedTuple):
    """A run on a worker that is slow now.

    Attributes
    ----------
    percent_left, percent_per_s : float
        What is left of it and how fast it comes forward.
    usual_percent_per_s : float
        How fast it would come forward on a sound worker.
    spell_left_s : float
        How much longer its worker stays slow.
    saved : bool
        Whether a stop keeps its progress.
    due_s : float
        Seconds until its job is late.
    """

    percent_left: float
    percent_per_s: float
    usual_percent_per_s: float
    spell_left_s: float
    saved: bool
    due_s: float


def should_start_anew(straggler: Straggler, stop_s: float) -> bool:
    """Return whether a run is to be stopped, to start on a sound worker.

    Load answered: a worker becomes slow under an urgent gang, which is then as late as
    that member. Only work whose job is in time thereby, and late otherwise, starts
    anew: what a stop throws away serves nobody else.

    Examples
    --------
    >>> quote = Straggler(50, 7.0, 40.0, spell_left_s=5.0, saved=False, due_s=3.5)
    >>> should_start_anew(quote, stop_s=0.4)
    True
    >>> should_start_anew(quote._replace(due_s=9.0), stop_s=0.4)
    False
    """
    if straggler.usual_percent_per_s <= 0 or straggler.percent_left <= 0:
        return False
    slow_percent = straggler.spell_left_s * straggler.percent_per_s
    if slow_percent >= straggler.percent_left:
        stays_s = straggler.percent_left / straggler.percent_per_s
    else:
        rest = straggler.percent_left - slow_percent
        stays_s = straggler.spell_left_s + rest / straggler.usual_percent_per_s
    again = straggler.percent_left if straggler.saved else ALL_DONE_PERCENT
    moves_s = stop_s + START_S + again / straggler.usual_percent_per_s
    return moves_s <= straggler.due_s < stays_s
