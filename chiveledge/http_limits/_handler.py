"""HTTP protocol that charges a connection for bytes before they are parsed."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError

if TYPE_CHECKING:
    from chiveledge.http_limits._servers import Listener

READ_BYTES = 16_384
"""Largest read from a socket, so that few bytes are kept before they are charged."""

READ_BUFFER_BYTES = 65_536
"""Bytes of a body waiting for its handler from which the connection isn't read."""

WRITE_BUFFER_BYTES = 16_384
"""Bytes of unsent responses from which handlers wait for the client to read."""

UNREAD_S = 30.0
"""Time in which a client must take some of a response that waits for it."""

LINE_COST = 64
"""Cost in bytes of a line end in a head or a chunked body, beyond its own bytes.

A header line is kept as several strings. A chunk, which has two line ends, costs the
parser up to 100 bytes, also if it carries only one.
"""

COMPRESSED_COST = 4 * READ_BUFFER_BYTES
"""Cost in bytes of a compressed body, of which more is kept than arrives."""

BAD_REQUEST = 400


def limit_reads(transport: Any) -> None:
    """Make a transport read at most `READ_BYTES` at a time."""
    # Not documented, but read by asyncio's transports before each read.
    transport.max_size = READ_BYTES


class LimitedRequestHandler(web.RequestHandler):
    """Handler of one connection that stays within a budget.

    It overrides public methods of aiohttp's handler, and reads three of its private
    attributes: the queue of parsed requests, their number and the task of the
    connection. There is no public way to know whether a head or a body is complete.

    Parameters
    ----------
    listener : Listener
        Listener that accepted the connection.
    server : aiohttp.web.Server
        Server of the listener.
    **options
        Options of aiohttp's handler.
    """

    __slots__ = (
        "_account",
        "_charges_lines",
        "_has_upgrade",
        "_listener",
        "_open_requests",
        "_payload",
        "_seen_requests",
        "_socket_transport",
    )

    def __init__(self, listener: Listener, server: web.Server, **options: Any) -> None:
        super().__init__(server, read_bufsize=READ_BUFFER_BYTES, **options)
        self._listener = listener
        self._account: Any = None
        # Body of the newest request while it is incomplete.
        self._payload: Any = None
        # Whether what arrives next has lines, as a head and a chunked body have.
        self._charges_lines = True
        self._has_upgrade = False
        # Requests that were parsed and not answered; those that were parsed at all.
        self._open_requests = 0
        self._seen_requests = 0
        self._socket_transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open an account; another connection may be closed for it."""
        limit_reads(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._socket_transport = transport
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            # The kernel knows whether a client takes anything; this process doesn't.
            transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNREAD_S * 1000)
            )
        super().connection_made(transport)
        self._account = self._listener.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the account when the task of the connection has ended."""
        task = self._task_handler
        super().connection_lost(exc)
        self._payload = None
        self._listener.budget.record_lost(self._account)
        if task is None:
            self._listener.budget.remove(self._account)
        else:
            task.add_done_callback(self._remove_account)

    def data_received(self, data: bytes) -> None:
        """Charge for bytes, then parse them if the connection stays open."""
        if data:
            cost = len(data)
            if self._charges_lines:
                cost += LINE_COST * data.count(b"\r\n")
            if not self._listener.receive(self._account, cost):
                return
        super().data_received(data)
        self._record_parsed(len(data))

    def record_merged(self, size: int) -> None:
        """Record that a handler has read all that had arrived of the body."""
        if self._open_requests <= 1:
            self._listener.budget.record_merged(self._account, size)

    async def finish_response(
        self, request: web.BaseRequest, resp: Any, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the response; afterwards its request costs nothing."""
        if self._has_upgrade and self._open_requests <= 1:
            # Nothing is upgraded here. What came after would be parsed uncounted.
            resp.force_close()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._open_requests -= 1
            self._finish()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request without a traceback in the log for each."""
        if status == BAD_REQUEST and isinstance(exc, HttpProcessingError):
            self._listener.count_bad_request()
        elif not isinstance(exc, web.RequestPayloadError):
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=BAD_REQUEST, text="malformed request")
        response.force_close()
        return response

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an error; a malformed body, whose rest can't be read, is only counted."""
        if isinstance(options.get("exc_info"), web.RequestPayloadError):
            self._listener.count_bad_request()
        else:
            super().log_exception(*args, **options)

    def abort(self) -> None:
        """Close the connection at once; responses that are not sent yet are dropped."""
        self._socket_transport.abort()

    def close_idle(self) -> None:
        """Close the connection once its responses are sent."""
        self._socket_transport.close()

    def _record_parsed(self, size: int) -> None:
        """Record how far the newest request has arrived."""
        budget = self._listener.budget
        if self._request_count != self._seen_requests and self._messages:
            count = self._request_count - self._seen_requests
            self._open_requests += count
            self._seen_requests = self._request_count
            self._record_newest(count)
        elif self._payload is not None and self._payload.is_eof():
            self._end_body()
            budget.record_request(self._account, is_complete=True)
            if self._open_requests <= 0:
                # The request was answered before its body was complete.
                self._finish()
        elif self._payload is not None and self._open_requests <= 0:
            # The rest of a body whose request was answered is read and dropped.
            self._finish()
        elif self._payload is None and size:
            self._listener.record_head(self._account, size)

    def _record_newest(self, count: int) -> None:
        """Record the newest request, and whether its body is still to come."""
        message, payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            self._record_malformed()
            return
        self._end_body()
        self._has_upgrade = message.upgrade
        if not payload.is_eof():
            self._payload = payload
            self._charges_lines = message.chunked
        is_complete = self._payload is None
        self._listener.budget.record_request(
            self._account,
            is_complete=is_complete,
            head_cost=_get_head_cost(message),
            count=count,
        )
        if message.compression and not is_complete:
            self._listener.receive(self._account, COMPRESSED_COST)

    def _record_malformed(self) -> None:
        """End a body that goes on malformed; else its handler would wait for more."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(web.RequestPayloadError("malformed body"))
        self._end_body()
        self._listener.budget.record_request(self._account, is_complete=True)

    def _end_body(self) -> None:
        self._payload = None
        self._charges_lines = True

    def _remove_account(self, task: asyncio.Task[None]) -> None:
        self._listener.budget.remove(self._account)

    def _finish(self) -> None:
        """Record an answer, and whether anything of another request has arrived."""
        has_more = self._open_requests > 0 or self._account.head_bytes
        has_body = self._payload is not None and not self._payload.is_eof()
        self._listener.finish(self._account, is_idle=not has_more and not has_body)


def _get_head_cost(message: RawRequestMessage) -> int:
    """Return the cost of a head, in bytes."""
    fields = sum(len(name) + len(value) for name, value in message.raw_headers)
    return len(message.path) + fields + LINE_COST * len(message.raw_headers)
