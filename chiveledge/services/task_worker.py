"""A worker that runs single tasks under leases: its entry, orders and reports."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from chiveledge.services.errors import CallError
from chiveledge.types import DomainName, Epoch, WorkerName
from chiveledge.workload import RunEnd, Usage


class WorkerEntry(NamedTuple):
    """What the platform lists of a worker.

    Attributes
    ----------
    born_ms : int
        Time of its start in milliseconds since 1970; a new value is a new life,
        which knows nothing of the one before. 0 if it is not told.
    draining : bool
        Whether it is about to leave.
    leaves_s : float, optional
        Least time that a leaving worker still has.
    machine : str
        Machine that it is a life of.
    """

    name: WorkerName
    service: str
    address: str
    domain: DomainName
    rack: str
    labels: frozenset[str]
    capacity: Usage
    born_ms: int = 0
    draining: bool = False
    leaves_s: float | None = None
    machine: str = ""


class StartOrder(NamedTuple):
    """Start one run of a task.

    Attributes
    ----------
    lease_end_ms : int
        End of the lease of all that runs on the worker, on the worker's clock.
    fence : int
        Epoch of the sender; a worker does nothing for a lower one than it has seen.
    checkpoint : str
        Saved data to resume from; empty to start anew.
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
    """Stop one run of a task; a run that is not there yet is barred for good."""

    task: str
    run: int
    fence: Epoch


class PaceOrder(NamedTuple):
    """Let a run work at a share of its speed, in percent."""

    task: str
    run: int
    percent: int
    fence: Epoch


class HoldRequest(NamedTuple):
    """Extend the lease, acknowledge ends and look.

    Attributes
    ----------
    acknowledged : int
        Ends up to this number are stored and may be forgotten.
    lease_end_ms : int, optional
        End of the lease on the worker's clock; None to leave it.
    wait_s : float
        How long the worker may wait for an end before it answers.
    """

    fence: Epoch
    acknowledged: int
    lease_end_ms: int | None = None
    wait_s: float = 0.0


class RunningTask(NamedTuple):
    """A run that a worker shows.

    Attributes
    ----------
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
    """An end that a worker keeps until it is acknowledged."""

    number: int
    task: str
    run: int
    how: RunEnd
    checkpoint: str


class HoldReport(NamedTuple):
    """What runs on a worker and what ended there."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class DeclineReason(StrEnum):
    """Why a worker did nothing for an order."""

    FENCE = "fence"
    OLD_RUN = "old_run"
    LEASE_OVER = "lease_over"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    BAD_ORDER = "bad_order"


class Declined(NamedTuple):
    """A worker's word that it did nothing."""

    reason: DeclineReason
    clock_ms: int = 0


class OrderTaken(NamedTuple):
    """A worker's word that an order is carried out."""

    clock_ms: int


class TaskWorker(Protocol):
    """Orders to one worker; `born_ms` names no life, the name of the worker does."""

    async def start(
        self, order: StartOrder
    ) -> Result[OrderTaken, Declined | CallError]:
        """Start a run; repeating the same order has no further effect."""

    async def stop(self, order: StopOrder) -> Result[OrderTaken, Declined | CallError]:
        """Stop a run, or bar it if it is not there."""

    async def hold(
        self, request: HoldRequest
    ) -> Result[HoldReport, Declined | CallError]:
        """Extend the lease and return what runs and what ended."""

    async def pace(self, order: PaceOrder) -> Result[OrderTaken, Declined | CallError]:
        """Slow a run down or let it go on."""

    async def close(self) -> None:
        """Release connections."""
