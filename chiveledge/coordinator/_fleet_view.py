"""Builds the view of the fleet on which placement decides."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from chiveledge.coordinator._demands import find_policy
from chiveledge.coordinator._tracked_run import SETTLED_RUN_S, TrackedRun
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.drains import NO_DRAINS, KnownDrains
from chiveledge.placement import FleetView, RunView, WorkerSuspicion, WorkerView
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.types import JobId, WorkerName
from chiveledge.workload import Catalogue, JobProgress, RunState, TaskName, Usage

SERVING_PERCENT = 100
"""Percent from which on a lasting task serves."""

NOTHING = Usage()


class _ViewInputs(NamedTuple):
    """All that the view of a worker depends on, except its runs."""

    entry: WorkerEntry
    used: Usage
    stopping: Usage
    reserved: Usage
    serving: bool
    filling: bool
    accepting: bool
    probing: bool
    probe_running: bool
    suspected: bool
    slow: bool
    cold: bool
    slowdown: float
    trusted: bool
    isolated_job: JobId | None


class SlowWorkers(NamedTuple):
    """Workers that are slow.

    Attributes
    ----------
    now : set of str
        Workers that are much slower than usual at present.
    slowdowns : dict
        How many times as long runs are expected to take on each worker.
    """

    now: set[WorkerName]
    slowdowns: dict[WorkerName, float]


class _CachedView(NamedTuple):
    """A view of a worker with the inputs from which it was built."""

    inputs: _ViewInputs
    link: WorkerLink
    view: WorkerView


class FleetViewBuilder:
    """Builds views of the fleet, reusing the views of unchanged workers.

    A leader of hundreds of workers plans many times a second, and few workers change
    between two plans.

    Parameters
    ----------
    jobs : dict
        All jobs by ID.
    catalogue : callable
        Returns the configuration in force.
    stop_s : float
        Longest time that a stop takes. A run that ends by itself within this time
        releases its capacity as soon as a stopped one, and loses no work.
    drains : callable, optional
        Returns the drains of failure domains as far as they are known.
    """

    def __init__(
        self,
        jobs: dict[str, JobProgress],
        catalogue: Callable[[], Catalogue],
        stop_s: float,
        drains: Callable[[], KnownDrains] = lambda: NO_DRAINS,
    ) -> None:
        self._jobs = jobs
        self._drains = drains
        self._catalogue = catalogue
        self._stop_s = stop_s
        self._views: dict[WorkerName, _CachedView] = {}
        self._protected: set[TaskName] = set()
        self._now_s = 0.0

    def build(
        self,
        links: Iterable[WorkerLink],
        suspicion: WorkerSuspicion,
        slow: SlowWorkers,
        reserved: dict[WorkerName, Usage],
        now_s: float,
    ) -> FleetView:
        """Return the workers with their free capacity and their runs.

        Worker views of the previous call are reused, so its result must not be used
        any more.

        Parameters
        ----------
        slow : SlowWorkers
            Workers that urgent work should avoid.
        reserved : dict
            Capacity on each worker that is reserved for tasks waiting for stops.
        """
        links = list(links)
        drains = self._drains()
        self._now_s = now_s
        self._protected = find_protected_tasks(links, self._jobs)
        drained = {
            link.name for link in links if not drains.may_start_in(link.entry.domain)
        }
        avoided = suspicion.avoided(now_s, len(links) - len(drained), drained)
        probing = suspicion.probing(now_s)
        suspected = suspicion.suspected()
        trusted = suspicion.trusted(now_s)
        previous, self._views = self._views, {}
        for link in links:
            name = link.name
            inputs = _ViewInputs(
                link.entry,
                link.occupied,
                link.stopping,
                reserved.get(name, NOTHING),
                link.serving_runs > 0,
                link.filler_runs > 0,
                is_accepting(link, now_s, drains) and name not in avoided,
                name in probing,
                name in probing and _has_probe(link, suspicion),
                name in suspected,
                name in slow.now,
                now_s < link.cold_until_s,
                slow.slowdowns.get(name, 1.0),
                name in trusted,
                link.find_isolated_job(now_s),
            )
            cached = previous.get(name)
            if cached is None or cached.link is not link or cached.inputs != inputs:
                cached = _CachedView(inputs, link, self._make_view(link, inputs))
            else:
                cached.view.reset()
            self._views[name] = cached
        views = (cached.view for cached in self._views.values())
        return FleetView(views, self._stop_s)

    def _make_view(self, link: WorkerLink, inputs: _ViewInputs) -> WorkerView:
        free = inputs.entry.capacity.minus(inputs.used)
        later = free.plus(inputs.stopping).minus(inputs.reserved)
        return WorkerView(
            name=inputs.entry.name,
            service=inputs.entry.service,
            rack=inputs.entry.rack,
            labels=inputs.entry.labels,
            capacity=inputs.entry.capacity,
            free=free.elementwise_min(later),
            future_free=later,
            accepting=inputs.accepting,
            probing=inputs.probing,
            probe_running=inputs.probe_running,
            suspected=inputs.suspected,
            slow=inputs.slow,
            cold=inputs.cold,
            slowdown=inputs.slowdown,
            trusted=inputs.trusted,
            serving=inputs.serving,
            filling=inputs.filling,
            awaited=inputs.reserved != NOTHING,
            isolated_job=inputs.isolated_job,
            list_runs=partial(self._list_runs, link),
        )

    def _list_runs(self, link: WorkerLink) -> list[RunView]:
        catalogue = self._catalogue()
        return [
            view_run(
                link,
                tracked,
                self._jobs,
                catalogue,
                tracked.name not in self._protected,
                self._stop_s,
                self._now_s,
            )
            for tracked in link.runs.values()
        ]


def _has_probe(link: WorkerLink, suspicion: WorkerSuspicion) -> bool:
    return any(
        suspicion.is_probe(link.name, tracked.run.began_s)
        for tracked in link.runs.values()
    )


def is_accepting(
    link: WorkerLink, now_s: float, drains: KnownDrains = NO_DRAINS
) -> bool:
    """Return whether new runs may be placed on a worker.

    Failures and stalls of earlier runs are not considered here.
    """
    return (
        link.listed
        and link.is_described
        and not link.entry.draining
        and link.fence_raised
        and link.unresponsive_since_s is None
        and now_s >= link.avoid_until_s
        and not link.emptying
        and drains.may_start_in(link.entry.domain)
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
    """Return a run with the work that a stop of up to `stop_s` would lose."""
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
            and not run.stop_reason
            and run.state is RunState.RUNNING
        ),
        ending=not tracked.stopping and tracked.ends_within(stop_s, now_s),
        recent=(
            run.state is not RunState.RUNNING or now_s - run.began_s < SETTLED_RUN_S
        ),
    )


def find_protected_tasks(
    links: list[WorkerLink], jobs: dict[str, JobProgress]
) -> set[TaskName]:
    """Return the lasting tasks whose runs must not be stopped now.

    A step may allow a number of its tasks to be away at the same time. Tasks that do
    not serve at present count against that number; what is left of it is the number
    of serving tasks that may be stopped, and the others are protected.
    """
    has_bound = any(
        step.may_be_away for job in jobs.values() for step in job.request.steps
    )
    if not has_bound:
        return set()
    serving: dict[str, list[tuple[bool, TaskName]]] = defaultdict(list)
    for link in links:
        for tracked in link.runs.values():
            step = tracked.step
            if not step.lasting or not step.may_be_away:
                continue
            if tracked.run.percent >= SERVING_PERCENT and not tracked.stopping:
                stays = not link.entry.draining and not link.emptying
                serving[tracked.name.step_name].append((stays, tracked.name))
    protected: set[TaskName] = set()
    for rows in serving.values():
        _, first = rows[0]
        step = jobs[first.job_id].request.steps[first.step]
        away_count = step.count - len(rows)
        stoppable = max(0, step.may_be_away - away_count)
        # Tasks on draining or emptied workers sort first and may be stopped.
        protected.update(name for _, name in sorted(rows)[stoppable:])
    return protected
