"""Reconciles the open runs on a worker with the runs and ends that it reports."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Mapping

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._demands import find_policy
from chiveledge.coordinator._end_sequence import EndSequence
from chiveledge.coordinator._fleet_view import find_protected_tasks
from chiveledge.coordinator._orders import OrderDispatcher
from chiveledge.coordinator._progress_writer import ProgressWriter
from chiveledge.coordinator._run_evidence import list_absent_runs
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_link import WorkerLink, age_s
from chiveledge.placement import (
    COMPLETE_PERCENT,
    MIN_STALL_S,
    RunSpeed,
    WorkerSuspicion,
    charged_usage,
    find_stall_timeout_s,
    should_evacuate,
)
from chiveledge.services.task_worker import EndedTask, PollReport, RunningTask
from chiveledge.workload import (
    JobProgress,
    JobState,
    RunEnd,
    RunState,
    Step,
    TaskName,
    Usage,
    can_store_checkpoint,
)


class Reconciler:
    """Reconciles the reports of workers and stops runs that should not go on.

    Parameters
    ----------
    context : TermContext
        Clock, log, metrics, timing and configuration.
    progress_writer : ProgressWriter
        Stores the ends of runs before they are acknowledged.
    orders : OrderDispatcher
        Stops runs.
    jobs : dict
        All jobs by ID, except unreadable ones.
    unreadable_jobs : mapping
        Steps, by ID, of the jobs whose progress can't be decoded; none if their request
        can't be decoded either. Which runs they have open is not known.
    suspicion : WorkerSuspicion
        Updated with how runs begin and end on each worker.
    estimator : RunTimeEstimator
        Updated with the run times of completed runs.
    """

    def __init__(
        self,
        context: TermContext,
        progress_writer: ProgressWriter,
        orders: OrderDispatcher,
        jobs: dict[str, JobProgress],
        unreadable_jobs: Mapping[str, tuple[Step, ...]],
        suspicion: WorkerSuspicion,
        estimator: RunTimeEstimator,
    ) -> None:
        self._clock = context.clock
        self._log = context.log
        self._metrics = context.metrics
        self._timing = context.timing
        self._catalogue = context.catalogue
        self._progress_writer = progress_writer
        self._orders = orders
        self._jobs = jobs
        self._unreadable_jobs = unreadable_jobs
        self._withheld_jobs: set[str] = set()
        self._suspicion = suspicion
        self._estimator = estimator

    def reconcile(
        self, link: WorkerLink, report: PollReport, sent_s: float
    ) -> Coroutine | None:
        """Apply a worker's report to its open runs.

        Parameters
        ----------
        link : WorkerLink
            The worker that reported.
        report : PollReport
            Its answer to a poll that carried the fence of this term.
        sent_s : float
            Monotonic time at which the poll was sent.

        Returns
        -------
        coroutine or None
            Stores the reported ends, so that they may be acknowledged. None if no new
            end was reported.
        """
        link.fence_raised = True
        link.record_answer(report.clock_ms, self._clock.monotonic(), sent_s)
        for row in report.running:
            self._record_running(link, row)
        link.unknown_usage = self._find_unknown_usage(link, report)
        new_ends = link.ends.receive(report.ended)
        for end in new_ends:
            self._record_end(link, end)
            if self._is_unreadable(end.task):
                self._withhold(link, end)
        if report.has_more_ends and link.ends.is_withheld:
            self._release_withheld(link)
        for tracked in list_absent_runs(link, report, sent_s):
            self.close_run(
                link, tracked, RunEnd.NOT_STARTED, "the worker does not report it"
            )
        if not new_ends:
            return None
        last_number = max(end.number for end in new_ends)
        return self._store_ends(link.ends, last_number, self._jobs_of_ends(new_ends))

    def close_run(
        self, link: WorkerLink, tracked: TrackedRun, how: RunEnd, reason: str
    ) -> None:
        """Close a run whose end the worker did not report."""
        now_s = self._clock.monotonic()
        self._metrics.count(f"runs_closed_unreported_{how}")
        self._log.write(
            "settlement",
            "closed",
            id=tracked.name.job_id,
            task=str(tracked.name),
            run=tracked.run.number,
            worker=link.name,
            how=how,
            why=reason,
            state=tracked.run.state,
            adopted=tracked.adopted,
            reported=tracked.reported,
            resolved_age_s=age_s(tracked.resolved_s, now_s),
            **link.describe_contact(now_s),
        )
        self._finish_run(link, tracked, how, tracked.run.checkpoint)
        self._progress_writer.mark_dirty(self._jobs[tracked.name.job_id])

    def fail_job(self, job: JobProgress, reason: str, **details: int) -> None:
        """End a job as failed and stop its runs, unless it has ended."""
        if job.state.ended:
            return
        self._log.write(
            "settlement", "job_failed", id=job.job_id, why=reason, **details
        )
        self._suspicion.forget_job(job.job_id)
        self._orders.end_job(job, JobState.FAILED, reason)

    def stop_stalled_runs(self, links: dict[str, WorkerLink], now_s: float) -> None:
        """Stop runs that make no progress at all, and suspect their workers."""
        for link in list(links.values()):
            if link.unresponsive_since_s is not None:
                continue
            for tracked in list(link.runs.values()):
                if self._is_stalled(link, tracked):
                    self._suspicion.record_stall(link.name, now_s)
                    tracked.task.stalls += 1
                    self._orders.stop(link, tracked, "the run makes no progress")
                    # The others could only wait until this member has ended.
                    for holder, member in self._orders.find_gang_runs(tracked):
                        reason = "another member of the gang makes no progress"
                        self._orders.stop(holder, member, reason)

    def evacuate_leaving_workers(
        self, links: dict[str, WorkerLink], now_s: float
    ) -> None:
        """Stop runs on leaving workers that would not end in time, unless protected."""
        protected = find_protected_tasks(list(links.values()), self._jobs)
        for link in list(links.values()):
            leaves_s = link.leaves_in_s(now_s, self._timing.drain_s)
            if leaves_s is None:
                continue
            for tracked in list(link.runs.values()):
                if tracked.stopping or tracked.run.state is not RunState.RUNNING:
                    continue
                if tracked.name in protected:
                    continue
                if self._must_leave(tracked, leaves_s, now_s):
                    self._orders.stop(link, tracked, "the worker is about to leave")

    def _must_leave(self, tracked: TrackedRun, leaves_s: float, now_s: float) -> bool:
        request = self._jobs[tracked.name.job_id].request
        step = tracked.step
        if step.lasting:
            return True
        rate = tracked.percent_per_s
        percent_left = COMPLETE_PERCENT - tracked.run.percent
        if rate:
            remaining_s = percent_left / rate
        else:
            remaining_s = self._estimator.expected_s(request, step) * percent_left / 100
        return should_evacuate(
            leaves_s,
            remaining_s,
            saved=step.checkpoints,
            stop_s=self._timing.stop_s,
        )

    def list_run_speeds(self, links: dict[str, WorkerLink]) -> list[RunSpeed]:
        """Return the speed of the incomplete runs whose rate is known."""
        run_speeds = []
        for link in links.values():
            for tracked in link.runs.values():
                rate = tracked.percent_per_s
                percent = tracked.run.percent
                if rate is None or tracked.stopping or percent >= COMPLETE_PERCENT:
                    continue
                request = self._jobs[tracked.name.job_id].request
                if tracked.step.lasting:
                    continue
                typical_s = self._estimator.typical_s(request)
                typical = COMPLETE_PERCENT / typical_s if typical_s else 0.0
                run_speeds.append(
                    RunSpeed(link.name, tracked.name.step_name, rate, typical)
                )
        return run_speeds

    def _is_stalled(self, link: WorkerLink, tracked: TrackedRun) -> bool:
        run = tracked.run
        step = tracked.step
        if (
            run.state is not RunState.RUNNING
            or tracked.stopping
            or step.lasting
            or step.filler
            or run.percent >= COMPLETE_PERCENT
            or link.last_answer_s is None
        ):
            return False
        silent_s = link.last_answer_s - run.last_progress_s
        return silent_s > MIN_STALL_S and silent_s > self._stall_timeout_s(tracked)

    def _stall_timeout_s(self, tracked: TrackedRun) -> float:
        request = self._jobs[tracked.name.job_id].request
        siblings = self._orders.find_gang_runs(tracked) if tracked.step.gang else []
        return find_stall_timeout_s(
            self._estimator.expected_s(request, tracked.step),
            tracked.task.stalls,
            lone=tracked.run.percent == 0
            and not any(member.run.percent for _, member in siblings),
            lone_timeout_s=self._timing.stall_s,
        )

    def _record_running(self, link: WorkerLink, row: RunningTask) -> None:
        tracked = link.runs.get((row.task, row.run))
        if tracked is None:
            if not self._is_unreadable(row.task):
                self._orders.stop_unknown(link, row.task, row.run)
            return
        run = tracked.run
        run.incarnation_ms = link.incarnation_ms
        tracked.reported = True
        now_s = self._clock.monotonic()
        if run.state is not RunState.RUNNING:
            run.state = RunState.RUNNING
            run.began_s = run.began_s or now_s
            run.last_progress_s = now_s
            if tracked.resolved_s is None:
                tracked.resolved_s = now_s
            self._orders.mark_begun(tracked)
        tracked.record_percent(row.percent, now_s)
        if row.percent != run.percent:
            if not tracked.adopted:
                self._suspicion.record_progress(link.name, run.began_s)
            run.percent = row.percent
            run.last_progress_s = now_s
        if tracked.step.lasting and row.percent >= COMPLETE_PERCENT:
            self._suspicion.record_serving(link.name, tracked.name, run.began_s, now_s)
        if row.checkpoint and self._can_store(tracked, row.checkpoint):
            run.checkpoint = row.checkpoint

    def _find_unknown_usage(self, link: WorkerLink, report: PollReport) -> Usage:
        """Return the capacity that the reported runs take which no job has open."""
        usage = Usage()
        for row in report.running:
            if (row.task, row.run) not in link.runs:
                usage = usage.plus(self._find_usage(link, row.task))
        return usage

    def _find_usage(self, link: WorkerLink, task: str) -> Usage:
        """Return the capacity that a task takes.

        If that is not known, nothing is free on a worker that would start whatever it
        is told to; any other declines what doesn't fit.
        """
        name = TaskName.parse(task)
        if name is not None:
            job = self._jobs.get(name.job_id)
            unreadable = self._unreadable_jobs.get(name.job_id, ())
            steps = unreadable if job is None else job.request.steps
            if name.step < len(steps):
                return charged_usage(steps[name.step])
        service = self._catalogue().services.get(link.entry.service)
        if service is not None and service.checks_capacity:
            return Usage()
        return link.entry.capacity

    def _can_store(self, tracked: TrackedRun, checkpoint: str) -> bool:
        if can_store_checkpoint(checkpoint):
            return True
        self._log.write(
            "settlement",
            "checkpoint_too_long",
            id=tracked.name.job_id,
            task=str(tracked.name),
            chars=len(checkpoint),
        )
        return False

    def _record_end(self, link: WorkerLink, end: EndedTask) -> None:
        tracked = link.runs.get((end.task, end.run))
        if tracked is None:
            if end.how is RunEnd.DONE:
                self._record_done_after_closing(link, end)
            return
        self._log.write(
            "settlement",
            "ended",
            id=tracked.name.job_id,
            task=end.task,
            run=end.run,
            worker=link.name,
            how=end.how,
            ran_s=tracked.ran_s(self._clock.monotonic()),
            saved=bool(end.checkpoint),
        )
        self._finish_run(link, tracked, end.how, end.checkpoint)

    def _record_done_after_closing(self, link: WorkerLink, end: EndedTask) -> None:
        """Count a task as done whose run had been closed before its end was reported.

        Its work need not be done again, and an end that is acknowledged must not be
        followed by another start.
        """
        name = TaskName.parse(end.task)
        job = self._jobs.get(name.job_id) if name is not None else None
        task = job.find_task(name) if job is not None else None
        if task is None or task.done or end.run > task.last_run or job.state.ended:
            return
        step = job.request.steps[name.step]
        if step.lasting:
            return
        self._log.write(
            "settlement",
            "ended_after_closing",
            id=job.job_id,
            task=end.task,
            run=end.run,
            worker=link.name,
        )
        progress = job.open_occurrence(name.occurrence)[name.step]
        for done_task in progress.tasks if step.gang else [task]:
            done_task.done = True
        for holder, other in self._orders.find_runs(job):
            if other.task.done and other.run.number > end.run:
                self._orders.stop(holder, other, "an earlier run of the task is done")
        self._complete_job(job)
        self._progress_writer.mark_dirty(job)

    def _is_unreadable(self, task: str) -> bool:
        name = TaskName.parse(task)
        return name is not None and name.job_id in self._unreadable_jobs

    def _release_withheld(self, link: WorkerLink) -> None:
        """Give up the ends of unreadable jobs that hide those of other jobs."""
        link.ends.release()
        self._log.write("settlement", "withheld_released", worker=link.name)

    def _withhold(self, link: WorkerLink, end: EndedTask) -> None:
        """Leave an end listed for a leader that can read its job."""
        link.ends.withhold(end.number)
        job_id = TaskName.parse(end.task).job_id
        if job_id in self._withheld_jobs:
            return
        self._withheld_jobs.add(job_id)
        self._log.write(
            "settlement",
            "withheld",
            id=job_id,
            task=end.task,
            run=end.run,
            worker=link.name,
            number=end.number,
            how=end.how,
        )

    def _finish_run(
        self, link: WorkerLink, tracked: TrackedRun, how: RunEnd, checkpoint: str
    ) -> None:
        link.remove_run(tracked)
        task = tracked.task
        job = self._jobs[tracked.name.job_id]
        step = job.request.steps[tracked.name.step]
        progress = job.open_occurrence(tracked.name.occurrence)[tracked.name.step]
        now_s = self._clock.monotonic()
        if task.run is tracked.run:
            task.run = None
        task.ready_s = now_s
        if step.checkpoints and checkpoint and not task.done:
            if self._can_store(tracked, checkpoint):
                task.checkpoint = checkpoint
        self._metrics.count(f"runs_{how}")
        match how:
            case RunEnd.DONE:
                self._suspicion.record_success(link.name, tracked.name)
                if not tracked.adopted:
                    self._suspicion.record_progress(link.name, tracked.run.began_s)
                    run_time_s = now_s - tracked.run.began_s
                    self._estimator.update(job.request, step, run_time_s)
                done_tasks = progress.tasks if step.gang else [task]
                if not step.lasting:
                    for done_task in done_tasks:
                        done_task.done = True
            case RunEnd.FAILED:
                self._suspicion.record_failure(link.name, tracked.name, now_s)
                task.record_failed_on(link.name)
                if step.lasting:
                    self._orders.restart_pauses.record_failure(
                        tracked.name,
                        tracked.run.number,
                        step,
                        tracked.ran_s(now_s),
                        now_s,
                    )
                if not task.done:
                    self._record_failure(job, tracked)
        if step.gang and how is not RunEnd.DONE and not task.done:
            self._stop_gang(tracked, how)
        self._complete_job(job)

    def _record_failure(self, job: JobProgress, tracked: TrackedRun) -> None:
        name = tracked.name
        step = job.request.steps[name.step]
        progress = job.open_occurrence(name.occurrence)[name.step]
        task = progress.tasks[0] if step.gang else tracked.task
        if step.gang:
            # Several members of one gang run may fail; they count as one failure.
            if progress.failed_run >= tracked.run.number:
                return
            progress.failed_run = tracked.run.number
        task.failures += 1
        limit = find_policy(job, self._catalogue()).max_attempts
        if task.failures >= limit and not step.lasting:
            reason = f"{name} used up its attempts"
            self.fail_job(job, reason, failures=task.failures)

    def _stop_gang(self, tracked: TrackedRun, how: RunEnd) -> None:
        for link, other in self._orders.find_gang_runs(tracked):
            self._orders.stop(link, other, f"another member of the gang ended: {how}")

    def _complete_job(self, job: JobProgress) -> None:
        job.close_finished()
        if job.all_done and not job.state.ended:
            self._log.write("settlement", "job_completed", id=job.job_id)
            self._suspicion.forget_job(job.job_id)
            self._orders.end_job(job, JobState.COMPLETED, "")

    def _jobs_of_ends(self, ends: list[EndedTask]) -> list[JobProgress]:
        names = [TaskName.parse(end.task) for end in ends]
        ids = {name.job_id for name in names if name is not None}
        return [self._jobs[job_id] for job_id in ids if job_id in self._jobs]

    async def _store_ends(
        self, ends: EndSequence, last_number: int, jobs: list[JobProgress]
    ) -> None:
        await asyncio.gather(*(self._save(job) for job in jobs))
        ends.record_stored(last_number)

    async def _save(self, job: JobProgress) -> None:
        """Store a job's progress; an end that isn't stored is never acknowledged."""
        while not await self._progress_writer.save(job):
            pass
