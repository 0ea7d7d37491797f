"""The scheduler role of a process, which competes for the leadership of regions."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Sequence

from chiveledge.cells import WorkerSize
from chiveledge.clock import Clock
from chiveledge.configuration import ConfigurationReplica, VersionedDocument
from chiveledge.events import Timeline
from chiveledge.leadership import Leadership
from chiveledge.membership import Membership
from chiveledge.metrics import Metrics
from chiveledge.scheduler._region import ListedWorker, RegionContext, RegionLeader
from chiveledge.services import (
    HostEntry,
    HostRole,
    HostState,
    ObjectStore,
    TableService,
    Worker,
)
from chiveledge.settings import ProcessSettings
from chiveledge.types import RegionName

ACTIVE_STANDBYS = 2
"""Standbys that poll a region's leadership rows at the full rate."""

PASSIVE_POLL_FACTOR = 4


class Scheduler:
    """Challenges for the leadership of every region, and leads those that it wins.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    table : TableService
        Stores the rows of leaderships and jobs.
    objects : ObjectStore
        Stores large results.
    configuration : ConfigurationReplica
        Provides the configuration in force.
    membership : Membership
        Provides the host list.
    clock : Clock
        Source of time.
    timeline : Timeline
        Receives events.
    metrics : Metrics
        Receives measurements.
    make_worker : callable
        Returns the client of the worker at a URL.
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
        make_worker: Callable[[str], Worker],
    ) -> None:
        self._settings = settings
        self._table = table
        self._objects = objects
        self._configuration = configuration
        self._membership = membership
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._make_worker = make_worker
        self._leaders: dict[RegionName, RegionLeader] = {}
        self._leaderships: dict[RegionName, Leadership] = {}
        self._stopping = False

    @property
    def leaders(self) -> dict[RegionName, RegionLeader]:
        """Leaders of the regions that this process leads."""
        return self._leaders

    @property
    def leaderships(self) -> dict[RegionName, Leadership]:
        """Leadership of each region that this process leads."""
        return self._leaderships

    def notify_new_job(self, region: RegionName) -> None:
        """Make the region's leader, if it is in this process, read its inbox now."""
        if region in self._leaders:
            self._leaders[region].notify_new_job()

    async def run(self) -> None:
        """Challenge for every region until cancelled."""
        await self._configuration.wait_for_first()
        self._configuration.stream.subscribe(self._update_document)
        self._membership.stream.subscribe(self._update_workers)
        async with asyncio.TaskGroup() as group:
            for region in self._settings.regions:
                group.create_task(self._run_region(region))

    async def stop(self) -> None:
        """Resign from all regions, so that other processes take over at once."""
        self._stopping = True
        await asyncio.gather(
            *(leadership.resign() for leadership in self._leaderships.values())
        )

    async def _run_region(self, region: RegionName) -> None:
        while not self._stopping:
            rank = self._find_standby_rank(region)
            leadership = Leadership(
                region,
                self._settings.name,
                self._table,
                self._clock,
                self._timeline,
                self._settings.timing,
                standby_rank=rank,
            )
            while not self._stopping and not await self._try_lead(leadership):
                await self._clock.sleep(self._poll_interval_s(rank))
                if self._find_standby_rank(region) != rank:
                    break
            if leadership.epoch:
                await self._lead(region, leadership)

    async def _try_lead(self, leadership: Leadership) -> bool:
        if not self._configuration.fresh:
            return False
        return await leadership.challenge()

    async def _lead(self, region: RegionName, leadership: Leadership) -> None:
        context = RegionContext(
            region,
            self._table,
            self._objects,
            self._clock,
            self._timeline,
            self._metrics,
            self._settings.timing,
            self._make_worker,
        )
        workers = list_workers(self._membership.entries, region)
        document = self._configuration.current.document
        leader = RegionLeader(context, leadership, document, workers)
        self._leaders[region] = leader
        self._leaderships[region] = leadership
        try:
            await leader.run()
        finally:
            del self._leaders[region]
            del self._leaderships[region]

    def _find_standby_rank(self, region: RegionName) -> int:
        """Return this process's rank among the candidates to lead a region.

        Processes in the region rank first. The order differs between regions, so that
        the regions led by the processes of a failed host move to different hosts.
        """
        peers = self._membership.find_by_role(HostRole.CHIVELEDGE)
        own = (self._settings.name, self._settings.region)
        candidates = {(p.name, p.region) for p in peers if p.service != "gateway"}
        candidates.add(own)
        ordered = sorted(
            candidates, key=lambda c: (c[1] != region, _hash_candidate(region, c[0]))
        )
        return ordered.index(own)

    def _poll_interval_s(self, rank: int) -> float:
        period_s = self._settings.timing.leader_renew_s
        return period_s if rank < ACTIVE_STANDBYS else period_s * PASSIVE_POLL_FACTOR

    def _update_document(self, versioned: VersionedDocument) -> None:
        for leader in self._leaders.values():
            leader.set_document(versioned.document)

    def _update_workers(self, entries: Sequence[HostEntry]) -> None:
        for region, leader in self._leaders.items():
            leader.set_workers(list_workers(entries, region))


def list_workers(
    entries: Sequence[HostEntry], region: RegionName
) -> list[ListedWorker]:
    """Return the workers of a region in the host list."""
    return [
        ListedWorker(
            WorkerSize(
                entry.name,
                entry.service,
                entry.accelerators,
                entry.cores,
                entry.memory_mb,
            ),
            entry.url,
            entry.state is HostState.LEAVING,
            entry.domain,
        )
        for entry in entries
        if entry.role is HostRole.WORKER and entry.region == region
    ]


def _hash_candidate(region: RegionName, name: str) -> str:
    return hashlib.sha256(f"{region}\n{name}".encode()).hexdigest()
