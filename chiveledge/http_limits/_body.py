"""Reads the body of a request piece by piece into one buffer."""

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
    """The body wasn't complete in time."""

    timeout_s: float


async def read_body(
    request: web.BaseRequest, limit: int, clock: Clock, timeout_s: float
) -> Result[bytes, BodyTooLarge | BodyTooLate]:
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
    if outcome is None:
        return Err(BodyTooLarge(limit))
    request[BODY_KEY] = outcome
    return Ok(outcome)


async def _read(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return the body, or None if it is larger than `limit`."""
    protocol = request.protocol
    body = bytearray()
    while block := await request.content.readany():
        if len(body) + len(block) > limit:
            return None
        body += block
        if isinstance(protocol, LimitedRequestHandler):
            protocol.record_merged(len(block))
    return bytes(body)
