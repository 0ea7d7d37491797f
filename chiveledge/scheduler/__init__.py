"""Places gangs, one region at a time, while holding the region's leadership."""

from __future__ import annotations

from chiveledge.scheduler._planner import (
    PlannedStart,
    Planner,
    find_guarantee_misfits,
)
from chiveledge.scheduler._scheduler import Scheduler, list_workers

__all__ = [
    "PlannedStart",
    "Planner",
    "Scheduler",
    "find_guarantee_misfits",
    "list_workers",
]
