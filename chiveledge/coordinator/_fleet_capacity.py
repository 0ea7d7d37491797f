"""Stores what the fleet can hold when it is empty, for the processes that take jobs.

A job that fits on no set of workers is refused at once instead of waiting for ever. One
that fits only on workers which are away at present isn't: what is stored is the most
workers of each kind that were there at one time, also under earlier leaders.
"""

from __future__ import annotations

import uuid
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from result import Err, Ok

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.intake import FLEET_KEY, decode_fleet, encode_fleet
from chiveledge.leadership import Leadership
from chiveledge.placement import WorkerKind
from chiveledge.services import Conflict, Put, Transaction
from chiveledge.types import WorkerName

STORE_INTERVAL_S = 5.0
"""Pause between two looks at the workers."""

RETENTION_S = 3600.0
"""How long workers count that are no longer there."""


class _Group(NamedTuple):
    """The workers of one kind in a service."""

    service: str
    kind: WorkerKind


class _Peak(NamedTuple):
    """The most workers of a kind, and the monotonic time of the last such number."""

    count: int
    reached_s: float


class FleetCapacityKeeper:
    """Keeps the row of the fleet's capacity up to date during a leader term.

    Parameters
    ----------
    context : TermContext
        Store, clock and log.
    leadership : Leadership
        Provides the fence that every write checks.
    links : mapping
        State of each worker by name.
    on_lost : callable
        Called with a reason when the fence shows that another process took over.
    """

    def __init__(
        self,
        context: TermContext,
        leadership: Leadership,
        links: Mapping[WorkerName, WorkerLink],
        on_lost: Callable[[str], None],
    ) -> None:
        self._table = context.table
        self._clock = context.clock
        self._log = context.log
        self._max_row_chars = context.max_row_chars
        self._leadership = leadership
        self._links = links
        self._on_lost = on_lost
        self._peaks: dict[_Group, _Peak] = {}
        self._stored_text = ""

    async def run(self) -> None:
        """Read the row, then store it when it changes, until cancelled."""
        while not await self._load():
            await self._clock.sleep(STORE_INTERVAL_S)
        while True:
            await self._clock.sleep(STORE_INTERVAL_S)
            self._update_peaks()
            text = self._encode()
            if text != self._stored_text and self._leadership.valid:
                await self._store(text)

    async def _load(self) -> bool:
        """Take over the numbers that earlier leaders saw; return whether read."""
        match await self._table.read(FLEET_KEY):
            case Ok(None):
                return True
            case Ok(row):
                self._stored_text = row.value
                self._restore(row.value)
                return True
            case Err(_):
                return False
        raise AssertionError("unreachable")

    def _restore(self, text: str) -> None:
        now_s = self._clock.monotonic()
        match decode_fleet(text):
            case Ok(fleet):
                for service, kinds in fleet.items():
                    for kind, count in kinds.items():
                        self._peaks[_Group(service, kind)] = _Peak(count, now_s)
            case Err(reason):
                self._log.write("coordinator", "bad_fleet", reason=reason)

    def _update_peaks(self) -> None:
        now_s = self._clock.monotonic()
        present = count_groups(self._links)
        for group in present.keys() | self._peaks.keys():
            peak = self._peaks.get(group)
            count = present[group]
            if peak and count < peak.count and now_s - peak.reached_s < RETENTION_S:
                continue
            self._peaks[group] = _Peak(count, now_s)
            if not count:
                del self._peaks[group]

    def _encode(self) -> str:
        fleet: dict[str, dict[WorkerKind, int]] = {}
        for group, peak in self._peaks.items():
            fleet.setdefault(group.service, {})[group.kind] = peak.count
        text = encode_fleet(fleet)
        # Without the row, no job is refused.
        return text if len(text) <= self._max_row_chars else encode_fleet({})

    async def _store(self, text: str) -> None:
        transaction = Transaction(
            uuid.uuid4().hex, (self._leadership.fence,), (Put(FLEET_KEY, text),)
        )
        match await self._table.transact(transaction):
            case Ok(_):
                self._stored_text = text
            case Err(Conflict()):
                self._on_lost("the leadership row changed")
            case Err(error):
                self._log.write("coordinator", "fleet_not_stored", error=str(error))


def count_groups(links: Mapping[WorkerName, WorkerLink]) -> Counter[_Group]:
    """Return the number of listed workers of each kind and service."""
    return Counter(
        _Group(
            link.entry.service,
            WorkerKind(link.entry.labels - {link.entry.rack}, link.entry.capacity),
        )
        for link in links.values()
        if link.listed and link.is_described
    )
