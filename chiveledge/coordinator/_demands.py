"""Turns jobs and worker links into the view that placement decides on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chiveledge.coordinator._runtimes import RunTimes
from chiveledge.coordinator._worker_link import TrackedRun, WorkerLink
from chiveledge.placement import (
    WORTHLESS_OBJECTIVES,
    FleetView,
    RunView,
    StepDemand,
    WorkerSuspicion,
    WorkerView,
    find_guaranteed_jobs,
)
from chiveledge.workload import (
    Catalogue,
    JobProgress,
    RunState,
    StepProgress,
    TaskName,
    Usage,
)

NONE: frozenset[str] = frozenset()

DOUBT_PATIENCE_S = 2.5
"""How long a task that failed before waits for a worker that is in no doubt."""


AT_WORK_PERCENT = 100
"""Percent at which a lasting task serves."""


class JobPolicy(NamedTuple):
    """Policy of a job's queue now, or as it was if the queue is gone."""

    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_s: float
    needs_advice: bool


def find_policy(job: JobProgress, catalogue: Catalogue) -> JobPolicy:
    """Return the policy in force for a job."""
    present = catalogue.queues.get(job.request.queue)
    queue = present or job.request
    return JobPolicy(
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_s,
        needs_advice=present is not None and present.advice is not None,
    )


class Deadline(NamedTuple):
    """Seconds from now until a job is late, and until it is worth nothing."""

    due_s: float
    hopeless_s: float


def find_deadline(
    job: JobProgress,
    occurrence: int,
    policy: JobPolicy,
    run_times: RunTimes,
    now_ms: float,
) -> Deadline:
    """Return the time that is left to an occurrence of a job."""
    chain_s = run_times.expect_chain_s(job.request)
    objective_s = policy.stretch * chain_s + policy.target_s
    began_ms = job.request.due_ms(occurrence) or job.request.accepted_ms
    age_s = (now_ms - began_ms) / 1000
    return Deadline(objective_s - age_s, WORTHLESS_OBJECTIVES * objective_s - age_s)


def view_fleet(
    links: Iterable[WorkerLink],
    jobs: dict[str, JobProgress],
    catalogue: Catalogue,
    suspicion: WorkerSuspicion,
    slow: set[str],
    promised: dict[str, Usage],
    stop_s: float,
    now_s: float,
) -> FleetView:
    """Return the workers with their free room and what runs there.

    Parameters
    ----------
    slow : set of str
        Workers that run slowly now.
    promised : dict
        Room on each worker that is promised to tasks that wait for stops.
    stop_s : float
        Time that a stop takes at the most. A run that ends by itself within it makes
        room as soon as one that is stopped, and loses nothing.
    """
    links = list(links)
    kept = find_kept_runs(links, jobs)
    avoided = suspicion.avoided(now_s, len(links))
    probing = suspicion.probing(now_s)
    doubted = suspicion.doubted()
    return FleetView(
        _view_worker(
            link,
            jobs,
            catalogue,
            promised.get(link.name, Usage()),
            kept,
            _is_accepting(link, now_s) and link.name not in avoided,
            link.name in probing,
            link.name in doubted,
            link.name in slow,
            stop_s,
            now_s,
        )
        for link in links
    )


def _is_accepting(link: WorkerLink, now_s: float) -> bool:
    return (
        link.listed
        and not link.entry.draining
        and link.fence_raised
        and link.failing_since_s is None
        and now_s >= link.avoid_until_s
        and not link.emptying
    )


def _view_worker(
    link: WorkerLink,
    jobs: dict[str, JobProgress],
    catalogue: Catalogue,
    promised: Usage,
    kept: set[TaskName],
    accepting: bool,
    probing: bool,
    doubted: bool,
    slow: bool,
    stop_s: float,
    now_s: float,
) -> WorkerView:
    free = link.entry.capacity.minus(link.used)
    later = free.plus(link.stopping).minus(promised)
    return WorkerView(
        name=link.name,
        service=link.entry.service,
        rack=link.entry.rack,
        labels=link.entry.labels,
        capacity=link.entry.capacity,
        free=free.least(later),
        later=later,
        accepting=accepting,
        probing=probing,
        doubted=doubted,
        slow=slow,
        serving=link.serving > 0,
        filling=link.filling > 0,
        list_runs=lambda: [
            view_run(
                link, tracked, jobs, catalogue, tracked.name not in kept, stop_s, now_s
            )
            for tracked in link.runs.values()
        ],
    )


def view_run(
    link: WorkerLink,
    tracked: TrackedRun,
    jobs: dict[str, JobProgress],
    catalogue: Catalogue,
    movable: bool,
    stop_s: float,
    now_s: float,
) -> RunView:
    """Return a run with what a stop, which takes up to `stop_s`, would lose."""
    name = tracked.name
    job = jobs[name.job_id]
    step = tracked.step
    group = f"{name.step_name}#" if step.gang else str(name)
    run = tracked.run
    ran_s = now_s - run.began_s if run.state is RunState.RUNNING else 0.0
    return RunView(
        task=name,
        worker=link.name,
        usage=tracked.usage,
        group=group,
        priority=find_policy(job, catalogue).priority,
        unsaved_s=min(ran_s, 1.0) if step.checkpoints else ran_s,
        movable=(
            movable
            and not tracked.stopping
            and not run.stop_wanted
            and run.state is RunState.RUNNING
        ),
        ending=not tracked.stopping and tracked.ends_within(stop_s, now_s),
    )


def find_kept_runs(
    links: list[WorkerLink], jobs: dict[str, JobProgress]
) -> set[TaskName]:
    """Return the lasting tasks that must not be interrupted now.

    A step may allow a number of its tasks to be away at the same time. Those that
    are not at work already count, and only as many others as are left may be
    stopped; the rest is kept.
    """
    bounded = any(
        step.may_be_away for job in jobs.values() for step in job.request.steps
    )
    if not bounded:
        return set()
    at_work: dict[str, list[tuple[bool, TaskName]]] = defaultdict(list)
    for link in links:
        for tracked in link.runs.values():
            step = tracked.step
            if not step.lasting or not step.may_be_away:
                continue
            if tracked.run.percent >= AT_WORK_PERCENT and not tracked.stopping:
                stays = not link.entry.draining and not link.emptying
                at_work[tracked.name.step_name].append((stays, tracked.name))
    kept: set[TaskName] = set()
    for rows in at_work.values():
        _, first = rows[0]
        step = jobs[first.job_id].request.steps[first.step]
        away = step.count - len(rows)
        stoppable = max(0, step.may_be_away - away)
        # Those whose workers go or are emptied may be stopped first.
        kept.update(name for _, name in sorted(rows)[stoppable:])
    return kept


def list_demands(
    jobs: dict[str, JobProgress],
    catalogue: Catalogue,
    run_times: RunTimes,
    racks: dict[str, str],
    claimed: set[TaskName],
    now_s: float,
    now_ms: float,
) -> Iterator[StepDemand]:
    """Yield all tasks that could start now, by step.

    Parameters
    ----------
    racks : dict
        Rack of each worker.
    claimed : set of TaskName
        Tasks whose room is promised already.
    now_s, now_ms : float
        Monotonic time in seconds and wall time in milliseconds since 1970.
    """
    open_jobs = [job for job in jobs.values() if not job.state.ended]
    policies = {job.job_id: find_policy(job, catalogue) for job in open_jobs}
    guaranteed = find_guaranteed_jobs(
        open_jobs,
        {name: space.guaranteed for name, space in catalogue.workspaces.items()},
        {job_id: policy.priority for job_id, policy in policies.items()},
    )
    for job in open_jobs:
        policy = policies[job.job_id]
        rests_s = run_times.expect_rest_s(job.request)
        for occurrence in job.due_occurrences(now_ms):
            deadline = find_deadline(job, occurrence, policy, run_times, now_ms)
            for number, step in enumerate(job.request.steps):
                if not job.step_ready(occurrence, number):
                    continue
                progress = job.open_occurrence(occurrence)[number]
                waiting = _waiting_indices(
                    job.job_id, occurrence, number, progress, step.gang, claimed
                )
                for indices, failed in _split_failed(progress, waiting, step.gang):
                    waited_s = _longest_wait_s(progress, indices, now_s)
                    # Lasting tasks have no last attempt to lose.
                    careful = (
                        failed and not step.lasting and waited_s < DOUBT_PATIENCE_S
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
                        hopeless_s=deadline.hopeless_s,
                        rest_s=rests_s[number],
                        waited_s=waited_s,
                        near=_find_racks(progress, racks) if step.same_rack else NONE,
                        careful=careful,
                        failed_on=_find_failing(progress) if careful else NONE,
                        needs_advice=policy.needs_advice,
                    )


def _find_failing(progress: StepProgress) -> frozenset[str]:
    """Return the workers on which tasks of a step failed."""
    return frozenset(worker for task in progress.tasks for worker in task.failed_on)


def _find_racks(progress: StepProgress, racks: dict[str, str]) -> frozenset[str]:
    """Return the racks on which tasks of a step run."""
    return frozenset(
        racks.get(task.run.worker, "") for task in progress.tasks if task.run
    )


def _split_failed(
    progress: StepProgress, waiting: tuple[int, ...], gang: bool
) -> Iterator[tuple[tuple[int, ...], bool]]:
    """Yield tasks without and with earlier failures apart; a gang stays whole."""
    failed = {index for index in waiting if progress.tasks[index].failures}
    if gang:
        groups = [(waiting, bool(failed))]
    else:
        fresh = tuple(index for index in waiting if index not in failed)
        groups = [(fresh, False), (tuple(sorted(failed)), True)]
    yield from ((indices, careful) for indices, careful in groups if indices)


def _waiting_indices(
    job_id: str,
    occurrence: int,
    number: int,
    progress: StepProgress,
    gang: bool,
    claimed: set[TaskName],
) -> tuple[int, ...]:
    if gang and any(task.run for task in progress.tasks):
        return ()
    return tuple(
        index
        for index, task in enumerate(progress.tasks)
        if not task.done
        and task.run is None
        and TaskName(job_id, occurrence, number, index) not in claimed
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
