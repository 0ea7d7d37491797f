"""Places the tasks of jobs on workers while this process leads."""

from __future__ import annotations

from chiveledge.coordinator._advice import Advice, AdviceService
from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._coordinator import Coordinator
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.coordinator._term import LeaderTerm
from chiveledge.coordinator._timing import CoordinatorTiming

__all__ = [
    "Advice",
    "AdviceService",
    "Coordinator",
    "CoordinatorTiming",
    "LeaderTerm",
    "RunTimeEstimator",
    "TermContext",
]
