"""Priority order of waiting jobs."""

from __future__ import annotations

import math
import sys
from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import NamedTuple

from chiveledge.configuration import RequestClass
from chiveledge.jobs import Job
from chiveledge.types import WorkspaceName

AGING_STEP_S = 1800.0
"""Waiting time that raises a job by one class."""

MIN_WEIGHT = 1

DEFAULT_RUN_TIME_S = 3600.0
"""Assumed for a job that declares no run time."""


class WorkspaceUsage(NamedTuple):
    """Accelerators that a workspace uses now, and its weight."""

    accelerators: int
    weight: int

    @property
    def share(self) -> float:
        """Accelerators per unit of weight."""
        return self.accelerators / max(self.weight, MIN_WEIGHT)


SERVICE_LEVELS_S = (600.0, 1800.0, 5400.0)
"""Checkpointed run times at which a job moves to the next service level."""


class Rank(NamedTuple):
    """Sort key of a waiting job; the smallest is placed first."""

    class_rank: int
    attained_level: int
    run_time_magnitude: int
    share: float
    submitted_at: datetime


def sort_jobs(
    jobs: Iterable[Job], usage: Mapping[WorkspaceName, WorkspaceUsage], now: datetime
) -> list[Job]:
    """Return waiting jobs in the order in which to place them.

    Jobs are sorted by

    1. class, where aging raises a job step by step, but never to urgent;
    2. least attained service, since actual run times are not known in advance;
    3. order of magnitude of the declared run time;
    4. the workspace's accelerators in use per weight, least first;
    5. time of submission.
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
    """Return the order of magnitude of a run time hint; hints are no more precise."""
    hint_s = run_time_hint_s or DEFAULT_RUN_TIME_S
    return int(math.log10(min(max(hint_s, 1.0), sys.float_info.max)))


def attained_service_level(ran_s: float) -> int:
    """Return the level of attained service, 0 for the shortest run time."""
    return sum(ran_s >= bound_s for bound_s in SERVICE_LEVELS_S)


def aged_class_rank(job: Job, now: datetime) -> int:
    """Return the rank of a job's class after aging, 0 for urgent."""
    rank = job.spec.request_class.rank
    if rank == RequestClass.URGENT.rank:
        return rank
    steps = int((now - job.submitted_at).total_seconds() // AGING_STEP_S)
    return max(rank - steps, RequestClass.STANDARD.rank)
