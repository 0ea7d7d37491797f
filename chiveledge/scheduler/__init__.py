"""The scheduler role: leads regions, and places and runs their gangs."""

from __future__ import annotations

from chiveledge.scheduler._planner import (
    PlannedStart,
    Planner,
    find_unsatisfiable_guarantees,
)
from chiveledge.scheduler._scheduler import Scheduler, list_workers

__all__ = [
    "PlannedStart",
    "Planner",
    "Scheduler",
    "find_unsatisfiable_guarantees",
    "list_workers",
]
