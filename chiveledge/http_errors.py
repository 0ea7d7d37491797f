"""Error replies of the caller API and of the administration API."""

from __future__ import annotations

from typing import TypedDict

from aiohttp import web

from chiveledge.outcomes import Reason
from chiveledge.types import RequestId

REFUSED_STATUS = {
    Reason.BAD_INPUT: 400,
    Reason.UNAUTHORISED: 401,
    Reason.QUEUE_FULL: 429,
    Reason.DEADLINE: 503,
}
UNAVAILABLE_STATUS = 503
UNKNOWN_STATUS = 504


class ErrorBody(TypedDict):
    """Body of an error reply.

    ``outcome`` is ``"refused"`` if the request was not carried out, or ``"unknown"`` if
    it may have been.
    """

    outcome: str
    reason: str
    detail: str
    retry_after_s: float
    request_id: RequestId


def make_error(
    status: int,
    outcome: str,
    reason: Reason,
    detail: str,
    *,
    request_id: RequestId = "",
    retry_after_s: float = 0.0,
) -> web.Response:
    """Return an error reply with the given status and outcome."""
    body = ErrorBody(
        outcome=outcome,
        reason=str(reason),
        detail=detail,
        retry_after_s=retry_after_s,
        request_id=request_id,
    )
    headers = {"Chiveledge-Outcome": outcome, "Chiveledge-Request-Id": request_id}
    if retry_after_s:
        headers["Retry-After"] = str(max(1, round(retry_after_s)))
    return web.json_response(body, status=status, headers=headers)


def make_refusal(
    reason: Reason,
    detail: str,
    *,
    status: int | None = None,
    request_id: RequestId = "",
    retry_after_s: float = 0.0,
) -> web.Response:
    """Return a refusal: the request was not carried out."""
    return make_error(
        status or REFUSED_STATUS.get(reason, UNAVAILABLE_STATUS),
        "refused",
        reason,
        detail,
        request_id=request_id,
        retry_after_s=retry_after_s,
    )


def make_unknown(
    reason: Reason, detail: str, *, request_id: RequestId = ""
) -> web.Response:
    """Return an unknown outcome: the request may have been carried out."""
    return make_error(UNKNOWN_STATUS, "unknown", reason, detail, request_id=request_id)
