"""All that a reign works with: stores, clients, clock and bounds."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from chiveledge.clock import Clock
from chiveledge.coordinator._advice import AdviceService
from chiveledge.coordinator._timing import CoordinatorTiming
from chiveledge.decision_log import DecisionLog
from chiveledge.metrics import Metrics
from chiveledge.services import Row, WatchedTable
from chiveledge.services.machines import MachineService, Wave
from chiveledge.services.task_worker import TaskWorker, WorkerEntry
from chiveledge.workload import Catalogue


class ReignContext(NamedTuple):
    """All that a reign works with.

    Attributes
    ----------
    decode_worker : callable
        Returns the entry of a row of the platform's list, or None if it names no
        worker to use.
    make_worker : callable
        Returns the client of a worker.
    catalogue : callable
        Returns the configuration in force.
    advice : AdviceService, optional
        Knows the workers of queues with a policy of their own.
    machines : MachineService, optional
        Lists machines and takes them down; without it no upkeep is done.
    waves : callable
        Returns the waves of upkeep that operators ask for.
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
    advice: AdviceService | None = None
    machines: MachineService | None = None
    waves: Callable[[], Iterable[Wave]] = tuple
