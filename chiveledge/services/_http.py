"""JSON calls over HTTP whose errors tell whether a call may have taken effect."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import aiohttp
from result import Err, Ok, Result

from chiveledge.decoding import DECODE_ERRORS, describe_error, parse_json
from chiveledge.metrics import Metrics
from chiveledge.services.errors import Refused, Rejected, Unavailable, Unsettled

T = TypeVar("T")

SERVICE_UNAVAILABLE = 503
NO_EFFECT_STATUSES = frozenset({429, SERVICE_UNAVAILABLE})
"""Error statuses that prove that a call had no effect, but may have one if repeated."""

REJECTED_STATUSES = frozenset({400, 403, 413})
"""Error statuses of a call that would be refused at any other time as well."""

MAX_REPLY_BYTES = 16 << 20
"""Largest reply that is read; services send long lists in pages far below it."""

SESSION_CLOSE_DELAY_S = 5.0
"""Time that calls of a replaced session have to finish; no call timeout is longer."""


class HttpReply(NamedTuple):
    """Status and decoded JSON body of a reply; the body is None if it was empty."""

    status: int
    body: Any


class ConnectionPool:
    """Keep-alive connections to one service, replaced after a timeout.

    An open connection can stop delivering data without a reset while new connections
    work, and the other open connections may then be affected as well. After a timeout,
    all calls therefore use new connections.

    Parameters
    ----------
    limit : int, optional
        Maximum number of simultaneous connections.
    """

    def __init__(self, limit: int = 16) -> None:
        self._limit = limit
        self._session: aiohttp.ClientSession | None = None
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Session for new calls."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=self._limit, keepalive_timeout=30)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    def replace(self, timed_out: aiohttp.ClientSession) -> None:
        """Use new connections for new calls, unless the session is replaced already.

        Calls in progress on the replaced session may still finish.
        """
        if timed_out is not self._session:
            return
        self._session = None
        task = asyncio.create_task(_close_after_delay(timed_out))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._closing:
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
            self._session = None


async def _close_after_delay(session: aiohttp.ClientSession) -> None:
    try:
        await asyncio.sleep(SESSION_CLOSE_DELAY_S)
    finally:
        await session.close()


def decode_reply(
    decode: Callable[[Any], T], body: object, sender: str
) -> Result[T, Unsettled]:
    """Decode the body of a reply; one that can't be decoded leaves the call unsettled.

    Parameters
    ----------
    decode : callable
        Returns the decoded body, or raises one of `DECODE_ERRORS`.
    body : object
        Body as decoded from JSON.
    sender : str
        Service that sent the reply, for the error.
    """
    try:
        return Ok(decode(body))
    except DECODE_ERRORS as error:
        reason = describe_error(error)
        return Err(Unsettled(f"can't decode the reply of {sender}: {reason}"))


def classify_error_status(
    status: int, operation: str
) -> Unavailable | Rejected | Unsettled:
    """Return the error that an error status of a write or order stands for.

    A gateway or an overloaded server may answer with any other status after the call
    was passed on, so such a status proves nothing.

    Parameters
    ----------
    status : int
        Status of the reply.
    operation : str
        What was called, for the reason in the error.
    """
    reason = f"{operation} returned status {status}"
    if status in REJECTED_STATUSES:
        return Rejected(reason)
    if status in NO_EFFECT_STATUSES:
        return Unavailable(reason)
    return Unsettled(reason)


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a reply; raise ValueError if it is too long to be read."""
    blocks = []
    size = 0
    async for block in response.content.iter_any():
        blocks.append(block)
        size += len(block)
        if size > MAX_REPLY_BYTES:
            raise ValueError(f"the reply is longer than {MAX_REPLY_BYTES} bytes")
    return b"".join(blocks)


class HttpCaller:
    """Makes JSON calls to one base URL and counts their bytes.

    Parameters
    ----------
    session : aiohttp.ClientSession or ConnectionPool
        Connections for the calls, which other callers may share.
    base_url : str
        Scheme, IP address and port.
    metrics : Metrics, optional
        Counts ``control_bytes`` and ``platform_calls``.
    timeout_s : float, optional
        Default timeout of a call, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession | ConnectionPool,
        base_url: str,
        *,
        metrics: Metrics | None = None,
        timeout_s: float = 2.0,
    ) -> None:
        self._sessions = session
        self._base_url = base_url.rstrip("/")
        self._metrics = metrics
        self._timeout_s = timeout_s

    async def call(
        self,
        method: str,
        path: str,
        body: object | None = None,
        *,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> Result[HttpReply, Unavailable | Unsettled]:
        """Make one call; a reply with any status but 503 is `Ok`.

        Parameters
        ----------
        method, path : str
            HTTP method, and path below the base URL.
        body : object, optional
            Body to send as JSON.
        params, headers : Mapping, optional
            Query parameters and additional headers.
        timeout_s : float, optional
            Timeout of this call, in seconds.

        Returns
        -------
        Result
            The reply, or an error: `Unavailable` if no connection was made or the
            status is 503; else `Unsettled`.
        """
        payload = b"" if body is None else json.dumps(body).encode()
        timeout = aiohttp.ClientTimeout(total=timeout_s or self._timeout_s)
        sent_headers = dict(headers or {})
        if payload:
            sent_headers["Content-Type"] = "application/json"
        session = self._session
        try:
            async with session.request(
                method,
                self._base_url + path,
                data=payload or None,
                params=params,
                timeout=timeout,
                headers=sent_headers,
                allow_redirects=False,
            ) as response:
                raw = await _read_bounded(response)
                self._count_call(len(payload) + len(path) + len(raw))
                if response.status == SERVICE_UNAVAILABLE:
                    return Err(Unavailable(f"{self._base_url} returned status 503"))
                decoded = parse_json(raw) if raw else None
                return Ok(HttpReply(response.status, decoded))
        except aiohttp.ClientConnectorError as error:
            reason = f"{self._base_url}: {error.strerror or error}"
            if isinstance(error.os_error, ConnectionRefusedError):
                return Err(Refused(reason))
            return Err(Unavailable(reason))
        except TimeoutError:
            self._replace(session)
            return Err(Unsettled(f"{self._base_url}: the call timed out"))
        except (aiohttp.ClientError, OSError) as error:
            return Err(Unsettled(f"{self._base_url}: {type(error).__name__}"))
        except DECODE_ERRORS as error:
            reason = describe_error(error)
            return Err(Unsettled(f"{self._base_url}: bad request or reply: {reason}"))

    @property
    def _session(self) -> aiohttp.ClientSession:
        if isinstance(self._sessions, ConnectionPool):
            return self._sessions.session
        return self._sessions

    def _replace(self, timed_out: aiohttp.ClientSession) -> None:
        if isinstance(self._sessions, ConnectionPool):
            self._sessions.replace(timed_out)

    def _count_call(self, size: int) -> None:
        if self._metrics is not None:
            self._metrics.count("control_bytes", size)
            self._metrics.count("platform_calls")
