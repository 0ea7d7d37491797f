"""Renders a report as text."""

from __future__ import annotations

from chiveledge.log_report._report import (
    AFTER_TAKEOVER_S,
    GroupSummary,
    Quantiles,
    Report,
)
from chiveledge.log_report._time_split import TimeUse

MIN_SHOWN_S = 0.005
"""Mean time below which a part of the split is not shown."""


def describe_report(report: Report) -> list[str]:
    """Return the lines of a report for people."""
    lines = []
    for title, groups in (("kind", report.kinds), ("workspace", report.workspaces)):
        lines += _describe_counts(title, groups)
    for group in report.kinds:
        lines += _describe_group(group)
    for since_s, until_s in report.leaderless_s:
        lines.append(f"no leader from {since_s:.1f} s to {until_s:.1f} s")
    lines += [
        f"{outage.processes} processes without the store from "
        f"{outage.since_s:.1f} s to {outage.until_s:.1f} s"
        for outage in report.store_outages
    ]
    if report.dropped_lines:
        lines.append(
            f"{report.dropped_lines} log lines were dropped: the sums are too small"
        )
    if report.unreadable_lines:
        lines.append(f"{report.unreadable_lines} lines are not decision log lines")
    return lines


def _describe_counts(title: str, groups: list[GroupSummary]) -> list[str]:
    columns = ("jobs", "in time", "late", "too late", "refused", "unfinished", "failed")
    lines = [f"{title:<20}" + "".join(f"{column:>11}" for column in columns)]
    for group in groups:
        counts = (
            group.jobs,
            group.in_time,
            group.late,
            group.too_late,
            group.refused,
            group.unfinished,
            group.failed,
        )
        lines.append(f"{group.name:<20}" + "".join(f"{count:>11}" for count in counts))
    return [*lines, ""]


def _describe_group(group: GroupSummary) -> list[str]:
    lines = [f"{group.name}, mean seconds of a completed job:"]
    lines += [
        f"  {use:<50} {group.time_split[use]:8.2f}"
        for use in TimeUse
        if group.time_split[use] >= MIN_SHOWN_S
    ]
    lines.append(f"  wait until the first run: {_describe(group.wait_s, 's')}")
    lines.append(
        f"  actual over expected run time: {_describe(group.estimate_ratio, '')}"
    )
    errors = (group.estimate_error, group.takeover_estimate_error)
    all_runs, after_takeovers = (
        "unknown" if error is None else f"{error:.2f}" for error in errors
    )
    lines.append(
        f"  half of the run times missed by a factor of at most: {all_runs}; of runs "
        f"that began up to {AFTER_TAKEOVER_S:.0f} s after a takeover: {after_takeovers}"
    )
    if group.drain_waits:
        lines.append(
            f"  jobs that waited for a drained failure domain: {group.drain_waits}, "
            f"for {group.drain_wait_s:.1f} s in all"
        )
    for how, count in sorted(group.ends_without_result.items()):
        lines.append(f"  runs {how}: {count}")
    for use, lost in sorted(group.lost_core_s.items()):
        lines.append(f"  core-seconds lost, {use}: {lost:.0f}")
    return [*lines, ""]


def _describe(found: Quantiles | None, unit: str) -> str:
    if found is None:
        return "unknown"
    values = " ".join(f"{value:.2f}{unit}" for value in found)
    return f"{values} (10th, 50th, 90th percentile)"
