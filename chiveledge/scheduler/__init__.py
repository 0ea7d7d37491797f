"""The scheduler role: leads regions, and places and runs their gangs."""

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
