"""Lists the tasks of jobs that wait to be placed, as demands for placement."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.placement import (
    APART_S,
    REPEATED_APART_S,
    StepDemand,
    find_guaranteed_jobs,
)
from chiveledge.workload import (
    ZERO_VALUE_FACTOR,
    Catalogue,
    JobProgress,
    StepProgress,
    TaskName,
    TaskProgress,
)

EMPTY: frozenset[str] = frozenset()

TRUSTED_WORKER_TIMEOUT_S = 2.5
"""How long a task that failed before waits for a trusted worker."""


class JobPolicy(NamedTuple):
    """Present policy of a job's queue, or the last one if the queue was removed."""

    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_s: float
    needs_advice: bool


def find_policy(job: JobProgress, catalogue: Catalogue) -> JobPolicy:
    """Return the policy that applies to a job."""
    present_queue = catalogue.queues.get(job.request.queue)
    queue = present_queue or job.request
    return JobPolicy(
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_s,
        needs_advice=present_queue is not None and present_queue.advice is not None,
    )


class Deadline(NamedTuple):
    """Seconds from now until a job is late, and until its result has no value."""

    due_s: float
    zero_value_s: float


def find_deadline(
    job: JobProgress,
    occurrence: int,
    policy: JobPolicy,
    chain_s: float,
    now_ms: float,
) -> Deadline:
    """Return the time left to an occurrence of a job.

    Parameters
    ----------
    chain_s : float
        Expected run time of the job's longest chain of steps.
    now_ms : float
        Wall time in milliseconds since 1970.
    """
    objective_s = policy.stretch * chain_s + policy.target_s
    began_ms = job.request.due_ms(occurrence) or job.request.accepted_ms
    age_s = (now_ms - began_ms) / 1000
    return Deadline(objective_s - age_s, ZERO_VALUE_FACTOR * objective_s - age_s)


def list_demands(
    jobs: dict[str, JobProgress],
    catalogue: Catalogue,
    estimator: RunTimeEstimator,
    racks: dict[str, str],
    pending_tasks: set[TaskName],
    now_s: float,
    now_ms: float,
) -> Iterator[StepDemand]:
    """Yield the tasks that could start now, grouped by step.

    Parameters
    ----------
    racks : dict
        Rack of each worker.
    pending_tasks : set of TaskName
        Tasks left out because capacity on a worker is reserved for them.
    now_s, now_ms : float
        Monotonic time in seconds and wall time in milliseconds since 1970.
    """
    open_jobs = [
        job
        for job in jobs.values()
        if not job.state.ended and job.rests_until_s <= now_s
    ]
    policies = {job.job_id: find_policy(job, catalogue) for job in open_jobs}
    guaranteed = find_guaranteed_jobs(
        open_jobs,
        {name: space.guaranteed for name, space in catalogue.workspaces.items()},
        {job_id: policy.priority for job_id, policy in policies.items()},
    )
    for job in open_jobs:
        policy = policies[job.job_id]
        remaining_s = estimator.expected_remaining_s(job.request)
        chain_s = max(remaining_s, default=0.0)
        for occurrence in job.due_occurrences(now_ms):
            deadline = find_deadline(job, occurrence, policy, chain_s, now_ms)
            for number, step in enumerate(job.request.steps):
                if not job.step_ready(occurrence, number):
                    continue
                progress = job.open_occurrence(occurrence)[number]
                waiting = _waiting_indices(
                    job.job_id, occurrence, number, progress, step.gang, pending_tasks
                )
                for indices, failed, apart_s in _split_waiting(
                    progress, waiting, step.gang
                ):
                    waited_s = _longest_wait_s(progress, indices, now_s)
                    # Failures of lasting tasks don't count against a limit.
                    careful = (
                        failed
                        and not step.lasting
                        and waited_s < TRUSTED_WORKER_TIMEOUT_S
                    )
                    yield StepDemand(
                        job_id=job.job_id,
                        occurrence=occurrence,
                        step_number=number,
                        step=step,
                        service=policy.service,
                        priority=policy.priority,
                        indices=indices,
                        guaranteed=job.job_id in guaranteed,
                        due_s=deadline.due_s,
                        zero_value_s=deadline.zero_value_s,
                        remaining_s=remaining_s[number],
                        run_s=estimator.expected_s(job.request, step),
                        waited_s=waited_s,
                        preferred_racks=_find_racks(progress, racks)
                        if step.same_rack
                        else EMPTY,
                        avoids_suspected=careful,
                        failed_on=_find_failed_on(progress) if careful else EMPTY,
                        apart_s=apart_s,
                        needs_advice=policy.needs_advice,
                        workspace=job.request.workspace,
                    )


def _find_failed_on(progress: StepProgress) -> frozenset[str]:
    """Return the workers on which tasks of a step failed."""
    return frozenset(worker for task in progress.tasks for worker in task.failed_on)


def _find_racks(progress: StepProgress, racks: dict[str, str]) -> frozenset[str]:
    """Return the racks on which tasks of a step run."""
    return frozenset(
        racks.get(task.run.worker, "") for task in progress.tasks if task.run
    )


class _Waiting(NamedTuple):
    """Tasks that are placed together.

    Attributes
    ----------
    failed : bool
        Whether any of them failed before.
    apart_s : float
        How long their runs keep other jobs off their workers.
    """

    indices: tuple[int, ...]
    failed: bool
    apart_s: float


def _split_waiting(
    progress: StepProgress, waiting: tuple[int, ...], gang: bool
) -> Iterator[_Waiting]:
    """Yield tasks with different histories separately, a gang as a whole."""
    if not waiting:
        return
    tasks = progress.tasks
    if gang:
        failed = any(tasks[index].failures for index in waiting)
        yield _Waiting(
            waiting, failed, max(_find_apart_s(tasks[index]) for index in waiting)
        )
        return
    groups: dict[tuple[bool, float], list[int]] = defaultdict(list)
    for index in waiting:
        task = tasks[index]
        groups[bool(task.failures), _find_apart_s(task)].append(index)
    for (failed, apart_s), indices in sorted(groups.items()):
        yield _Waiting(tuple(indices), failed, apart_s)


def _find_apart_s(task: TaskProgress) -> float:
    """Return how long a run of a task keeps other jobs off its worker."""
    if not task.starts_apart:
        return 0.0
    return APART_S if task.crashes <= 1 else REPEATED_APART_S


def _waiting_indices(
    job_id: str,
    occurrence: int,
    number: int,
    progress: StepProgress,
    gang: bool,
    pending_tasks: set[TaskName],
) -> tuple[int, ...]:
    if gang and any(task.run for task in progress.tasks):
        return ()
    return tuple(
        index
        for index, task in enumerate(progress.tasks)
        if not task.done
        and task.run is None
        and TaskName(job_id, occurrence, number, index) not in pending_tasks
    )


def _longest_wait_s(
    progress: StepProgress, indices: tuple[int, ...], now_s: float
) -> float:
    longest = 0.0
    for index in indices:
        task = progress.tasks[index]
        if not task.ready_s:
            task.ready_s = now_s
        longest = max(longest, now_s - task.ready_s)
    return longest
