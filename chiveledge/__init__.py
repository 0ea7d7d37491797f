"""Chiveledge: a scheduler for requests and gangs under workspace guarantees."""

from __future__ import annotations

from chiveledge.clock import Clock, ManualClock, SystemClock
from chiveledge.events import Event, Timeline, merge_records
from chiveledge.outcomes import Answered, Outcome, Refused, UnknownOutcome

__all__ = [
    "Answered",
    "Clock",
    "Event",
    "ManualClock",
    "Outcome",
    "Refused",
    "SystemClock",
    "Timeline",
    "UnknownOutcome",
    "merge_records",
]
__version__ = "0.1.0"
