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


class Rank(NamedTuple):
    """Sort key of a waiting job: the least is tried first."""

    class_rank: int
    share: float
    submitted_at: datetime


def order_jobs(
    jobs: Iterable[Job], usage: Mapping[WorkspaceName, Usage], now: datetime
) -> list[Job]:
    """Return waiting jobs, first to try first.

    By class, where waiting makes a job more urgent step by step but never as urgent
    as an urgent one; then the workspace that runs least for its weight; then age.
    """
    idle = Usage(0, MIN_WEIGHT)
    return sorted(
        jobs,
        key=lambda job: Rank(
            _aged_rank(job, now),
            usage.get(job.workspace, idle).share,
            job.submitted_at,
        ),
    )


def _aged_rank(job: Job, now: datetime) -> int:
    rank = job.spec.request_class.rank
    if rank == RequestClass.URGENT.rank:
        return rank
    steps = int((now - job.submitted_at).total_seconds() // AGE_STEP_S)
    return max(rank - steps, RequestClass.STANDARD.rank)
