"""The order in which waiting jobs are tried."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import NamedTuple

from chiveledge.configuration import RequestClass
from chiveledge.jobs import Job
from chiveledge.types import WorkspaceName

AGE_STEP_S = 1800.0
"""Waiting time after which a job counts as one class more urgent."""

MIN_WEIGHT = 1


class Usage(NamedTuple):
    """What a workspace runs now, and its weight."""

    accelerators: int
    weight: int

    @property
    def share(self) -> float:
        """Accelerators for each unit of weight."""
        return self.accelerators / max(self.weight, MIN_WEIGHT)


SERVICE_LEVELS_S = (1800.0, 7200.0)
"""Run time at which a job comes into the next level of attained service."""


class Rank(NamedTuple):
    """Sort key of a waiting job: the least is tried first."""

    class_rank: int
    level: int
    share: float
    submitted_at: datetime


def order_jobs(
    jobs: Iterable[Job], usage: Mapping[WorkspaceName, Usage], now: datetime
) -> list[Job]:
    """Return waiting jobs, first to try first.

    By class, where waiting makes a job more urgent step by step but never as urgent
    as an urgent one; then by least attained service, since run times are not known;
    then the workspace that runs least for its weight; then age.
    """
    idle = Usage(0, MIN_WEIGHT)
    return sorted(
        jobs,
        key=lambda job: Rank(
            aged_rank(job, now),
            service_level(job.saved_s),
            usage.get(job.workspace, idle).share,
            job.submitted_at,
        ),
    )


def service_level(ran_s: float) -> int:
    """Return the level of attained service, 0 for the least."""
    return sum(ran_s >= bound_s for bound_s in SERVICE_LEVELS_S)


def aged_rank(job: Job, now: datetime) -> int:
    """Return the class of a job after ageing, 0 for urgent."""
    rank = job.spec.request_class.rank
    if rank == RequestClass.URGENT.rank:
        return rank
    steps = int((now - job.submitted_at).total_seconds() // AGE_STEP_S)
    return max(rank - steps, RequestClass.STANDARD.rank)
