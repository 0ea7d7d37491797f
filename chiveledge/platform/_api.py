"""HTTP API of the callers, in the platform's protocol."""

from __future__ import annotations

import asyncio
import json
import math
import re
from collections.abc import Callable

from aiohttp import web
from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.http_limits import BodyLost, BodyTooLarge, BodyTooLate, read_body
from chiveledge.intake import (
    RELAYED_HEADER,
    REVISION_HEADER,
    Accepted,
    Infeasible,
    JobIdInUse,
    JobStatus,
    JobStatusCache,
    JobStore,
    MaybeDone,
    NotFound,
    NotStored,
    NotTaken,
    Refused,
    Relay,
    Relayed,
    TooManyCancellations,
    UnknownOutcome,
    Withdrawn,
    choose_retry_after_s,
)
from chiveledge.metrics import Metrics
from chiveledge.platform._catalogue import decode_job
from chiveledge.workload import Catalogue, Queue, RouteMatch

JOB_ID = re.compile(r"[0-9a-f]{16}")
DEADLINE_HEADER = "X-Deadline-Ms"
FORWARDED_HEADERS = ("Host", "Authorization", "Content-Type", DEADLINE_HEADER)
"""Headers that a forwarded request keeps."""

DEFAULT_TIMEOUT_S = 3.0
"""Timeout of a request without `DEADLINE_HEADER`."""

RESPONSE_MARGIN_S = 0.15
"""Time that the response needs to reach the caller."""

MIN_ERROR_STATUS = 400
MAX_HEADER_DIGITS = 15


class ErrorResponse(web.Response):
    """Error response with its reason as JSON.

    Parameters
    ----------
    status : int
        HTTP status.
    reason_text : str
        Reason that the caller receives.
    """

    def __init__(self, status: int, reason_text: str) -> None:
        super().__init__(
            status=status,
            text=json.dumps({"error": reason_text}),
            content_type="application/json",
        )
        self.reason_text = reason_text


class RelayedResponse(web.Response):
    """Response that a peer made.

    Parameters
    ----------
    relayed : Relayed
        Answer of the peer.

    Attributes
    ----------
    peer : str
        Name of the peer.
    """

    def __init__(self, relayed: Relayed) -> None:
        super().__init__(
            status=relayed.status, body=relayed.body, content_type="application/json"
        )
        if relayed.retry_after is not None:
            self.headers["Retry-After"] = relayed.retry_after
        self.peer = relayed.peer


class ApiHandler:
    """Handler of the callers' requests.

    Parameters
    ----------
    catalogue : callable
        Returns the configuration in force.
    configuration_age_s : callable
        Returns the time since the configuration was last confirmed, in seconds.
    max_configuration_age_s : callable
        Returns the age up to which requests are decided by the configuration, in
        seconds.
    is_draining : callable
        Returns whether the process is draining, so that connections are to be closed.
    job_store : JobStore
        Submits, reads and cancels jobs.
    status_cache : JobStatusCache
        Counts waiting jobs.
    relay : Relay
        Forwards requests to peers while the configuration is stale.
    clock : Clock
        Time source.
    log : DecisionLog
        Receives a line for each submission and each error response.
    metrics : Metrics
        Receives the number of responses by method and status, and their durations.
    """

    def __init__(
        self,
        catalogue: Callable[[], Catalogue],
        configuration_age_s: Callable[[], float],
        max_configuration_age_s: Callable[[], float],
        is_draining: Callable[[], bool],
        job_store: JobStore,
        status_cache: JobStatusCache,
        relay: Relay,
        clock: Clock,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.in_progress = 0
        self._catalogue = catalogue
        self._configuration_age_s = configuration_age_s
        self._max_configuration_age_s = max_configuration_age_s
        self._is_draining = is_draining
        self._job_store = job_store
        self._status_cache = status_cache
        self._relay = relay
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._max_served_revision = 0

    @property
    def _has_stale_configuration(self) -> bool:
        """Whether a newer configuration may exist that this process has not read.

        Nothing is decided by a stale configuration, neither for callers nor for peers:
        its queues and keys may have been removed, and others added.
        """
        return self._configuration_age_s() > self._max_configuration_age_s()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        self.in_progress += 1
        started_s = self._clock.monotonic()
        try:
            response = await self._route(request, started_s)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The caller has disconnected and gets no response.
            response = web.Response(status=400)
        except web.RequestPayloadError:
            response = _make_error(400, "the body can't be read")
        except web.HTTPException as error:
            response = _make_error(error.status, error.reason)
        finally:
            self.in_progress -= 1
        if RELAYED_HEADER in request.headers:
            response.headers[REVISION_HEADER] = str(self._catalogue().revision)
        if self._is_draining() or self._has_stale_configuration:
            # Closing the connection lets the load balancer send the caller's next
            # request to another host.
            response.force_close()
        if response.status >= MIN_ERROR_STATUS:
            self._log_error(request, response)
        self._metrics.count(f"answers_{request.method}_{response.status}")
        self._metrics.observe("answer_s", self._clock.monotonic() - started_s)
        return response

    def _log_error(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        self._log.write(
            "front",
            "not_served",
            id=request.path.rpartition("/")[2],
            method=request.method,
            path=request.path,
            status=response.status,
            retry_after=response.headers.get("Retry-After"),
            reason=response.reason_text if isinstance(response, ErrorResponse) else "",
            peer=response.peer if isinstance(response, RelayedResponse) else None,
            revision=self._catalogue().revision,
            age_s=round(self._configuration_age_s(), 3),
        )

    async def _route(self, request: web.BaseRequest, started_s: float) -> web.Response:
        if self._has_stale_configuration and RELAYED_HEADER not in request.headers:
            relayed = await self._forward(request)
            if relayed is not None:
                return relayed
        # Read after the wait, in which a newer configuration may have arrived.
        catalogue = self._catalogue()
        if catalogue.revision == 0:
            return self._make_unavailable("no configuration has been read yet")
        if self._has_stale_configuration:
            return self._make_unavailable("the configuration may be stale")
        if catalogue.revision < max(
            self._max_served_revision, _get_min_revision(request)
        ):
            return self._make_unavailable("callers have seen a newer configuration")
        host = request.headers.get("Host", "").rpartition(":")
        match = catalogue.find_route(host[0] or host[2], request.path)
        if match is None:
            return _make_error(404, "no such queue")
        queue = match.queue
        workspace = "" if queue.is_public else _find_workspace(request, catalogue)
        if workspace is None:
            return _make_error(401, "unknown API key")
        job_id = request.path.removeprefix(queue.path_prefix)
        if not job_id:
            return self._count_waiting(request, queue)
        if not JOB_ID.fullmatch(job_id):
            return _make_error(404, "a job ID has 16 hexadecimal digits")
        match request.method:
            case "POST":
                return await self._submit(
                    request, started_s, catalogue, match, workspace, job_id
                )
            case "GET":
                return await self._read(job_id, workspace)
            case "DELETE":
                return await self._cancel(request, job_id, workspace)
        return _make_error(405, "use POST, GET or DELETE")

    def _log_route(self, job_id: str, match: RouteMatch, workspace: str) -> None:
        self._log.write(
            "front",
            "routed",
            id=job_id,
            queue=match.queue.key,
            shorter=match.shorter,
            service=match.queue.service,
            priority=match.queue.priority,
            workspace=workspace,
            revision=self._catalogue().revision,
            age_s=round(self._configuration_age_s(), 3),
        )

    async def _forward(self, request: web.BaseRequest) -> web.Response | None:
        """Forward a request; return the response, or None to handle it here.

        Without a peer's answer, this process may handle a request that no peer can have
        processed, and a GET request, which has no effect.
        """
        body = await self._read_body(request)
        if isinstance(body, ErrorResponse):
            return body
        headers = {
            name: request.headers[name]
            for name in FORWARDED_HEADERS
            if name in request.headers
        }
        outcome = await self._relay.forward(
            request.method,
            request.path,
            headers,
            body,
            max(self._max_served_revision, self._catalogue().revision),
            _get_timeout_s(request),
        )
        match outcome:
            case Relayed(revision=revision):
                self._max_served_revision = max(self._max_served_revision, revision)
                return RelayedResponse(outcome)
            case MaybeDone(reason) if request.method != "GET":
                return _make_error(504, reason)
            case MaybeDone() | NotTaken():
                return None
        raise AssertionError("unreachable")

    async def _read_body(self, request: web.BaseRequest) -> bytes | ErrorResponse:
        """Return a request's body, or a refusal if it is too large or too late."""
        limit = self._catalogue().limits.body_bytes
        timeout_s = _get_timeout_s(request)
        match await read_body(request, limit, self._clock, timeout_s):
            case Ok(body):
                return body
            case Err(BodyTooLarge()):
                return _make_error(413, f"send at most {limit} bytes")
            case Err(BodyLost()):
                return _make_error(400, "the connection broke")
            case Err(BodyTooLate()):
                response = _make_error(408, "the body was not complete in time")
                response.force_close()
                return response
        raise AssertionError("unreachable")

    async def _submit(
        self,
        request: web.BaseRequest,
        started_s: float,
        catalogue: Catalogue,
        route: RouteMatch,
        workspace: str,
        job_id: str,
    ) -> web.Response:
        body = await self._read_body(request)
        if isinstance(body, ErrorResponse):
            return body
        if self._has_stale_configuration:
            return self._make_unavailable("the configuration may be stale")
        if self._catalogue() is not catalogue:
            # The queue or the key may be gone. The request keeps its body.
            return await self._route(request, started_s)
        self._log_route(job_id, route, workspace)
        accepted_ms = int(self._clock.now().timestamp() * 1000)
        match decode_job(body, job_id, route.queue, workspace, accepted_ms):
            case Ok(job):
                pass
            case Err(error):
                return _make_error(400, f"{error.field}: {error.remedy}")
        timeout_s = _get_timeout_s(request) - (self._clock.monotonic() - started_s)
        match await self._job_store.submit(job, timeout_s):
            case Accepted():
                return web.json_response({})
            case NotStored(reason):
                return await self._submit_by_peer(request, reason)
            case Refused(reason):
                return _make_error(413, f"send a smaller job: {reason}")
            case Infeasible(reason):
                return _make_error(422, reason)
            case Withdrawn():
                reason = "the job was cancelled before it was stored; choose a new ID"
                return _make_error(410, reason)
            case JobIdInUse():
                return _make_error(409, "another job has this ID; choose a new one")
            case UnknownOutcome(reason):
                return _make_error(504, reason)
        raise AssertionError("unreachable")

    async def _submit_by_peer(
        self, request: web.BaseRequest, reason: str
    ) -> web.Response:
        """Forward a submission that the store refused to this process alone, perhaps.

        Load pattern: the store turns some hosts away and serves the others, and callers
        of these hosts come back only after a pause.
        """
        relayed = None
        if RELAYED_HEADER not in request.headers:
            relayed = await self._forward(request)
        return relayed or self._make_unavailable(reason)

    async def _read(self, job_id: str, workspace: str) -> web.Response:
        match await self._job_store.read(job_id):
            case JobStatus(workspace=owner, state=state) if owner == workspace:
                return web.json_response({"state": state})
            case JobStatus() | NotFound():
                return _make_error(410, "no such job")
            case UnknownOutcome(reason):
                return self._make_unavailable(reason)
        raise AssertionError("unreachable")

    async def _cancel(
        self, request: web.BaseRequest, job_id: str, workspace: str
    ) -> web.Response:
        timeout_s = _get_timeout_s(request)
        match await self._job_store.cancel(job_id, workspace, timeout_s):
            case Accepted():
                return web.json_response({})
            case NotFound():
                return _make_error(410, "no such job")
            case TooManyCancellations(retry_after_s):
                reason = "too many cancellations of unknown jobs; send fewer"
                response = _make_error(429, reason)
                response.headers["Retry-After"] = str(math.ceil(retry_after_s))
                return response
            case UnknownOutcome(reason):
                return _make_error(504, reason)
        raise AssertionError("unreachable")

    def _make_unavailable(self, reason: str) -> web.Response:
        response = _make_error(503, reason)
        retry_after_s = choose_retry_after_s(self._configuration_age_s())
        response.headers["Retry-After"] = str(retry_after_s)
        return response

    def _count_waiting(self, request: web.BaseRequest, queue: Queue) -> web.Response:
        if request.method != "GET":
            return _make_error(405, "use GET")
        return web.json_response(
            {"waiting": self._status_cache.count_waiting(queue.key)}
        )


def _find_workspace(request: web.BaseRequest, catalogue: Catalogue) -> str | None:
    """Return the workspace of a request's API key, or None if the key is unknown."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return catalogue.owners.get(key.strip()) if scheme == "Bearer" else None


def _get_min_revision(request: web.BaseRequest) -> int:
    """Return the minimum configuration revision of a forwarded request, or 0."""
    if RELAYED_HEADER not in request.headers:
        return 0
    return _parse_number_header(request, REVISION_HEADER) or 0


def _get_timeout_s(request: web.BaseRequest) -> float:
    """Return the time left for processing a request, in seconds."""
    deadline_ms = _parse_number_header(request, DEADLINE_HEADER)
    if deadline_ms is None:
        return DEFAULT_TIMEOUT_S - RESPONSE_MARGIN_S
    return deadline_ms / 1000 - RESPONSE_MARGIN_S


def _parse_number_header(request: web.BaseRequest, name: str) -> int | None:
    """Return a header's value, or None if it is missing or not a usable number."""
    text = request.headers.get(name, "")
    is_number = text.isdecimal() and len(text) <= MAX_HEADER_DIGITS
    return int(text) if is_number else None


def _make_error(status: int, reason: str) -> ErrorResponse:
    return ErrorResponse(status, reason)
