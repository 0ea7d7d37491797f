"""Minions: backends that run one request per slot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol, TypeAlias

import aiohttp

from chiveledge.services import _wire
from chiveledge.types import KindName, RequestId


class MinionRequest(NamedTuple):
    """Request to a minion.

    Attributes
    ----------
    deadline_s : float
        Time that the minion has for the request, in seconds.
    """

    request_id: RequestId
    kind: KindName
    body: bytes
    deadline_s: float


@dataclass(frozen=True)
class MinionAnswer:
    """Complete reply that carries the ID of the request.

    Attributes
    ----------
    running : int
        Number of requests that the minion reports as running.
    """

    status: int
    body: bytes
    content_type: str
    running: int


@dataclass(frozen=True)
class MinionDeclined:
    """The minion replied that it did not run the request."""

    running: int


@dataclass(frozen=True)
class MinionNotReached:
    """No connection was made, so no part of the request was sent."""

    reason: str


@dataclass(frozen=True)
class MinionLost:
    """The request may have run, but no complete reply to it arrived.

    Attributes
    ----------
    kind : str
        ``"timeout"``, ``"truncated"``, ``"crossed"`` (a reply with the ID of another
        request) or ``"reset"``.
    """

    kind: str


MinionReply: TypeAlias = MinionAnswer | MinionDeclined | MinionNotReached | MinionLost


class Minion(Protocol):
    """Backend that runs requests."""

    async def run(self, request: MinionRequest) -> MinionReply:
        """Run one request and return its outcome."""


class HttpMinion:
    """Client of one minion over HTTP, with a bounded number of connections.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for this minion alone, whose connector limits the connections.
    url : str
        Scheme, IP address and port.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/") + _wire.MINION_RUN

    async def run(self, request: MinionRequest) -> MinionReply:
        headers = {
            _wire.HEADER_REQUEST_ID: request.request_id,
            _wire.HEADER_KIND: request.kind,
            _wire.HEADER_DEADLINE_MS: str(int(request.deadline_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(total=request.deadline_s)
        try:
            async with self._session.post(
                self._url, data=request.body, headers=headers, timeout=timeout
            ) as response:
                return await _read_reply(response, request)
        except aiohttp.ClientConnectorError as error:
            return MinionNotReached(str(error.strerror or error))
        except (TimeoutError, aiohttp.ServerTimeoutError):
            return MinionLost("timeout")
        except aiohttp.ClientPayloadError:
            return MinionLost("truncated")
        except (aiohttp.ClientError, OSError):
            return MinionLost("reset")


async def _read_reply(
    response: aiohttp.ClientResponse, request: MinionRequest
) -> MinionReply:
    if response.headers.get(_wire.HEADER_REQUEST_ID) != request.request_id:
        # Later replies on this connection may belong to other requests as well.
        response.close()
        return MinionLost("crossed")
    body = await response.read()
    if response.content_length is None and "Transfer-Encoding" not in response.headers:
        # Without a length, a truncated body can't be told from a complete one.
        return MinionLost("truncated")
    running = int(response.headers.get(_wire.HEADER_RUNNING, "0"))
    if response.status == _wire.MINION_BUSY_STATUS:
        return MinionDeclined(running)
    return MinionAnswer(response.status, body, response.content_type, running)
