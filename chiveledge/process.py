"""The daemon: builds the roles of one process from its settings and runs them."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
from aiohttp import web

from chiveledge.administration import (
    OperatorCommands,
    OperatorQueries,
    make_token_check,
)
from chiveledge.clock import Clock, SystemClock
from chiveledge.configuration import (
    ConfigurationReplica,
    Document,
    VersionedDocument,
    decode_versioned,
    encode_versioned,
)
from chiveledge.events import Timeline
from chiveledge.gateway import GatewayServer
from chiveledge.http_limits import ClientServers, HostResources, LimitedServer
from chiveledge.logs import PartLogger
from chiveledge.membership import Membership
from chiveledge.metrics import Metrics
from chiveledge.peers import (
    ConfigurationPush,
    JobNotice,
    PeerEnvelope,
    PeerNetwork,
    PeerReport,
)
from chiveledge.scheduler import Scheduler, find_unsatisfiable_guarantees, list_workers
from chiveledge.services import (
    HostEntry,
    HostRole,
    HttpCaller,
    HttpHostList,
    HttpObjectStore,
    HttpTable,
    HttpWorker,
    Worker,
)
from chiveledge.settings import ProcessSettings, Role
from chiveledge.types import RegionName

DRAIN_NOTICE_S = 1.5
"""Time for the load balancer to notice that this process is no longer ready."""

DRAIN_POLL_S = 0.05
HTTP_SHARE = 0.75
"""Share of callers and operators in what clients may make the process hold."""

LINK_SHARE = 0.25
"""The same for connections of other processes."""

MAX_CONNECTIONS = 256

log = PartLogger("process")


class Process:
    """Runs the roles of one process until it is drained or gets a signal to stop.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process, already validated.
    clock : Clock, optional
        Source of time, by default the system's.
    """

    def __init__(self, settings: ProcessSettings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._metrics = Metrics()
        self._timeline = Timeline(settings.name, self._clock)
        self._draining = asyncio.Event()
        self._stopped = False

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this process."""
        return not self._draining.is_set() and self._configuration.fresh

    def drain(self) -> None:
        """Start a graceful stop of the process."""
        if not self._draining.is_set():
            self._timeline.add("process", "draining", self._settings.name)
            log.info("Draining.", process=self._settings.name)
        self._draining.set()

    async def run(self) -> None:
        """Serve until SIGTERM, SIGINT or a drain, then finish the work in progress."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.drain)
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._create_components(session)
            server = await self._listen()
            tasks = [
                asyncio.create_task(coroutine) for coroutine in self._list_coroutines()
            ]
            drained = asyncio.create_task(self._draining.wait())
            self._timeline.add("process", "started", self._settings.name)
            log.info("Started.", process=self._settings.name)
            try:
                await asyncio.wait(
                    [*tasks, drained], return_when=asyncio.FIRST_COMPLETED
                )
                _raise_task_error(tasks)
                await self._finish_requests()
            finally:
                for task in [*tasks, drained]:
                    task.cancel()
                await asyncio.gather(*tasks, drained, return_exceptions=True)
                await server.cleanup()
                if self._gateway is not None:
                    await self._gateway.close()
        log.info("Stopped.", process=self._settings.name)

    def _create_components(self, session: aiohttp.ClientSession) -> None:
        settings = self._settings
        timing = settings.timing
        self._servers = self._make_servers()

        def make_caller(url: str) -> HttpCaller:
            return HttpCaller(
                session,
                url,
                metrics=self._metrics,
                timeout_s=settings.platform.timeout_s,
            )

        def make_worker(url: str) -> Worker:
            return HttpWorker(make_caller(url))

        table = HttpTable(make_caller(settings.platform.table))
        objects = HttpObjectStore(make_caller(settings.platform.objects))
        self._configuration = ConfigurationReplica(
            table,
            self._clock,
            self._timeline,
            poll_s=timing.configuration_poll_s,
            stale_s=timing.configuration_stale_s,
        )
        self._membership = Membership(
            HttpHostList(make_caller(settings.platform.hosts)),
            self._clock,
            self._timeline,
            poll_s=timing.host_poll_s,
        )
        self._peers = PeerNetwork(
            settings.name,
            settings.peer,
            self._clock,
            self._metrics,
            report_s=timing.peer_report_s,
            make_report=self._make_report,
            listener=self._servers.add_listener("links", LINK_SHARE),
        )
        common = (table, objects, self._configuration, self._membership)
        instruments = (self._clock, self._timeline, self._metrics)
        self._scheduler = None
        if Role.SCHEDULER in settings.roles:
            self._scheduler = Scheduler(settings, *common, *instruments, make_worker)
        self._gateway = None
        if Role.GATEWAY in settings.roles:
            self._gateway = GatewayServer(
                settings, *common, *instruments, self._announce_job
            )
        self._commands = OperatorCommands(
            table,
            self._configuration,
            self._membership,
            self._clock,
            self._timeline,
            self._push_configuration,
            self._find_unsatisfiable_guarantees,
            self.drain,
        )
        self._queries = OperatorQueries(
            settings,
            table,
            self._configuration,
            self._membership,
            self._timeline,
            self._metrics,
            self._gateway,
            self._scheduler,
            lambda: self.ready,
        )
        self._peers.messages.subscribe(self._handle_message)
        self._membership.stream.subscribe(self._update_peers)

    def _make_servers(self) -> ClientServers:
        limits = self._settings.limits
        resources = HostResources(limits.memory_mb, limits.max_fds)
        return ClientServers(resources, self._clock, _ServingLog(), self._metrics)

    async def _listen(self) -> LimitedServer:
        app = web.Application(
            middlewares=[make_token_check(self._settings.operator_token)],
            client_max_size=self._settings.limits.body_bytes,
        )
        self._commands.add_routes(app)
        self._queries.add_routes(app)
        if self._gateway is not None:
            self._gateway.add_routes(app)
        app.on_response_prepare.append(self._close_when_draining)
        runner = web.AppRunner(app, shutdown_timeout=1.0)
        endpoint = self._settings.http
        return await self._servers.serve(
            runner, endpoint.address, endpoint.port, "http", HTTP_SHARE
        )

    def _list_coroutines(self) -> list:
        coroutines = [
            self._servers.run(),
            self._configuration.run(),
            self._membership.run(),
            self._peers.run(),
        ]
        if self._scheduler is not None:
            coroutines.append(self._scheduler.run())
        if self._gateway is not None:
            coroutines.append(self._gateway.run())
        return coroutines

    async def _finish_requests(self) -> None:
        """Report the drain to the peers, give up leadership and finish requests.

        The load balancer gets time to notice that the process is not ready, since it
        may send requests until then.
        """
        self._peers.queue_report()
        if self._scheduler is not None:
            await self._scheduler.stop()
        if self._gateway is None:
            return
        await self._clock.sleep(DRAIN_NOTICE_S)
        deadline_s = self._clock.monotonic() + self._settings.timing.drain_s
        while self._gateway.in_progress and self._clock.monotonic() < deadline_s:
            await self._clock.sleep(DRAIN_POLL_S)

    async def _close_when_draining(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        if self._draining.is_set():
            # Without the header the client may reuse the connection as it is closed.
            response.headers["Connection"] = "close"
            response.force_close()

    def _make_report(self) -> PeerReport:
        return PeerReport(
            revision=self._configuration.revision,
            confirmation_age_s=self._configuration.confirmation_age_s,
            ready=self.ready,
            loads=self._gateway.pool.loads if self._gateway else (),
            leaving=self._membership.leaving,
        )

    def _handle_message(self, envelope: PeerEnvelope) -> None:
        match envelope.body:
            case PeerReport() as report:
                self._configuration.record_peer_revision(
                    envelope.sender,
                    report.revision,
                    report.confirmation_age_s,
                    envelope.report_age_s,
                )
                self._membership.mark_leaving(report.leaving)
                if self._gateway is not None:
                    self._gateway.pool.record_peer_loads(envelope.sender, report.loads)
            case ConfigurationPush(text):
                self._configuration.apply(decode_versioned(text))
            case JobNotice(region):
                if self._scheduler is not None:
                    self._scheduler.notify_new_job(region)

    def _update_peers(self, entries: tuple[HostEntry, ...]) -> None:
        peers = [entry for entry in entries if entry.role is HostRole.CHIVELEDGE]
        self._peers.set_peers(peers)
        names = {entry.name for entry in peers} | {self._settings.name}
        self._configuration.set_process_count(len(names))

    def _push_configuration(self, versioned: VersionedDocument) -> None:
        self._peers.broadcast(ConfigurationPush(encode_versioned(versioned)))

    def _announce_job(self, region: RegionName) -> None:
        self._peers.broadcast(JobNotice(region))
        if self._scheduler is not None:
            self._scheduler.notify_new_job(region)

    def _find_unsatisfiable_guarantees(self, document: Document) -> list[str]:
        return [
            message
            for region in self._settings.regions
            for message in find_unsatisfiable_guarantees(
                document,
                region,
                [
                    worker.size
                    for worker in list_workers(self._membership.entries, region)
                ],
            )
        ]


class _ServingLog:
    """Writes the lines of `ClientServers` to the log of the process."""

    def write(self, part: str, event: str, **fields: object) -> None:
        """Write one line. The only event is that connections were closed."""
        PartLogger(part).warning("Closed connections of clients.", **fields)


def _raise_task_error(tasks: list[asyncio.Task]) -> None:
    """Raise the error of a task that ended; these tasks run as long as the process."""
    for task in tasks:
        if task.done():
            match task.exception():
                case None:
                    raise AssertionError(f"{task.get_coro()} ended without an error")
                case error:
                    raise error


def run_process(settings: ProcessSettings) -> None:
    """Run a process until it is drained or gets a signal to stop."""

    async def run() -> None:
        await Process(settings).run()

    asyncio.run(run())
