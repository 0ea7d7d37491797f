"""The time line: typed events of one process in a bounded ring."""

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
    """An event as it is exported over the administration API."""

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
    """One thing that happened in one process.

    Attributes
    ----------
    time : datetime
        Wall time of the process, UTC.
    sequence : int
        Position in the process's own order.
    process : str
        Name of the process.
    part : str
        Part of the system, the same word as the log prefix.
    name : str
        What happened, for example ``"gang_started"``.
    subject : str
        Request ID, job ID or the name of what it happened to.
    revision : int
        Configuration revision in force in the process.
    epoch : int
        Leadership epoch, zero where none applies.
    outcome : str
        Outcome value, empty where none applies.
    detail : str
        Short sentence for people.
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
        """Return the exported form."""
        fields = self._asdict()
        fields["time"] = self.time.isoformat(timespec="milliseconds")
        return EventRecord(**fields)


class Timeline:
    """Bounded ring of the events of this process, and a stream of them.

    Parameters
    ----------
    process : str
        Name of this process.
    clock : Clock
        Source of event times.
    limit : int, optional
        Number of events kept; the oldest is dropped first.
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
        """Events as they happen."""
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
        """Append one event."""
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
        """Return kept events, oldest first.

        Parameters
        ----------
        subject : str, optional
            Only events of this request, job or target.
        after : int, optional
            Only events with a higher sequence number.
        """
        return [
            event.to_record()
            for event in self._ring
            if event.sequence > after and (not subject or event.subject == subject)
        ]


def merge_records(records: Iterable[EventRecord]) -> list[EventRecord]:
    """Return the events of all processes in one order: time, process, sequence."""
    return sorted(records, key=lambda r: (r["time"], r["process"], r["sequence"]))
