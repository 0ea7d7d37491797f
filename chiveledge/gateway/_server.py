"""The gateway role of a process: wires admission, routing and jobs together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import aiohttp
from aiohttp import web

from chiveledge.clock import Clock
from chiveledge.configuration import ConfigurationKeeper, Versioned
from chiveledge.events import Timeline
from chiveledge.gateway._claims import ClaimStore
from chiveledge.gateway._commands import CallerCommands
from chiveledge.gateway._dispatch import Dispatcher
from chiveledge.gateway._jobs import JobDesk
from chiveledge.gateway._queries import CallerQueries
from chiveledge.gateway._queue import SlotQueue
from chiveledge.gateway._router import MinionPool, RouterPolicy
from chiveledge.membership import Membership
from chiveledge.metrics import Metrics
from chiveledge.services import (
    HostEntry,
    HostRole,
    HttpMinion,
    Minion,
    ObjectStore,
    TableService,
)
from chiveledge.settings import ProcessSettings
from chiveledge.types import MinionName, RegionName

REGRANT_S = 0.2
SCHEDULER_ONLY = "scheduler"
"""Service of a listed process that has no gateway role."""

CLEAN_CLAIMS_S = 600.0


class GatewayServer:
    """Serves callers.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    table, objects : TableService, ObjectStore
        The platform's stores.
    keeper, membership
        The configuration in force and the known hosts.
    clock, timeline, metrics
        Time, events, counters.
    notice_job : callable
        Tells a region's leader of new rows.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        table: TableService,
        objects: ObjectStore,
        keeper: ConfigurationKeeper,
        membership: Membership,
        clock: Clock,
        timeline: Timeline,
        metrics: Metrics,
        notice_job: Callable[[RegionName], None],
    ) -> None:
        limits = settings.limits
        policy = RouterPolicy(
            limits.slots_per_minion,
            limits.connections_per_minion // limits.gateways_at_most,
        )
        self._name = settings.name
        self._clock = clock
        self._connections = policy.connections
        self._sessions: dict[MinionName, aiohttp.ClientSession] = {}
        self._pool = MinionPool(settings.region, policy, clock, timeline)
        self._queue = SlotQueue(
            clock,
            self._pool.pick,
            lambda entry: self._pool.cancelled(entry.name),
            limit=limits.queued_requests,
        )
        self._claims = ClaimStore(table, objects, clock, metrics)
        self._dispatcher = Dispatcher(
            keeper,
            self._pool,
            self._queue,
            self._claims,
            self._connect,
            clock,
            timeline,
            metrics,
        )
        desk = JobDesk(
            table,
            objects,
            keeper,
            membership,
            clock,
            metrics,
            notice_job,
            settings.regions,
        )
        self._commands = CallerCommands(keeper, self._dispatcher, desk)
        self._queries = CallerQueries(keeper, desk)
        keeper.stream.subscribe(self._on_document)
        membership.stream.subscribe(self._on_entries)

    @property
    def pool(self) -> MinionPool:
        """Minions as this gateway sees them."""
        return self._pool

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._queue.size

    @property
    def in_progress(self) -> int:
        """Requests without an outcome, and answers that are not kept yet."""
        return self._dispatcher.in_progress

    def add_routes(self, app: web.Application) -> None:
        """Add callers' commands and queries to an application."""
        self._commands.add_routes(app)
        self._queries.add_routes(app)

    async def run(self) -> None:
        """Grant slots that peers freed, and delete old claims, for ever."""
        next_clean_s = self._clock.monotonic() + CLEAN_CLAIMS_S
        while True:
            await self._clock.sleep(REGRANT_S)
            self._queue.grant()
            if self._clock.monotonic() >= next_clean_s:
                next_clean_s += CLEAN_CLAIMS_S
                await self._claims.delete_expired()

    async def close(self) -> None:
        """Close the connections to minions."""
        sessions = list(self._sessions.values())
        await asyncio.gather(*(session.close() for session in sessions))

    def _connect(self, entry: HostEntry) -> Minion:
        session = self._sessions.get(entry.name)
        if session is None:
            connector = aiohttp.TCPConnector(limit=self._connections)
            session = aiohttp.ClientSession(connector=connector)
            self._sessions[entry.name] = session
        return HttpMinion(session, entry.url)

    def _on_document(self, versioned: Versioned) -> None:
        self._queue.set_document(versioned.document)

    def _on_entries(self, entries: Sequence[HostEntry]) -> None:
        self._pool.set_gateways(
            self._name,
            {
                entry.name: entry.region
                for entry in entries
                if entry.role is HostRole.CHIVELEDGE and entry.service != SCHEDULER_ONLY
            },
        )
        minions = [entry for entry in entries if entry.role is HostRole.MINION]
        for name in self._pool.set_entries(minions):
            session = self._sessions.pop(name, None)
            if session is not None:
                asyncio.ensure_future(session.close())
        self._queue.grant()
