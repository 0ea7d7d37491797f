"""Puts a process together: followers, callers' interface and coordinator."""

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

from chiveledge.clock import SystemClock
from chiveledge.coordinator import Coordinator, CoordinatorTiming, TermContext
from chiveledge.decision_log import JsonLog
from chiveledge.events import Timeline
from chiveledge.intake import (
    JOB_STATUS_PREFIX,
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
from chiveledge.platform._catalogue import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    decode_catalogue,
)
from chiveledge.platform._front import FrontHandler
from chiveledge.platform._machines import (
    WAVE_PREFIX,
    PlatformMachines,
    decode_wave,
)
from chiveledge.platform._serving import listen, render_metrics
from chiveledge.platform._settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    load_settings,
    stat_settings,
)
from chiveledge.platform._store import PlatformStore
from chiveledge.platform._workers import (
    WORKER_PREFIX,
    PlatformWorker,
    WorkerDecoder,
)
from chiveledge.services import ConnectionPool, HttpCaller, Row
from chiveledge.services.machines import Wave
from chiveledge.workload import Catalogue

EXIT_BAD_SETTINGS = 2
SHARD = "all"

CURRENT_SHARE = 0.85
"""Part of the bound on applying configurations up to which a copy is trusted."""

READY_SHARE = 0.6
"""Part of that bound up to which callers are wanted; the balancer needs two misses to
turn them elsewhere."""

WORK_LEASE_S = 6.0
"""Running work outlives the loss of all hosts for this long, if workers allow it."""

CONFIGURATION_WATCH_SHARE = 0.2
"""Longest wait of a watch in parts of the bound on applying configurations: one mute
watch, its margin and a reading after it fit before callers are sent elsewhere."""

BOARD_WATCH_S = 1.0
BOARD_PAUSE_S = 1.0
"""Changes gather this long, so that a host wakes no oftener in a larger fleet. Both
times, the margin of a mute watch and a reading stay below the age that counts of
waiting jobs may have."""

STOP_LISTENING_S = 3.0
"""Time until the balancer has surely seen that this process is not ready."""

EXIT_MARGIN_S = 1.0
POLL_S = 0.05
SETTINGS_POLL_S = 2.0


class Node:
    """One process.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._log = JsonLog(settings.node, self._clock, domain=settings.zone)
        self._metrics = Metrics()
        self._catalogue = Catalogue()
        self._waves: dict[str, Wave] = {}
        self._pools: list[ConnectionPool] = []
        self._board = JobStatusCache()
        self._draining = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, finish what is in progress, and return."""
        # The decision log has a line for all that the parts' own loggers say.
        logging.set_verbosity(logging.ERROR)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._draining.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.write("node", "start", pid=os.getpid())
        store = self._make_store()
        self._follow(store)
        handler = FrontHandler(
            lambda: self._catalogue,
            lambda: self._configuration.age_s,
            self._trusted_age_s,
            self._draining.is_set,
            JobStore(
                store, self._board, self._clock, self._log, lambda: store.unresponsive
            ),
            self._board,
            self._make_relay(),
            self._clock,
            self._log,
            self._metrics,
        )
        runners = [
            await listen(handler.handle, self._settings.front),
            await listen(handler.handle, self._settings.peers),
            await listen(self._answer_ready, self._settings.ready),
            await listen(self._answer_metrics, self._settings.metrics),
        ]
        rank = await self._await_configuration()
        coordinator = self._make_coordinator(store, rank)
        tasks = [
            asyncio.create_task(self._configuration.run()),
            asyncio.create_task(self._jobs.run()),
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
        await self._finish(coordinator, handler)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for runner in runners:
            if runner is not None:
                await runner.cleanup()
        for pool in self._pools:
            await pool.close()
        self._log.write("node", "stop")

    def _make_store(self) -> PlatformStore:
        url = f"http://{self._settings.store}"
        caller, watcher = self._make_caller(url, 32), self._make_caller(url, 32)
        return PlatformStore(caller, watcher, self._clock)

    def _make_caller(self, url: str, limit: int) -> HttpCaller:
        """Return a client with a bound on its connections, closed at the end."""
        pool = ConnectionPool(limit=limit)
        self._pools.append(pool)
        return HttpCaller(pool, url, metrics=self._metrics)

    def _follow(self, store: PlatformStore) -> None:
        self._configuration = TableFollower(
            store,
            CONFIGURATION_PREFIX,
            self._clock,
            self._log,
            self._on_operators_rows,
            wait_s=self._settings.bounds.config_apply_s * CONFIGURATION_WATCH_SHARE,
        )
        self._jobs = TableFollower(
            store,
            JOB_STATUS_PREFIX,
            self._clock,
            self._log,
            self._board.apply_changes,
            wait_s=BOARD_WATCH_S,
            pause_s=BOARD_PAUSE_S,
        )

    def _make_relay(self) -> Relay:
        settings = self._settings
        self._peers = PeerDirectory(self._own_host)
        rng = random.Random(settings.node)
        return Relay(self._peers, settings.node, self._clock, self._log, rng)

    @property
    def _own_host(self) -> PeerHost:
        settings = self._settings
        address = str(settings.peers) if settings.peers else ""
        return PeerHost(settings.node, settings.region, address)

    async def _await_configuration(self) -> int:
        """Read the first configuration; return the rank as a candidate to lead."""
        while True:
            sent_s = self._clock.monotonic()
            if await self._configuration.step():
                break
            await self._clock.sleep(POLL_S)
        return rank_candidate(
            self._clock.monotonic() - sent_s,
            self._settings.limits.cores,
            self._settings.limits.link_mbps,
        )

    def _make_coordinator(self, store: PlatformStore, rank: int) -> Coordinator:
        bounds = self._settings.bounds
        timing = CoordinatorTiming(
            work_lease_s=min(WORK_LEASE_S, bounds.longest_lease_s),
            longest_lease_s=bounds.longest_lease_s,
            stop_s=bounds.stop_s,
            drain_s=bounds.drain_s,
            keep_ended_s=bounds.keep_status_s * 1.5,
            machine_lease_s=bounds.machine_lease_s,
            upkeep_s=bounds.upkeep_s,
        )
        context = TermContext(
            table=store,
            worker_prefix=WORKER_PREFIX,
            decode_worker=WorkerDecoder(self._log).decode,
            make_worker=lambda entry: PlatformWorker(entry, self._metrics),
            catalogue=lambda: self._catalogue,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
            timing=timing,
            advice=self._make_advice(),
            machines=self._make_machines(),
            waves=lambda: list(self._waves.values()),
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

    def _on_operators_rows(
        self, rows: Iterable[Row], deleted: Iterable[str], whole: bool
    ) -> None:
        rows = list(rows)
        if whole:
            self._waves.clear()
        for key in deleted:
            self._waves.pop(key, None)
        for row in rows:
            if row.key.startswith(WAVE_PREFIX):
                self._note_wave(row)
        self._note_configuration(rows)

    def _note_wave(self, row: Row) -> None:
        match decode_wave(row.value):
            case Ok(wave):
                self._waves[row.key] = wave
                self._log.write(
                    "upkeep",
                    "wave",
                    wave=wave.number,
                    machines=len(wave.machines),
                    within_s=wave.within_s,
                    most_down=wave.max_down,
                )
            case Err(reason):
                self._log.write("upkeep", "unreadable", key=row.key, reason=reason)

    def _note_configuration(self, rows: list[Row]) -> None:
        for row in rows:
            if row.key != CONFIGURATION_KEY:
                continue
            match decode_catalogue(row.value):
                case Ok(catalogue):
                    self._apply(catalogue)
                case Err(reason):
                    self._log.write("configuration", "unreadable", reason=reason)

    def _apply(self, catalogue: Catalogue) -> None:
        if catalogue.revision <= self._catalogue.revision:
            return
        self._log.write(
            "configuration",
            "applied",
            revision=catalogue.revision,
            before=self._catalogue.revision,
            queues=len(catalogue.queues),
            workspaces=len(catalogue.workspaces),
        )
        self._catalogue = catalogue

    @property
    def _trusted_age_s(self) -> float:
        return self._settings.bounds.config_apply_s * CURRENT_SHARE

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        ready = (
            not self._draining.is_set()
            and self._catalogue.revision > 0
            and self._configuration.age_s
            < self._settings.bounds.config_apply_s * READY_SHARE
        )
        return web.Response(status=200 if ready else 503)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        return web.Response(text=render_metrics(self._metrics))

    async def _watch_settings(self) -> None:
        """Notice settings that change without a signal."""
        seen = stat_settings()
        while True:
            await self._clock.sleep(SETTINGS_POLL_S)
            present = stat_settings()
            if present != seen:
                seen = present
                self._reload()

    def _reload(self) -> None:
        match load_settings(os.environ.get(SETTINGS_VARIABLE)):
            case Ok(settings):
                self._settings = settings
                self._log.write("node", "reloaded")
            case Err(error):
                self._log.write("node", "reload_refused", error=str(error))

    async def _finish(self, coordinator: Coordinator, handler: FrontHandler) -> None:
        began_s = self._clock.monotonic()
        self._log.write("node", "draining", in_progress=handler.in_progress)
        await coordinator.stop()
        latest_s = began_s + self._settings.bounds.grace_s - EXIT_MARGIN_S
        await self._clock.sleep(STOP_LISTENING_S)
        while handler.in_progress and self._clock.monotonic() < latest_s:
            await self._clock.sleep(POLL_S)


def main() -> int:
    """Run a node; return the exit code."""
    match load_settings(os.environ.get(SETTINGS_VARIABLE)):
        case Ok(settings):
            asyncio.run(Node(settings).run())
            return 0
        case Err(error):
            print(error, file=sys.stderr, flush=True)
            return EXIT_BAD_SETTINGS
    raise AssertionError("unreachable")
