"""Who goes first when more work waits than there is room for.

Load answered: bursts of urgent jobs over a standing queue of long ones, and a fleet
that has more work than it can do in time. Guaranteed work of priority 0 goes first,
then by priority. Of one priority, jobs that can still be in time go by due time. Those
that can't are not let past them, since each would make the next one late too; what is
too late to be worth anything goes last, but goes.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from chiveledge.types import Accelerators, WorkerName, WorkspaceName
from chiveledge.workload import JobProgress, Step

URGENT_PRIORITY = 0
"""The priority whose jobs may have others stopped."""

WORTHLESS_OBJECTIVES = 3.0
"""A job is worth nothing after this many times its objective."""


class Prospect(IntEnum):
    """What a job may still come to if it starts now, the best first."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


class StepDemand(NamedTuple):
    """The tasks of a step in one occurrence that wait to be placed.

    Attributes
    ----------
    indices : tuple of int
        Tasks that wait; for a gang all of them.
    guaranteed : bool
        Whether its job is within the guarantee of its workspace.
    due_s, hopeless_s : float
        Seconds from now until the job is late, and until it is worth nothing.
    rest_s : float
        Expected time from their start to the end of the job.
    waited_s : float
        How long the tasks have waited for room.
    near : frozenset of str
        Racks on which tasks of the step run already.
    allowed : frozenset of str, optional
        Workers that the advice service allows; None for all.
    careful : bool
        Whether the tasks have failed before, so that a worker on which nothing is
        known to do well could cost them their last attempt.
    failed_on : frozenset of str
        Workers on which tasks of the step failed; left out while it is careful.
    needs_advice : bool
        Whether only the advice service knows the workers that may run it.
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
    hopeless_s: float = 0.0
    rest_s: float = 0.0
    waited_s: float = 0.0
    near: frozenset[str] = frozenset()
    allowed: frozenset[WorkerName] | None = None
    careful: bool = False
    failed_on: frozenset[WorkerName] = frozenset()
    needs_advice: bool = False

    @property
    def urgent(self) -> bool:
        """Whether other work may be stopped for it."""
        return self.priority == URGENT_PRIORITY

    @property
    def prospect(self) -> Prospect:
        """What its job may still come to."""
        if self.rest_s <= self.due_s:
            return Prospect.IN_TIME
        if self.rest_s <= self.hopeless_s:
            return Prospect.LATE
        return Prospect.WORTHLESS

    @property
    def step_name(self) -> str:
        """Name of the step of one occurrence."""
        return f"{self.job_id}.{self.occurrence}.{self.step_number}"


def sort_demands(demands: Iterable[StepDemand]) -> list[StepDemand]:
    """Return demands in the order in which they get room."""
    return sorted(demands, key=_rank)


def _rank(demand: StepDemand) -> tuple[bool, int, Prospect, float, str]:
    return (
        not demand.guaranteed,
        demand.priority,
        demand.prospect,
        demand.due_s,
        demand.step_name,
    )


def find_guaranteed_jobs(
    jobs: Iterable[JobProgress],
    guarantees: dict[WorkspaceName, Accelerators],
    priorities: dict[str, int],
) -> set[str]:
    """Return the jobs of priority 0 that fit into their workspaces' guarantees.

    Parameters
    ----------
    jobs : iterable of JobProgress
        Jobs that have not ended.
    guarantees : dict
        Guaranteed accelerators of each workspace.
    priorities : dict
        Present priority of each job.
    """
    left = dict(guarantees)
    found = set()
    urgent = [job for job in jobs if priorities[job.job_id] == URGENT_PRIORITY]
    for job in sorted(urgent, key=lambda job: (job.request.accepted_ms, job.job_id)):
        need = max(
            (step.count * step.usage.accelerators for step in job.request.steps),
            default=0,
        )
        workspace = job.request.workspace
        if need <= left.get(workspace, 0):
            left[workspace] -= need
            found.add(job.job_id)
    return found
