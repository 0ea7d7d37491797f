"""Callers' HTTP interface in the platform's words."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable

from aiohttp import web
from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.intake import (
    RELAYED_HEADER,
    REVISION_HEADER,
    Accepted,
    JobStatus,
    JobStatusCache,
    JobStore,
    MaybeDone,
    NotFound,
    NotStored,
    NotTaken,
    Relay,
    Relayed,
    UnknownOutcome,
    choose_retry_after_s,
)
from chiveledge.metrics import Metrics
from chiveledge.platform._catalogue import decode_job
from chiveledge.workload import Catalogue, Queue, RouteMatch

JOB_ID = re.compile(r"[0-9a-f]{16}")
DEADLINE_HEADER = "X-Deadline-Ms"
RELAYED_NAMES = ("Host", "Authorization", "Content-Type", DEADLINE_HEADER)
"""Headers of a request that a peer needs to answer it."""

DEFAULT_PATIENCE_S = 3.0
ANSWER_MARGIN_S = 0.15
"""Time that an answer needs on its way back to the caller."""


FIRST_ERROR_STATUS = 400


class ErrorAnswer(web.Response):
    """An answer that is no success, and why.

    Parameters
    ----------
    status : int
        HTTP status.
    reason_text : str
        What the caller is told.
    """

    def __init__(self, status: int, reason_text: str) -> None:
        super().__init__(
            status=status,
            text=json.dumps({"error": reason_text}),
            content_type="application/json",
        )
        self.reason_text = reason_text


class FrontHandler:
    """Answers callers.

    Parameters
    ----------
    catalogue : callable
        Returns the configuration in force.
    configuration_age_s : callable
        Time since the configuration in force was confirmed.
    trusted_age_s : float
        Age up to which jobs are taken under it.
    is_closing : callable
        Whether connections are to end after the present answer.
    desk, board
        Accepts and reads jobs; counts waiting ones.
    relay : Relay
        Hands requests to peers while the configuration can't be trusted.
    clock, log, metrics
        Time, lines and counters.
    """

    def __init__(
        self,
        catalogue: Callable[[], Catalogue],
        configuration_age_s: Callable[[], float],
        trusted_age_s: float,
        is_closing: Callable[[], bool],
        desk: JobStore,
        board: JobStatusCache,
        relay: Relay,
        clock: Clock,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.in_progress = 0
        self._catalogue = catalogue
        self._configuration_age_s = configuration_age_s
        self._trusted_age_s = trusted_age_s
        self._is_closing = is_closing
        self._desk = desk
        self._board = board
        self._relay = relay
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._shown_revision = 0

    @property
    def _out_of_touch(self) -> bool:
        """Whether the configuration in force may have changed unnoticed."""
        return self._configuration_age_s() > self._trusted_age_s

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.in_progress += 1
        began_s = self._clock.monotonic()
        try:
            response = await self._route(request)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The caller is gone; nobody can be answered.
            response = web.Response(status=400)
        except web.HTTPException as error:
            response = _plain(error.status, error.reason)
        finally:
            self.in_progress -= 1
        if RELAYED_HEADER in request.headers:
            response.headers[REVISION_HEADER] = str(self._catalogue().revision)
        if self._is_closing() or self._out_of_touch:
            # The caller's next request should reach another host.
            response.force_close()
        if response.status >= FIRST_ERROR_STATUS:
            self._note_error(request, response)
        self._metrics.count(f"answers_{request.method}_{response.status}")
        self._metrics.observe("answer_s", self._clock.monotonic() - began_s)
        return response

    def _note_error(
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
            reason=response.reason_text if isinstance(response, ErrorAnswer) else "",
            revision=self._catalogue().revision,
            age_s=round(self._configuration_age_s(), 3),
        )

    async def _route(self, request: web.BaseRequest) -> web.Response:
        catalogue = self._catalogue()
        if self._out_of_touch and RELAYED_HEADER not in request.headers:
            relayed = await self._hand_on(request)
            if relayed is not None:
                return relayed
        if catalogue.revision == 0:
            return self._refuse("no configuration was read yet")
        if catalogue.revision < max(self._shown_revision, _least_revision(request)):
            return self._refuse("a newer configuration was shown to callers")
        host = request.headers.get("Host", "").rpartition(":")
        match = catalogue.find_route(host[0] or host[2], request.path)
        if match is None:
            return _plain(404, "no such queue")
        queue = match.queue
        workspace = "" if queue.is_public else _find_owner(request, catalogue)
        if workspace is None:
            return _plain(401, "unknown key")
        rest = request.path.removeprefix(queue.path_prefix)
        if not rest:
            return self._count(request, queue)
        if not JOB_ID.fullmatch(rest):
            return _plain(404, "a job's ID is 16 hexadecimal digits")
        match request.method:
            case "POST":
                self._note_route(rest, match, workspace)
                return await self._submit(request, queue, workspace, rest)
            case "GET":
                return await self._read(rest, workspace)
            case "DELETE":
                return await self._cancel(request, rest)
        return _plain(405, "use POST, GET or DELETE")

    def _note_route(self, job_id: str, match: RouteMatch, workspace: str) -> None:
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

    async def _hand_on(self, request: web.BaseRequest) -> web.Response | None:
        """Return a peer's answer; None if none has it and nothing was done."""
        body = await self._read_body(request)
        if body is None:
            return self._refuse_size()
        kept = {
            name: request.headers[name]
            for name in RELAYED_NAMES
            if name in request.headers
        }
        outcome = await self._relay.forward(
            request.method,
            request.path,
            kept,
            body,
            max(self._shown_revision, self._catalogue().revision),
            _patience_s(request),
        )
        match outcome:
            case Relayed(status, revision, answer, retry_after):
                self._shown_revision = max(self._shown_revision, revision)
                response = web.Response(
                    status=status, body=answer, content_type="application/json"
                )
                if retry_after is not None:
                    response.headers["Retry-After"] = retry_after
                return response
            case MaybeDone(reason) if request.method != "GET":
                return _plain(504, reason)
            case MaybeDone() | NotTaken():
                return None
        raise AssertionError("unreachable")

    async def _read_body(self, request: web.BaseRequest) -> bytes | None:
        """Return a request's body, or None if it is larger than operators allow."""
        limit = self._catalogue().limits.body_bytes
        if (request.content_length or 0) > limit:
            return None
        body = await request.read()
        return body if len(body) <= limit else None

    def _refuse_size(self) -> web.Response:
        limit = self._catalogue().limits.body_bytes
        return _plain(413, f"send at most {limit} bytes")

    async def _submit(
        self, request: web.BaseRequest, queue: Queue, workspace: str, job_id: str
    ) -> web.Response:
        began_s = self._clock.monotonic()
        body = await self._read_body(request)
        if body is None:
            return self._refuse_size()
        if self._out_of_touch:
            return self._refuse("the configuration is not confirmed")
        accepted_ms = int(self._clock.now().timestamp() * 1000)
        match decode_job(body, job_id, queue, workspace, accepted_ms):
            case Ok(job):
                pass
            case Err(bad):
                return _plain(400, f"{bad.field}: {bad.remedy}")
        patience_s = _patience_s(request) - (self._clock.monotonic() - began_s)
        match await self._desk.submit(job, patience_s):
            case Accepted():
                return web.json_response({})
            case NotStored(reason):
                return self._refuse(reason)
            case UnknownOutcome(reason):
                return _plain(504, reason)
        raise AssertionError("unreachable")

    async def _read(self, job_id: str, workspace: str) -> web.Response:
        match await self._desk.read(job_id):
            case JobStatus(workspace=owner, state=state) if owner == workspace:
                return web.json_response({"state": state})
            case JobStatus() | NotFound():
                return _plain(410, "no such job")
            case UnknownOutcome(reason):
                return self._refuse(reason)
        raise AssertionError("unreachable")

    async def _cancel(self, request: web.BaseRequest, job_id: str) -> web.Response:
        match await self._desk.cancel(job_id, _patience_s(request)):
            case Accepted():
                return web.json_response({})
            case NotFound():
                return _plain(410, "no such job")
            case UnknownOutcome(reason):
                return _plain(504, reason)
        raise AssertionError("unreachable")

    def _refuse(self, reason: str) -> web.Response:
        response = _plain(503, reason)
        pause_s = choose_retry_after_s(self._configuration_age_s())
        response.headers["Retry-After"] = str(pause_s)
        return response

    def _count(self, request: web.BaseRequest, queue: Queue) -> web.Response:
        if request.method != "GET":
            return _plain(405, "use GET")
        return web.json_response({"waiting": self._board.count_waiting(queue.key)})


def _find_owner(request: web.BaseRequest, catalogue: Catalogue) -> str | None:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return catalogue.owners.get(key.strip()) if scheme == "Bearer" else None


def _least_revision(request: web.BaseRequest) -> int:
    """Return the least revision under which a peer wants its request answered."""
    text = request.headers.get(REVISION_HEADER, "")
    return int(text) if RELAYED_HEADER in request.headers and text.isdecimal() else 0


def _patience_s(request: web.BaseRequest) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    if not text.isdecimal():
        return DEFAULT_PATIENCE_S - ANSWER_MARGIN_S
    return int(text) / 1000 - ANSWER_MARGIN_S


def _plain(status: int, reason: str) -> ErrorAnswer:
    return ErrorAnswer(status, reason)
