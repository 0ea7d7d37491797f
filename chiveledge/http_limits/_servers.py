"""Listeners of a process that share one budget, and the closing of connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from aiohttp import web

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.http_limits._budget import (
    Account,
    Closing,
    HostResources,
    ListenerBudget,
    ReadBudget,
    Reason,
    RequestLimits,
)
from chiveledge.http_limits._handler import LimitedRequestHandler
from chiveledge.metrics import Metrics

KEEP_ALIVE_S = 75.0
"""Time after which an idle connection is closed."""

SWEEP_S = 1.0
"""Period of closing stalled connections and of reporting."""

BACKLOG = 512
"""Maximum number of connections waiting to be accepted, for bursts after an outage."""

ACCEPT_BATCH = 16
"""Connections accepted in a row, before the number of connections is checked."""


class _ClosedKind(NamedTuple):
    """What connections have in common that share a line in the log."""

    listener: str
    reason: Reason


class _ClosedCount(NamedTuple):
    """Connections closed for one reason since the last line in the log."""

    count: int = 0
    largest_bytes: int = 0
    oldest_s: float = 0.0

    def add(self, closing: Closing) -> _ClosedCount:
        return _ClosedCount(
            self.count + 1,
            max(self.largest_bytes, closing.held_bytes),
            max(self.oldest_s, closing.age_s),
        )


class Listener:
    """A listener's budget, with the time and the closing of connections.

    Parameters
    ----------
    name : str
        Name in logs.
    budget : ListenerBudget
        Decides which connections are closed.
    servers : ClientServers
        All listeners of the process.

    Attributes
    ----------
    budget : ListenerBudget
        As given.
    """

    def __init__(
        self, name: str, budget: ListenerBudget, servers: ClientServers
    ) -> None:
        self.budget = budget
        self._name = name
        self._servers = servers

    def open(self, connection: Any) -> Account:
        """Return the account of a new connection, which may be closed at once.

        Parameters
        ----------
        connection : object
            Has the methods `abort` and `close_idle`.
        """
        account, closings = self.budget.open(connection, self._servers.now_s)
        self.close(closings)
        return account

    def receive(self, account: Account, cost: int) -> bool:
        """Charge for bytes that arrived; return whether they may be kept.

        Parameters
        ----------
        account : Account
            Account of the connection.
        cost : int
            Their cost, in bytes.
        """
        if account.is_closing:
            return False
        closings = self.budget.receive(account, cost, self._servers.now_s)
        if closings:
            self.close(closings)
        return not account.is_closing

    def record_head(self, account: Account, size: int) -> None:
        """Record bytes of an incomplete head."""
        if not account.is_closing:
            self.close(self.budget.record_head(account, size, self._servers.now_s))

    def finish(self, account: Account, *, is_idle: bool) -> None:
        """Record that a request was answered; see `ListenerBudget.finish`."""
        self.budget.finish(account, self._servers.now_s, is_idle=is_idle)

    def close(self, closings: list[Closing]) -> None:
        """Close connections, and count them for metrics and log."""
        for closing in closings:
            self._servers.count_closed(self._name, closing)
            if closing.account.is_idle:
                closing.account.connection.close_idle()
            else:
                closing.account.connection.abort()

    def count_bad_request(self) -> None:
        """Count a request that isn't HTTP."""
        self._servers.count_bad_request()


class LimitedServer:
    """A running HTTP server.

    Parameters
    ----------
    runner : aiohttp.web.BaseRunner
        Runner of the server.
    server : asyncio.Server
        Accepts the connections.
    """

    def __init__(self, runner: web.BaseRunner, server: asyncio.Server) -> None:
        self._runner = runner
        self._server = server

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._server.sockets[0].getsockname()[1]

    async def cleanup(self) -> None:
        """Stop accepting, then close the connections."""
        self._server.close()
        await self._runner.cleanup()


class ClientServers:
    """All listeners of a process for clients, within one budget.

    Parameters
    ----------
    resources : HostResources
        Limits of the host.
    clock : Clock
        Time source.
    log : DecisionLog
        Receives at most one line a second for each listener and reason of closing.
    metrics : Metrics
        Receives connections, bytes held, and connections closed by reason.

    Attributes
    ----------
    now_s : float
        Time for which the process has run, in seconds, advanced once a second. Time in
        which it was suspended does not count, as nothing was read meanwhile.
    """

    def __init__(
        self,
        resources: HostResources,
        clock: Clock,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.now_s = 0.0
        self._budget = ReadBudget(resources)
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._listeners: list[Listener] = []
        self._closed: dict[_ClosedKind, _ClosedCount] = {}

    @property
    def budget(self) -> ReadBudget:
        """Budget of all listeners."""
        return self._budget

    def add_listener(
        self,
        name: str,
        share: float,
        limits: Callable[[], RequestLimits] = RequestLimits,
    ) -> Listener:
        """Return a new listener with its share of the budget, from 0 to 1."""
        listener = Listener(name, self._budget.add_listener(name, share, limits), self)
        self._listeners.append(listener)
        return listener

    async def serve(
        self,
        runner: web.BaseRunner,
        address: str,
        port: int,
        name: str,
        share: float,
        limits: Callable[[], RequestLimits] = RequestLimits,
    ) -> LimitedServer:
        """Start an HTTP server.

        Parameters
        ----------
        runner : aiohttp.web.BaseRunner
            Runner of the server, not set up yet.
        address, port : str and int
            Where to listen.
        name : str
            Name in logs.
        share : float
            Share of the budget, from 0 to 1.
        limits : callable, optional
            Returns the limits on one request.
        """
        listener = self.add_listener(name, share, limits)
        await runner.setup()

        def make_handler() -> LimitedRequestHandler:
            head_bytes = limits().head_bytes
            return LimitedRequestHandler(
                listener,
                runner.server,
                loop=asyncio.get_running_loop(),
                access_log=None,
                keepalive_timeout=KEEP_ALIVE_S,
                max_line_size=head_bytes,
                max_field_size=head_bytes,
            )

        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        listening = socket.create_server((address, port), family=family)
        server = await asyncio.get_running_loop().create_server(
            make_handler, sock=listening, backlog=ACCEPT_BATCH
        )
        with contextlib.suppress(OSError):
            # asyncio uses one number for the queue and for the batch.
            listening.listen(BACKLOG)
        return LimitedServer(runner, server)

    async def run(self) -> None:
        """Close stalled connections, and report, until cancelled."""
        last_s = self._clock.monotonic()
        while True:
            await self._clock.sleep(SWEEP_S)
            passed_s = self._clock.monotonic() - last_s
            last_s += passed_s
            self.now_s += min(passed_s, 2 * SWEEP_S)
            for listener in self._listeners:
                listener.close(listener.budget.expire(self.now_s))
            self._report()

    def count_closed(self, listener: str, closing: Closing) -> None:
        """Count a connection that is closed."""
        kind = _ClosedKind(listener, closing.reason)
        self._closed[kind] = self._closed.get(kind, _ClosedCount()).add(closing)
        self._metrics.count(f"client_connections_closed_{closing.reason}")

    def count_bad_request(self) -> None:
        """Count a request that isn't HTTP."""
        self._metrics.count("client_bad_requests")

    def _report(self) -> None:
        """Log the connections closed since the last report, and update the metrics."""
        for (name, reason), closed in self._closed.items():
            self._log.write(
                "serving",
                "closed",
                listener=name,
                reason=reason,
                count=closed.count,
                bytes=closed.largest_bytes,
                age_s=round(closed.oldest_s, 1),
                connections=self._budget.connections,
                held_bytes=self._budget.held_bytes,
            )
        self._closed.clear()
        self._metrics.set("client_connections", self._budget.connections)
        self._metrics.set("client_bytes_held", self._budget.held_bytes)
