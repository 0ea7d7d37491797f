"""Authenticates calls to the administration API by the operator token."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable

from aiohttp import web

from chiveledge.http_errors import make_refusal
from chiveledge.outcomes import Reason

ADMIN_PREFIX = "/v1/admin/"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_token_check(token: str):
    """Return middleware that refuses administration calls without the operator token.

    Parameters
    ----------
    token : str
        Operator token from the settings.
    """
    expected = f"Bearer {token}".encode()

    @web.middleware
    async def check_token(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path.startswith(ADMIN_PREFIX):
            received = request.headers.get("Authorization", "").encode()
            if not hmac.compare_digest(received, expected):
                detail = "Authorization: send the operator token of the settings"
                return make_refusal(Reason.UNAUTHORISED, detail)
        return await handler(request)

    return check_token
