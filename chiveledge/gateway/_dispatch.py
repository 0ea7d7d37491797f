"""Dispatches requests to minions, from admission to outcome."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from chiveledge.clock import Clock
from chiveledge.configuration import ConfigurationReplica, RequestClass
from chiveledge.events import Timeline
from chiveledge.gateway._budget import RetryBudget
from chiveledge.gateway._claims import (
    Claimed,
    ClaimHeld,
    ClaimStore,
    ClaimUnavailable,
    KeyReused,
    StoredAnswer,
    make_fingerprint,
)
from chiveledge.gateway._queue import SlotQueue
from chiveledge.gateway._router import MinionPool
from chiveledge.metrics import Metrics
from chiveledge.outcomes import (
    Answered,
    Outcome,
    Reason,
    Refused,
    SendRecord,
    UnknownOutcome,
)
from chiveledge.services import (
    HostEntry,
    Minion,
    MinionAnswer,
    MinionDeclined,
    MinionLost,
    MinionNotReached,
    MinionRequest,
)
from chiveledge.types import KindName, MinionName, RequestId, WorkspaceName

MAX_SENDS = 4
"""Maximum number of sends of one request, including the first."""

RETRY_BASE_S = 0.01
RETRY_MAX_S = 0.2
SERVER_ERROR_STATUS = 500
RETRY_AFTER_S = 1.0
MIN_SEND_TIME_S = 0.005
"""Time before the deadline below which a request is no longer sent."""

OVERALL_EWMA_WEIGHT = 0.05
"""Weight of the latest service time in the moving average of all minions."""

REASON_BY_LOSS = {
    "timeout": Reason.DEADLINE,
    "truncated": Reason.TRUNCATED_REPLY,
    "crossed": Reason.CROSSED_REPLY,
    "reset": Reason.LOST_REPLY,
}


class RequestEnvelope(NamedTuple):
    """A validated request of a caller.

    Attributes
    ----------
    key : str
        Idempotency key; empty for an idempotent request.
    timeout_s : float
        How long the caller waits for the outcome, in seconds.
    """

    request_id: RequestId
    workspace: WorkspaceName
    kind: KindName
    service: str
    request_class: RequestClass
    idempotent: bool
    key: str
    timeout_s: float
    body: bytes


class Dispatcher:
    """Admits, claims, routes, sends and retries requests.

    Parameters
    ----------
    configuration : ConfigurationReplica
        Provides the configuration in force.
    pool : MinionPool
        Selects the minion for each send.
    queue : SlotQueue
        Holds requests until a slot is free.
    claims : ClaimStore
        Ensures that a non-idempotent request runs at most once.
    connect : callable
        Returns the client of a minion.
    clock : Clock
        Time source.
    timeline : Timeline
        Receives one event per request.
    metrics : Metrics
        Receives counters and latencies.
    seed : int, optional
        Seed of the retry jitter.
    """

    def __init__(
        self,
        configuration: ConfigurationReplica,
        pool: MinionPool,
        queue: SlotQueue,
        claims: ClaimStore,
        connect: Callable[[HostEntry], Minion],
        clock: Clock,
        timeline: Timeline,
        metrics: Metrics,
        *,
        seed: int = 0,
    ) -> None:
        self._configuration = configuration
        self._pool = pool
        self._queue = queue
        self._claims = claims
        self._connect = connect
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._budget = RetryBudget()
        self._random = random.Random(seed)
        self._service_time_s = 0.0
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Number of requests without an outcome, plus pending claim updates."""
        return self._in_progress + self._claims.pending

    async def dispatch(self, request: RequestEnvelope) -> Outcome:
        """Run a request and return its outcome."""
        self._in_progress += 1
        started_s = self._clock.monotonic()
        try:
            outcome = await self._process(request, started_s + request.timeout_s)
        finally:
            self._in_progress -= 1
        self._record_outcome(request, outcome, self._clock.monotonic() - started_s)
        return outcome

    async def _process(self, request: RequestEnvelope, deadline_s: float) -> Outcome:
        """Return the outcome of a request; `deadline_s` is a monotonic time."""
        refusal = self._check_admission(request, deadline_s)
        if refusal is not None:
            return refusal
        if request.idempotent:
            return await self._send_with_retries(request, deadline_s)
        fingerprint = make_fingerprint(request.kind, request.body)
        claim = await self._claims.claim(
            request.workspace, request.key, request.request_id, fingerprint
        )
        match claim:
            case Claimed():
                return await self._run_claimed(claim, request, deadline_s)
            case StoredAnswer(answer):
                return answer
            case ClaimHeld():
                return UnknownOutcome(
                    Reason.KEY_IN_USE, "an earlier request with this key may have run"
                )
            case KeyReused():
                return SendRecord().refuse(
                    Reason.BAD_INPUT,
                    detail="the key was used for a different request; choose a new key",
                )
            case ClaimUnavailable():
                return SendRecord().refuse(
                    Reason.STORE_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
                )
        raise AssertionError(f"unknown claim outcome {claim!r}")

    async def _run_claimed(
        self, claimed: Claimed, request: RequestEnvelope, deadline_s: float
    ) -> Outcome:
        outcome = await self._send_with_retries(request, deadline_s)
        match outcome:
            case Answered():
                self._claims.store_answer(claimed, outcome)
            case Refused():
                self._claims.release(claimed)
        return outcome

    def _check_admission(
        self, request: RequestEnvelope, deadline_s: float
    ) -> Outcome | None:
        """Return a refusal if the request can't be run, or not before `deadline_s`.

        Runs before the request is claimed or queued, so a refusal costs no store
        call and no slot.
        """
        document = self._configuration.current.document
        if not self._configuration.fresh:
            return SendRecord().refuse(
                Reason.STALE_CONFIGURATION, retry_after_s=RETRY_AFTER_S
            )
        if request.request_class not in document.policy.admit:
            detail = f"preset {document.preset} does not admit {request.request_class}"
            return SendRecord().refuse(
                Reason.NOT_ADMITTED, detail=detail, retry_after_s=RETRY_AFTER_S
            )
        if not self._pool.has_service(request.service):
            return SendRecord().refuse(Reason.NO_TARGET, retry_after_s=RETRY_AFTER_S)
        if not self._queue.can_enqueue(request.request_class):
            return SendRecord().refuse(Reason.QUEUE_FULL, retry_after_s=RETRY_AFTER_S)
        if self._clock.monotonic() + self._estimate_latency_s(request) > deadline_s:
            return SendRecord().refuse(
                Reason.DEADLINE,
                detail="the expected wait in the queue exceeds the deadline",
                retry_after_s=RETRY_AFTER_S,
            )
        return None

    def _estimate_latency_s(self, request: RequestEnvelope) -> float:
        """Estimate the time to an answer from the queue ahead; 0 if it is empty."""
        ahead = self._queue.size_ahead(request.request_class)
        if not ahead:
            return 0.0
        slots = max(self._pool.slots(request.service), 1)
        return self._service_time_s * (1 + ahead / slots)

    async def _send_with_retries(
        self, request: RequestEnvelope, deadline_s: float
    ) -> Outcome:
        sends = SendRecord()
        tried: list[MinionName] = []
        self._budget.record_request()
        while True:
            if not self._queue.can_enqueue(request.request_class):
                return sends.refuse(Reason.QUEUE_FULL, retry_after_s=RETRY_AFTER_S)
            minion = await self._acquire_minion(request, deadline_s, tried)
            if minion is None:
                return sends.refuse(Reason.DEADLINE, retry_after_s=RETRY_AFTER_S)
            if self._clock.monotonic() > deadline_s - MIN_SEND_TIME_S:
                # The process was suspended, or the slot was granted too late.
                self._pool.release(minion.name)
                return sends.refuse(Reason.DEADLINE, retry_after_s=RETRY_AFTER_S)
            tried.append(minion.name)
            outcome = await self._send(request, minion, sends, deadline_s)
            if outcome is not None:
                return outcome
            await self._clock.sleep(self._retry_delay_s(sends.sends))

    async def _acquire_minion(
        self, request: RequestEnvelope, deadline_s: float, tried: list[MinionName]
    ) -> HostEntry | None:
        """Allocate a slot, preferably at a minion that was not tried yet.

        Requests in the queue go first unless this is a retry at an untried minion.
        """
        if tried:
            untried = self._pool.pick(request.service, request.request_class, tried)
            if untried is not None:
                return untried
        if self._queue.size == 0:
            minion = self._pool.pick(request.service, request.request_class)
            if minion is not None:
                return minion
        remaining_s = deadline_s - self._clock.monotonic()
        return await self._queue.wait_for_slot(
            request.service, request.request_class, request.workspace, remaining_s
        )

    async def _send(
        self,
        request: RequestEnvelope,
        minion: HostEntry,
        sends: SendRecord,
        deadline_s: float,
    ) -> Outcome | None:
        """Send once and return the outcome, or None if a retry is due."""
        sent_s = self._clock.monotonic()
        message = MinionRequest(
            request.request_id, request.kind, request.body, deadline_s - sent_s
        )
        self._metrics.count("sends")
        sends.record_send(minion.name)
        try:
            reply = await self._connect(minion).run(message)
        except asyncio.CancelledError:
            self._pool.release(minion.name)
            raise
        took_s = self._clock.monotonic() - sent_s
        outcome = self._handle_reply(reply, request, minion, sends, took_s)
        self._queue.grant()
        return outcome

    def _handle_reply(
        self,
        reply,
        request: RequestEnvelope,
        minion: HostEntry,
        sends: SendRecord,
        took_s: float,
    ) -> Outcome | None:
        """Return the outcome for a reply, or None if a retry is due."""
        match reply:
            case MinionAnswer() if reply.status < SERVER_ERROR_STATUS:
                self._pool.record_success(minion.name, took_s)
                self._update_service_time(took_s)
                return Answered(reply.status, reply.body, reply.content_type)
            case MinionAnswer():
                self._pool.record_failure(minion.name)
                if self._may_retry(request, sends):
                    return None
                return Answered(reply.status, reply.body, reply.content_type)
            case MinionDeclined():
                self._pool.record_decline(minion.name)
                self._metrics.count("rejected_sends")
                sends.record_decline(minion.name)
                if sends.sends < MAX_SENDS:
                    return None
                return sends.refuse(Reason.QUEUE_FULL, retry_after_s=RETRY_AFTER_S)
            case MinionNotReached(reason):
                self._pool.record_failure(minion.name)
                sends.record_not_sent(minion.name)
                if sends.sends < MAX_SENDS and self._budget.try_spend():
                    return None
                return sends.refuse(
                    Reason.NO_TARGET, detail=reason, retry_after_s=RETRY_AFTER_S
                )
            case MinionLost(kind):
                self._pool.record_failure(minion.name)
                if kind != "timeout" and self._may_retry(request, sends):
                    return None
                return UnknownOutcome(REASON_BY_LOSS[kind])
        raise AssertionError(f"unknown reply {reply!r}")

    def _may_retry(self, request: RequestEnvelope, sends: SendRecord) -> bool:
        """Whether to resend a request that may have run."""
        if not request.idempotent or sends.sends >= MAX_SENDS:
            return False
        return self._budget.try_spend()

    def _retry_delay_s(self, sends: int) -> float:
        """Return an exponential delay with full jitter."""
        return self._random.uniform(0, min(RETRY_BASE_S * 2**sends, RETRY_MAX_S))

    def _update_service_time(self, took_s: float) -> None:
        weight = OVERALL_EWMA_WEIGHT if self._service_time_s else 1.0
        self._service_time_s += weight * (took_s - self._service_time_s)

    def _record_outcome(
        self, request: RequestEnvelope, outcome: Outcome, took_s: float
    ) -> None:
        name = type(outcome).__name__
        self._metrics.count(f"outcome_{name}")
        self._metrics.observe(f"{request.request_class}_s", took_s)
        self._timeline.add(
            "gateway",
            "request_done",
            request.request_id,
            outcome=name,
            detail=_describe_outcome(outcome),
        )


def _describe_outcome(outcome: Outcome) -> str:
    match outcome:
        case Answered(replayed=True):
            return "replayed"
        case Answered(status):
            return f"status {status}"
        case Refused(reason) | UnknownOutcome(reason):
            return str(reason)
    raise AssertionError(f"unknown outcome {outcome!r}")
