"""What this process knows of hosts, from the platform's lagging list and peers."""

from __future__ import annotations

from collections.abc import Iterable

import reactivex
from reactivex.subject import ReplaySubject
from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.events import Timeline
from chiveledge.logs import PartLogger
from chiveledge.services import HostEntry, HostList, HostRole, HostState

SUSPECT_SHARE = 0.5
"""Share of a role's entries that may vanish at once before the list is doubted."""

SUSPECT_S = 30.0

log = PartLogger("membership")


class Membership:
    """Follows the host list and adds what peers say of leaving targets.

    A list that loses more than half of a role's entries at once is doubted: the
    vanished ones are kept for `SUSPECT_S`, since calls to them tell soon enough
    whether they are gone.

    Parameters
    ----------
    hosts : HostList
        The platform's list.
    clock : Clock
        Source of time.
    timeline : Timeline
        Receives changes.
    poll_s : float
        Period of reading the list.
    """

    def __init__(
        self, hosts: HostList, clock: Clock, timeline: Timeline, *, poll_s: float
    ) -> None:
        self._hosts = hosts
        self._clock = clock
        self._timeline = timeline
        self._poll_s = poll_s
        self._entries: dict[str, HostEntry] = {}
        self._doubted_s: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._stream: ReplaySubject[tuple[HostEntry, ...]] = ReplaySubject(1)

    @property
    def entries(self) -> tuple[HostEntry, ...]:
        """All known entries; leaving ones are marked."""
        return tuple(self._entries.values())

    @property
    def stream(self) -> reactivex.Observable[tuple[HostEntry, ...]]:
        """All known entries, after each change."""
        return self._stream

    @property
    def leaving(self) -> tuple[str, ...]:
        """Names of targets that are leaving, for the peers."""
        return tuple(
            entry.name
            for entry in self._entries.values()
            if entry.state is HostState.LEAVING
        )

    def of_role(self, role: HostRole) -> list[HostEntry]:
        """Return the entries of one role."""
        return [entry for entry in self._entries.values() if entry.role is role]

    def hear_leaving(self, names: Iterable[str]) -> None:
        """Take in what a peer, or the target itself, says of leaving targets."""
        fresh = set(names) - self._leaving
        if not fresh:
            return
        self._leaving |= fresh
        self._apply(list(self._entries.values()))

    async def refresh(self) -> bool:
        """Read the list once; return whether it answered."""
        match await self._hosts.read():
            case Ok(entries):
                self._apply(self._keep_doubted(entries))
                return True
            case Err(_):
                return False
        raise AssertionError("unreachable")

    async def run(self) -> None:
        """Poll the list for ever."""
        while True:
            await self.refresh()
            await self._clock.sleep(self._poll_s)

    def _keep_doubted(self, entries: list[HostEntry]) -> list[HostEntry]:
        now_s = self._clock.monotonic()
        listed = {entry.name for entry in entries}
        self._doubted_s = {n: s for n, s in self._doubted_s.items() if n not in listed}
        kept = []
        for role in HostRole:
            known = self.of_role(role)
            vanished = [entry for entry in known if entry.name not in listed]
            doubt = len(vanished) > SUSPECT_SHARE * len(known)
            for entry in vanished:
                since_s = self._doubted_s.get(entry.name)
                if since_s is None and doubt:
                    since_s = self._doubted_s.setdefault(entry.name, now_s)
                if since_s is not None and now_s - since_s < SUSPECT_S:
                    kept.append(entry)
        return [*entries, *kept]

    def _apply(self, entries: list[HostEntry]) -> None:
        self._leaving &= {entry.name for entry in entries}
        marked = {entry.name: self._mark(entry) for entry in entries}
        if marked == self._entries:
            return
        for name, entry in marked.items():
            before = self._entries.get(name)
            if entry.state is HostState.LEAVING and (
                before is None or before.state is not HostState.LEAVING
            ):
                self._timeline.add("membership", "leaving", name)
        for name in self._entries.keys() - marked.keys():
            self._timeline.add("membership", "left", name)
        self._entries = marked
        self._stream.on_next(self.entries)

    def _mark(self, entry: HostEntry) -> HostEntry:
        if entry.name in self._leaving:
            return entry._replace(state=HostState.LEAVING)
        return entry
