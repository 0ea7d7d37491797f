"""Credit that the jobs of an emulation earned, by kind."""

from __future__ import annotations

from statistics import mean
from typing import NamedTuple

from benchmarks.load import Job
from chiveledge.workload import ZERO_VALUE_FACTOR

MIN_WEIGHT = 0.3
MAX_WEIGHT = 4.0
"""Share of a job's credit that does not depend on its work, and the largest weight of a
job against the mean of its kind."""

LOST_CORE_S_PRICE = 0.001
"""Credit that a core-second of lost work costs."""


class CreditShares(NamedTuple):
    """Earned shares of the possible credit.

    Attributes
    ----------
    by_kind : dict
        Share of each kind.
    total, net : float
        Share over all kinds, and the same less the price of lost work.
    worst_workspace : float
        Share of the workspace that earned the smallest one.
    """

    by_kind: dict[str, float]
    total: float
    net: float
    worst_workspace: float


def sum_credit(jobs: list[Job], lost_core_s: float) -> CreditShares:
    """Return the shares of the credit that jobs earned."""
    mean_work = _average_work(jobs)
    earned: dict[str, float] = {}
    offered: dict[str, float] = {}
    by_workspace: dict[str, tuple[float, float]] = {}
    for job in jobs:
        name = job.kind.name
        weight = min(_weigh(job, mean_work[name]), MAX_WEIGHT)
        offered[name] = offered.get(name, 0.0) + weight * job.kind.credit
        credit = weight * _credit(job)
        earned[name] = earned.get(name, 0.0) + credit
        before = by_workspace.get(job.workspace, (0.0, 0.0))
        by_workspace[job.workspace] = (
            before[0] + credit,
            before[1] + weight * job.kind.credit,
        )
    total = sum(offered.values())
    net = sum(earned.values()) - LOST_CORE_S_PRICE * lost_core_s
    return CreditShares(
        {name: earned[name] / offered[name] for name in offered},
        sum(earned.values()) / total,
        net / total,
        min(got / possible for got, possible in by_workspace.values()),
    )


def _average_work(jobs: list[Job]) -> dict[str, float]:
    names = {job.kind.name for job in jobs}
    return {
        name: mean(job.work for job in jobs if job.kind.name == name) for name in names
    }


def _weigh(job: Job, mean_work: float) -> float:
    return MIN_WEIGHT + (1 - MIN_WEIGHT) * job.work / mean_work


def _credit(job: Job) -> float:
    if job.finished_s is None:
        return 0.0
    objective_s = job.kind.stretch * job.run_s + job.kind.target_s
    took_s = job.finished_s - job.arrival_s
    if took_s <= objective_s:
        return job.kind.credit
    return job.kind.late_credit if took_s <= ZERO_VALUE_FACTOR * objective_s else 0.0
