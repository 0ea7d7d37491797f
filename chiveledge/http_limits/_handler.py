"""HTTP protocol that charges a connection for bytes before they are parsed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

if TYPE_CHECKING:
    from chiveledge.http_limits._servers import Listener

READ_BYTES = 16_384
"""Largest read from a socket, so that few bytes are kept before they are charged."""

READ_BUFFER_BYTES = 65_536
"""Bytes of a body waiting for its handler from which the connection isn't read."""

WRITE_BUFFER_BYTES = 16_384
"""Bytes of unsent responses from which handlers wait for the client to read."""

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
        # Requests that were parsed and not answered; those that were parsed at all.
        self._open_requests = 0
        self._seen_requests = 0
        self._socket_transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open an account; another connection may be closed for it."""
        limit_reads(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._socket_transport = transport
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
        if status != BAD_REQUEST or not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self._listener.count_bad_request()
        response = web.Response(status=BAD_REQUEST, text="malformed request")
        response.force_close()
        return response

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
            self._open_requests += self._request_count - self._seen_requests
            self._seen_requests = self._request_count
            self._record_newest()
            budget.record_request(self._account, is_complete=self._payload is None)
        elif self._payload is not None and self._payload.is_eof():
            self._end_body()
            budget.record_request(self._account, is_complete=True)
            if self._open_requests <= 0:
                # The request was answered before its body was complete.
                self._finish()
        elif self._payload is None and size:
            self._listener.record_head(self._account, size)

    def _record_newest(self) -> None:
        """Record the newest request, and whether its body is still to come."""
        message, payload = self._messages[-1]
        if payload.is_eof():
            self._end_body()
            return
        self._payload = payload
        # A malformed request is no message, and its body is not read.
        self._charges_lines = getattr(message, "chunked", False)
        if getattr(message, "compression", None):
            self._listener.receive(self._account, COMPRESSED_COST)

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
