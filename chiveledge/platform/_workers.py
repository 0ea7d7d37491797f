"""Workers as the platform lists them, and orders to them."""

from __future__ import annotations

import json

from result import Err, Ok, Result

from chiveledge.decision_log import DecisionLog
from chiveledge.metrics import Metrics
from chiveledge.platform._typed import DECODE_ERRORS, number, typed
from chiveledge.services import (
    CallError,
    ConnectionPool,
    HttpCaller,
    HttpReply,
    Row,
    Unavailable,
    Unsettled,
)
from chiveledge.services.task_worker import (
    Declined,
    DeclineReason,
    EndedTask,
    OrderAccepted,
    PaceOrder,
    PollReport,
    PollRequest,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from chiveledge.workload import RunEnd, Usage

WORKER_PREFIX = "servers/"

HTTP_OK = 200
HTTP_BAD = 400
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421
HTTP_BUSY = 429

ORDER_TIMEOUT_S = 0.8
LOOK_MARGIN_S = 0.8
"""Time beyond its wait after which a look counts as unanswered."""

KNOWN_STATES = ("ready", "draining")

_REASONS = {
    "fence": DeclineReason.FENCE,
    "old": DeclineReason.OLD_RUN,
    "late": DeclineReason.LEASE_EXPIRED,
    "room": DeclineReason.NO_CAPACITY,
    "ticket": DeclineReason.NO_TICKET,
}


class WorkerDecoder:
    """Decodes rows of the platform's list of workers.

    Parameters
    ----------
    log : DecisionLog
        Receives a line for each row that names no worker to use.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log

    def decode(self, row: Row) -> WorkerEntry | None:
        """Return the entry of a row, or None if it names no worker to use."""
        name = row.key.removeprefix(WORKER_PREFIX)
        try:
            return _decode_entry(name, json.loads(row.value))
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            self._log.write("workers", "bad_entry", worker=name, error=repr(error))
            return None


def _decode_entry(name: str, fields: dict) -> WorkerEntry:
    state = fields["state"]
    if state not in KNOWN_STATES:
        raise ValueError(f"unknown state {state!r}")
    address = typed(fields["address"], str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"bad address {address!r}")
    capacity = fields["capacity"]
    labels = [typed(label, str) for label in fields["labels"]]
    remaining = fields.get("remaining_ms")
    return WorkerEntry(
        name=name,
        service=typed(fields["service"], str),
        address=address,
        domain=typed(fields.get("zone", ""), str),
        # The labels are the kind of the worker and then its rack.
        rack=labels[-1] if labels else "",
        labels=frozenset(labels),
        capacity=Usage(
            typed(capacity.get("cpu", 0), int),
            typed(capacity.get("mem_mb", 0), int),
            typed(capacity.get("gpu", 0), int),
        ),
        incarnation_ms=typed(fields.get("born", 0), int),
        draining=state == "draining",
        leaves_s=None if remaining is None else typed(remaining, int) / 1000,
        machine=typed(fields.get("machine", ""), str),
    )


class PlatformWorker:
    """Orders to one worker.

    Parameters
    ----------
    entry : WorkerEntry
        Names the worker and its address.
    metrics : Metrics
        Counts calls and bytes.
    """

    def __init__(self, entry: WorkerEntry, metrics: Metrics) -> None:
        self._pool = ConnectionPool(limit=8)
        self._headers = {"X-Expect-Instance": entry.name}
        self._caller = HttpCaller(
            self._pool,
            f"http://{entry.address}",
            metrics=metrics,
            timeout_s=ORDER_TIMEOUT_S,
        )

    async def start(
        self, order: StartOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Start a run."""
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "until_ms": order.lease_end_ms,
            "fence": order.fence,
        }
        if order.checkpoint:
            body["checkpoint_data"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order("/run-start", body)

    async def stop(
        self, order: StopOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Stop or bar a run."""
        return await self._order("/run-stop", order._asdict())

    async def pace(
        self, order: PaceOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Set the share of its speed at which a run works."""
        return await self._order("/pace", order._asdict())

    async def poll(
        self, request: PollRequest
    ) -> Result[PollReport, Declined | CallError]:
        """Extend the lease and look."""
        body: dict[str, object] = {
            "fence": request.fence,
            "last_seen": request.acknowledged,
        }
        if request.lease_end_ms is not None:
            body["until_ms"] = request.lease_end_ms
        if request.wait_s:
            body["wait_ms"] = int(request.wait_s * 1000)
        reply = await self._caller.call(
            "POST",
            "/hold",
            body,
            headers=self._headers,
            timeout_s=request.wait_s + LOOK_MARGIN_S,
        )
        match reply:
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_OK:
                return _decode_report(answer)
            case Ok(answer):
                return Err(_decode_decline(answer))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def close(self) -> None:
        """Release connections."""
        await self._pool.close()

    async def _order(
        self, path: str, body: dict[str, object]
    ) -> Result[OrderAccepted, Declined | CallError]:
        match await self._caller.call("POST", path, body, headers=self._headers):
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_OK:
                return _decode_accepted(answer)
            case Ok(answer):
                return Err(_decode_decline(answer))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode_accepted(body: object) -> Result[OrderAccepted, CallError]:
    try:
        return Ok(OrderAccepted(typed(_read_fields(body).get("clock_ms", 0), int)))
    except DECODE_ERRORS as error:
        return Err(Unsettled(f"the worker's answer can't be read: {error!r}"))


def _read_fields(body: object) -> dict:
    """Return the fields of an answer; some have no body."""
    return {} if body is None else typed(body, dict)


def _decode_decline(reply: HttpReply) -> Declined | CallError:
    match reply.status:
        case status if status == HTTP_CONFLICT:
            return _decode_conflict(reply.body)
        case status if status == HTTP_MISDIRECTED:
            return Declined(DeclineReason.OTHER_LIFE)
        case status if status == HTTP_BUSY:
            return Declined(DeclineReason.UNHEALTHY)
        case status if status == HTTP_BAD:
            return Declined(DeclineReason.BAD_ORDER)
        case status if status < 500:
            return Unavailable(f"the worker answered {status}")
        case status:
            return Unsettled(f"the worker answered {status}")


def _decode_conflict(body: object) -> Declined | CallError:
    try:
        fields = _read_fields(body)
        clock_ms = typed(fields.get("clock_ms", 0), int)
        reason = _REASONS.get(fields.get("reason"), DeclineReason.BAD_ORDER)
    except DECODE_ERRORS as error:
        return Unsettled(f"the worker's refusal can't be read: {error!r}")
    return Declined(reason, clock_ms)


def _decode_report(body: object) -> Result[PollReport, CallError]:
    try:
        fields = typed(body, dict)
        return Ok(
            PollReport(
                typed(fields["clock_ms"], int),
                typed(fields.get("born", 0), int),
                tuple(_decode_running(row) for row in fields.get("running", ())),
                tuple(_decode_ended(row) for row in fields.get("ended", ())),
            )
        )
    except DECODE_ERRORS as error:
        return Err(Unsettled(f"the worker's report can't be read: {error!r}"))


def _decode_running(row: list) -> RunningTask:
    return RunningTask(
        typed(row[0], str),
        typed(row[1], int),
        typed(row[2], str),
        number(row[3]),
        number(row[4]) if len(row) > 4 else 0,
    )


def _decode_ended(row: list) -> EndedTask:
    return EndedTask(
        typed(row[0], int),
        typed(row[1], str),
        typed(row[2], int),
        RunEnd(row[3]),
        typed(row[4], str),
    )
