"""A worker: processors, memory and accelerators that run tasks under leases."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from chiveledge.services import _wire
from chiveledge.services._http import HttpCaller
from chiveledge.services.errors import CallError, Conflict, Unavailable
from chiveledge.types import AttemptId, Epoch, JobId, RegionName

HTTP_OK = 200
HTTP_CONFLICT = 409
SYNC_MARGIN_S = 2.0


class TaskState(StrEnum):
    """State of one member on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class MemberPlacement(NamedTuple):
    """Where one member of a gang runs.

    Attributes
    ----------
    member : int
        Index within the gang.
    worker : str
        Name of the worker.
    accelerators : tuple of int
        Indices on the worker; empty for a member without accelerators.
    cores, memory_mb : int
        Share of the worker's processors and memory.
    """

    member: int
    worker: str
    accelerators: tuple[int, ...]
    cores: int
    memory_mb: int


class Reservation(NamedTuple):
    """Asks one worker to hold room for some members of an attempt.

    Attributes
    ----------
    lease_s : float
        How long the worker holds the room without renewal.
    payload : str
        What the members run, as the caller gave it.
    resume_s : float
        Work that a checkpoint of an earlier attempt saved, in seconds.
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
    """Asks one worker to start, stop, checkpoint or forget attempts."""

    region: RegionName
    epoch: Epoch
    attempts: tuple[AttemptId, ...]
    lease_s: float = 0.0


class SyncRequest(NamedTuple):
    """Renews leases, and waits for news of the region's tasks.

    Attributes
    ----------
    renew : tuple of str
        Attempts whose leases are extended to `lease_s` from receipt.
    after : int
        Last event number that the caller knows.
    wait_s : float
        How long the worker may hold the call when there is no news.
    """

    region: RegionName
    epoch: Epoch
    renew: tuple[AttemptId, ...]
    lease_s: float
    after: int
    wait_s: float


class TaskReport(NamedTuple):
    """One member as its worker sees it."""

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
    """News of a worker.

    Attributes
    ----------
    event : int
        Last event number.
    tasks : tuple of TaskReport or None
        All tasks of the region; None where nothing changed since the caller's
        event number.
    """

    event: int
    tasks: tuple[TaskReport, ...] | None


class Worker(Protocol):
    """Reserves, starts, stops and reports tasks.

    Each call carries the caller's epoch for the region; a worker declines a call
    whose epoch is lower than the highest that it has seen for that region.
    """

    async def sync(self, request: SyncRequest) -> Result[WorkerReport, CallError]:
        """Renew leases and return the tasks, at the latest after `wait_s`."""

    async def reserve(self, request: Reservation) -> Result[None, CallError]:
        """Hold room; a conflict means that an accelerator or room is not free."""

    async def start(self, order: AttemptOrder) -> Result[None, CallError]:
        """Start reserved members."""

    async def stop(self, order: AttemptOrder) -> Result[None, CallError]:
        """Stop members; `Ok` means that they run no longer."""

    async def checkpoint(self, order: AttemptOrder) -> Result[None, CallError]:
        """Save the state of members, so that little work is lost."""

    async def throttle(self, order: AttemptOrder) -> Result[None, CallError]:
        """Limit members to their declared share."""

    async def forget(self, order: AttemptOrder) -> Result[None, CallError]:
        """Drop ended members from the worker's reports."""


class HttpWorker:
    """Client of one worker over HTTP.

    Parameters
    ----------
    caller : HttpCaller
        Connection to the worker.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def sync(self, request: SyncRequest) -> Result[WorkerReport, CallError]:
        reply = await self._caller.call(
            "POST",
            _wire.WORKER_SYNC,
            request._asdict(),
            timeout_s=request.wait_s + SYNC_MARGIN_S,
        )
        match reply:
            case Ok(answer) if answer.status == HTTP_OK:
                return Ok(_decode_report(answer.body))
            case Ok(answer):
                return _decline(answer.status, answer.body)
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    async def reserve(self, request: Reservation) -> Result[None, CallError]:
        body = request._asdict()
        body["members"] = [member._asdict() for member in request.members]
        return await self._order(_wire.WORKER_RESERVE, body)

    async def start(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._order(_wire.WORKER_START, order._asdict())

    async def stop(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._order(_wire.WORKER_STOP, order._asdict())

    async def checkpoint(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._order(_wire.WORKER_CHECKPOINT, order._asdict())

    async def throttle(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._order(_wire.WORKER_THROTTLE, order._asdict())

    async def forget(self, order: AttemptOrder) -> Result[None, CallError]:
        return await self._order(_wire.WORKER_FORGET, order._asdict())

    async def _order(
        self, path: str, body: dict[str, object]
    ) -> Result[None, CallError]:
        match await self._caller.call("POST", path, body):
            case Ok(answer) if answer.status == HTTP_OK:
                return Ok(None)
            case Ok(answer):
                return _decline(answer.status, answer.body)
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decline(status: int, body: dict[str, object]) -> Err[CallError]:
    if status == HTTP_CONFLICT:
        return Err(Conflict(tuple(body["keys"]), str(body["reason"])))
    return Err(Unavailable(f"the worker answered {status}"))


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
