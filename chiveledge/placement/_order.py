"""Order in which waiting demands are placed.

The order matters when urgent jobs arrive in bursts while long jobs are queued, and when
the fleet can't finish all jobs in time. Guaranteed work of priority 0 comes first, then
work by priority. Within a priority, jobs that can still finish in time come first, by
due time. Jobs that can't finish in time come after them, since ordering by due time
alone would make each job late for the sake of one that is late anyway. Jobs that finish
too late to have any value come last; they still run.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from chiveledge.types import Accelerators, JobId, WorkerName, WorkspaceName
from chiveledge.workload import JobProgress, Step

URGENT_PRIORITY = 0
"""Priority of the jobs for which runs of other jobs may be stopped."""


APART_S = 3.0
"""How long a task that may have crashed a worker keeps other jobs off the next one."""

REPEATED_APART_S = 30.0
"""The same for a task under which several workers crashed: it may do so late."""

EMPTY_WORKER_TIMEOUT_S = 2.0
"""How long a task under suspicion waits for a worker without other jobs, before it may
join runs that began long before."""

APART_TIMEOUT_S = 20.0
"""How long it waits for a worker on which nothing else has begun lately."""

APART_TIMEOUT_IF_FREE_S = 2.5
"""The same while under half of the capacity is in use, when a job may have nothing
running for 3 s at most. Not for a job that may be given up, since two workers crashed
under it."""


class Timeliness(IntEnum):
    """Whether a job is in time if it starts now; lower values are placed first."""

    IN_TIME = 0
    LATE = 1
    ZERO_VALUE = 2


class StepDemand(NamedTuple):
    """Tasks of a step in one occurrence that wait to be placed.

    Attributes
    ----------
    indices : tuple of int
        Indices of the waiting tasks; for a gang all of its tasks.
    guaranteed : bool
        Whether the job is within the guarantee of its workspace.
    due_s, zero_value_s : float
        Seconds from now until the job is late, and until it has no value.
    remaining_s : float
        Expected time from the start of the tasks to the end of the job.
    run_s : float
        Expected run time of the tasks.
    waited_s : float
        How long the tasks have waited for capacity.
    preferred_racks : frozenset of str
        Racks on which tasks of the step run already, tried first by a gang that is to
        run on one rack.
    allowed_workers : frozenset of str, optional
        Workers that the advice service allows; None for all.
    avoids_suspected : bool
        Whether suspected workers and those in `failed_on` are excluded and trusted
        ones preferred. Set for tasks that have failed before, since one more bad
        worker could use up their last attempt.
    failed_on : frozenset of str
        Workers on which tasks of the step failed.
    apart_s : float
        How long the runs keep other jobs off their workers, as a task may have crashed
        an earlier one; 0 without such a suspicion.
    needs_advice : bool
        Whether only the advice service knows which workers may run the tasks.
    workspace : str
        Workspace of the job.
    """

    job_id: str
    occurrence: int
    step_number: int
    step: Step
    service: str
    priority: int
    indices: tuple[int, ...]
    guaranteed: bool = False
    due_s: float = 0.0
    zero_value_s: float = 0.0
    remaining_s: float = 0.0
    run_s: float = 0.0
    waited_s: float = 0.0
    preferred_racks: frozenset[str] = frozenset()
    allowed_workers: frozenset[WorkerName] | None = None
    avoids_suspected: bool = False
    failed_on: frozenset[WorkerName] = frozenset()
    apart_s: float = 0.0
    needs_advice: bool = False
    workspace: WorkspaceName = ""

    @property
    def starts_apart(self) -> bool:
        """Whether the tasks start apart from other jobs, so that a crash names theirs.

        If there is no such worker for `APART_TIMEOUT_S`, they start anywhere.
        """
        return self.apart_s > 0.0 and self.waited_s < APART_TIMEOUT_S

    @property
    def may_stop_runs(self) -> bool:
        """Whether others' runs may be stopped for the tasks if they are urgent.

        Tasks under suspicion wait for an empty worker first.
        """
        return not self.starts_apart or self.joins_older_runs

    def may_join(self, isolated_job: JobId | None) -> bool:
        """Return whether the tasks may start on a worker that is kept for a job.

        A guarantee holds, too, while other jobs are under suspicion.
        """
        return isolated_job in (None, self.job_id) or self.guaranteed

    @property
    def joins_older_runs(self) -> bool:
        """Whether tasks that start apart may join runs that began long before."""
        return self.waited_s >= EMPTY_WORKER_TIMEOUT_S

    @property
    def min_tasks(self) -> int:
        """Fewest tasks that may start: all of a gang, otherwise one."""
        return len(self.indices) if self.step.gang else 1

    @property
    def urgent(self) -> bool:
        """Whether runs of other jobs may be stopped for it."""
        return self.priority == URGENT_PRIORITY

    @property
    def timeliness(self) -> Timeliness:
        """Whether the job is in time if the tasks start now."""
        if self.remaining_s <= self.due_s:
            return Timeliness.IN_TIME
        if self.remaining_s <= self.zero_value_s:
            return Timeliness.LATE
        return Timeliness.ZERO_VALUE

    @property
    def step_name(self) -> str:
        """Identity of the step in one occurrence of its job."""
        return f"{self.job_id}.{self.occurrence}.{self.step_number}"


def sort_demands(demands: Iterable[StepDemand]) -> list[StepDemand]:
    """Return demands in the order in which they are placed."""
    return sorted(demands, key=_rank)


def find_class(demand: StepDemand) -> tuple[bool, int, bool, Timeliness]:
    """Return the class of a demand, which goes before its due time in the order."""
    return (
        not demand.guaranteed,
        demand.priority,
        # Empty workers are rarer than room beside others.
        not demand.starts_apart,
        demand.timeliness,
    )


def _rank(
    demand: StepDemand,
) -> tuple[tuple[bool, int, bool, Timeliness], float, str]:
    return find_class(demand), demand.due_s, demand.step_name


def find_guaranteed_jobs(
    jobs: Iterable[JobProgress],
    guarantees: dict[WorkspaceName, Accelerators],
    priorities: dict[str, int],
) -> set[str]:
    """Return the IDs of the jobs of priority 0 within their workspaces' guarantees.

    Each workspace's guarantee is filled in the order in which its jobs were accepted.
    A job counts with the largest accelerator need among its steps.

    Parameters
    ----------
    jobs : iterable of JobProgress
        Jobs that have not ended.
    guarantees : dict
        Guaranteed accelerators of each workspace.
    priorities : dict
        Current priority of each job by its ID.
    """
    remaining = dict(guarantees)
    found = set()
    urgent = [job for job in jobs if priorities[job.job_id] == URGENT_PRIORITY]
    for job in sorted(urgent, key=lambda job: (job.request.accepted_ms, job.job_id)):
        need = max(
            (step.count * step.usage.accelerators for step in job.request.steps),
            default=0,
        )
        workspace = job.request.workspace
        if need <= remaining.get(workspace, 0):
            remaining[workspace] -= need
            found.add(job.job_id)
    return found
