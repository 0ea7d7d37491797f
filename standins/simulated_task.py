"""Simulated tasks, their runs, and the faults of the worker that runs them."""

from __future__ import annotations

from dataclasses import dataclass, field

from chiveledge.services.task_worker import StartOrder
from chiveledge.workload import Usage
from standins.run_record import RecordedRun


@dataclass
class StandInTask:
    """Simulated task: the capacity that it needs, its duration and how it ends.

    Attributes
    ----------
    work_s : float
        Time that it takes at full speed.
    usage : Usage
        Capacity that it occupies while it runs.
    fails : bool
        Whether it ends as failed.
    gang : int
        Number of members that must run before any makes progress; 1 for a task
        outside of a gang.
    ready_at_once : bool
        Whether it reports full progress from its start, as a serving task does.
    crash_after_s : float, optional
        Time from each start after which it crashes its worker; None for a task that
        doesn't.
    crash_indices : frozenset of int, optional
        Indices of the tasks of its step that crash their workers; None for all.
    """

    work_s: float = 1.0
    usage: Usage = Usage(1000, 100, 0)
    fails: bool = False
    gang: int = 1
    ready_at_once: bool = False
    crash_after_s: float | None = None
    crash_indices: frozenset[int] | None = frozenset({0})

    def is_deadly(self, task: str) -> bool:
        """Whether the task of this name crashes its worker."""
        if self.crash_after_s is None:
            return False
        index = int(task.rsplit(".", 1)[1])
        return self.crash_indices is None or index in self.crash_indices


@dataclass
class StandInRun:
    """A run of a task on the stand-in.

    Attributes
    ----------
    recorded : RecordedRun
        Entry of the run in the record of all workers.
    done_s : float
        Work done so far, including that of the checkpoint it resumed from.
    stops_at_s : float, optional
        Time at which a stop order takes effect; None without one.
    """

    order: StartOrder
    task: StandInTask
    recorded: RecordedRun
    done_s: float = 0.0
    stops_at_s: float | None = None

    @property
    def is_deadly(self) -> bool:
        """Whether it crashes its worker."""
        return self.task.is_deadly(self.order.task)


@dataclass
class WorkerFaults:
    """Faults of a stand-in worker; counters count down to 0.

    Attributes
    ----------
    unresponsive : bool
        Calls get no reply, and those that arrive meanwhile have no effect.
    refuses_connections : bool
        Its address refuses connections, as after the worker has left.
    down : bool
        All calls are refused, as while the machine restarts.
    replaced : bool
        Another worker answers at its address, as after the machine came back with a
        worker of another name.
    lose_replies : int
        Number of calls that take effect but get no reply.
    late_starts : int
        Number of start orders that get no reply and take effect late.
    late_start_delay_s : float
        Delay of these start orders. The incarnation that is there then carries them
        out.
    late_polls : int
        Number of polls that get no reply and take effect late, on the incarnation that
        is there then.
    late_poll_delay_s : float
        Delay of these polls.
    hangs : bool
        No run makes progress.
    fails : bool
        All runs end as failed when their work is done.
    fails_at_once : bool
        All runs end as failed before any progress.
    slowdown_factor : float
        Factor by which all runs take longer.
    started : list of tuple
        Not a fault: time, task and run number of each run that was started.
    """

    unresponsive: bool = False
    refuses_connections: bool = False
    down: bool = False
    replaced: bool = False
    lose_replies: int = 0
    late_starts: int = 0
    late_start_delay_s: float = 0.0
    late_polls: int = 0
    late_poll_delay_s: float = 0.0
    hangs: bool = False
    fails: bool = False
    fails_at_once: bool = False
    slowdown_factor: float = 1.0
    started: list[tuple[float, str, int]] = field(default_factory=list)
