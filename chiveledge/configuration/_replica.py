"""This process's copy of the configuration document; its revision never decreases."""

from __future__ import annotations

import asyncio

import reactivex
from reactivex.subject import ReplaySubject
from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.configuration._change import read_configuration, read_revision
from chiveledge.configuration._model import VersionedDocument
from chiveledge.events import Timeline
from chiveledge.logs import PartLogger
from chiveledge.services import TableService
from chiveledge.types import ProcessName

log = PartLogger("configuration")


class ConfigurationReplica:
    """Holds the newest known document and tells whether it is fresh.

    The document is fresh if the store has recently confirmed its revision, either to
    this process or to a peer that reported it. No change can be accepted while no
    process reaches the store. So the document also counts as fresh if a read of the
    store has just failed and this process, together with the peers that it recently
    received reports from, makes up more than half of all processes, unless one of them
    has reported a newer revision: the store may reject this process and serve others. A
    process that receives reports from fewer peers, or that was paused, may have missed
    a change.

    Parameters
    ----------
    table : TableService
        Stores the document.
    clock : Clock
        Source of time.
    timeline : Timeline
        Records one event for each applied revision.
    poll_s : float
        Time between two reads of the store.
    stale_s : float
        Age beyond which a confirmation, a failed read or a peer's report is ignored.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        timeline: Timeline,
        *,
        poll_s: float,
        stale_s: float,
    ) -> None:
        self._table = table
        self._clock = clock
        self._timeline = timeline
        self._poll_s = poll_s
        self._stale_s = stale_s
        self._current: VersionedDocument | None = None
        self._confirmed_s = float("-inf")
        self._read_failed_s = float("-inf")
        self._reported_s: dict[ProcessName, float] = {}
        self._newest_reported = 0
        self._process_count = 1
        self._stream: ReplaySubject[VersionedDocument] = ReplaySubject(1)
        self._changed = asyncio.Event()

    @property
    def current(self) -> VersionedDocument | None:
        """The document in force in this process."""
        return self._current

    @property
    def revision(self) -> int:
        """Revision of the document in force, 0 before the first one is applied."""
        return self._current.revision if self._current else 0

    @property
    def stream(self) -> reactivex.Observable[VersionedDocument]:
        """Emits the document in force at subscription, if any, then each new one."""
        return self._stream

    @property
    def confirmation_age_s(self) -> float:
        """Seconds since the store last confirmed the revision, as far as is known."""
        return self._clock.monotonic() - self._confirmed_s

    @property
    def fresh(self) -> bool:
        """Whether this process may act on its document."""
        if self._current is None:
            return False
        if self.confirmation_age_s <= self._stale_s:
            return True
        read_failed_lately = (
            self._clock.monotonic() - self._read_failed_s <= self._stale_s
        )
        knows_newest = self._newest_reported <= self.revision
        return read_failed_lately and knows_newest and self._has_majority()

    def set_process_count(self, count: int) -> None:
        """Set the number of processes in the deployment, including this one."""
        self._process_count = max(count, 1)

    def record_peer_revision(
        self,
        peer: ProcessName,
        revision: int,
        confirmation_age_s: float,
        report_age_s: float,
    ) -> None:
        """Record the revision that a peer reported, and the age of its confirmation.

        A confirmation counts here only if the peer has the same revision.

        Parameters
        ----------
        peer : str
            Name of the peer.
        revision : int
            Revision in force in the peer when it made the report.
        confirmation_age_s : float
            Age of the peer's confirmation when it made the report, in seconds.
        report_age_s : float
            Longest time since it made the report, in seconds.
        """
        made_s = self._clock.monotonic() - report_age_s
        self._reported_s[peer] = max(self._reported_s.get(peer, made_s), made_s)
        self._newest_reported = max(self._newest_reported, revision)
        if revision == self.revision:
            self._confirmed_s = max(self._confirmed_s, made_s - confirmation_age_s)

    def apply(self, versioned: VersionedDocument) -> bool:
        """Put a document in force if its revision is higher than the current one.

        Returns
        -------
        bool
            Whether the document was applied.
        """
        if versioned.revision <= self.revision:
            return False
        self._current = versioned
        self._timeline.revision = versioned.revision
        self._timeline.add(
            "configuration",
            "applied",
            versioned.digest,
            detail=f"preset {versioned.document.preset}",
        )
        log.info(
            "Applied a configuration revision.",
            revision=versioned.revision,
            preset=versioned.document.preset,
        )
        self._stream.on_next(versioned)
        self._changed.set()
        return True

    async def refresh(self) -> bool:
        """Read the store once; return whether the read succeeded."""
        started_s = self._clock.monotonic()
        match await read_revision(self._table):
            case Ok(revision) if revision > self.revision:
                return await self._fetch(started_s)
            case Ok(revision):
                if revision == self.revision:
                    self._confirmed_s = max(self._confirmed_s, started_s)
                return True
            case Err(_):
                self._read_failed_s = self._clock.monotonic()
                return False
        raise AssertionError("unreachable")

    async def _fetch(self, started_s: float) -> bool:
        """Read the current document from the store and apply it."""
        match await read_configuration(self._table):
            case Ok(versioned) if versioned is not None:
                self.apply(versioned)
                self._confirmed_s = max(self._confirmed_s, started_s)
                return True
        return False

    async def wait_for_first(self) -> VersionedDocument:
        """Wait until a document is in force, from the store or from a peer."""
        while self._current is None:
            await self._changed.wait()
            self._changed.clear()
        return self._current

    async def run(self) -> None:
        """Poll the store until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep(self._poll_s)

    def _has_majority(self) -> bool:
        oldest_s = self._clock.monotonic() - self._stale_s
        reporting = sum(1 for at_s in self._reported_s.values() if at_s >= oldest_s)
        return 2 * (reporting + 1) > self._process_count
