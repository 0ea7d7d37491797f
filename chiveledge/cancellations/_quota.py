"""Bounds the cancellations of unknown jobs that callers can make a process store.

Such a row stays in the store for a while, and anybody with an API key can ask for one.
Each process bounds its own, so that the bound holds while no process leads.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from chiveledge.clock import Clock
from chiveledge.types import JobId, WorkspaceName

MAX_STORED_ROWS = 2048
"""Rows of all hosts together; a leader reads them when it takes over."""

MIN_HOST_ROWS = 64
"""Rows that a host may store in any case, since callers choose hosts unevenly."""

WORKSPACE_SHARE = 0.5
"""Share of a host's rows that one workspace may use."""


class CancellationQuota:
    """Counts the rows that this process stored within the time that they are kept.

    Parameters
    ----------
    clock : Clock
        Time source.
    retention_s : float
        How long a leader keeps a row, in seconds.
    count_hosts : callable, optional
        Returns the number of hosts that share `MAX_STORED_ROWS`.
    """

    def __init__(
        self,
        clock: Clock,
        retention_s: float,
        *,
        count_hosts: Callable[[], int] = lambda: 1,
    ) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._count_hosts = count_hosts
        self._stored_s: dict[tuple[WorkspaceName, JobId], float] = {}
        self._counts: Counter[WorkspaceName] = Counter()

    @property
    def max_rows(self) -> int:
        """Rows that this host may store within the retention."""
        return max(MAX_STORED_ROWS // max(self._count_hosts(), 1), MIN_HOST_ROWS)

    def reserve(self, job_id: JobId, workspace: WorkspaceName) -> float:
        """Reserve a row; return 0, or the seconds until one is free.

        A repeated cancellation of the same job takes no further row.
        """
        self._expire()
        entry = (workspace, job_id)
        if entry in self._stored_s:
            self._drop(entry)
        elif not self._has_room(workspace):
            return self._find_wait_s(workspace)
        self._stored_s[entry] = self._clock.monotonic()
        self._counts[workspace] += 1
        return 0.0

    def release(self, job_id: JobId, workspace: WorkspaceName) -> None:
        """Return a reserved row that was certainly not stored."""
        if (workspace, job_id) in self._stored_s:
            self._drop((workspace, job_id))

    def _has_room(self, workspace: WorkspaceName) -> bool:
        own_rows = int(self.max_rows * WORKSPACE_SHARE)
        return (
            len(self._stored_s) < self.max_rows and self._counts[workspace] < own_rows
        )

    def _find_wait_s(self, workspace: WorkspaceName) -> float:
        """Return when the oldest row that stands in the way is free, in seconds."""
        is_full = len(self._stored_s) >= self.max_rows
        oldest_s = next(
            stored_s
            for (owner, _), stored_s in self._stored_s.items()
            if is_full or owner == workspace
        )
        return oldest_s + self._retention_s - self._clock.monotonic()

    def _expire(self) -> None:
        expired_s = self._clock.monotonic() - self._retention_s
        while self._stored_s:
            entry, stored_s = next(iter(self._stored_s.items()))
            if stored_s > expired_s:
                return
            self._drop(entry)

    def _drop(self, entry: tuple[WorkspaceName, JobId]) -> None:
        del self._stored_s[entry]
        self._counts[entry[0]] -= 1
        if not self._counts[entry[0]]:
            del self._counts[entry[0]]
