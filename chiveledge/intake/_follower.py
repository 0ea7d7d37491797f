"""Keeps a copy of a table's rows current by watching for changes."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.services import HistoryGone, Row, WatchedTable

RETRY_S = 0.15
"""Pause after a failed call; short against the bound on applying configurations."""


class TableFollower:
    """Calls back with every change of the rows under a prefix.

    Parameters
    ----------
    table : WatchedTable
        The service.
    prefix : str
        Rows to follow.
    clock : Clock
        Source of time.
    log : DecisionLog
        Receives lost and regained contact.
    on_rows : callable
        Receives changed rows, the keys that are gone, and whether this is a whole
        snapshot, so that everything that is not in it is gone too.
    wait_s : float
        Longest wait of one call.
    pause_s : float, optional
        Pause after changes, in which further ones gather.
    """

    def __init__(
        self,
        table: WatchedTable,
        prefix: str,
        clock: Clock,
        log: DecisionLog,
        on_rows: Callable[[Iterable[Row], Iterable[str], bool], None],
        *,
        wait_s: float = 0.5,
        pause_s: float = 0.0,
    ) -> None:
        self._table = table
        self._prefix = prefix
        self._clock = clock
        self._log = log
        self._on_rows = on_rows
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._version: int | None = None
        self._confirmed_s: float | None = None
        self._lost = False
        self._doubted = False

    @property
    def age_s(self) -> float:
        """How old the copy may be, in seconds; infinite before the first answer."""
        if self._confirmed_s is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_s

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not await self.step():
                await self._clock.sleep(RETRY_S)

    async def step(self) -> bool:
        """Make one call; return whether the copy was confirmed.

        A watch that is not answered in time may have gone mute while changes are
        made, so the rows themselves are read after it.
        """
        if self._version is None or self._doubted:
            return await self._take_snapshot()
        sent_s = self._clock.monotonic()
        match await self._table.watch(self._prefix, self._version, self._wait_s):
            case Ok(changes):
                self._version = max(self._version, changes.version)
                self._confirm(sent_s)
                if changes.rows or changes.deleted:
                    self._on_rows(changes.rows, changes.deleted, False)
                    if self._pause_s:
                        await self._clock.sleep(self._pause_s)
                return True
            case Err(HistoryGone()):
                self._log.write("follower", "history_gone", table=self._prefix)
                self._version = None
                return await self._take_snapshot()
            case Err(error):
                self._doubted = True
                return self._note_error(error)
        raise AssertionError("unreachable")

    async def _take_snapshot(self) -> bool:
        sent_s = self._clock.monotonic()
        match await self._table.snapshot(self._prefix):
            case Ok(snapshot):
                self._version = snapshot.version
                self._doubted = False
                self._confirm(sent_s)
                self._on_rows(snapshot.rows, (), True)
                return True
            case Err(error):
                return self._note_error(error)
        raise AssertionError("unreachable")

    def _confirm(self, sent_s: float) -> None:
        self._confirmed_s = sent_s
        if self._lost:
            self._lost = False
            self._log.write("follower", "store_regained", table=self._prefix)

    def _note_error(self, error: object) -> bool:
        if not self._lost:
            self._lost = True
            self._log.write(
                "follower", "store_lost", table=self._prefix, error=str(error)
            )
        return False
