"""The gateway role of a process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import aiohttp
from aiohttp import web

from chiveledge.clock import Clock
from chiveledge.configuration import ConfigurationReplica, VersionedDocument
from chiveledge.events import Timeline
from chiveledge.gateway._claims import ClaimStore
from chiveledge.gateway._commands import CallerCommands
from chiveledge.gateway._dispatch import Dispatcher
from chiveledge.gateway._jobs import JobService
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

GRANT_INTERVAL_S = 0.2
SCHEDULER_ONLY_SERVICE = "scheduler"
"""Service name in the host list of a process without the gateway role."""

CLAIM_CLEANUP_INTERVAL_S = 600.0


class GatewayServer:
    """Connects admission, routing and jobs, and serves them over HTTP.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    table : TableService
        Stores claims and jobs.
    objects : ObjectStore
        Stores large answers and results.
    configuration : ConfigurationReplica
        Provides the configuration in force.
    membership : Membership
        Provides the known hosts.
    clock : Clock
        Time source.
    timeline : Timeline
        Receives events.
    metrics : Metrics
        Receives counters and latencies.
    notify_leader : callable
        Notifies a region's leader of new rows.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        table: TableService,
        objects: ObjectStore,
        configuration: ConfigurationReplica,
        membership: Membership,
        clock: Clock,
        timeline: Timeline,
        metrics: Metrics,
        notify_leader: Callable[[RegionName], None],
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
            lambda entry: self._pool.release(entry.name),
            limit=limits.queued_requests,
        )
        self._claims = ClaimStore(table, objects, clock, metrics)
        self._dispatcher = Dispatcher(
            configuration,
            self._pool,
            self._queue,
            self._claims,
            self._connect,
            clock,
            timeline,
            metrics,
        )
        jobs = JobService(
            table,
            objects,
            configuration,
            membership,
            clock,
            metrics,
            notify_leader,
            settings.regions,
        )
        self._commands = CallerCommands(configuration, self._dispatcher, jobs)
        self._queries = CallerQueries(configuration, jobs)
        configuration.stream.subscribe(self._on_document)
        membership.stream.subscribe(self._on_entries)

    @property
    def pool(self) -> MinionPool:
        """Minions known to this gateway, with their load."""
        return self._pool

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queue.size

    @property
    def in_progress(self) -> int:
        """Number of requests without an outcome, plus pending claim updates."""
        return self._dispatcher.in_progress

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the caller API to an application."""
        self._commands.add_routes(app)
        self._queries.add_routes(app)

    async def run(self) -> None:
        """Grant slots freed by peers and delete expired claims, until cancelled."""
        next_clean_s = self._clock.monotonic() + CLAIM_CLEANUP_INTERVAL_S
        while True:
            await self._clock.sleep(GRANT_INTERVAL_S)
            self._queue.grant()
            if self._clock.monotonic() >= next_clean_s:
                next_clean_s += CLAIM_CLEANUP_INTERVAL_S
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

    def _on_document(self, versioned: VersionedDocument) -> None:
        self._queue.set_document(versioned.document)

    def _on_entries(self, entries: Sequence[HostEntry]) -> None:
        self._pool.set_gateways(
            self._name,
            {
                entry.name: entry.region
                for entry in entries
                if entry.role is HostRole.CHIVELEDGE
                and entry.service != SCHEDULER_ONLY_SERVICE
            },
        )
        minions = [entry for entry in entries if entry.role is HostRole.MINION]
        for name in self._pool.set_minions(minions):
            session = self._sessions.pop(name, None)
            if session is not None:
                asyncio.ensure_future(session.close())
        self._queue.grant()
