"""Workers that run the members of gangs under leases, and their HTTP client."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from chiveledge.services import _wire
from chiveledge.services._http import HttpCaller, classify_error_status, decode_reply
from chiveledge.services.errors import CallError, Conflict
from chiveledge.types import AttemptId, Epoch, JobId, RegionName

HTTP_OK = 200
HTTP_CONFLICT = 409

SYNC_TIMEOUT_MARGIN_S = 2.0
"""Time beyond the wait of a sync call after which it times out."""


class TaskState(StrEnum):
    """State of a gang member on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class MemberPlacement(NamedTuple):
    """Worker and resources on which one member of a gang runs.

    Attributes
    ----------
    member : int
        Index within the gang.
    worker : str
        Name of the worker.
    accelerators : tuple of int
        Indices of accelerators on the worker; empty for a member without accelerators.
    cores, memory_mb : int
        Processor cores and memory reserved on the worker.
    """

    member: int
    worker: str
    accelerators: tuple[int, ...]
    cores: int
    memory_mb: int


class Reservation(NamedTuple):
    """Request to reserve resources for members of an attempt on one worker.

    Attributes
    ----------
    lease_s : float
        How long the reservation lasts without renewal, in seconds.
    payload : str
        Payload of the job, passed on unchanged.
    resume_s : float
        Work saved by a checkpoint of an earlier attempt, in seconds.
    members : tuple of MemberPlacement
        Resources of each member on the worker.
    """

    region: RegionName
    epoch: Epoch
    job: JobId
    attempt: AttemptId
    lease_s: float
    payload: str
    resume_s: float
    members: tuple[MemberPlacement, ...]


class AttemptOrder(NamedTuple):
    """Order to start, stop, checkpoint, throttle or forget attempts on one worker."""

    region: RegionName
    epoch: Epoch
    attempts: tuple[AttemptId, ...]
    lease_s: float = 0.0


class SyncRequest(NamedTuple):
    """Request to renew leases and to report changes of the region's tasks.

    Attributes
    ----------
    renew : tuple of str
        Attempts whose leases end `lease_s` after receipt of the request.
    after : int
        Number of the last event that the caller knows.
    wait_s : float
        How long the worker may delay its reply if there are no later events, in
        seconds.
    """

    region: RegionName
    epoch: Epoch
    renew: tuple[AttemptId, ...]
    lease_s: float
    after: int
    wait_s: float


class TaskReport(NamedTuple):
    """State of one member, as reported by its worker.

    Attributes
    ----------
    result : str
        Result of a finished member.
    saved_s : float
        Work saved by the last checkpoint, in seconds, with that of earlier attempts.
    """

    job: JobId
    attempt: AttemptId
    member: int
    accelerators: tuple[int, ...]
    state: TaskState
    result: str = ""
    saved_s: float = 0.0
    used_memory_mb: int = 0
    used_cores: float = 0.0


class WorkerReport(NamedTuple):
    """Reply of a worker to a sync request.

    Attributes
    ----------
    event : int
        Number of the worker's last event.
    tasks : tuple of TaskReport or None
        All tasks of the region; None if there was no event after the caller's last.
    """

    event: int
    tasks: tuple[TaskReport, ...] | None


class Worker(Protocol):
    """Reserves, starts, stops and reports tasks.

    Each call carries the caller's epoch for the region; a worker declines a call
    whose epoch is lower than the highest that it has seen for that region.
    """

    async def sync(self, request: SyncRequest) -> Result[WorkerReport, CallError]:
        """Renew leases and return the tasks, after `wait_s` at the latest."""

    async def reserve(self, request: Reservation) -> Result[None, CallError]:
        """Reserve resources; a conflict means that some of them are not free."""

    async def start(self, order: AttemptOrder) -> Result[None, CallError]:
        """Start reserved members."""

    async def stop(self, order: AttemptOrder) -> Result[None, CallError]:
        """Stop members; `Ok` means that they no longer run."""

    async def checkpoint(self, order: AttemptOrder) -> Result[None, CallError]:
        """Checkpoint members, so that stopping them loses little work."""

    async def throttle(self, order: AttemptOrder) -> Result[None, CallError]:
        """Limit members to the resources they reserved."""

    async def forget(self, order: AttemptOrder) -> Result[None, CallError]:
        """Remove ended members from the worker's reports."""


class HttpWorker:
    """Client of one worker over HTTP.

    Parameters
    ----------
    caller : HttpCaller
        Connections to the worker.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def sync(self, request: SyncRequest) -> Result[WorkerReport, CallError]:
        reply = await self._caller.call(
            "POST",
            _wire.WORKER_SYNC,
            request._asdict(),
            timeout_s=request.wait_s + SYNC_TIMEOUT_MARGIN_S,
        )
        match reply:
            case Ok(answer) if answer.status == HTTP_OK:
                return decode_reply(_decode_report, answer.body, "the worker")
            case Ok(answer):
                return _decode_error(answer.status, answer.body)
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def reserve(self, request: Reservation) -> Result[None, CallError]:
        body = request._asdict()
        body["members"] = [member._asdict() for member in request.members]
        return await self._send_order(_wire.WORKER_RESERVE, body)

    async def start(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._send_order(_wire.WORKER_START, order._asdict())

    async def stop(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._send_order(_wire.WORKER_STOP, order._asdict())

    async def checkpoint(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._send_order(_wire.WORKER_CHECKPOINT, order._asdict())

    async def throttle(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._send_order(_wire.WORKER_THROTTLE, order._asdict())

    async def forget(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._send_order(_wire.WORKER_FORGET, order._asdict())

    async def _send_order(
        self, path: str, body: dict[str, object]
    ) -> Result[None, CallError]:
        match await self._caller.call("POST", path, body):
            case Ok(answer) if answer.status == HTTP_OK:
                return Ok(None)
            case Ok(answer):
                return _decode_error(answer.status, answer.body)
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode_error(status: int, body: dict[str, object]) -> Err[CallError]:
    if status == HTTP_CONFLICT:
        found = decode_reply(_decode_conflict, body, "the worker")
        return found.and_then(Err)
    return Err(classify_error_status(status, "the worker"))


def _decode_conflict(body: dict[str, object]) -> Conflict:
    return Conflict(tuple(body["keys"]), str(body["reason"]))


def _decode_report(fields: dict[str, object]) -> WorkerReport:
    if "tasks" not in fields:
        return WorkerReport(fields["event"], None)
    return WorkerReport(
        fields["event"], tuple(_decode_task(task) for task in fields["tasks"])
    )


def _decode_task(fields: dict[str, object]) -> TaskReport:
    report = TaskReport(**fields)
    return report._replace(
        accelerators=tuple(report.accelerators), state=TaskState(report.state)
    )
