"""Workers that run single tasks under leases: list entries, orders and reports."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from chiveledge.services.errors import CallError
from chiveledge.types import DomainName, Epoch, WorkerName
from chiveledge.workload import RunEnd, Usage


class WorkerEntry(NamedTuple):
    """Entry of a worker in the platform's list.

    Attributes
    ----------
    incarnation_ms : int
        Start of the worker process in milliseconds since 1970, which identifies its
        incarnation; 0 if unknown. A new incarnation keeps no state of earlier ones.
    draining : bool
        Whether the worker is about to leave.
    leaves_s : float, optional
        Minimum time that a leaving worker still has, in seconds.
    machine : str
        Name of the machine that the worker runs on.
    cold_left_s : float
        How much longer the worker stays slow after its start, in seconds.
    """

    name: WorkerName
    service: str
    address: str
    domain: DomainName
    rack: str
    labels: frozenset[str]
    capacity: Usage
    incarnation_ms: int = 0
    draining: bool = False
    leaves_s: float | None = None
    machine: str = ""
    cold_left_s: float = 0.0


class StartOrder(NamedTuple):
    """Order to start one run of a task.

    Attributes
    ----------
    lease_end_ms : int
        End of the lease of all runs on the worker, by the worker's clock.
    fence : int
        Epoch of the sender; a worker declines a lower one than it has seen.
    checkpoint : str
        Saved data to resume from; empty to start from the beginning.
    ticket : str
        Permission of the advice service; empty if none is needed.
    """

    task: str
    run: int
    payload: str
    lease_end_ms: int
    fence: Epoch
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(NamedTuple):
    """Order to stop one run of a task; a run that has not started is barred."""

    task: str
    run: int
    fence: Epoch


class PaceOrder(NamedTuple):
    """Order to limit a run to a percentage of its speed."""

    task: str
    run: int
    percent: int
    fence: Epoch


class PollRequest(NamedTuple):
    """Request for a report, which also extends the lease and acknowledges ends.

    Attributes
    ----------
    acknowledged : int
        Number of the last end that the sender has stored; the worker may discard the
        ends up to it.
    lease_end_ms : int, optional
        New end of the lease, by the worker's clock; None to leave it unchanged.
    wait_s : float
        How long the worker may delay its reply while it has no end to report, in
        seconds.
    """

    fence: Epoch
    acknowledged: int
    lease_end_ms: int | None = None
    wait_s: float = 0.0


class RunningTask(NamedTuple):
    """A run in progress, as reported by its worker.

    Attributes
    ----------
    checkpoint : str
        Latest saved data; empty if there is none.
    percent : int
        Progress of the run in percent.
    load : float
        Tail of the response times in milliseconds for a serving task, else
        processor time in use, in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    load: float = 0.0


class EndedTask(NamedTuple):
    """The end of a run, which a worker reports until it is acknowledged.

    Attributes
    ----------
    number : int
        Sequence number of the end on its worker.
    how : RunEnd
        How the run ended.
    checkpoint : str
        Latest saved data; empty if there is none.
    """

    number: int
    task: str
    run: int
    how: RunEnd
    checkpoint: str


class PollReport(NamedTuple):
    """Runs in progress on a worker, and ends that are not acknowledged.

    Attributes
    ----------
    clock_ms : int
        Time of the worker's clock, in which leases are expressed.
    incarnation_ms : int
        Incarnation of the worker; see `WorkerEntry`.
    has_more_ends : bool
        Whether the worker may have further ends, which it lists once these are
        acknowledged. A run that is not in the report may then have ended.
    """

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    has_more_ends: bool = False


class DeclineReason(StrEnum):
    """Why a worker declined an order."""

    FENCE = "fence"
    OLD_RUN = "old_run"
    LEASE_EXPIRED = "lease_over"
    NO_CAPACITY = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    """Another worker than the addressed one replied."""

    BAD_ORDER = "bad_order"


class Declined(NamedTuple):
    """Reply of a worker to an order that had no effect."""

    reason: DeclineReason
    clock_ms: int = 0


class OrderAccepted(NamedTuple):
    """Reply of a worker to an order that has taken effect."""

    clock_ms: int


class TaskWorker(Protocol):
    """Client of one worker, for orders and polls.

    Calls are addressed to the worker by its name, not to one of its incarnations.
    """

    async def start(
        self, order: StartOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Start a run; repeating the order has no further effect."""

    async def stop(
        self, order: StopOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Stop a run, or prevent its start if it has not started."""

    async def poll(
        self, request: PollRequest
    ) -> Result[PollReport, Declined | CallError]:
        """Extend the lease and return the runs and ends on the worker."""

    async def pace(
        self, order: PaceOrder
    ) -> Result[OrderAccepted, Declined | CallError]:
        """Limit the speed of a run, or lift the limit."""

    async def close(self) -> None:
        """Release connections."""
