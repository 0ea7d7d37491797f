"""Report on a period from decision logs: where the time and the work of jobs went.

The lines are written by `chiveledge.decision_log` and may come from any number of
processes, in any order.

Examples
--------
>>> report = make_report(read_histories([]))
>>> report.kinds
[]
"""

from __future__ import annotations

from chiveledge.log_report._histories import (
    JobHistory,
    Period,
    Placed,
    RunRecord,
    read_histories,
)
from chiveledge.log_report._report import (
    GroupSummary,
    Outage,
    Quantiles,
    Report,
    make_report,
)
from chiveledge.log_report._text import describe_report
from chiveledge.log_report._time_split import TimeUse, split_time

__all__ = [
    "GroupSummary",
    "JobHistory",
    "Outage",
    "Period",
    "Placed",
    "Quantiles",
    "Report",
    "RunRecord",
    "TimeUse",
    "describe_report",
    "make_report",
    "read_histories",
    "split_time",
]
