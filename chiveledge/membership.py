"""Hosts of the deployment, from the platform's delayed list and from peers."""

from __future__ import annotations

from collections.abc import Iterable

import reactivex
from reactivex.subject import ReplaySubject
from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.events import Timeline
from chiveledge.logs import PartLogger
from chiveledge.services import HostEntry, HostList, HostRole, HostState
from chiveledge.types import DomainName

MAX_VANISHED_SHARE = 0.5
"""Share of a role's entries that may vanish in one read before the list is suspected
to be incomplete."""

RETAIN_VANISHED_S = 30.0
"""How long entries missing from a suspected list are retained."""

log = PartLogger("membership")


class Membership:
    """Polls the host list and marks the targets that peers report as leaving.

    A list that lacks more than half of a role's known entries is suspected to be
    incomplete. The missing entries are retained for `RETAIN_VANISHED_S`, since calls
    to a host that is really gone fail soon enough.

    Parameters
    ----------
    hosts : HostList
        The platform's list.
    clock : Clock
        Source of time.
    timeline : Timeline
        Records targets that are leaving or have left.
    poll_s : float
        Time between two reads of the list.
    """

    def __init__(
        self, hosts: HostList, clock: Clock, timeline: Timeline, *, poll_s: float
    ) -> None:
        self._hosts = hosts
        self._clock = clock
        self._timeline = timeline
        self._poll_s = poll_s
        self._was_read = False
        self._entries: dict[str, HostEntry] = {}
        self._vanished_since_s: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._stream: ReplaySubject[tuple[HostEntry, ...]] = ReplaySubject(1)

    @property
    def entries(self) -> tuple[HostEntry, ...]:
        """All known entries; those of leaving targets have the state ``LEAVING``."""
        return tuple(self._entries.values())

    @property
    def was_read(self) -> bool:
        """Whether the host list has been read since the start of the process."""
        return self._was_read

    @property
    def stream(self) -> reactivex.Observable[tuple[HostEntry, ...]]:
        """Emits all known entries after each change."""
        return self._stream

    @property
    def leaving(self) -> tuple[str, ...]:
        """Names of the leaving targets, which are reported to the peers."""
        return tuple(
            entry.name
            for entry in self._entries.values()
            if entry.state is HostState.LEAVING
        )

    def find_by_role(self, role: HostRole) -> list[HostEntry]:
        """Return the entries of one role."""
        return [entry for entry in self._entries.values() if entry.role is role]

    def count_workers_in(self, domain: DomainName) -> int:
        """Return the number of workers of a failure domain."""
        workers = self.find_by_role(HostRole.WORKER)
        return sum(worker.domain == domain for worker in workers)

    def mark_leaving(self, names: Iterable[str]) -> None:
        """Mark targets as leaving, as reported by a peer or by the target itself.

        The mark outlasts reads of the list that still show the target as present.
        """
        added = set(names) - self._leaving
        if not added:
            return
        self._leaving |= added
        self._apply(list(self._entries.values()))

    async def refresh(self) -> bool:
        """Read the list once; return whether the read succeeded."""
        match await self._hosts.read():
            case Ok(entries):
                self._was_read = True
                self._apply(self._retain_vanished(entries))
                return True
            case Err(_):
                return False
        raise AssertionError("unreachable")

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep(self._poll_s)

    def _retain_vanished(self, entries: list[HostEntry]) -> list[HostEntry]:
        """Return the read entries and those retained although they are missing."""
        now_s = self._clock.monotonic()
        listed = {entry.name for entry in entries}
        self._vanished_since_s = {
            n: s for n, s in self._vanished_since_s.items() if n not in listed
        }
        retained = []
        for role in HostRole:
            known = self.find_by_role(role)
            vanished = [entry for entry in known if entry.name not in listed]
            is_suspected = len(vanished) > MAX_VANISHED_SHARE * len(known)
            for entry in vanished:
                since_s = self._vanished_since_s.get(entry.name)
                if since_s is None and is_suspected:
                    since_s = self._vanished_since_s.setdefault(entry.name, now_s)
                if since_s is not None and now_s - since_s < RETAIN_VANISHED_S:
                    retained.append(entry)
        return [*entries, *retained]

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
