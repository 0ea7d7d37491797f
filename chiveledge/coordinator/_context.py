"""Dependencies of a leader term: stores, clients, clock and timing."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from chiveledge.clock import Clock
from chiveledge.coordinator._advice import AdviceService
from chiveledge.coordinator._timing import CoordinatorTiming
from chiveledge.decision_log import DecisionLog
from chiveledge.drains import NO_DRAINS, KnownDrains
from chiveledge.metrics import Metrics
from chiveledge.services import Row, WatchedTable
from chiveledge.services.machines import MachineService, Wave
from chiveledge.services.task_worker import TaskWorker, WorkerEntry
from chiveledge.workload import Catalogue


class TermContext(NamedTuple):
    """Stores, clients, clock and timing of a leader term.

    Attributes
    ----------
    decode_worker : callable
        Returns the worker entry of a row of the platform's list, or None if the row
        names no usable worker.
    make_worker : callable
        Returns the client of a worker.
    catalogue : callable
        Returns the configuration in force.
    max_row_chars : int
        Longest text of a row that the table takes.
    advice : AdviceService, optional
        Decides which workers may run the steps of queues that require advice.
    machines : MachineService, optional
        Lists machines and begins their upkeep; None disables upkeep.
    waves : callable
        Returns the waves of upkeep that operators requested.
    drains : callable
        Returns the drains of failure domains as far as this process knows them.
    """

    table: WatchedTable
    worker_prefix: str
    decode_worker: Callable[[Row], WorkerEntry | None]
    make_worker: Callable[[WorkerEntry], TaskWorker]
    catalogue: Callable[[], Catalogue]
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    timing: CoordinatorTiming
    max_row_chars: int
    advice: AdviceService | None = None
    machines: MachineService | None = None
    waves: Callable[[], Iterable[Wave]] = tuple
    drains: Callable[[], KnownDrains] = lambda: NO_DRAINS
