"""One HTTP call with a typed error that tells whether it may have had an effect."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp
from result import Err, Ok, Result

from chiveledge.metrics import Metrics
from chiveledge.services.errors import Unavailable, Unsettled

SERVICE_UNAVAILABLE = 503

REPLACED_SESSION_S = 5.0
"""How long calls of a replaced session may still take; no timeout is longer."""


class HttpReply(NamedTuple):
    """Status and decoded JSON body of a reply."""

    status: int
    body: Any


class SessionPool:
    """Kept-alive connections to one service, replaced when one falls silent.

    A connection can go silent without a reset while new ones work, and then others
    of its age may be silent too. After a timeout all calls use new connections.

    Parameters
    ----------
    limit : int, optional
        Connections at the same time.
    """

    def __init__(self, limit: int = 16) -> None:
        self._limit = limit
        self._session: aiohttp.ClientSession | None = None
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session that new calls use."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=self._limit, keepalive_timeout=30)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    def replace(self, silent: aiohttp.ClientSession) -> None:
        """Use new connections from now on; calls in progress may still end."""
        if silent is not self._session:
            return
        self._session = None
        task = asyncio.create_task(_close_later(silent))
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


async def _close_later(session: aiohttp.ClientSession) -> None:
    try:
        await asyncio.sleep(REPLACED_SESSION_S)
    finally:
        await session.close()


class HttpCaller:
    """Makes JSON calls to one base URL and counts their bytes.

    Parameters
    ----------
    session : aiohttp.ClientSession or SessionPool
        Shared connections.
    base_url : str
        Scheme, IP address and port.
    metrics : Metrics, optional
        Counts ``control_bytes`` where given.
    timeout_s : float, optional
        Bound on one call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession | SessionPool,
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
        """Make one call; any reply but 503 is `Ok`."""
        payload = b"" if body is None else json.dumps(body).encode()
        limit = aiohttp.ClientTimeout(total=timeout_s or self._timeout_s)
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
                timeout=limit,
                headers=sent_headers,
            ) as response:
                raw = await response.read()
                self._count(len(payload) + len(path) + len(raw))
                if response.status == SERVICE_UNAVAILABLE:
                    return Err(Unavailable(f"{self._base_url} answered 503"))
                decoded = json.loads(raw) if raw else None
                return Ok(HttpReply(response.status, decoded))
        except aiohttp.ClientConnectorError as error:
            return Err(Unavailable(f"{self._base_url}: {error.strerror or error}"))
        except TimeoutError:
            self._replace(session)
            return Err(Unsettled(f"{self._base_url}: no answer in time"))
        except (aiohttp.ClientError, OSError) as error:
            return Err(Unsettled(f"{self._base_url}: {type(error).__name__}"))
        except ValueError:
            return Err(Unsettled(f"{self._base_url}: the reply is no JSON"))

    @property
    def _session(self) -> aiohttp.ClientSession:
        if isinstance(self._sessions, SessionPool):
            return self._sessions.session
        return self._sessions

    def _replace(self, silent: aiohttp.ClientSession) -> None:
        if isinstance(self._sessions, SessionPool):
            self._sessions.replace(silent)

    def _count(self, size: int) -> None:
        if self._metrics is not None:
            self._metrics.count("control_bytes", size)
            self._metrics.count("platform_calls")
