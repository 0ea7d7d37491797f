"""Assembles a process from its servers, table followers and coordinator."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from collections.abc import Iterable

from absl import logging
from aiohttp import web
from result import Err, Ok

from chiveledge.cancellations import CancellationQuota
from chiveledge.clock import SystemClock
from chiveledge.coordinator import Coordinator, CoordinatorTiming, TermContext
from chiveledge.decision_log import JsonLog
from chiveledge.drains import KnownDrains
from chiveledge.events import Timeline
from chiveledge.http_limits import ClientServers, HostResources, RequestLimits
from chiveledge.intake import (
    JOB_STATUS_PREFIX,
    FleetCapacityCopy,
    JobStatusCache,
    JobStore,
    PeerDirectory,
    PeerHost,
    Relay,
    TableFollower,
    join_peers,
)
from chiveledge.leadership import Leadership, rank_candidate
from chiveledge.metrics import Metrics
from chiveledge.platform._advice import PlatformAdvice
from chiveledge.platform._api import ApiHandler
from chiveledge.platform._catalogue import CONFIGURATION_PREFIX
from chiveledge.platform._machines import PlatformMachines
from chiveledge.platform._operator_rows import OperatorRows
from chiveledge.platform._serving import listen, render_metrics
from chiveledge.platform._settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    load_settings,
    stat_settings,
)
from chiveledge.platform._store import WRITE_ID_CHARS, PlatformStore
from chiveledge.platform._workers import (
    WORKER_PREFIX,
    PlatformWorker,
    WorkerDecoder,
)
from chiveledge.services import ConnectionPool, HttpCaller, Row
from chiveledge.tasks import cancel_and_wait

EXIT_BAD_SETTINGS = 2
SHARD = "all"

TRUSTED_AGE_SHARE = 0.85
"""Age up to which the configuration is trusted, as a share of `config_apply_s`."""

READY_AGE_SHARE = 0.6
"""Configuration age up to which a process is ready, as a share of `config_apply_s`.

It is below `TRUSTED_AGE_SHARE` since the load balancer sends callers elsewhere only
after two failed checks.
"""

WORK_LEASE_S = 6.0
"""Lease on running work, unless workers grant only shorter ones.

Running work survives the loss of all hosts for this long.
"""

DRAINS_AGE_SHARE = 0.7
"""Age up to which the drains are relied on, as a share of `drain_apply_s`.

The rest must exceed the timeout of an order on its way to a worker. Each attempt of a
start checks the age again.
"""

OPERATOR_WATCH_SHARE = 0.2
"""Maximum duration of a watch of the operators' rows, as a share of the shortest time
within which a changed row has to be in force.

One unanswered watch, its margin and the snapshot read after it end before the
configuration is so old that callers are sent elsewhere.
"""

STATUS_WATCH_S = 1.0
"""Maximum duration of a watch of the job status rows."""

STATUS_BATCH_S = 1.0
"""Pause after a change of the job status rows.

Changes are batched, so that a host doesn't wake up more often in a larger fleet. This
time, `STATUS_WATCH_S`, the margin of an unanswered watch and a snapshot read add up to
less than the maximum age of the counts of waiting jobs.
"""

BALANCER_DELAY_S = 3.0
"""Time after which the load balancer has noticed that this process is not ready."""

EXIT_MARGIN_S = 1.0
"""Time reserved for closing connections before the end of `grace_s`."""

KEPT_STATUS_FACTOR = 1.5
"""How long the status of an ended job is kept, in times of what callers may rely on."""

MIN_KEPT_CANCELLATION_S = 60.0
"""Shortest time that a cancellation is kept without its job; submissions are on their
way for seconds, with the suspensions of a process."""

POLL_INTERVAL_S = 0.05
SETTINGS_POLL_S = 2.0


class Node:
    """Process that serves the callers' API and is a candidate to lead.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the process.
    settings_file : tuple of int, optional
        State of the settings file before it was read; see `stat_settings`.
    """

    def __init__(
        self, settings: NodeSettings, settings_file: tuple[int, int] | None
    ) -> None:
        self._settings = settings
        self._settings_file = settings_file
        self._clock = SystemClock()
        self._log = JsonLog(settings.node, self._clock, domain=settings.domain)
        self._metrics = Metrics()
        self._operator_rows = OperatorRows(self._log)
        self._pools: list[ConnectionPool] = []
        self._status_cache = JobStatusCache(self._log)
        self._fleet = FleetCapacityCopy(self._clock, self._log)
        self._draining = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in progress."""
        # The decision log has a line for each event that is also logged through absl.
        logging.set_verbosity(logging.ERROR)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._draining.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.write("node", "start", pid=os.getpid())
        store = self._make_store()
        self._make_followers(store)
        handler = ApiHandler(
            lambda: self._operator_rows.catalogue,
            lambda: self._configuration_follower.age_s,
            lambda: self._max_configuration_age_s,
            self._draining.is_set,
            JobStore(
                store,
                self._status_cache,
                self._clock,
                self._log,
                self._max_row_chars,
                lambda: store.unresponsive,
                self._fleet.explain_infeasible,
                CancellationQuota(
                    self._clock,
                    self._keep_cancellations_s,
                    count_hosts=lambda: len(self._peers),
                ),
            ),
            self._status_cache,
            self._make_relay(),
            self._clock,
            self._log,
            self._metrics,
        )
        servers = self._make_servers()
        limiting = asyncio.create_task(servers.run())
        runners = [
            await listen(handle, endpoint, servers, name, self._get_request_limits)
            for name, handle, endpoint in (
                ("api", handler.handle, self._settings.api),
                ("peers", handler.handle, self._settings.peers),
                ("ready", self._handle_readiness, self._settings.ready),
                ("metrics", self._handle_metrics, self._settings.metrics),
            )
        ]
        rank = await self._load_first_configuration()
        if rank is not None:
            await self._serve(store, rank, handler, limiting)
        for runner in runners:
            if runner is not None:
                await runner.cleanup()
        limiting.cancel()
        for pool in self._pools:
            await pool.close()
        self._log.write("node", "stop")

    async def _serve(
        self,
        store: PlatformStore,
        rank: int,
        handler: ApiHandler,
        limiting: asyncio.Task[None],
    ) -> None:
        """Follow the tables and compete to lead until the process drains.

        The process ends if one of its tasks does, among them `limiting`, which closes
        connections that stand still.
        """
        coordinator = self._make_coordinator(store, rank)
        tasks = [
            limiting,
            asyncio.create_task(self._configuration_follower.run()),
            asyncio.create_task(self._status_follower.run()),
            asyncio.create_task(self._watch_settings()),
            asyncio.create_task(coordinator.run()),
        ]
        if self._settings.peers is not None:
            joining = join_peers(
                self._own_host, self._peers, store, self._clock, self._log
            )
            tasks.append(asyncio.create_task(joining))
        draining = asyncio.create_task(self._draining.wait())
        await asyncio.wait([*tasks, draining], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                self._log.write("node", "broken", error=repr(task.exception()))
                task.result()
        await self._drain(coordinator, handler)
        await cancel_and_wait(tasks)

    def _make_servers(self) -> ClientServers:
        limits = self._settings.limits
        resources = HostResources(limits.memory_mb, limits.max_fds)
        return ClientServers(resources, self._clock, self._log, self._metrics)

    def _get_request_limits(self) -> RequestLimits:
        """Return limits that no client reaches that keeps to the configured ones."""
        configured, default = self._operator_rows.catalogue.limits, RequestLimits()
        return RequestLimits(
            max(default.head_bytes, 2 * configured.header_bytes),
            max(default.head_s, 2 * configured.header_s),
        )

    def _make_store(self) -> PlatformStore:
        url = f"http://{self._settings.store}"
        caller, watcher = self._make_caller(url, 32), self._make_caller(url, 32)
        return PlatformStore(caller, watcher, self._clock)

    def _make_caller(self, url: str, limit: int) -> HttpCaller:
        """Return a client with its own connections, which are closed at the end.

        Parameters
        ----------
        url : str
            Base URL of the service.
        limit : int
            Maximum number of connections.
        """
        pool = ConnectionPool(limit=limit)
        self._pools.append(pool)
        return HttpCaller(pool, url, metrics=self._metrics)

    def _make_followers(self, store: PlatformStore) -> None:
        self._configuration_follower = TableFollower(
            store,
            CONFIGURATION_PREFIX,
            self._clock,
            self._log,
            self._operator_rows.apply_changes,
            wait_s=self._shortest_apply_s * OPERATOR_WATCH_SHARE,
        )
        self._status_follower = TableFollower(
            store,
            JOB_STATUS_PREFIX,
            self._clock,
            self._log,
            self._apply_board_changes,
            wait_s=STATUS_WATCH_S,
            pause_s=STATUS_BATCH_S,
        )

    def _apply_board_changes(
        self, rows: Iterable[Row], deleted: Iterable[str], is_snapshot: bool
    ) -> None:
        """Apply changes of the rows that the leader publishes to all processes."""
        rows, deleted = list(rows), list(deleted)
        self._fleet.apply_changes(rows, deleted, is_snapshot)
        self._status_cache.apply_changes(rows, deleted, is_snapshot)

    def _make_relay(self) -> Relay:
        settings = self._settings
        self._peers = PeerDirectory(self._own_host, self._log)
        rng = random.Random(settings.node)
        return Relay(self._peers, settings.node, self._clock, self._log, rng)

    @property
    def _max_row_chars(self) -> int:
        """Longest text of a row; all texts are ASCII."""
        return self._settings.row_bytes - WRITE_ID_CHARS

    @property
    def _keep_cancellations_s(self) -> float:
        kept_s = self._settings.bounds.keep_status_s * KEPT_STATUS_FACTOR
        return max(kept_s, MIN_KEPT_CANCELLATION_S)

    @property
    def _own_host(self) -> PeerHost:
        settings = self._settings
        address = str(settings.peers) if settings.peers else ""
        return PeerHost(settings.node, settings.region, address)

    async def _load_first_configuration(self) -> int | None:
        """Read the first configuration.

        Returns
        -------
        int or None
            Rank of this process among the candidates to lead, which depends on the
            duration of the successful call. None if the process drains before.
        """
        while not self._draining.is_set():
            sent_s = self._clock.monotonic()
            if await self._configuration_follower.step():
                return rank_candidate(
                    self._clock.monotonic() - sent_s,
                    self._settings.limits.cores,
                    self._settings.limits.link_mbps,
                )
            await self._clock.sleep(POLL_INTERVAL_S)
        return None

    def _make_coordinator(self, store: PlatformStore, rank: int) -> Coordinator:
        bounds = self._settings.bounds
        timing = CoordinatorTiming(
            work_lease_s=min(WORK_LEASE_S, bounds.longest_lease_s),
            longest_lease_s=bounds.longest_lease_s,
            stop_s=bounds.stop_s,
            drain_s=bounds.drain_s,
            keep_ended_s=bounds.keep_status_s * KEPT_STATUS_FACTOR,
            keep_cancellations_s=self._keep_cancellations_s,
            machine_lease_s=bounds.machine_lease_s,
            upkeep_s=bounds.upkeep_s,
        )
        context = TermContext(
            table=store,
            worker_prefix=WORKER_PREFIX,
            decode_worker=WorkerDecoder(self._log).decode,
            make_worker=lambda entry: PlatformWorker(entry, self._metrics),
            catalogue=lambda: self._operator_rows.catalogue,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
            timing=timing,
            max_row_chars=self._max_row_chars,
            advice=self._make_advice(),
            machines=self._make_machines(),
            waves=lambda: self._operator_rows.waves,
            drains=self._get_drains,
        )
        leadership = Leadership(
            SHARD,
            self._settings.node,
            store,
            self._clock,
            Timeline(self._settings.node, self._clock),
            timing,
            standby_rank=rank,
        )
        return Coordinator(context, leadership, lambda: len(self._peers))

    def _get_drains(self) -> KnownDrains:
        apply_s = self._settings.bounds.drain_apply_s
        return KnownDrains(
            self._operator_rows.drains,
            self._configuration_follower.age_s,
            float("inf") if apply_s is None else apply_s * DRAINS_AGE_SHARE,
        )

    def _make_advice(self) -> PlatformAdvice | None:
        if self._settings.advice is None:
            return None
        url = f"http://{self._settings.advice}"
        return PlatformAdvice(self._make_caller(url, 1))

    def _make_machines(self) -> PlatformMachines | None:
        if self._settings.machines is None:
            return None
        url = f"http://{self._settings.machines}"
        return PlatformMachines(self._make_caller(url, 2))

    @property
    def _shortest_apply_s(self) -> float:
        """Shortest time within which a changed operators' row has to be in force."""
        bounds = self._settings.bounds
        return min(bounds.config_apply_s, bounds.drain_apply_s or bounds.config_apply_s)

    @property
    def _max_configuration_age_s(self) -> float:
        return self._settings.bounds.config_apply_s * TRUSTED_AGE_SHARE

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        ready = (
            not self._draining.is_set()
            and self._operator_rows.catalogue.revision > 0
            and self._configuration_follower.age_s
            < self._settings.bounds.config_apply_s * READY_AGE_SHARE
        )
        return web.Response(status=200 if ready else 503)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        self._metrics.set("drained_domains", len(self._operator_rows.drains))
        return web.Response(text=render_metrics(self._metrics))

    async def _watch_settings(self) -> None:
        """Reload the settings when their file changes without a signal."""
        while True:
            await self._clock.sleep(SETTINGS_POLL_S)
            self._check_settings()

    def _check_settings(self) -> None:
        current = stat_settings()
        if current != self._settings_file:
            self._settings_file = current
            self._reload()

    def _reload(self) -> None:
        match load_settings(os.environ.get(SETTINGS_VARIABLE)):
            case Ok(settings):
                self._settings = settings
                self._log.write("node", "reloaded")
            case Err(error):
                self._log.write("node", "reload_refused", error=str(error))

    async def _drain(self, coordinator: Coordinator, handler: ApiHandler) -> None:
        started_s = self._clock.monotonic()
        self._log.write("node", "draining", in_progress=handler.in_progress)
        await coordinator.stop()
        deadline_s = started_s + self._settings.bounds.grace_s - EXIT_MARGIN_S
        await self._clock.sleep(BALANCER_DELAY_S)
        while handler.in_progress and self._clock.monotonic() < deadline_s:
            await self._clock.sleep(POLL_INTERVAL_S)


def main() -> int:
    """Run a process and return its exit code."""
    settings_file = stat_settings()
    match load_settings(os.environ.get(SETTINGS_VARIABLE)):
        case Ok(settings):
            asyncio.run(Node(settings, settings_file).run())
            return 0
        case Err(error):
            print(error, file=sys.stderr, flush=True)
            return EXIT_BAD_SETTINGS
    raise AssertionError("unreachable")
