"""Replicates the rows under a prefix of the table by watching for changes."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.services import HistoryGone, Row, WatchedTable

RETRY_S = 0.15
"""Pause after a failed call; short relative to the time to apply configurations."""


class TableFollower:
    """Reports every change of the rows under a prefix to a callback.

    Parameters
    ----------
    table : WatchedTable
        Table service to watch.
    prefix : str
        Key prefix of the rows.
    clock : Clock
        Time source.
    log : DecisionLog
        Receives a line when contact with the store is lost or regained.
    on_rows : callable
        Called with the changed rows, the deleted keys and whether the rows are a
        snapshot, in which case rows that are not in it no longer exist.
    wait_s : float, optional
        Maximum duration of one watch call, in seconds.
    pause_s : float, optional
        Pause after a change, in seconds, so that further changes are batched.
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
        self._needs_snapshot = False

    @property
    def age_s(self) -> float:
        """Maximum age of the copy in seconds; infinite before the first answer."""
        if self._confirmed_s is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_s

    async def run(self) -> None:
        """Watch for changes until cancelled."""
        while True:
            if not await self.step():
                await self._clock.sleep(RETRY_S)

    async def step(self) -> bool:
        """Make one call and return whether it confirmed the copy.

        An unanswered watch may miss changes, so the call after it reads a snapshot.
        """
        if self._version is None or self._needs_snapshot:
            return await self._load_snapshot()
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
                return await self._load_snapshot()
            case Err(error):
                self._needs_snapshot = True
                return self._record_error(error)
        raise AssertionError("unreachable")

    async def _load_snapshot(self) -> bool:
        sent_s = self._clock.monotonic()
        match await self._table.snapshot(self._prefix):
            case Ok(snapshot):
                self._version = snapshot.version
                self._needs_snapshot = False
                self._confirm(sent_s)
                self._on_rows(snapshot.rows, (), True)
                return True
            case Err(error):
                return self._record_error(error)
        raise AssertionError("unreachable")

    def _confirm(self, sent_s: float) -> None:
        self._confirmed_s = sent_s
        if self._lost:
            self._lost = False
            self._log.write("follower", "store_regained", table=self._prefix)

    def _record_error(self, error: object) -> bool:
        """Log the first error since the last confirmation; return False."""
        if not self._lost:
            self._lost = True
            self._log.write(
                "follower", "store_lost", table=self._prefix, error=str(error)
            )
        return False
