"""Timeline: a bounded ring buffer of the typed events of one process."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple, TypedDict

import reactivex
from reactivex.subject import Subject

from chiveledge.clock import Clock
from chiveledge.types import Epoch, ProcessName, Revision

DEFAULT_RING_EVENTS = 4096


class EventRecord(TypedDict):
    """An event in the form that the administration API returns."""

    time: str
    sequence: int
    process: str
    part: str
    name: str
    subject: str
    revision: int
    epoch: int
    outcome: str
    detail: str


class Event(NamedTuple):
    """An event in one process.

    Attributes
    ----------
    time : datetime
        Wall time of the process, UTC.
    sequence : int
        Number of the event in its process, from 1.
    process : str
        Name of the process.
    part : str
        Part of the system, as in the prefix of its log lines.
    name : str
        Kind of event, for example ``"gang_started"``.
    subject : str
        ID of the request or job, or the name of the object, that the event is about.
    revision : int
        Configuration revision in force in the process.
    epoch : int
        Leadership epoch, 0 if none applies.
    outcome : str
        Outcome, empty if none applies.
    detail : str
        Short description for operators.
    """

    time: datetime
    sequence: int
    process: ProcessName
    part: str
    name: str
    subject: str
    revision: Revision
    epoch: Epoch
    outcome: str
    detail: str

    def to_record(self) -> EventRecord:
        """Return the form that the administration API returns."""
        fields = self._asdict()
        fields["time"] = self.time.isoformat(timespec="milliseconds")
        return EventRecord(**fields)


class Timeline:
    """Bounded ring buffer, and stream, of the events of this process.

    Parameters
    ----------
    process : str
        Name of this process.
    clock : Clock
        Source of event times.
    limit : int, optional
        Number of events kept; the oldest is dropped first.

    Attributes
    ----------
    revision : int
        Configuration revision to record with new events.
    """

    def __init__(
        self, process: ProcessName, clock: Clock, *, limit: int = DEFAULT_RING_EVENTS
    ) -> None:
        self.revision: Revision = 0
        self._process = process
        self._clock = clock
        self._ring: deque[Event] = deque(maxlen=limit)
        self._sequence = 0
        self._stream: Subject[Event] = Subject()

    @property
    def stream(self) -> reactivex.Observable[Event]:
        """Emits each event when it is added."""
        return self._stream

    def add(
        self,
        part: str,
        name: str,
        subject: str = "",
        *,
        epoch: Epoch = 0,
        outcome: str = "",
        detail: str = "",
    ) -> None:
        """Append an event to the buffer and emit it."""
        self._sequence += 1
        event = Event(
            time=self._clock.now(),
            sequence=self._sequence,
            process=self._process,
            part=part,
            name=name,
            subject=subject,
            revision=self.revision,
            epoch=epoch,
            outcome=outcome,
            detail=detail,
        )
        self._ring.append(event)
        self._stream.on_next(event)

    def records(self, *, subject: str = "", after: int = 0) -> list[EventRecord]:
        """Return the events in the buffer, oldest first.

        Parameters
        ----------
        subject : str, optional
            Return only events about this request, job or object.
        after : int, optional
            Return only events with a higher sequence number.
        """
        return [
            event.to_record()
            for event in self._ring
            if event.sequence > after and (not subject or event.subject == subject)
        ]


def merge_records(records: Iterable[EventRecord]) -> list[EventRecord]:
    """Sort the events of several processes by time, process and sequence number."""
    return sorted(records, key=lambda r: (r["time"], r["process"], r["sequence"]))
