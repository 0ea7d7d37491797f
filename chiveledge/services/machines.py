"""The machines that workers run on, and their upkeep."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Result

from chiveledge.services.errors import CallError
from chiveledge.types import Epoch, ProcessName, WorkerName

MachineName = str


class MachineState(StrEnum):
    """What a machine does."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(NamedTuple):
    """One machine.

    Attributes
    ----------
    worker : str
        The worker that runs on it now; empty if none does.
    """

    name: MachineName
    state: MachineState
    worker: WorkerName = ""


class Wave(NamedTuple):
    """A request of the operators that each of some machines has its upkeep.

    Attributes
    ----------
    within_s : float
        Time in which all are to have had it.
    most_down : int
        How many may be down for it at the same time.
    """

    number: int
    machines: tuple[MachineName, ...]
    within_s: float
    most_down: int


class UpkeepOrder(NamedTuple):
    """Take a machine down for its upkeep; all that runs there ends at once.

    Attributes
    ----------
    holder, fence
        The leader that orders it, and its epoch.
    """

    machine: MachineName
    wave: int
    holder: ProcessName
    fence: Epoch


class UpkeepRefusal(StrEnum):
    """Why the upkeep of a machine was not begun."""

    FENCE = "fence"
    BUSY = "busy"
    OTHER_WAVE = "other_wave"
    UNKNOWN_MACHINE = "unknown_machine"


class UpkeepRefused(NamedTuple):
    """Nothing was done."""

    reason: UpkeepRefusal


class MachineService(Protocol):
    """Lists machines and takes them down."""

    async def list_machines(self) -> Result[tuple[Machine, ...], CallError]:
        """Return all machines."""

    async def begin_upkeep(
        self, order: UpkeepOrder
    ) -> Result[None, UpkeepRefused | CallError]:
        """Begin an upkeep; succeeds also if it was begun or done before."""
