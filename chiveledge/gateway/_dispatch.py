"""Takes one request from admission to its outcome."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from chiveledge.clock import Clock
from chiveledge.configuration import ConfigurationKeeper, RequestClass
from chiveledge.events import Timeline
from chiveledge.gateway._budget import RetryBudget
from chiveledge.gateway._claims import (
    Claimed,
    ClaimedElsewhere,
    ClaimStore,
    ClaimUnavailable,
    KeptAnswer,
    KeyReused,
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
RETRY_BASE_S = 0.01
RETRY_MAX_S = 0.2
SERVER_ERROR = 500
RETRY_HINT_S = 1.0
LEAST_SEND_S = 0.005
SERVICE_EWMA_WEIGHT = 0.05

LOST_REASONS = {
    "timeout": Reason.DEADLINE,
    "truncated": Reason.TRUNCATED_REPLY,
    "crossed": Reason.CROSSED_REPLY,
    "reset": Reason.LOST_REPLY,
}


class RequestEnvelope(NamedTuple):
    """A checked request of a caller.

    Attributes
    ----------
    key : str
        Idempotency key; empty for an idempotent request.
    deadline_s : float
        Seconds that the caller still waits.
    """

    request_id: RequestId
    workspace: WorkspaceName
    kind: KindName
    service: str
    request_class: RequestClass
    idempotent: bool
    key: str
    deadline_s: float
    body: bytes


class Dispatcher:
    """Admits, claims, routes, sends and retries requests.

    Parameters
    ----------
    keeper : ConfigurationKeeper
        The configuration in force.
    pool : MinionPool
        Chooses minions.
    queue : SlotQueue
        Holds requests until a slot is free.
    claims : ClaimStore
        Makes non-idempotent requests run at most once.
    connect : callable
        Returns the client of a minion.
    clock, timeline, metrics
        Time, events, counters.
    seed : int, optional
        Seed of the retry delays.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
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
        self._keeper = keeper
        self._pool = pool
        self._queue = queue
        self._claims = claims
        self._connect = connect
        self._clock = clock
        self._timeline = timeline
        self._metrics = metrics
        self._budget = RetryBudget()
        self._random = random.Random(seed)
        self._service_s = 0.0
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Requests that have no outcome yet, and answers not kept yet."""
        return self._in_progress + self._claims.pending

    async def dispatch(self, request: RequestEnvelope) -> Outcome:
        """Return the outcome of a request."""
        self._in_progress += 1
        started_s = self._clock.monotonic()
        try:
            outcome = await self._decide(request, started_s + request.deadline_s)
        finally:
            self._in_progress -= 1
        self._record(request, outcome, self._clock.monotonic() - started_s)
        return outcome

    async def _decide(self, request: RequestEnvelope, deadline: float) -> Outcome:
        refusal = self._refuse_early(request, deadline)
        if refusal is not None:
            return refusal
        if request.idempotent:
            return await self._send_until_done(request, deadline)
        fingerprint = make_fingerprint(request.kind, request.body)
        claim = await self._claims.claim(
            request.workspace, request.key, request.request_id, fingerprint
        )
        match claim:
            case Claimed():
                return await self._run_claimed(claim, request, deadline)
            case KeptAnswer(answer):
                return answer
            case ClaimedElsewhere():
                return UnknownOutcome(
                    Reason.KEY_IN_USE, "an earlier request with this key may have run"
                )
            case KeyReused():
                return SendRecord().refuse(
                    Reason.BAD_INPUT,
                    detail="the key was used for another body; choose a new key",
                )
            case ClaimUnavailable():
                return SendRecord().refuse(
                    Reason.STORE_UNAVAILABLE, retry_after_s=RETRY_HINT_S
                )
        raise AssertionError(f"unknown claim outcome {claim!r}")

    async def _run_claimed(
        self, claimed: Claimed, request: RequestEnvelope, deadline: float
    ) -> Outcome:
        outcome = await self._send_until_done(request, deadline)
        match outcome:
            case Answered():
                self._claims.keep_answer(claimed, outcome)
            case Refused():
                self._claims.withdraw(claimed)
        return outcome

    def _refuse_early(
        self, request: RequestEnvelope, deadline: float
    ) -> Outcome | None:
        """Refuse what can't be run, or can't be run in time, before any work."""
        document = self._keeper.current.document
        if not self._keeper.fresh:
            return SendRecord().refuse(
                Reason.STALE_CONFIGURATION, retry_after_s=RETRY_HINT_S
            )
        if request.request_class not in document.policy.admit:
            detail = f"preset {document.preset} does not admit {request.request_class}"
            return SendRecord().refuse(
                Reason.NOT_ADMITTED, detail=detail, retry_after_s=RETRY_HINT_S
            )
        if not self._pool.has_service(request.service):
            return SendRecord().refuse(Reason.NO_TARGET, retry_after_s=RETRY_HINT_S)
        if not self._queue.has_place(request.request_class):
            return SendRecord().refuse(Reason.QUEUE_FULL, retry_after_s=RETRY_HINT_S)
        if self._clock.monotonic() + self._expected_s(request) > deadline:
            return SendRecord().refuse(
                Reason.DEADLINE,
                detail="the queue is longer than the deadline",
                retry_after_s=RETRY_HINT_S,
            )
        return None

    def _expected_s(self, request: RequestEnvelope) -> float:
        """Return the expected time until an answer, from what waits ahead."""
        ahead = self._queue.size_ahead(request.request_class)
        if not ahead:
            return 0.0
        slots = max(self._pool.slots(request.service), 1)
        return self._service_s * (1 + ahead / slots)

    async def _send_until_done(
        self, request: RequestEnvelope, deadline: float
    ) -> Outcome:
        sends = SendRecord()
        tried: list[MinionName] = []
        self._budget.admit()
        while True:
            if not self._queue.has_place(request.request_class):
                return sends.refuse(Reason.QUEUE_FULL, retry_after_s=RETRY_HINT_S)
            minion = await self._wait_minion(request, deadline, tried)
            if minion is None:
                return sends.refuse(Reason.DEADLINE, retry_after_s=RETRY_HINT_S)
            if self._clock.monotonic() > deadline - LEAST_SEND_S:
                # The process was paused, or the slot came too late.
                self._pool.cancelled(minion.name)
                return sends.refuse(Reason.DEADLINE, retry_after_s=RETRY_HINT_S)
            tried.append(minion.name)
            outcome = await self._send(request, minion, sends, deadline)
            if outcome is not None:
                return outcome
            await self._clock.sleep(self._retry_delay_s(sends.sends))

    async def _wait_minion(
        self, request: RequestEnvelope, deadline: float, tried: list[MinionName]
    ) -> HostEntry | None:
        if tried:
            other = self._pool.pick(request.service, request.request_class, tried)
            if other is not None:
                return other
        if self._queue.size == 0:
            free = self._pool.pick(request.service, request.request_class)
            if free is not None:
                return free
        left_s = deadline - self._clock.monotonic()
        return await self._queue.wait_slot(
            request.service, request.request_class, request.workspace, left_s
        )

    async def _send(
        self,
        request: RequestEnvelope,
        minion: HostEntry,
        sends: SendRecord,
        deadline: float,
    ) -> Outcome | None:
        """Send once; return the outcome, or None to try another minion."""
        sent_s = self._clock.monotonic()
        message = MinionRequest(
            request.request_id, request.kind, request.body, deadline - sent_s
        )
        self._metrics.count("sends")
        sends.begin(minion.name)
        try:
            reply = await self._connect(minion).run(message)
        except asyncio.CancelledError:
            self._pool.cancelled(minion.name)
            raise
        took_s = self._clock.monotonic() - sent_s
        outcome = self._judge(reply, request, minion, sends, took_s)
        self._queue.grant()
        return outcome

    def _judge(
        self,
        reply,
        request: RequestEnvelope,
        minion: HostEntry,
        sends: SendRecord,
        took_s: float,
    ) -> Outcome | None:
        match reply:
            case MinionAnswer() if reply.status < SERVER_ERROR:
                self._pool.succeeded(minion.name, took_s)
                self._learn(took_s)
                return Answered(reply.status, reply.body, reply.content_type)
            case MinionAnswer():
                self._pool.failed(minion.name)
                if self._may_retry(request, sends):
                    return None
                return Answered(reply.status, reply.body, reply.content_type)
            case MinionDeclined():
                self._pool.declined(minion.name)
                self._metrics.count("rejected_sends")
                sends.declined(minion.name)
                if sends.sends < MAX_SENDS:
                    return None
                return sends.refuse(Reason.QUEUE_FULL, retry_after_s=RETRY_HINT_S)
            case MinionNotReached(reason):
                self._pool.failed(minion.name)
                sends.not_sent(minion.name)
                if sends.sends < MAX_SENDS and self._budget.spend():
                    return None
                return sends.refuse(
                    Reason.NO_TARGET, detail=reason, retry_after_s=RETRY_HINT_S
                )
            case MinionLost(kind):
                self._pool.failed(minion.name)
                if kind != "timeout" and self._may_retry(request, sends):
                    return None
                return UnknownOutcome(LOST_REASONS[kind])
        raise AssertionError(f"unknown reply {reply!r}")

    def _may_retry(self, request: RequestEnvelope, sends: SendRecord) -> bool:
        """Whether a request that may have run is sent again."""
        if not request.idempotent or sends.sends >= MAX_SENDS:
            return False
        return self._budget.spend()

    def _retry_delay_s(self, sends: int) -> float:
        """Return a delay with full jitter."""
        return self._random.uniform(0, min(RETRY_BASE_S * 2**sends, RETRY_MAX_S))

    def _learn(self, took_s: float) -> None:
        weight = SERVICE_EWMA_WEIGHT if self._service_s else 1.0
        self._service_s += weight * (took_s - self._service_s)

    def _record(
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
            detail=_why(outcome),
        )


def _why(outcome: Outcome) -> str:
    match outcome:
        case Answered(replayed=True):
            return "replayed"
        case Answered(status):
            return f"status {status}"
        case Refused(reason) | UnknownOutcome(reason):
            return str(reason)
    raise AssertionError(f"unknown outcome {outcome!r}")
