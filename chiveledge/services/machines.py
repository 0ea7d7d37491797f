"""Machines that workers run on, and orders to take them down for upkeep."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from chiveledge.services.errors import CallError
from chiveledge.types import Epoch, ProcessName, WorkerName

MachineName = str


class MachineState(StrEnum):
    """Operational state of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(NamedTuple):
    """One machine in the platform's list.

    Attributes
    ----------
    worker : str
        Name of the worker that runs on the machine; empty if there is none.
    """

    name: MachineName
    state: MachineState
    worker: WorkerName = ""


class Wave(NamedTuple):
    """Request of the operators for the upkeep of a set of machines.

    Attributes
    ----------
    number : int
        Identifies the wave.
    within_s : float
        Time in which the upkeep of all machines is to be done, in seconds.
    max_down : int
        Maximum number of machines that may be down for upkeep at the same time.
    """

    number: int
    machines: tuple[MachineName, ...]
    within_s: float
    max_down: int


class UpkeepOrder(NamedTuple):
    """Order to take a machine down for upkeep, which ends all tasks on it at once.

    Attributes
    ----------
    wave : int
        Number of the wave that the upkeep belongs to.
    holder : str
        Name of the leader that gives the order.
    fence : int
        Epoch of the leader, by which orders of earlier leaders are refused.
    """

    machine: MachineName
    wave: int
    holder: ProcessName
    fence: Epoch


class UpkeepRefusal(StrEnum):
    """Why an order for the upkeep of a machine was refused."""

    FENCE = "fence"
    BUSY = "busy"
    OTHER_WAVE = "other_wave"
    UNKNOWN_MACHINE = "unknown_machine"


class UpkeepRefused(NamedTuple):
    """Reply to an order that had no effect."""

    reason: UpkeepRefusal


class MachineService(Protocol):
    """Lists machines and takes them down for upkeep."""

    async def list_machines(self) -> Result[tuple[Machine, ...], CallError]:
        """Return all machines."""

    async def begin_upkeep(
        self, order: UpkeepOrder
    ) -> Result[None, UpkeepRefused | CallError]:
        """Begin an upkeep; succeeds also if it has begun or ended already."""
