"""Detection of slow workers from the progress of their runs.

A few workers may become several times slower for some seconds without any failure,
and each gang with a member there is as late as that member. The tasks of a step need
about the same work, so a run is compared with those of the same step on other workers.
A run that is alone in its step is compared with the usual rate of its queue.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from chiveledge.types import WorkerName

SLOW_SPEED = 0.5
"""Share of the usual speed below which a worker is slow; tasks of a step vary less."""

SLOW_MEMORY_S = 3.0
"""How long a worker counts as slow after the last update that found it slow."""

SLOW_SHARE = 0.4
"""Largest share of workers that may be slow; with more the comparison is invalid."""

SLOW_PERIOD_S = 6.0
"""Expected length of a slow period, which lasts seconds."""

START_S = 0.2
"""Time from the end of a stop until the task has started on another worker."""

COMPLETE_PERCENT = 100


class RunSpeed(NamedTuple):
    """Rate of progress of a run.

    Attributes
    ----------
    siblings : str
        Step of one occurrence; its tasks need about the same work.
    percent_per_s : float
        Recent rate of the run.
    usual_percent_per_s : float
        Usual rate of tasks of its queue; 0 if unknown.
    """

    worker: WorkerName
    siblings: str
    percent_per_s: float
    usual_percent_per_s: float


class WorkerSpeeds:
    """Tracks which workers are slow."""

    def __init__(self) -> None:
        self._slow_since_s: dict[WorkerName, float] = {}
        self._slow_until_s: dict[WorkerName, float] = {}

    def update(self, run_speeds: Iterable[RunSpeed], now_s: float) -> list[WorkerName]:
        """Update from the rates of all runs; return the workers that became slow."""
        speeds = estimate_speeds(list(run_speeds))
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
        """Return whether a worker was found slow within the last `SLOW_MEMORY_S`."""
        return now_s < self._slow_until_s.get(worker, 0.0)

    def slow_left_s(self, worker: WorkerName, now_s: float) -> float:
        """Return how much longer a slow worker is expected to stay slow."""
        since_s = self._slow_since_s.get(worker, now_s)
        return max(0.0, SLOW_PERIOD_S - (now_s - since_s))

    def slow_workers(self, now_s: float, total: int) -> set[WorkerName]:
        """Return the slow workers, or none if they exceed `SLOW_SHARE` of `total`."""
        names = {name for name in self._slow_until_s if self.is_slow(name, now_s)}
        return names if len(names) <= max(1, total * SLOW_SHARE) else set()


def estimate_speeds(run_speeds: list[RunSpeed]) -> dict[WorkerName, float]:
    """Return the speed of each worker as a ratio of the usual speed.

    Examples
    --------
    >>> runs = [RunSpeed(w, "j.0.0", 10.0, 0.0) for w in ("a", "b", "c")]
    >>> estimate_speeds([*runs, RunSpeed("d", "j.0.0", 2.0, 0.0)])["d"]
    0.2
    """
    steps: dict[str, list[RunSpeed]] = defaultdict(list)
    for run in run_speeds:
        steps[run.siblings].append(run)
    ratios: dict[WorkerName, list[float]] = defaultdict(list)
    for run in run_speeds:
        others = [
            other.percent_per_s
            for other in steps[run.siblings]
            if other.worker != run.worker
        ]
        usual = median(others) if others else run.usual_percent_per_s
        if usual > 0:
            ratios[run.worker].append(run.percent_per_s / usual)
    return {worker: median(values) for worker, values in ratios.items()}


class Straggler(NamedTuple):
    """A run on a worker that is slow now.

    Attributes
    ----------
    percent_left, percent_per_s : float
        Remaining share of its work and its present rate.
    usual_percent_per_s : float
        Rate that it would have on a worker at full speed; 0 if unknown.
    slow_left_s : float
        How much longer its worker is expected to stay slow.
    saved : bool
        Whether it resumes from a checkpoint after a stop.
    due_s : float
        Seconds until its job is late.
    """

    percent_left: float
    percent_per_s: float
    usual_percent_per_s: float
    slow_left_s: float
    saved: bool
    due_s: float


def should_restart(straggler: Straggler, stop_s: float) -> bool:
    """Return whether to stop a run so that its task restarts on another worker.

    A gang is as late as its member on a slow worker. A run is restarted only if its
    job then finishes in time and would be late otherwise, since in all other cases
    the stop loses work for no gain.

    Examples
    --------
    >>> straggler = Straggler(50, 7.0, 40.0, slow_left_s=5.0, saved=False, due_s=3.5)
    >>> should_restart(straggler, stop_s=0.4)
    True
    >>> should_restart(straggler._replace(due_s=9.0), stop_s=0.4)
    False
    """
    if straggler.usual_percent_per_s <= 0 or straggler.percent_left <= 0:
        return False
    slow_percent = straggler.slow_left_s * straggler.percent_per_s
    if slow_percent >= straggler.percent_left:
        finish_here_s = straggler.percent_left / straggler.percent_per_s
    else:
        rest_percent = straggler.percent_left - slow_percent
        finish_here_s = (
            straggler.slow_left_s + rest_percent / straggler.usual_percent_per_s
        )
    restart_percent = straggler.percent_left if straggler.saved else COMPLETE_PERCENT
    finish_elsewhere_s = (
        stop_s + START_S + restart_percent / straggler.usual_percent_per_s
    )
    return finish_elsewhere_s <= straggler.due_s < finish_here_s
