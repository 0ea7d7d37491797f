"""How workers are lost, and which tasks may have crashed them.

A task may crash each worker that starts it. The worker reports no end of such a run,
so the loss itself has to be counted, or the task would take down one worker after the
other. All that ran there is under suspicion, and only one task did it. A crash names a
job if nothing else ran on the worker, which is why suspects start apart from other
jobs. Runs that began shortly before the crash are more suspect than older ones.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._loss_sign import LossSign
from chiveledge.coordinator._tracked_run import RECENT_START_S, TrackedRun
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.types import DomainName, JobId, WorkerName
from chiveledge.workload import JobProgress, RunState, TaskName, TaskProgress

CRASH_MEMORY_S = 600.0
"""Time without a crash after which earlier ones no longer count against a task."""

COMMON_CAUSE_WINDOW_S = 3.0
"""Time within which the leader notices that workers were lost at the same moment: the
longest wait of a poll and the time allowed for its answer."""

COMMON_CAUSE_SHARE = 0.5
"""Share of a failure domain's workers whose loss at the same moment has one cause
outside of them."""

MIN_COMMON_WORKERS = 3

JUST_BEGUN_S = 1.0
"""Age of a job's runs on many workers up to which it may have crashed them all."""

SILENT_LOSS_KEPT_S = 60.0

MAX_NAMED_CRASHES = 2
MAX_CRASHES_IF_NAMED = 3
"""Crashes after which a task is given up if `MAX_NAMED_CRASHES` of them can't have been
caused by another job."""

MAX_CRASHES = 4
"""Crashes after which a task is given up although other jobs ran beside it. A task may
be started at most twice after its third crash."""


class LostRun(NamedTuple):
    """A run that was lost with its worker.

    Attributes
    ----------
    is_recent : bool
        Whether it had begun shortly before.
    is_apart : bool
        Whether nothing else had begun on the worker shortly before or after it.
    """

    name: TaskName
    number: int
    is_recent: bool
    is_apart: bool


class WorkerLoss(NamedTuple):
    """The loss of a worker process.

    Attributes
    ----------
    place : str
        Machine of the worker, or its address if it names no machine.
    lost_s : float
        Monotonic time from which on polls were not answered.
    """

    worker: WorkerName
    place: str
    domain: DomainName
    incarnation_ms: int
    lost_s: float
    runs: tuple[LostRun, ...]


class Verdict(NamedTuple):
    """A job to give up, and why."""

    job: JobProgress
    reason: str


class _Outage(NamedTuple):
    """When a worker stopped to answer, where it was and which jobs it ran.

    Attributes
    ----------
    jobs, new_jobs : frozenset of str
        All jobs that ran there, and those that had just begun.
    """

    incarnation_ms: int
    domain: DomainName
    place: str
    since_s: float
    jobs: frozenset[JobId]
    new_jobs: frozenset[JobId]


class CrashRecorder:
    """Counts for each task the workers that crashed under it.

    The counts are part of the progress of the jobs, so they are stored before a task
    starts again and outlast the leader.

    Parameters
    ----------
    context : TermContext
        Clock, log and metrics.
    links, jobs : dict
        State of each worker by name, and all jobs by ID.
    mark_dirty : callable
        Includes a job's progress in the next write.
    """

    def __init__(
        self,
        context: TermContext,
        links: dict[WorkerName, WorkerLink],
        jobs: dict[JobId, JobProgress],
        mark_dirty: Callable[[JobProgress], None],
    ) -> None:
        self._clock = context.clock
        self._log = context.log
        self._metrics = context.metrics
        self._links = links
        self._jobs = jobs
        self._mark_dirty = mark_dirty
        self._began_s = self._clock.monotonic()
        self._outages: dict[WorkerName, _Outage] = {}
        self._silent: list[WorkerLoss] = []

    def record_no_answer(self, link: WorkerLink) -> None:
        """Record that a worker has stopped to answer polls."""
        now_s = self._clock.monotonic()
        self._outages = {
            name: outage
            for name, outage in self._outages.items()
            if now_s - outage.since_s < SILENT_LOSS_KEPT_S
        }
        runs = list(link.runs.values())
        jobs = frozenset(run.name.job_id for run in runs)
        new_jobs = frozenset(
            run.name.job_id for run in runs if _is_recent(link, run, JUST_BEGUN_S)
        )
        self._outages[link.name] = _Outage(
            link.incarnation_ms,
            link.entry.domain,
            link.place or link.name,
            now_s,
            jobs,
            new_jobs,
        )

    def record_regained(self, link: WorkerLink) -> None:
        """Record that the same incarnation of a worker answers again."""
        outage = self._outages.get(link.name)
        if outage is not None and outage.incarnation_ms == link.incarnation_ms:
            del self._outages[link.name]
        self._silent = [loss for loss in self._silent if loss.worker != link.name]

    def record_restart(self, link: WorkerLink) -> list[Verdict]:
        """Record that a worker has started again under its name.

        Called while the link still shows the earlier incarnation.
        """
        verdicts = self._blame_silent(link.name, link.place, link.incarnation_ms + 1)
        outage = self._outages.get(link.name)
        if outage is None or outage.incarnation_ms != link.incarnation_ms:
            self.record_no_answer(link)
        return verdicts + self._blame(link, LossSign.RESTARTED)

    def record_expiry(self, link: WorkerLink) -> list[Verdict]:
        """Record that the lease of a worker without an answer is over."""
        sign = self._find_sign(link)
        if sign is LossSign.SILENT:
            self._remember_silent(link)
            return []
        return self._blame(link, sign)

    def list_resting(self) -> set[TaskName]:
        """Return the tasks that wait until it is known how their workers were lost.

        Silent workers that may have crashed count like those that surely have.
        """
        now_s = self._clock.monotonic()
        silent = Counter(
            run.name
            for loss in self._silent
            if now_s - loss.lost_s < SILENT_LOSS_KEPT_S
            for run in loss.runs
        )
        resting: set[TaskName] = set()
        for name, count in silent.items():
            task = self._find_open_task(name)
            if task is not None and task.crashes + count >= MAX_CRASHES:
                step = self._jobs[name.job_id].request.steps[name.step]
                indices = range(step.count) if step.gang else [name.index]
                resting |= {name._replace(index=index) for index in indices}
        return resting

    def record_listed(self, entry: WorkerEntry) -> list[Verdict]:
        """Record a worker that was not listed before.

        It may be the next life of one whose runs were closed while it was silent.
        """
        place = entry.machine or entry.address
        return self._blame_silent(entry.name, place, entry.incarnation_ms)

    def record_missed_restarts(self) -> list[Verdict]:
        """Record the restarts that no leader has seen, once all jobs are loaded.

        They show in the runs that were stored with an earlier incarnation.
        """
        verdicts = []
        for link in list(self._links.values()):
            missed = {
                tracked.run.incarnation_ms
                for tracked in link.runs.values()
                if tracked.adopted
                and 0 < tracked.run.incarnation_ms < link.incarnation_ms
            }
            for incarnation_ms in sorted(missed):
                loss = self._make_loss(link, incarnation_ms)
                if loss is not None:
                    verdicts += self._settle(loss, LossSign.RESTARTED)
        return verdicts

    def _find_sign(self, link: WorkerLink) -> LossSign:
        if link.loss_sign is LossSign.SILENT and self._find_next_life(link):
            return LossSign.REPLACED
        return link.loss_sign

    def _find_next_life(self, link: WorkerLink) -> WorkerLink | None:
        """Return the worker that runs in a link's place now, if there is another."""
        for other in self._links.values():
            is_later = other.incarnation_ms > link.incarnation_ms
            if is_later and other is not link and link.place == other.place != "":
                return other
        return None

    def _remember_silent(self, link: WorkerLink) -> None:
        now_s = self._clock.monotonic()
        self._silent = [
            loss for loss in self._silent if now_s - loss.lost_s < SILENT_LOSS_KEPT_S
        ]
        loss = self._make_loss(link)
        if loss is not None:
            self._silent.append(loss)

    def _blame_silent(
        self, name: WorkerName, place: str, incarnation_ms: int
    ) -> list[Verdict]:
        """Blame the runs of a silent worker, now that its next life shows a crash."""
        verdicts = []
        for loss in list(self._silent):
            is_same = name == loss.worker or place and place == loss.place
            if is_same and incarnation_ms > loss.incarnation_ms:
                self._silent.remove(loss)
                verdicts += self._settle(loss, LossSign.REPLACED)
        return verdicts

    def _blame(self, link: WorkerLink, sign: LossSign) -> list[Verdict]:
        loss = self._make_loss(link)
        return [] if loss is None else self._settle(loss, sign)

    def _make_loss(
        self, link: WorkerLink, incarnation_ms: int | None = None
    ) -> WorkerLoss | None:
        """Return the loss of an incarnation with its runs; None if it is no crash.

        It is that of the present incarnation unless another one is given.
        """
        if incarnation_ms is None:
            incarnation_ms = link.incarnation_ms
            if link.entry.draining or link.emptying:
                return None
        runs = [
            tracked
            for tracked in link.runs.values()
            if tracked.run.state is not RunState.INTENDED
            and tracked.run.incarnation_ms == incarnation_ms
        ]
        if not runs:
            return None
        outage = self._outages.get(link.name)
        next_life = self._find_next_life(link)
        return WorkerLoss(
            link.name,
            link.place,
            link.entry.domain or (next_life.entry.domain if next_life else ""),
            incarnation_ms,
            # A worker that never answered was lost before the term or at its beginning.
            outage.since_s if outage else self._began_s,
            tuple(
                LostRun(
                    run.name,
                    run.run.number,
                    _is_recent(link, run),
                    run.is_isolated,
                )
                for run in runs
            ),
        )

    def _settle(self, loss: WorkerLoss, sign: LossSign) -> list[Verdict]:
        """Count a crash under the tasks that ran; return the jobs to give up."""
        others = self._list_common_outages(loss)
        has_common_cause = bool(others)
        recent = [run for run in loss.runs if run.is_recent]
        names_job = not has_common_cause and (
            _has_one_job(loss.runs)
            or _has_one_job(recent)
            and all(run.is_apart for run in recent)
        )
        if has_common_cause:
            # Older runs may have done it only if their job ran on all these workers.
            shared = frozenset.intersection(*(outage.jobs for outage in others))
            suspects = recent or [run for run in loss.runs if run.name.job_id in shared]
        else:
            suspects = recent or loss.runs
        counted = suspects if names_job or has_common_cause else loss.runs
        self._metrics.count(f"workers_lost_{sign}")
        self._log.write(
            "workers",
            "crashed",
            worker=loss.worker,
            incarnation_ms=loss.incarnation_ms,
            sign=sign,
            lost_age_s=round(self._clock.monotonic() - loss.lost_s, 3),
            common_cause=has_common_cause,
            runs=len(loss.runs),
            suspects=[str(run.name) for run in suspects],
            names_job=names_job,
        )
        for run in counted:
            is_suspect = run in suspects
            self._count(run, is_suspect=is_suspect, names_job=names_job)
        return list(self._list_verdicts(counted))

    def _count(self, run: LostRun, *, is_suspect: bool, names_job: bool) -> None:
        task = self._find_open_task(run.name)
        if task is None or task.crashed_run >= run.number:
            return
        self._mark_dirty(self._jobs[run.name.job_id])
        now_ms = int(self._clock.now().timestamp() * 1000)
        if now_ms - task.last_crash_ms > CRASH_MEMORY_S * 1000:
            task.forget_crashes()
        task.record_crash(
            run.number, now_ms, is_suspect=is_suspect, names_job=names_job
        )

    def _list_verdicts(self, runs: Sequence[LostRun]) -> Iterator[Verdict]:
        given_up: set[JobId] = set()
        for run in runs:
            task = self._find_open_task(run.name)
            if task is None or run.name.job_id in given_up:
                continue
            is_named = task.named_crashes >= MAX_NAMED_CRASHES
            if task.crashes < (MAX_CRASHES_IF_NAMED if is_named else MAX_CRASHES):
                continue
            given_up.add(run.name.job_id)
            self._metrics.count("jobs_given_up")
            reason = f"{task.crashes} workers crashed while they ran {run.name}"
            yield Verdict(self._jobs[run.name.job_id], reason)

    def _find_open_task(self, name: TaskName) -> TaskProgress | None:
        job = self._jobs.get(name.job_id)
        if job is None or job.state.ended:
            return None
        task = job.find_task(name)
        return None if task is None or task.done else task

    def _list_common_outages(self, loss: WorkerLoss) -> list[_Outage]:
        """Return the losses of that moment if a large part of a failure domain is gone.

        Empty if a job that had just begun on all of these workers may be the cause.
        """
        lost = {
            outage.place: outage
            for outage in self._outages.values()
            if outage.domain == loss.domain
            and abs(outage.since_s - loss.lost_s) <= COMMON_CAUSE_WINDOW_S
        }
        total = {
            link.place or link.name
            for link in self._links.values()
            if link.entry.domain == loss.domain
        }
        least = max(MIN_COMMON_WORKERS, COMMON_CAUSE_SHARE * len(total))
        if not loss.domain or len(lost) < least:
            return []
        outages = list(lost.values())
        if frozenset.intersection(*(outage.new_jobs for outage in outages)):
            return []
        return outages


def _has_one_job(runs: Sequence[LostRun]) -> bool:
    return len({run.name.job_id for run in runs}) == 1


def _is_recent(
    link: WorkerLink, tracked: TrackedRun, age_s: float = RECENT_START_S
) -> bool:
    """Return whether a run had begun shortly before the last answer, or after it."""
    if not tracked.reported or link.last_answer_s is None:
        return not tracked.adopted
    return tracked.run.began_s > link.last_answer_s - age_s
