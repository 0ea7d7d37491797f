"""Sums the histories of a period by kind of job and by workspace."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import median, quantiles
from typing import NamedTuple

from chiveledge.log_report._histories import DONE, JobHistory, Period, count_stops
from chiveledge.log_report._time_split import TimeUse, classify_loss, split_time
from chiveledge.workload import ZERO_VALUE_FACTOR

TENTHS = 10

AFTER_TAKEOVER_S = 5.0
"""How long after a takeover runs count as started by a new leader."""


class Quantiles(NamedTuple):
    """The 10th, 50th and 90th percentile of a figure."""

    low: float
    middle: float
    high: float


class GroupSummary(NamedTuple):
    """Figures of the jobs of one kind or one workspace.

    Attributes
    ----------
    name : str
        Name of the group.
    jobs : int
        Jobs that callers handed in and did not cancel.
    in_time, late, too_late : int
        Completed jobs within their objective, within `ZERO_VALUE_FACTOR` times it, and
        after.
    refused : int
        Jobs that were never stored.
    unfinished : int
        Stored jobs that did not complete within the period.
    failed : int
        Jobs that used up their attempts.
    time_split : dict
        Mean seconds of a completed job by `TimeUse`.
    wait_s : Quantiles, optional
        Seconds from admission until the first run of a completed job began.
    ends_without_result : dict
        Runs that came to nothing, by how they ended.
    lost_core_s : dict
        Core-seconds that these runs lost, by cause.
    estimate_ratio : Quantiles, optional
        Ratio of actual to expected run time of the runs that were done.
    estimate_error : float, optional
        Factor by which half of these run times were missed at most, either way.
    takeover_estimate_error : float, optional
        The same for the runs that a leader started in its first `AFTER_TAKEOVER_S`
        after another one.
    drain_waits : int
        Jobs that waited for the drain of a failure domain.
    drain_wait_s : float
        Seconds that all their steps waited for it.
    """

    name: str
    jobs: int
    in_time: int
    late: int
    too_late: int
    refused: int
    unfinished: int
    failed: int
    time_split: dict[TimeUse, float]
    wait_s: Quantiles | None
    ends_without_result: dict[str, int]
    lost_core_s: dict[TimeUse, float]
    estimate_ratio: Quantiles | None
    estimate_error: float | None
    takeover_estimate_error: float | None
    drain_waits: int
    drain_wait_s: float


class Outage(NamedTuple):
    """A period in which one process after another had no store, without a gap.

    Attributes
    ----------
    processes : int
        Number of processes that had no store at some time of the period.
    """

    since_s: float
    until_s: float
    processes: int


class Report(NamedTuple):
    """Where the time and the work of a period's jobs went.

    Attributes
    ----------
    kinds, workspaces : list of GroupSummary
        Figures by priority and by workspace.
    leaderless_s : list of tuple
        Periods without a leader, in seconds from the first attempt of any job.
    store_outages : list of Outage
        Periods in which processes had no store, on the same axis.
    dropped_lines, unreadable_lines : int
        Lines that are missing because of a rate limit, and lines that are no log lines.
        With dropped lines the sums are too small.
    """

    kinds: list[GroupSummary]
    workspaces: list[GroupSummary]
    leaderless_s: list[tuple[float, float]]
    store_outages: list[Outage]
    dropped_lines: int
    unreadable_lines: int


def make_report(period: Period) -> Report:
    """Sum the histories of a period."""
    kinds: dict[str, list[JobHistory]] = defaultdict(list)
    workspaces: dict[str, list[JobHistory]] = defaultdict(list)
    for job in period.jobs.values():
        if _was_handed_in(job):
            kinds[f"priority {job.priority}"].append(job)
            workspaces[job.workspace].append(job)
    start_s = min(
        (job.first_attempt_s for job in period.jobs.values() if job.first_attempt_s),
        default=0.0,
    )
    return Report(
        _summarize_groups(kinds, period),
        _summarize_groups(workspaces, period),
        [(since - start_s, until - start_s) for since, until in period.leaderless],
        _merge_outages(period.store_outages, start_s),
        period.dropped_lines,
        period.unreadable,
    )


def _merge_outages(
    rows: list[tuple[str, float, float]], start_s: float
) -> list[Outage]:
    """Join outages that overlap; times become seconds from `start_s`."""
    merged: list[tuple[float, float, set[str]]] = []
    for node, since_s, until_s in sorted(rows, key=lambda row: row[1]):
        if merged and since_s <= merged[-1][1]:
            first_s, last_s, nodes = merged.pop()
            merged.append((first_s, max(last_s, until_s), nodes | {node}))
        else:
            merged.append((since_s, until_s, {node}))
    return [
        Outage(since_s - start_s, until_s - start_s, len(nodes))
        for since_s, until_s, nodes in merged
    ]


def _was_handed_in(job: JobHistory) -> bool:
    return job.first_attempt_s is not None or job.admitted_s is not None


def _summarize_groups(
    groups: dict[str, list[JobHistory]], period: Period
) -> list[GroupSummary]:
    return [_summarize(name, groups[name], period) for name in sorted(groups)]


def _summarize(name: str, jobs: list[JobHistory], period: Period) -> GroupSummary:
    owed = [job for job in jobs if not job.cancelled]
    completed = [job for job in owed if job.completed_s is not None]
    times_s = [(_completion_s(job), job.objective_s) for job in completed]
    in_time = sum(took_s <= objective_s for took_s, objective_s in times_s)
    too_late = sum(took_s > ZERO_VALUE_FACTOR * limit_s for took_s, limit_s in times_s)
    refused = sum(_was_refused(job) for job in owed)
    failed = sum(job.failed for job in owed)
    ratios = _list_estimate_ratios(jobs)
    takeovers_s = [until_s for _, until_s in period.leaderless]
    return GroupSummary(
        name=name,
        jobs=len(owed),
        in_time=in_time,
        late=len(completed) - in_time - too_late,
        too_late=too_late,
        refused=refused,
        unfinished=len(owed) - len(completed) - refused - failed,
        failed=failed,
        time_split=_average_split(completed, period),
        wait_s=find_quantiles(_list_waits(completed)),
        ends_without_result=_sum_ends(jobs),
        lost_core_s=_sum_losses(jobs),
        estimate_ratio=find_quantiles([ratio for _, ratio in ratios]),
        estimate_error=find_error([ratio for _, ratio in ratios]),
        takeover_estimate_error=find_error(
            [
                ratio
                for began_s, ratio in ratios
                if any(0 <= began_s - t <= AFTER_TAKEOVER_S for t in takeovers_s)
            ]
        ),
        drain_waits=sum(job.drain_wait_s > 0 for job in jobs),
        drain_wait_s=sum(job.drain_wait_s for job in jobs),
    )


def _completion_s(job: JobHistory) -> float:
    began_s = job.first_attempt_s or job.stored_s or job.admitted_s or 0.0
    return (job.completed_s or 0.0) - began_s


def _was_refused(job: JobHistory) -> bool:
    return job.stored_s is None and job.admitted_s is None


def _average_split(jobs: list[JobHistory], period: Period) -> dict[TimeUse, float]:
    splits = [split_time(job, period.leaderless) for job in jobs]
    count = max(1, len(splits))
    return {use: sum(split[use] for split in splits) / count for use in TimeUse}


def _list_waits(jobs: Iterable[JobHistory]) -> list[float]:
    return [
        max(0.0, min(run.began_s for run in job.runs) - job.admitted_s)
        for job in jobs
        if job.runs and job.admitted_s is not None
    ]


def _sum_ends(jobs: Iterable[JobHistory]) -> dict[str, int]:
    total: dict[str, int] = defaultdict(int)
    for job in jobs:
        for how, count in count_stops(job).items():
            total[how] += count
    return dict(total)


def _sum_losses(jobs: Iterable[JobHistory]) -> dict[TimeUse, float]:
    total: dict[TimeUse, float] = defaultdict(float)
    for job in jobs:
        for run in job.runs:
            if run.how != DONE:
                total[classify_loss(run)] += run.lost_core_s
    return dict(total)


def _list_estimate_ratios(jobs: Iterable[JobHistory]) -> list[tuple[float, float]]:
    """Return actual divided by expected run time of runs done without a stop.

    Each comes after the Unix time at which its run began.
    """
    ratios = []
    for job in jobs:
        expected_s = {
            (placed.step, index): placed.expected_s
            for placed in job.placed
            for index in placed.tasks
        }
        for run in job.runs:
            index = int(run.task.rpartition(".")[2])
            estimate_s = expected_s.get((run.step, index), 0.0)
            if run.how == DONE and estimate_s > 0:
                ratio = (run.ended_s - run.began_s) / estimate_s
                ratios.append((run.began_s, ratio))
    return ratios


def find_error(ratios: list[float]) -> float | None:
    """Return the median factor by which ratios differ from 1, None without any."""
    factors = [max(ratio, 1 / ratio) for ratio in ratios if ratio > 0]
    return median(factors) if factors else None


def find_quantiles(values: list[float]) -> Quantiles | None:
    """Return the quantiles of values, or None for fewer than two."""
    if len(values) < 2:
        return None
    tenths = quantiles(values, n=TENTHS, method="inclusive")
    return Quantiles(tenths[0], tenths[TENTHS // 2 - 1], tenths[-1])
