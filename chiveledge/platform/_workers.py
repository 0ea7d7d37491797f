"""Decoder of the platform's list of workers, and client of one worker."""

from __future__ import annotations

from collections.abc import Callable
from ipaddress import IPv4Address
from typing import Any, TypeVar

from result import Err, Ok, Result

from chiveledge.decision_log import DecisionLog
from chiveledge.decoding import (
    DECODE_ERRORS,
    check_number,
    check_type,
    check_whole_number,
    describe_error,
    parse_json,
)
from chiveledge.metrics import Metrics
from chiveledge.platform._settings import MAX_PORT
from chiveledge.services import (
    CallError,
    ConnectionPool,
    HttpCaller,
    HttpReply,
    Row,
    Unsettled,
    classify_error_status,
    decode_reply,
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

T = TypeVar("T")

WORKER_PREFIX = "servers/"

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421
HTTP_TOO_MANY_REQUESTS = 429

ORDER_TIMEOUT_S = 0.8
POLL_MARGIN_S = 0.8
"""Time allowed for the answer to a poll, in addition to the duration of its wait."""

MAX_ORDER_CONNECTIONS = 7
"""Most connections to a worker that carry orders."""

USABLE_STATES = ("ready", "draining")

MAX_LISTED_ENDS = 500
"""Most ends in one report; a report with fewer lists all of them."""

_DECLINE_REASONS = {
    "fence": DeclineReason.FENCE,
    "old": DeclineReason.OLD_RUN,
    "late": DeclineReason.LEASE_EXPIRED,
    "room": DeclineReason.NO_CAPACITY,
    "ticket": DeclineReason.NO_TICKET,
}


class WorkerDecoder:
    """Decoder of the rows in the platform's list of workers.

    Parameters
    ----------
    log : DecisionLog
        Receives a line for each row that can't be decoded.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log

    def decode(self, row: Row) -> WorkerEntry | None:
        """Decode a row, or log it and return None if it is invalid."""
        name = row.key.removeprefix(WORKER_PREFIX)
        try:
            return _decode_entry(name, parse_json(row.value))
        except DECODE_ERRORS as error:
            self._log.write(
                "workers", "bad_entry", worker=name, error=describe_error(error)
            )
            return None


def _decode_entry(name: str, fields: dict) -> WorkerEntry:
    if not name.isprintable() or not name:
        raise ValueError(f"the name {name!r} can't be sent in a header")
    state = check_type(fields["state"], str)
    if state not in USABLE_STATES:
        raise ValueError(f"unknown state {state!r}")
    capacity = check_type(fields["capacity"], dict)
    labels = [check_type(label, str) for label in fields["labels"]]
    remaining = fields.get("remaining_ms")
    return WorkerEntry(
        name=name,
        service=check_type(fields["service"], str),
        address=_check_address(check_type(fields["address"], str)),
        domain=check_type(fields.get("zone", ""), str),
        # The rack is the last label; the kind of the worker precedes it.
        rack=labels[-1] if labels else "",
        labels=frozenset(labels),
        capacity=Usage(
            check_whole_number(capacity.get("cpu", 0)),
            check_whole_number(capacity.get("mem_mb", 0)),
            check_whole_number(capacity.get("gpu", 0)),
        ),
        incarnation_ms=check_whole_number(fields.get("born", 0)),
        draining=state == "draining",
        leaves_s=None if remaining is None else check_whole_number(remaining) / 1000,
        machine=check_type(fields.get("machine", ""), str),
        cold_left_s=check_number(fields.get("cold_left_ms", 0)) / 1000,
    )


def _check_address(address: str) -> str:
    """Return an address of the form IP:PORT, and raise ValueError for any other.

    A host name would have to be looked up, which the platform does not offer.
    """
    host, _, port = address.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{address!r} has no port from 1 to {MAX_PORT}")
    IPv4Address(host)
    return address


class PlatformWorker:
    """Client of one worker.

    Polls have a connection of their own. What a poll acknowledges holds only for a
    moment, so it must not wait behind orders.

    Parameters
    ----------
    entry : WorkerEntry
        Name and address of the worker.
    metrics : Metrics
        Receives the counts of calls and bytes.
    """

    def __init__(self, entry: WorkerEntry, metrics: Metrics) -> None:
        self._order_pool = ConnectionPool(limit=MAX_ORDER_CONNECTIONS)
        self._poll_pool = ConnectionPool(limit=1)
        self._headers = {"X-Expect-Instance": entry.name}
        url = f"http://{entry.address}"
        self._order_caller = HttpCaller(
            self._order_pool, url, metrics=metrics, timeout_s=ORDER_TIMEOUT_S
        )
        self._poll_caller = HttpCaller(self._poll_pool, url, metrics=metrics)

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
        return await self._send_order("/run-start", body)

    async def stop(
        self, order: StopOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Stop a run, or prevent its start if it has not started."""
        return await self._send_order("/run-stop", order._asdict())

    async def pace(
        self, order: PaceOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Set the percentage of its full speed at which a run works."""
        return await self._send_order("/pace", order._asdict())

    async def poll(
        self, request: PollRequest
    ) -> Result[PollReport, Declined | CallError]:
        """Extend the lease and return the runs that are in progress or ended."""
        body: dict[str, object] = {
            "fence": request.fence,
            "last_seen": request.acknowledged,
        }
        if request.lease_end_ms is not None:
            body["until_ms"] = request.lease_end_ms
        if request.wait_s:
            body["wait_ms"] = int(request.wait_s * 1000)
        reply = await self._poll_caller.call(
            "POST",
            "/hold",
            body,
            headers=self._headers,
            timeout_s=request.wait_s + POLL_MARGIN_S,
        )
        match reply:
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_OK:
                return _decode(_decode_report, answer)
            case Ok(answer):
                return Err(_decode_decline(answer))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def close(self) -> None:
        """Close all connections."""
        await self._order_pool.close()
        await self._poll_pool.close()

    async def _send_order(
        self, path: str, body: dict[str, object]
    ) -> Result[OrderAccepted, Declined | CallError]:
        reply = await self._order_caller.call("POST", path, body, headers=self._headers)
        match reply:
            case Ok(HttpReply(status=status, body=answer)) if status == HTTP_OK:
                return _decode(_decode_accepted, answer)
            case Ok(answer):
                return Err(_decode_decline(answer))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode(decode: Callable[[Any], T], body: object) -> Result[T, Unsettled]:
    return decode_reply(decode, body, "the worker")


def _decode_accepted(body: object) -> OrderAccepted:
    return OrderAccepted(_decode_clock(_get_fields(body)))


def _get_fields(body: object) -> dict:
    """Return the fields of an answer, which may have no body."""
    return {} if body is None else check_type(body, dict)


def _decode_decline(reply: HttpReply) -> Declined | CallError:
    match reply.status:
        case status if status == HTTP_CONFLICT:
            return _decode_conflict(reply.body)
        case status if status == HTTP_MISDIRECTED:
            return Declined(DeclineReason.OTHER_LIFE)
        case status if status == HTTP_TOO_MANY_REQUESTS:
            return Declined(DeclineReason.UNHEALTHY)
        case status if status == HTTP_BAD_REQUEST:
            return Declined(DeclineReason.BAD_ORDER)
        case status:
            return classify_error_status(status, "the worker")


def _decode_conflict(body: object) -> Declined | Unsettled:
    match _decode(_decode_reason, body):
        case Ok(declined):
            return declined
        case Err(error):
            return error
    raise AssertionError("unreachable")


def _decode_reason(body: object) -> Declined:
    fields = _get_fields(body)
    reason = _DECLINE_REASONS.get(fields.get("reason"), DeclineReason.BAD_ORDER)
    return Declined(reason, _decode_clock(fields))


def _decode_clock(fields: dict) -> int:
    """Return the reading of the worker's clock, which some answers lack."""
    return check_whole_number(fields.get("clock_ms", 0))


def _decode_report(body: object) -> PollReport:
    fields = check_type(body, dict)
    ended = tuple(_decode_ended(row) for row in fields.get("ended", ()))
    return PollReport(
        check_whole_number(fields["clock_ms"]),
        check_whole_number(fields.get("born", 0)),
        tuple(_decode_running(row) for row in fields.get("running", ())),
        ended,
        has_more_ends=len(ended) >= MAX_LISTED_ENDS,
    )


def _decode_running(row: list) -> RunningTask:
    return RunningTask(
        check_type(row[0], str),
        check_whole_number(row[1]),
        check_type(row[2], str),
        check_number(row[3]),
        check_number(row[4]) if len(row) > 4 else 0,
    )


def _decode_ended(row: list) -> EndedTask:
    return EndedTask(
        check_whole_number(row[0]),
        check_type(row[1], str),
        check_whole_number(row[2]),
        RunEnd(row[3]),
        check_type(row[4], str),
    )
