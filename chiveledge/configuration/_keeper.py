"""Keeps the document that is in force in this process; it only moves forward."""

from __future__ import annotations

import asyncio

import reactivex
from reactivex.subject import ReplaySubject
from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.configuration._change import read_configuration, read_revision
from chiveledge.configuration._model import Versioned
from chiveledge.events import Timeline
from chiveledge.logs import PartLogger
from chiveledge.services import TableService
from chiveledge.types import ProcessName

log = PartLogger("configuration")


class ConfigurationKeeper:
    """Applies revisions upwards, and knows whether its own is fresh.

    A revision is fresh while the store confirmed it lately, to this process or to
    a peer that told it. While nobody reaches the store no change can be accepted,
    so a process that just failed to reach it, and hears from more than half of all
    processes, is fresh as well. One that hears from too few, or that was paused, may
    have missed a change.

    Parameters
    ----------
    table : TableService
        Where the document lasts.
    clock : Clock
        Source of time.
    timeline : Timeline
        Receives one event for each applied revision.
    poll_s : float
        Period of reading the store.
    stale_s : float
        Age at which a confirmation no longer counts.
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
        self._current: Versioned | None = None
        self._confirmed_s = float("-inf")
        self._missed_s = float("-inf")
        self._heard: dict[ProcessName, float] = {}
        self._process_count = 1
        self._stream: ReplaySubject[Versioned] = ReplaySubject(1)
        self._changed = asyncio.Event()

    @property
    def current(self) -> Versioned | None:
        """The document in force in this process."""
        return self._current

    @property
    def revision(self) -> int:
        """Its revision, 0 before the first."""
        return self._current.revision if self._current else 0

    @property
    def stream(self) -> reactivex.Observable[Versioned]:
        """Each applied document, the present one first."""
        return self._stream

    @property
    def confirmation_age_s(self) -> float:
        """Seconds since the store is known to have confirmed the revision."""
        return self._clock.monotonic() - self._confirmed_s

    @property
    def fresh(self) -> bool:
        """Whether this process may act on its document."""
        if self._current is None:
            return False
        if self.confirmation_age_s <= self._stale_s:
            return True
        outage_seen = self._clock.monotonic() - self._missed_s <= self._stale_s
        return outage_seen and self._hears_majority()

    def expect_processes(self, count: int) -> None:
        """Set the number of processes of the deployment, this one included."""
        self._process_count = max(count, 1)

    def hear(self, peer: ProcessName, revision: int, confirmation_age_s: float) -> None:
        """Take in what a peer says of its revision."""
        now = self._clock.monotonic()
        self._heard[peer] = now
        if revision == self.revision:
            self._confirmed_s = max(self._confirmed_s, now - confirmation_age_s)

    def apply(self, versioned: Versioned) -> bool:
        """Put a document in force if its revision is higher than the present one."""
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
            "Applied a revision.",
            revision=versioned.revision,
            preset=versioned.document.preset,
        )
        self._stream.on_next(versioned)
        self._changed.set()
        return True

    async def refresh(self) -> bool:
        """Read the store once; return whether it answered."""
        asked_s = self._clock.monotonic()
        match await read_revision(self._table):
            case Ok(revision) if revision > self.revision:
                return await self._fetch(asked_s)
            case Ok(revision):
                if revision == self.revision:
                    self._confirmed_s = max(self._confirmed_s, asked_s)
                return True
            case Err(_):
                self._missed_s = self._clock.monotonic()
                return False
        raise AssertionError("unreachable")

    async def _fetch(self, asked_s: float) -> bool:
        """Read and apply a whole document."""
        match await read_configuration(self._table):
            case Ok(versioned) if versioned is not None:
                self.apply(versioned)
                self._confirmed_s = max(self._confirmed_s, asked_s)
                return True
        return False

    async def wait_first(self) -> Versioned:
        """Wait for the first document, from the store or from a peer."""
        while self._current is None:
            await self._changed.wait()
            self._changed.clear()
        return self._current

    async def run(self) -> None:
        """Poll the store for ever."""
        while True:
            await self.refresh()
            await self._clock.sleep(self._poll_s)

    def _hears_majority(self) -> bool:
        horizon = self._clock.monotonic() - self._stale_s
        heard = sum(1 for at_s in self._heard.values() if at_s >= horizon)
        return 2 * (heard + 1) > self._process_count
