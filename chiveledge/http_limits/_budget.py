"""Decides which connections are closed so that clients can't exhaust the process.

Load pattern: thousands of connections that send heads or bodies without end, or stop
just short of the end and stay open, beside ordinary callers.

What was read and not yet answered is charged to its connection, as a cost in bytes:
the bytes that arrived, with additions for what the parser and the handlers keep beside
them. Memory for requests that cost up to `SMALL_BYTES` is reserved with each
connection, so they are never closed because of others; larger ones share a limit. Over
that limit, the incomplete request with the largest product of cost and age is closed,
so that a stalled request is closed before one that still arrives.
"""

from __future__ import annotations

import resource
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

SMALL_BYTES = 8192
"""Largest cost of a request, with its head, that is never closed because of others."""

CONNECTION_BYTES = 16_384
"""Memory of a connection with its parser and task, and the response not yet sent."""

CONNECTION_MEMORY_SHARE = 0.25
"""Share of the memory for connections with a small request each."""

LARGE_MEMORY_SHARE = 0.125
"""Share of the memory for requests that cost more than `SMALL_BYTES`. Those that are
closed while their handlers still run may use as much again."""

DESCRIPTOR_SHARE = 0.5
"""Share of the descriptors for clients; the rest is for the process's own calls."""

FILE_DESCRIPTORS = 200
"""Descriptors that hosts reserve for files."""

MAX_CONNECTION_SHARE = 0.75
"""Share of a listener's part for large requests that one connection may hold."""

BODY_STALL_S = 10.0
"""Time without a byte after which an incomplete body is given up."""

BODY_COST = 2
"""Cost of a byte of a body that a handler has read into its buffer: it is copied once
more while it is decoded, stored or forwarded."""

BYTES_PER_MB = 1 << 20
MIN_AGE_S = 0.1
"""Added to each age when requests are compared by cost times age, so that new ones
are compared by cost."""


class Reason(StrEnum):
    """Why a connection is closed."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TOO_SLOW = "head_too_slow"
    BODY_STALLED = "body_stalled"
    CONNECTION_BYTES = "connection_bytes"
    TOTAL_BYTES = "total_bytes"
    CONNECTIONS = "connections"


class HostResources(NamedTuple):
    """Limits of the host on the process.

    Attributes
    ----------
    memory_mb : float
        Memory, in MB.
    max_fds : int
        Number of descriptors.
    """

    memory_mb: float
    max_fds: int

    @property
    def large_bytes(self) -> int:
        """Maximum cost of all requests over `SMALL_BYTES`, in bytes."""
        return int(self.memory_mb * BYTES_PER_MB * LARGE_MEMORY_SHARE)

    @property
    def connections(self) -> int:
        """Maximum number of connections of all listeners."""
        memory = self.memory_mb * BYTES_PER_MB * CONNECTION_MEMORY_SHARE
        by_memory = int(memory / (CONNECTION_BYTES + SMALL_BYTES))
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = min(self.max_fds, allowed) - FILE_DESCRIPTORS
        return max(1, min(by_memory, int(sockets * DESCRIPTOR_SHARE)))


class RequestLimits(NamedTuple):
    """Limits on one request, which no ordinary client reaches.

    Attributes
    ----------
    head_bytes : int
        Bytes of request line, headers and the empty lines before them.
    head_s : float
        Time in which a head must arrive, in seconds.
    """

    head_bytes: int = 32_768
    head_s: float = 10.0


class Closing(NamedTuple):
    """A connection to close.

    Attributes
    ----------
    account : Account
        What the connection holds.
    reason : Reason
        Why it is closed.
    held_bytes : int
        Cost of what it holds, in bytes.
    age_s : float
        Time since its request began, or since its last request ended, in seconds.
    """

    account: Account
    reason: Reason
    held_bytes: int
    age_s: float


class Account:
    """What one connection holds.

    Parameters
    ----------
    connection : object
        The connection, for whoever closes it.
    now_s : float
        Time at which it was opened.

    Attributes
    ----------
    held_bytes : int
        Cost of what was read and not yet answered.
    merged_bytes : int
        Cost of the part of a body that a handler has read.
    head_bytes : int
        Bytes of an incomplete head.
    head_since_s : float
        When the incomplete head began.
    is_idle : bool
        Whether all that was read is answered.
    is_incomplete : bool
        Whether a request has arrived in part.
    is_closing : bool
        Whether the connection is to be closed, or was lost.
    since_s : float
        Time at which the request began, or at which the connection became idle.
    progress_s : float
        Time at which the last bytes arrived.
    """

    __slots__ = (
        "_head_cost",
        "_head_start",
        "_read_start",
        "_received",
        "_starts",
        "connection",
        "head_bytes",
        "head_since_s",
        "held_bytes",
        "is_closing",
        "is_idle",
        "is_incomplete",
        "merged_bytes",
        "progress_s",
        "since_s",
    )

    def __init__(self, connection: object, now_s: float) -> None:
        self.connection: Any = connection
        self.held_bytes = 0
        self.merged_bytes = 0
        self.head_bytes = 0
        self.head_since_s = now_s
        self.is_idle = True
        self.is_incomplete = False
        self.is_closing = False
        self.since_s = now_s
        self.progress_s = now_s
        self._head_cost = SMALL_BYTES
        # Cost of all reads, also before the last one and before the incomplete head.
        self._received = 0
        self._read_start = 0
        self._head_start = 0
        # The same before each request that isn't answered, oldest first.
        self._starts: deque[int] = deque()


class ListenerBudget:
    """Connections of one listener, and what they hold.

    Methods that may exceed a limit return the connections to close, among them perhaps
    the one that they are called for. The caller closes them, and calls `remove` once
    their handlers have ended. Times are in seconds on any scale that only rises.

    Parameters
    ----------
    connections : int
        Maximum number of connections.
    large_bytes : int
        Maximum cost of all requests over `SMALL_BYTES`, in bytes.
    limits : callable
        Returns the limits on one request.
    """

    def __init__(
        self, connections: int, large_bytes: int, limits: Callable[[], RequestLimits]
    ) -> None:
        self._max_connections = max(1, connections)
        self._max_large_bytes = large_bytes
        self._max_held_bytes = int(large_bytes * MAX_CONNECTION_SHARE)
        self._limits = limits
        self._accounts: dict[int, Account] = {}
        self._large_bytes = 0
        self._closing_bytes = 0
        self._closing = 0

    @property
    def connections(self) -> int:
        """Number of open connections, without those to be closed."""
        return len(self._accounts) - self._closing

    @property
    def held_bytes(self) -> int:
        """Cost of what all connections hold, those to be closed included, in bytes."""
        return sum(account.held_bytes for account in self._accounts.values())

    def open(self, connection: object, now_s: float) -> tuple[Account, list[Closing]]:
        """Add a connection; return its account and the connections to close."""
        account = Account(connection, now_s)
        closings = []
        if self.connections >= self._max_connections:
            last = self._choose_connection() or account
            self._accounts[id(account)] = account
            self._close(closings, last, Reason.CONNECTIONS, now_s)
        self._accounts[id(account)] = account
        return account, closings

    def receive(self, account: Account, cost: int, now_s: float) -> list[Closing]:
        """Charge a connection for bytes that arrived, before they are kept.

        If the connection is to be closed after this call, they must not be kept.
        """
        if account.is_idle:
            account.is_idle = False
            account.since_s = now_s
        account.progress_s = now_s
        account._read_start = account._received
        account._received += cost
        held = account.held_bytes + cost
        self._set_held(account, held)
        if held <= SMALL_BYTES:
            return []
        closings: list[Closing] = []
        if held > self._max_held_bytes:
            self._close(closings, account, Reason.CONNECTION_BYTES, now_s)
            return closings
        while self._large_bytes > self._max_large_bytes and not account.is_closing:
            largest = self._choose_request(now_s) or account
            self._close(closings, largest, Reason.TOTAL_BYTES, now_s)
        if self._closing_bytes > self._max_large_bytes and not account.is_closing:
            self._close(closings, account, Reason.TOTAL_BYTES, now_s)
        return closings

    def record_head(self, account: Account, size: int, now_s: float) -> list[Closing]:
        """Record bytes of a head that is not complete."""
        account.is_incomplete = True
        if not account.head_bytes:
            account.head_since_s = now_s
            account._head_start = account._read_start
        account.head_bytes += size
        closings: list[Closing] = []
        if account.head_bytes > self._limits().head_bytes:
            self._close(closings, account, Reason.HEAD_TOO_LARGE, now_s)
        return closings

    def record_request(
        self,
        account: Account,
        *,
        is_complete: bool,
        head_cost: int | None = None,
        count: int = 1,
    ) -> None:
        """Record that heads are complete, and whether the last one's body is.

        Parameters
        ----------
        account : Account
            Connection of the request.
        is_complete : bool
            Whether the body is complete.
        head_cost : int, optional
            Cost of the head, which is kept until the answer; None if it was recorded
            before.
        count : int
            Number of heads that the last read completed.
        """
        start = account._head_start if account.head_bytes else account._read_start
        account.head_bytes = 0
        account.is_incomplete = not is_complete
        if head_cost is not None:
            account._starts.extend([start] * count)
            account._head_cost = max(SMALL_BYTES, head_cost)

    def record_merged(self, account: Account, size: int) -> None:
        """Record that a handler has read all that had arrived of a body.

        From now on, the request costs its head and what the handler keeps.

        Parameters
        ----------
        account : Account
            Connection of the request.
        size : int
            Number of bytes that the handler got.
        """
        account.merged_bytes += BODY_COST * size
        self._set_held(account, account._head_cost + account.merged_bytes)

    def finish(self, account: Account, now_s: float, *, is_idle: bool) -> None:
        """Record that a request was answered.

        Parameters
        ----------
        account : Account
            Connection of the request.
        now_s : float
            Time of the answer.
        is_idle : bool
            Whether no other request of the connection has arrived, even in part.
        """
        if account._starts:
            account._starts.popleft()
        kept = 0 if is_idle else self._get_unanswered(account)
        self._set_held(account, min(account.held_bytes, kept))
        account.merged_bytes = 0
        account.since_s = now_s
        if is_idle:
            account.is_idle = True
            account.is_incomplete = False
            account._head_cost = SMALL_BYTES
            account._starts.clear()

    def record_lost(self, account: Account) -> None:
        """Record that a connection is lost, while its handler may still run."""
        if id(account) in self._accounts and not account.is_closing:
            self._begin_closing(account)

    def remove(self, account: Account) -> None:
        """Remove a connection whose handler has ended, with all that it held."""
        if id(account) not in self._accounts:
            return
        self._set_held(account, 0)
        del self._accounts[id(account)]
        # A cycle of references would keep all that the connection holds for a while.
        account.connection = None
        if account.is_closing:
            self._closing -= 1

    def expire(self, now_s: float) -> list[Closing]:
        """Return the connections whose head or body has been incomplete too long."""
        closings: list[Closing] = []
        head_s = self._limits().head_s
        for account in self._accounts.values():
            if account.is_closing or not account.is_incomplete:
                continue
            if account.head_bytes and now_s - account.head_since_s > head_s:
                self._close(closings, account, Reason.HEAD_TOO_SLOW, now_s)
            elif now_s - account.progress_s > BODY_STALL_S:
                self._close(closings, account, Reason.BODY_STALLED, now_s)
        return closings

    def _get_unanswered(self, account: Account) -> int:
        """Return the cost of what came since the oldest request not answered began."""
        if account._starts:
            return account._received - account._starts[0]
        start = account._head_start if account.head_bytes else account._read_start
        return account._received - start

    def _set_held(self, account: Account, held: int) -> None:
        if id(account) not in self._accounts:
            # Its handler runs on after the connection was removed.
            return
        large = held if held > SMALL_BYTES else 0
        if account.held_bytes > SMALL_BYTES:
            large -= account.held_bytes
        if account.is_closing:
            self._closing_bytes += large
        else:
            self._large_bytes += large
        account.held_bytes = held

    def _close(
        self, closings: list[Closing], account: Account, reason: Reason, now_s: float
    ) -> None:
        age_s = now_s - account.since_s
        self._begin_closing(account)
        closings.append(Closing(account, reason, account.held_bytes, age_s))

    def _begin_closing(self, account: Account) -> None:
        held = account.held_bytes
        self._set_held(account, 0)
        account.is_closing = True
        self._closing += 1
        self._set_held(account, held)

    def _choose_request(self, now_s: float) -> Account | None:
        """Return the incomplete request with the largest cost times age, if any."""
        candidates = [
            account
            for account in self._accounts.values()
            if account.held_bytes > SMALL_BYTES
            and account.is_incomplete
            and not account.is_closing
        ]
        return max(
            candidates,
            key=lambda a: a.held_bytes * (now_s - a.since_s + MIN_AGE_S),
            default=None,
        )

    def _choose_connection(self) -> Account | None:
        """Return the connection idle longest, else the oldest incomplete request."""
        candidates = [
            account
            for account in self._accounts.values()
            if (account.is_idle or account.is_incomplete) and not account.is_closing
        ]
        return min(candidates, key=lambda a: (not a.is_idle, a.since_s), default=None)


class ReadBudget:
    """What a process may hold of requests that are not answered, by listener.

    Each listener has a fixed share, so that clients of one take nothing from another.

    Parameters
    ----------
    resources : HostResources
        Limits of the host.
    """

    def __init__(self, resources: HostResources) -> None:
        self._resources = resources
        self._listeners: dict[str, ListenerBudget] = {}

    @property
    def listeners(self) -> dict[str, ListenerBudget]:
        """Budgets of the listeners by name."""
        return self._listeners

    @property
    def connections(self) -> int:
        """Number of connections of all listeners."""
        return sum(part.connections for part in self._listeners.values())

    @property
    def held_bytes(self) -> int:
        """Cost of what the connections of all listeners hold, in bytes."""
        return sum(part.held_bytes for part in self._listeners.values())

    def add_listener(
        self, name: str, share: float, limits: Callable[[], RequestLimits]
    ) -> ListenerBudget:
        """Return the budget of a new listener.

        Parameters
        ----------
        name : str
            Name in logs.
        share : float
            Its share of the budget, from 0 to 1.
        limits : callable
            Returns the limits on one request.
        """
        part = ListenerBudget(
            int(self._resources.connections * share),
            int(self._resources.large_bytes * share),
            limits,
        )
        self._listeners[name] = part
        return part
