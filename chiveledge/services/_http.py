"""One HTTP call with a typed error that tells whether it may have had an effect."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp
from result import Err, Ok, Result

from chiveledge.metrics import Metrics
from chiveledge.services.errors import Unavailable, Unsettled

SERVICE_UNAVAILABLE = 503


class HttpReply(NamedTuple):
    """Status and decoded JSON body of a reply."""

    status: int
    body: Any


class HttpCaller:
    """Makes JSON calls to one base URL and counts their bytes.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared connection pool.
    base_url : str
        Scheme, IP address and port.
    metrics : Metrics, optional
        Counts ``control_bytes`` where given.
    timeout_s : float, optional
        Bound on one call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        metrics: Metrics | None = None,
        timeout_s: float = 2.0,
    ) -> None:
        self._session = session
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
        timeout_s: float | None = None,
    ) -> Result[HttpReply, Unavailable | Unsettled]:
        """Make one call; any reply but 503 is `Ok`."""
        payload = b"" if body is None else json.dumps(body).encode()
        limit = aiohttp.ClientTimeout(total=timeout_s or self._timeout_s)
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=payload or None,
                params=params,
                timeout=limit,
                headers={"Content-Type": "application/json"} if payload else None,
            ) as response:
                raw = await response.read()
                self._count(len(payload) + len(path) + len(raw))
                if response.status == SERVICE_UNAVAILABLE:
                    return Err(Unavailable(f"{self._base_url} answered 503"))
                decoded = json.loads(raw) if raw else None
                return Ok(HttpReply(response.status, decoded))
        except aiohttp.ClientConnectorError as error:
            return Err(Unavailable(f"{self._base_url}: {error.strerror or error}"))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Err(Unsettled(f"{self._base_url}: {type(error).__name__}"))
        except ValueError:
            return Err(Unsettled(f"{self._base_url}: the reply is no JSON"))

    def _count(self, size: int) -> None:
        if self._metrics is not None:
            self._metrics.count("control_bytes", size)
            self._metrics.count("platform_calls")
