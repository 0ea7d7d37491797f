"""Pauses between the starts of lasting tasks that fail again and again.

Failures of lasting tasks have no limit. Without a pause, one that fails at once would
be started many times a second, each time with orders and writes to the store.
"""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.workload import Step, TaskName

QUICK_FAILURE_S = 0.25
"""Run time below which a failure counts as one at the start."""

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 0.5
"""Longest pause, which is far shorter than the 6 s after which a lasting task has to
run again: the next worker may be sound."""


class _Failures(NamedTuple):
    """Failures of a task, or a gang, at the start, one after another.

    Attributes
    ----------
    count : int
        How many there were.
    run : int
        Number of the last run that failed.
    until_s : float
        Monotonic time until which nothing is started.
    """

    count: int
    run: int
    until_s: float


class RestartPauses:
    """Tracks the lasting tasks that rest before their next start."""

    def __init__(self) -> None:
        self._failures: dict[TaskName, _Failures] = {}

    def record_failure(
        self, name: TaskName, run: int, step: Step, ran_s: float | None, now_s: float
    ) -> None:
        """Record that a run of a lasting task failed.

        The first failure at the start causes no pause, since the worker may be the
        cause. The members of a gang rest together, and those that fail in one run
        count once.

        Parameters
        ----------
        run : int
            Number of the run.
        ran_s : float, optional
            How long the run lasted; None if an earlier leader started it.
        """
        before = self._failures.get(name)
        if before is not None and before.run >= run:
            return
        if ran_s is None or ran_s >= QUICK_FAILURE_S:
            count = 0
        else:
            count = before.count + 1 if before else 1
        pause_s = min(FIRST_PAUSE_S * 2 ** (count - 2), MAX_PAUSE_S)
        until_s = now_s + pause_s if count > 1 else now_s
        indices = range(step.count) if step.gang else [name.index]
        for index in indices:
            self._failures[name._replace(index=index)] = _Failures(count, run, until_s)

    def list_resting(self, now_s: float) -> set[TaskName]:
        """Return the tasks that are not to be started now."""
        return {name for name, row in self._failures.items() if now_s < row.until_s}

    def forget_job(self, job_id: str) -> None:
        """Forget the failures of a job that has ended."""
        for name in [name for name in self._failures if name.job_id == job_id]:
            del self._failures[name]
