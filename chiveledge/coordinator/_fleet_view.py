"""Turns worker links into the view of the fleet that placement decides on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from chiveledge.coordinator._demands import find_policy
from chiveledge.coordinator._worker_link import TrackedRun, WorkerLink
from chiveledge.placement import FleetView, RunView, WorkerSuspicion, WorkerView
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.types import WorkerName
from chiveledge.workload import Catalogue, JobProgress, RunState, TaskName, Usage

AT_WORK_PERCENT = 100
"""Percent at which a lasting task serves."""

NOTHING = Usage()


class _Shown(NamedTuple):
    """All of a worker that its view depends on, but for what runs there."""

    entry: WorkerEntry
    used: Usage
    stopping: Usage
    promised: Usage
    serving: bool
    filling: bool
    accepting: bool
    probing: bool
    doubted: bool
    slow: bool
    proven: bool


class _KnownView(NamedTuple):
    """A view that was made before, and of what."""

    shown: _Shown
    link: WorkerLink
    view: WorkerView


class FleetViewer:
    """Shows the fleet as it is now.

    Load answered: a leader of hundreds of workers that plans many times a second, each
    time after a few of them changed. The views of the others are used again.

    Parameters
    ----------
    jobs : dict
        All jobs by ID.
    catalogue : callable
        Returns the configuration in force.
    stop_s : float
        Time that a stop takes at the most. A run that ends by itself within it makes
        room as soon as one that is stopped, and loses nothing.
    """

    def __init__(
        self,
        jobs: dict[str, JobProgress],
        catalogue: Callable[[], Catalogue],
        stop_s: float,
    ) -> None:
        self._jobs = jobs
        self._catalogue = catalogue
        self._stop_s = stop_s
        self._views: dict[WorkerName, _KnownView] = {}
        self._kept: set[TaskName] = set()
        self._now_s = 0.0

    def view(
        self,
        links: Iterable[WorkerLink],
        suspicion: WorkerSuspicion,
        slow: set[WorkerName],
        promised: dict[WorkerName, Usage],
        now_s: float,
    ) -> FleetView:
        """Return the workers with their free room and what runs there.

        Views of an earlier call are used again: it is over when the next one is made.

        Parameters
        ----------
        slow : set of str
            Workers that run slowly now.
        promised : dict
            Room on each worker that is promised to tasks that wait for stops.
        """
        links = list(links)
        self._now_s = now_s
        self._kept = find_kept_runs(links, self._jobs)
        avoided = suspicion.avoided(now_s, len(links))
        probing = suspicion.probing(now_s)
        doubted = suspicion.doubted()
        proven = suspicion.proven(now_s)
        earlier, self._views = self._views, {}
        for link in links:
            name = link.name
            shown = _Shown(
                link.entry,
                link.used,
                link.stopping,
                promised.get(name, NOTHING),
                link.serving > 0,
                link.filling > 0,
                is_accepting(link, now_s) and name not in avoided,
                name in probing,
                name in doubted,
                name in slow,
                name in proven,
            )
            known = earlier.get(name)
            if known is None or known.link is not link or known.shown != shown:
                known = _KnownView(shown, link, self._make_view(link, shown))
            else:
                known.view.renew()
            self._views[name] = known
        return FleetView(known.view for known in self._views.values())

    def _make_view(self, link: WorkerLink, shown: _Shown) -> WorkerView:
        free = shown.entry.capacity.minus(shown.used)
        later = free.plus(shown.stopping).minus(shown.promised)
        return WorkerView(
            name=shown.entry.name,
            service=shown.entry.service,
            rack=shown.entry.rack,
            labels=shown.entry.labels,
            capacity=shown.entry.capacity,
            free=free.least(later),
            later=later,
            accepting=shown.accepting,
            probing=shown.probing,
            doubted=shown.doubted,
            slow=shown.slow,
            proven=shown.proven,
            serving=shown.serving,
            filling=shown.filling,
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
                tracked.name not in self._kept,
                self._stop_s,
                self._now_s,
            )
            for tracked in link.runs.values()
        ]


def is_accepting(link: WorkerLink, now_s: float) -> bool:
    """Whether new work may go to a worker, by what it and the platform say."""
    return (
        link.listed
        and not link.entry.draining
        and link.fence_raised
        and link.failing_since_s is None
        and now_s >= link.avoid_until_s
        and not link.emptying
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
