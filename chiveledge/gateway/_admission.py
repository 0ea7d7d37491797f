"""Validation of callers' requests, before any store call or send."""

from __future__ import annotations

import hmac
import uuid

from aiohttp import web
from result import Err, Ok, Result

from chiveledge.clock import SystemClock
from chiveledge.configuration import ConfigurationReplica, hash_token
from chiveledge.gateway._dispatch import RequestEnvelope
from chiveledge.http_errors import make_refusal
from chiveledge.http_limits import BodyLost, BodyTooLarge, BodyTooLate
from chiveledge.http_limits import read_body as read_limited_body
from chiveledge.outcomes import Reason
from chiveledge.types import WorkspaceName

HEADER_WORKSPACE = "Chiveledge-Workspace"
HEADER_DEADLINE_MS = "Chiveledge-Deadline-Ms"
HEADER_KEY = "Idempotency-Key"
MAX_KEY_CHARS = 128
BODY_TIMEOUT_S = 10.0
STALE_RETRY_AFTER_S = 1.0
MS_PER_S = 1000


def parse_bearer_token(request: web.Request) -> str:
    """Return the bearer token of a request, or an empty string."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token if scheme == "Bearer" else ""


def check_workspace(
    request: web.Request, configuration: ConfigurationReplica
) -> Result[WorkspaceName, web.Response]:
    """Return the workspace that the caller is authenticated for, or a refusal.

    A stale document lets nobody in and refuses nobody as unknown: the workspace may
    have been added since, or its token revoked.
    """
    if configuration.current is None:
        return Err(_make_stale("no configuration is set yet; an operator must set one"))
    if not configuration.fresh:
        return Err(_make_stale("the configuration may be stale; send it again"))
    name = request.headers.get(HEADER_WORKSPACE, "")
    workspace = configuration.current.document.workspaces.get(name)
    if workspace is None:
        detail = f"{HEADER_WORKSPACE}: unknown workspace {name!r}; name one of yours"
        return Err(make_refusal(Reason.UNAUTHORISED, detail))
    digest = hash_token(parse_bearer_token(request))
    if not hmac.compare_digest(digest, workspace.token_sha256):
        detail = f"Authorization: not the token of workspace {name!r}"
        return Err(make_refusal(Reason.UNAUTHORISED, detail))
    return Ok(name)


def _make_stale(detail: str) -> web.Response:
    return make_refusal(
        Reason.STALE_CONFIGURATION, detail, retry_after_s=STALE_RETRY_AFTER_S
    )


def check_key(request: web.Request) -> Result[str, web.Response]:
    """Return the idempotency key, or a refusal if it is missing or malformed."""
    key = request.headers.get(HEADER_KEY, "")
    allowed = key.isascii() and key.replace("-", "").replace("_", "").isalnum()
    if not key or len(key) > MAX_KEY_CHARS or not allowed:
        detail = (
            f"{HEADER_KEY}: got {key[:40]!r}; send 1 to {MAX_KEY_CHARS} letters, "
            "digits, '-' or '_', the same for each repeat"
        )
        return Err(make_refusal(Reason.BAD_INPUT, detail))
    return Ok(key)


async def read_body(
    request: web.Request, configuration: ConfigurationReplica
) -> Result[bytes, web.Response]:
    """Return the body of an authenticated caller, or a refusal.

    It is refused if it is too large or arrives too slowly, or if the caller's token was
    revoked meanwhile.
    """
    limit = request.client_max_size
    match await read_limited_body(request, limit, SystemClock(), BODY_TIMEOUT_S):
        case Ok(body):
            return check_workspace(request, configuration).map(lambda _: body)
        case Err(BodyTooLate(timeout_s)):
            detail = f"the body took longer than {timeout_s:g} s; send it faster"
            return Err(make_refusal(Reason.BAD_INPUT, detail, status=408))
        case Err(BodyLost()):
            return Err(make_refusal(Reason.BAD_INPUT, "the connection broke"))
        case Err(BodyTooLarge()):
            detail = f"the body is larger than {limit} bytes"
            return Err(make_refusal(Reason.BAD_INPUT, detail, status=413))
    raise AssertionError("unreachable")


async def check_request(
    request: web.Request, configuration: ConfigurationReplica
) -> Result[RequestEnvelope, web.Response]:
    """Return the validated request, or a refusal that names the invalid field."""
    match check_workspace(request, configuration):
        case Ok(name):
            workspace = name
        case Err(refusal):
            return Err(refusal)
    current = configuration.current
    kinds = current.document.kinds
    kind_name = request.match_info["kind"]
    kind = kinds.get(kind_name)
    if kind is None:
        detail = f"unknown kind {kind_name!r}; use one of {', '.join(sorted(kinds))}"
        return Err(make_refusal(Reason.BAD_INPUT, detail, status=404))
    deadline_ms = request.headers.get(HEADER_DEADLINE_MS, str(kind.deadline_ms))
    if not deadline_ms.isdecimal() or not 0 < int(deadline_ms) <= 3_600_000:
        detail = f"{HEADER_DEADLINE_MS}: got {deadline_ms!r}; send 1 to 3600000"
        return Err(make_refusal(Reason.BAD_INPUT, detail))
    key = ""
    if not kind.idempotent:
        match check_key(request):
            case Ok(found):
                key = found
            case Err(refusal):
                return Err(refusal)
    match await read_body(request, configuration):
        case Ok(read):
            body = read
        case Err(refusal):
            return Err(refusal)
    if configuration.current is not current:
        # The kind may be gone or changed. The request keeps its body.
        return await check_request(request, configuration)
    envelope = RequestEnvelope(
        request_id=uuid.uuid4().hex,
        workspace=workspace,
        kind=kind_name,
        service=kind.service,
        request_class=kind.request_class,
        idempotent=kind.idempotent,
        key=key,
        timeout_s=int(deadline_ms) / MS_PER_S,
        body=body,
    )
    return Ok(envelope)
