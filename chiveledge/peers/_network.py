"""Connections between processes: one outgoing to each peer, and a listener."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace

import reactivex
from reactivex.subject import Subject
from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.http_limits import READ_BYTES, Account, Listener, limit_reads
from chiveledge.logs import PartLogger
from chiveledge.metrics import Metrics
from chiveledge.peers._codec import (
    PeerBody,
    PeerEnvelope,
    PeerReport,
    decode_message,
    encode_message,
)
from chiveledge.peers._stamps import ReportStamps
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


class _Outbox:
    """Outgoing messages for one peer: notices in order, then the newest report.

    A notice that is already queued is not queued again. If the queue is full, the
    oldest notice is dropped.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self.pending = asyncio.Event()
        self._report: PeerReport | None = None
        self._notices: deque[PeerBody] = deque(maxlen=MAX_PENDING_NOTICES)

    def put(self, body: PeerBody) -> None:
        match body:
            case PeerReport():
                self._report = body
            case _ if body not in self._notices:
                self._notices.append(body)
        self.pending.set()

    def pop(self) -> PeerBody | None:
        if self._notices:
            return self._notices.popleft()
        report, self._report = self._report, None
        return report


class _Link:
    """Incoming connection with the methods by which a `Listener` closes it."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def abort(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def close_idle(self) -> None:
        """Close the connection once what was written is sent."""
        self._writer.close()


class PeerNetwork:
    """Sends reports and notices to all peers and emits the messages they send.

    Parameters
    ----------
    name : str
        Name of this process.
    endpoint : Endpoint
        Address and port to listen on.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts ``peer_bytes``, the bytes sent and received.
    report_s : float
        Time between two reports.
    make_report : callable
        Returns a report of this process's current state.
    listener : Listener
        Limits what incoming connections hold.
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
        listener: Listener,
    ) -> None:
        self._name = name
        self._endpoint = endpoint
        self._clock = clock
        self._metrics = metrics
        self._report_s = report_s
        self._make_report = make_report
        self._listener = listener
        self._stamps = ReportStamps(clock)
        self._outboxes: dict[ProcessName, _Outbox] = {}
        self._tasks: dict[ProcessName, asyncio.Task[None]] = {}
        self._messages: Subject[PeerEnvelope] = Subject()
        self._incoming: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    @property
    def messages(self) -> reactivex.Observable[PeerEnvelope]:
        """Emits the messages of all peers as they arrive."""
        return self._messages

    def set_peers(self, entries: Sequence[HostEntry]) -> None:
        """Set the peers to send to; connect to new ones and disconnect from others."""
        wanted = {entry.name: entry.url for entry in entries}
        wanted.pop(self._name, None)
        for name, outbox in list(self._outboxes.items()):
            if wanted.get(name) != outbox.url:
                self._disconnect(name)
        for name, url in wanted.items():
            if name not in self._outboxes:
                outbox = _Outbox(url)
                self._outboxes[name] = outbox
                self._tasks[name] = asyncio.create_task(
                    self._maintain_connection(name, outbox)
                )

    def broadcast(self, body: PeerBody) -> None:
        """Queue a message for every peer."""
        for outbox in self._outboxes.values():
            outbox.put(body)

    def queue_report(self) -> None:
        """Queue a report of the current state for every peer."""
        report = replace(self._make_report(), sent_stamp=self._stamps.make())
        for name, outbox in self._outboxes.items():
            echoed = self._stamps.find_received(name)
            outbox.put(replace(report, echoed_stamp=echoed))

    async def run(self) -> None:
        """Listen for peers and send reports until cancelled."""
        server = await asyncio.start_server(
            self._receive_messages,
            self._endpoint.address,
            self._endpoint.port,
            limit=READ_BYTES,
        )
        try:
            while True:
                self.queue_report()
                await self._clock.sleep(self._report_s)
        finally:
            server.close()
            for name in list(self._outboxes):
                self._disconnect(name)
            for writer in self._incoming.values():
                writer.close()
            await asyncio.gather(*self._incoming, return_exceptions=True)

    def _disconnect(self, name: ProcessName) -> None:
        self._outboxes.pop(name)
        self._tasks.pop(name).cancel()

    async def _maintain_connection(self, name: ProcessName, outbox: _Outbox) -> None:
        address, _, port = outbox.url.rpartition(":")
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(address, int(port))
            except (OSError, TimeoutError):
                await self._clock.sleep(RECONNECT_S)
                continue
            try:
                await self._send_messages(outbox, writer)
            except (OSError, TimeoutError):
                log.warning("Lost the connection to a peer.", peer=name)
            finally:
                writer.close()

    async def _send_messages(
        self, outbox: _Outbox, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            body = outbox.pop()
            if body is None:
                outbox.pending.clear()
                await outbox.pending.wait()
                continue
            packed = encode_message(PeerEnvelope(self._name, body))
            writer.write(len(packed).to_bytes(LENGTH_BYTES, "big") + packed)
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await writer.drain()
            self._metrics.count("peer_bytes", LENGTH_BYTES + len(packed))

    async def _receive_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._incoming[task] = writer
        limit_reads(writer.transport)
        account = self._listener.open(_Link(writer))
        try:
            while not account.is_closing:
                size = await self._read_length(reader, account)
                if size > MAX_MESSAGE_BYTES:
                    log.warning("A peer sent a message that is too large.", bytes=size)
                    return
                packed = await self._read_message(reader, account, size)
                if packed is None:
                    return
                self._listener.finish(account, is_idle=True)
                self._metrics.count("peer_bytes", LENGTH_BYTES + size)
                match decode_message(packed):
                    case Ok(envelope):
                        self._messages.on_next(self._bound_age(envelope))
                    case Err(problem):
                        log.warning("Closed the connection of a peer.", problem=problem)
                        return
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            del self._incoming[task]
            self._listener.budget.remove(account)
            writer.close()

    def _bound_age(self, envelope: PeerEnvelope) -> PeerEnvelope:
        """Return a received message with the longest age of the report in it."""
        match envelope.body:
            case PeerReport(sent_stamp=sent, echoed_stamp=echoed):
                self._stamps.record(envelope.sender, sent)
                age_s = self._stamps.bound_age_s(echoed)
                return envelope._replace(report_age_s=age_s)
        return envelope

    async def _read_length(self, reader: asyncio.StreamReader, account: Account) -> int:
        """Return the length of the next message, in bytes."""
        start = await reader.readexactly(1)
        self._listener.receive(account, LENGTH_BYTES)
        self._listener.budget.record_request(account, is_complete=False)
        rest = await reader.readexactly(LENGTH_BYTES - 1)
        return int.from_bytes(start + rest, "big")

    async def _read_message(
        self, reader: asyncio.StreamReader, account: Account, size: int
    ) -> bytes | None:
        """Return a message, or None if its connection is closed for its bytes."""
        packed = bytearray()
        while len(packed) < size:
            piece = await reader.read(min(size - len(packed), READ_BYTES))
            if not piece:
                raise asyncio.IncompleteReadError(bytes(packed), size)
            if not self._listener.receive(account, len(piece)):
                return None
            packed += piece
        return bytes(packed)
