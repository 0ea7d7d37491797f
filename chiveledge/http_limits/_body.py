"""Reads the body of a request piece by piece into one buffer, within limits."""

from __future__ import annotations

from typing import NamedTuple

from aiohttp import web
from result import Err, Ok, Result

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.http_limits._handler import LimitedRequestHandler

BODY_KEY = web.RequestKey("body", bytes)
"""Key under which a request keeps its body, for a handler that reads it twice."""


class BodyTooLarge(NamedTuple):
    """The body is larger than the limit in bytes."""

    limit: int


class BodyTooLate(NamedTuple):
    """The body wasn't complete within the timeout in seconds."""

    timeout_s: float


class BodyLost(NamedTuple):
    """The connection was lost before the body was complete."""


async def read_body(
    request: web.BaseRequest, limit: int, clock: Clock, timeout_s: float
) -> Result[bytes, BodyTooLarge | BodyTooLate | BodyLost]:
    """Read the body of a request.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    limit : int
        Maximum size of the body in bytes.
    clock : Clock
        Measures the timeout.
    timeout_s : float
        Time in which the body must be complete, in seconds.

    Returns
    -------
    Result
        The body, or an error after which nothing of it is kept.
    """
    if BODY_KEY in request:
        return Ok(request[BODY_KEY])
    if (request.content_length or 0) > limit:
        return Err(BodyTooLarge(limit))
    if request.content.is_eof():
        outcome = await _read(request, limit)
    else:
        waited = await run_with_timeout(clock, _read(request, limit), timeout_s)
        if waited.is_err():
            return Err(BodyTooLate(timeout_s))
        outcome = waited.unwrap()
    if outcome.is_ok():
        request[BODY_KEY] = outcome.unwrap()
    return outcome


async def _read(
    request: web.BaseRequest, limit: int
) -> Result[bytes, BodyTooLarge | BodyLost]:
    """Read the body, and record each piece in the budget of its connection."""
    protocol = request.protocol
    body = bytearray()
    try:
        while block := await request.content.readany():
            if len(body) + len(block) > limit:
                return Err(BodyTooLarge(limit))
            body += block
            if isinstance(protocol, LimitedRequestHandler):
                protocol.record_merged(len(block))
        return Ok(bytes(body))
    except ConnectionError as error:
        # The stream keeps the error. With its traceback the error refers to the stream
        # in turn, and both would be kept until the next collection of garbage.
        error.__traceback__ = None
        return Err(BodyLost())
