"""The order in which waiting jobs are tried."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import NamedTuple

from chiveledge.configuration import RequestClass
from chiveledge.jobs import Job
from chiveledge.types import WorkspaceName

AGING_STEP_S = 1800.0
"""Waiting time after which a job counts as one class more urgent."""

MIN_WEIGHT = 1

DEFAULT_RUN_TIME_S = 3600.0
"""Stands in for a run time that is not declared."""


class WorkspaceUsage(NamedTuple):
    """What a workspace runs now, and its weight."""

    accelerators: int
    weight: int

    @property
    def share(self) -> float:
        """Accelerators for each unit of weight."""
        return self.accelerators / max(self.weight, MIN_WEIGHT)


SERVICE_LEVELS_S = (600.0, 1800.0, 5400.0)
"""Run time at which a job comes into the next level of attained service."""


class Rank(NamedTuple):
    """Sort key of a waiting job: the least is tried first."""

    class_rank: int
    attained_level: int
    run_time_magnitude: int
    share: float
    submitted_at: datetime


def sort_jobs(
    jobs: Iterable[Job], usage: Mapping[WorkspaceName, WorkspaceUsage], now: datetime
) -> list[Job]:
    """Return waiting jobs, first to try first.

    By class, where waiting makes a job more urgent step by step but never as urgent
    as an urgent one; then by least attained service, since run times are not known;
    then by the order of magnitude of the declared run time; then the workspace that
    runs least for its weight; then age.
    """
    idle = WorkspaceUsage(0, MIN_WEIGHT)
    return sorted(
        jobs,
        key=lambda job: Rank(
            aged_class_rank(job, now),
            attained_service_level(job.saved_s),
            _run_time_magnitude(job.spec.run_time_hint_s),
            usage.get(job.workspace, idle).share,
            job.submitted_at,
        ),
    )


def _run_time_magnitude(run_time_hint_s: float) -> int:
    """Return the order of magnitude of a hint; finer than that it says nothing."""
    hint_s = run_time_hint_s or DEFAULT_RUN_TIME_S
    return int(math.log10(max(hint_s, 1.0)))


def attained_service_level(ran_s: float) -> int:
    """Return the level of attained service, 0 for the least."""
    return sum(ran_s >= bound_s for bound_s in SERVICE_LEVELS_S)


def aged_class_rank(job: Job, now: datetime) -> int:
    """Return the class of a job after ageing, 0 for urgent."""
    rank = job.spec.request_class.rank
    if rank == RequestClass.URGENT.rank:
        return rank
    steps = int((now - job.submitted_at).total_seconds() // AGING_STEP_S)
    return max(rank - steps, RequestClass.STANDARD.rank)
