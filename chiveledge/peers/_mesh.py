"""One outgoing link to each peer, and a listener for theirs."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence

import reactivex
from reactivex.subject import Subject
from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.logs import PartLogger
from chiveledge.metrics import Metrics
from chiveledge.peers._codec import (
    PeerBody,
    PeerEnvelope,
    PeerReport,
    decode_message,
    encode_message,
)
from chiveledge.services import HostEntry
from chiveledge.settings import Endpoint
from chiveledge.types import ProcessName

LENGTH_BYTES = 4
MAX_MESSAGE_BYTES = 4 << 20
MAX_PENDING_NOTICES = 64
RECONNECT_S = 0.3
CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 2.0

log = PartLogger("peers")


class _Link:
    """What waits to be sent to one peer: the newest report, and notices in order."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.wake = asyncio.Event()
        self._report: PeerReport | None = None
        self._notices: deque[PeerBody] = deque(maxlen=MAX_PENDING_NOTICES)

    def offer(self, body: PeerBody) -> None:
        match body:
            case PeerReport():
                self._report = body
            case _ if body not in self._notices:
                self._notices.append(body)
        self.wake.set()

    def take(self) -> PeerBody | None:
        if self._notices:
            return self._notices.popleft()
        report, self._report = self._report, None
        return report


class PeerMesh:
    """Sends reports and notices to all peers and streams what they send.

    Parameters
    ----------
    name : str
        Name of this process.
    endpoint : Endpoint
        Where this process listens.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts ``peer_bytes`` in both directions.
    report_s : float
        Period of reports.
    make_report : callable
        Returns the present state of this process.
    """

    def __init__(
        self,
        name: ProcessName,
        endpoint: Endpoint,
        clock: Clock,
        metrics: Metrics,
        *,
        report_s: float,
        make_report: Callable[[], PeerReport],
    ) -> None:
        self._name = name
        self._endpoint = endpoint
        self._clock = clock
        self._metrics = metrics
        self._report_s = report_s
        self._make_report = make_report
        self._links: dict[ProcessName, _Link] = {}
        self._tasks: dict[ProcessName, asyncio.Task[None]] = {}
        self._messages: Subject[PeerEnvelope] = Subject()
        self._incoming: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    @property
    def messages(self) -> reactivex.Observable[PeerEnvelope]:
        """Messages of all peers, as they come."""
        return self._messages

    def set_peers(self, entries: Sequence[HostEntry]) -> None:
        """Keep one link to each listed peer."""
        wanted = {entry.name: entry.url for entry in entries}
        wanted.pop(self._name, None)
        for name, link in list(self._links.items()):
            if wanted.get(name) != link.url:
                self._drop(name)
        for name, url in wanted.items():
            if name not in self._links:
                link = _Link(url)
                self._links[name] = link
                self._tasks[name] = asyncio.create_task(self._run_link(name, link))

    def broadcast(self, body: PeerBody) -> None:
        """Queue a notice for every peer."""
        for link in self._links.values():
            link.offer(body)

    def report_now(self) -> None:
        """Queue a fresh report for every peer."""
        self.broadcast(self._make_report())

    async def run(self) -> None:
        """Listen for peers and send reports for ever."""
        server = await asyncio.start_server(
            self._serve_peer, self._endpoint.address, self._endpoint.port
        )
        try:
            while True:
                self.report_now()
                await self._clock.sleep(self._report_s)
        finally:
            server.close()
            for name in list(self._links):
                self._drop(name)
            for writer in self._incoming.values():
                writer.close()
            await asyncio.gather(*self._incoming, return_exceptions=True)

    def _drop(self, name: ProcessName) -> None:
        self._links.pop(name)
        self._tasks.pop(name).cancel()

    async def _run_link(self, name: ProcessName, link: _Link) -> None:
        address, _, port = link.url.rpartition(":")
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(address, int(port))
            except (OSError, TimeoutError):
                await self._clock.sleep(RECONNECT_S)
                continue
            try:
                await self._send_all(link, writer)
            except (OSError, TimeoutError):
                log.warning("Lost the link to a peer.", peer=name)
            finally:
                writer.close()

    async def _send_all(self, link: _Link, writer: asyncio.StreamWriter) -> None:
        while True:
            body = link.take()
            if body is None:
                link.wake.clear()
                await link.wake.wait()
                continue
            packed = encode_message(PeerEnvelope(self._name, body))
            writer.write(len(packed).to_bytes(LENGTH_BYTES, "big") + packed)
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await writer.drain()
            self._metrics.count("peer_bytes", LENGTH_BYTES + len(packed))

    async def _serve_peer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._incoming[task] = writer
        try:
            while True:
                head = await reader.readexactly(LENGTH_BYTES)
                size = int.from_bytes(head, "big")
                if size > MAX_MESSAGE_BYTES:
                    log.warning("A peer sent an oversized message.", bytes=size)
                    return
                packed = await reader.readexactly(size)
                self._metrics.count("peer_bytes", LENGTH_BYTES + size)
                match decode_message(packed):
                    case Ok(envelope):
                        self._messages.on_next(envelope)
                    case Err(problem):
                        log.warning("Dropped a peer's connection.", problem=problem)
                        return
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            del self._incoming[task]
            writer.close()
