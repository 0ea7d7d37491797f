"""Compares what a worker reports with the open runs there, and closes what ended."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from chiveledge.coordinator._context import ReignContext
from chiveledge.coordinator._demands import find_policy
from chiveledge.coordinator._fleet_view import find_kept_runs
from chiveledge.coordinator._ledger import Ledger
from chiveledge.coordinator._orders import OrderDesk
from chiveledge.coordinator._runtimes import RunTimes
from chiveledge.coordinator._worker_link import TrackedRun, WorkerLink
from chiveledge.placement import (
    ALL_DONE_PERCENT,
    RunPace,
    WorkerSuspicion,
    should_leave,
)
from chiveledge.services.task_worker import EndedTask, HoldReport, RunningTask
from chiveledge.workload import JobProgress, JobState, RunEnd, RunState, TaskName


class Settlement:
    """Settles reports of one reign.

    Parameters
    ----------
    context : ReignContext
        Clock, log, metrics, bounds and configuration.
    ledger : Ledger
        Stores ends before they are acknowledged.
    orders : OrderDesk
        Stops what should not run.
    jobs : dict
        All jobs by ID.
    suspicion : WorkerSuspicion
        Learns how runs end on each worker.
    run_times : RunTimes
        Learns what runs take.
    """

    def __init__(
        self,
        context: ReignContext,
        ledger: Ledger,
        orders: OrderDesk,
        jobs: dict[str, JobProgress],
        suspicion: WorkerSuspicion,
        run_times: RunTimes,
    ) -> None:
        self._clock = context.clock
        self._log = context.log
        self._metrics = context.metrics
        self._timing = context.timing
        self._catalogue = context.catalogue
        self._ledger = ledger
        self._orders = orders
        self._jobs = jobs
        self._suspicion = suspicion
        self._run_times = run_times

    def settle(
        self, link: WorkerLink, report: HoldReport, sent_s: float
    ) -> Coroutine | None:
        """Take a report over.

        Parameters
        ----------
        link : WorkerLink
            The worker.
        report : HoldReport
            Its answer to a look that carried our fence.
        sent_s : float
            Monotonic time at which the look was sent.

        Returns
        -------
        coroutine or None
            Stores the reported ends and then allows the worker to forget them.
        """
        link.fence_raised = True
        link.note_answer(report.clock_ms, self._clock.monotonic())
        shown = set()
        for row in report.running:
            shown.add((row.task, row.run))
            self._note_running(link, row)
        fresh = [end for end in report.ended if end.number > link.last_settled]
        shown |= {(end.task, end.run) for end in report.ended}
        for end in fresh:
            self._note_end(link, end)
        self._close_absent(link, shown, sent_s)
        if not fresh:
            return None
        link.last_settled = max(end.number for end in fresh)
        return self._acknowledge(
            link, link.born_ms, link.last_settled, self._jobs_of(fresh)
        )

    def close(
        self, link: WorkerLink, tracked: TrackedRun, how: RunEnd, why: str
    ) -> None:
        """Close a run without a listed end."""
        self._log.write(
            "settlement",
            "closed",
            id=tracked.name.job_id,
            task=str(tracked.name),
            run=tracked.run.number,
            worker=link.name,
            how=how,
            why=why,
        )
        self._close(link, tracked, how, tracked.run.checkpoint)
        self._ledger.mark(self._jobs[tracked.name.job_id])

    def stop_stalled(self, links: dict[str, WorkerLink], now_s: float) -> None:
        """Stop runs that make no progress at all, and suspect their workers."""
        for link in list(links.values()):
            if link.failing_since_s is not None:
                continue
            for tracked in list(link.runs.values()):
                if self._is_stalled(tracked, now_s):
                    self._suspicion.note_stall(link.name, now_s)
                    self._orders.stop(link, tracked, "it makes no progress")

    def evacuate(self, links: dict[str, WorkerLink], now_s: float) -> None:
        """Stop what has to leave workers that are about to go."""
        kept = find_kept_runs(list(links.values()), self._jobs)
        for link in list(links.values()):
            leaves_s = link.leaves_in_s(now_s, self._timing.drain_s)
            if leaves_s is None:
                continue
            for tracked in list(link.runs.values()):
                if tracked.stopping or tracked.run.state is not RunState.RUNNING:
                    continue
                if tracked.name in kept:
                    continue
                if self._has_to_leave(tracked, leaves_s, now_s):
                    self._orders.stop(link, tracked, "its worker leaves")

    def _has_to_leave(self, tracked: TrackedRun, leaves_s: float, now_s: float) -> bool:
        request = self._jobs[tracked.name.job_id].request
        step = tracked.step
        if step.lasting:
            return True
        rate = tracked.percent_per_s
        left = ALL_DONE_PERCENT - tracked.run.percent
        if rate:
            remaining_s = left / rate
        else:
            remaining_s = self._run_times.expect_s(request, step) * left / 100
        return should_leave(
            leaves_s,
            remaining_s,
            saved=step.checkpoints,
            stop_s=self._timing.stop_s,
        )

    def list_paces(self, links: dict[str, WorkerLink]) -> list[RunPace]:
        """Return the pace of all runs that work and have not come to their end."""
        paces = []
        for link in links.values():
            for tracked in link.runs.values():
                rate = tracked.percent_per_s
                percent = tracked.run.percent
                if rate is None or tracked.stopping or percent >= ALL_DONE_PERCENT:
                    continue
                request = self._jobs[tracked.name.job_id].request
                if tracked.step.lasting:
                    continue
                usual_s = self._run_times.usual_s(request)
                usual = ALL_DONE_PERCENT / usual_s if usual_s else 0.0
                paces.append(RunPace(link.name, tracked.name.step_name, rate, usual))
        return paces

    def _is_stalled(self, tracked: TrackedRun, now_s: float) -> bool:
        run = tracked.run
        step = tracked.step
        return (
            run.state is RunState.RUNNING
            and not tracked.stopping
            and not step.lasting
            and not step.filler
            and run.percent < ALL_DONE_PERCENT
            and now_s - run.last_gain_s > self._timing.stall_s
        )

    def _note_running(self, link: WorkerLink, row: RunningTask) -> None:
        tracked = link.runs.get((row.task, row.run))
        if tracked is None:
            self._orders.bar(link, row.task, row.run)
            return
        run = tracked.run
        run.born_ms = link.born_ms
        tracked.shown = True
        now_s = self._clock.monotonic()
        if run.state is not RunState.RUNNING:
            run.state = RunState.RUNNING
            run.began_s = run.began_s or now_s
            run.last_gain_s = now_s
            if tracked.settled_s is None:
                tracked.settled_s = now_s
            self._orders.note_begun(tracked)
        tracked.note_percent(row.percent, now_s)
        if row.percent != run.percent:
            if not tracked.adopted:
                self._suspicion.note_sound_start(link.name, run.began_s)
            run.percent = row.percent
            run.last_gain_s = now_s
        if row.checkpoint:
            run.checkpoint = row.checkpoint

    def _note_end(self, link: WorkerLink, end: EndedTask) -> None:
        tracked = link.runs.get((end.task, end.run))
        if tracked is None:
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
        )
        self._close(link, tracked, end.how, end.checkpoint)

    def _close_absent(
        self, link: WorkerLink, shown: set[tuple[str, int]], sent_s: float
    ) -> None:
        for key, tracked in list(link.runs.items()):
            settled_s = tracked.settled_s
            if key in shown or settled_s is None or sent_s < settled_s:
                continue
            self.close(link, tracked, RunEnd.NOT_STARTED, "the worker does not have it")

    def _close(
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
            task.checkpoint = checkpoint
        self._metrics.count(f"runs_{how}")
        match how:
            case RunEnd.DONE:
                self._suspicion.note_success(link.name, tracked.name)
                if not tracked.adopted:
                    self._suspicion.note_sound_start(link.name, tracked.run.began_s)
                    took_s = now_s - tracked.run.began_s
                    self._run_times.note(job.request, step, took_s)
                finished = progress.tasks if step.gang else [task]
                if not step.lasting:
                    for each in finished:
                        each.done = True
            case RunEnd.FAILED:
                self._suspicion.note_failure(link.name, tracked.name, now_s)
                task.failed_on = (*task.failed_on, link.name)
                self._count_failure(job, tracked)
        if step.gang and how is not RunEnd.DONE and not task.done:
            self._stop_members(tracked, how)
        self._finish(job)

    def _count_failure(self, job: JobProgress, tracked: TrackedRun) -> None:
        name = tracked.name
        step = job.request.steps[name.step]
        progress = job.open_occurrence(name.occurrence)[name.step]
        task = progress.tasks[0] if step.gang else tracked.task
        if step.gang:
            if progress.failed_run >= tracked.run.number:
                return
            progress.failed_run = tracked.run.number
        task.failures += 1
        limit = find_policy(job, self._catalogue()).max_attempts
        if task.failures >= limit and not step.lasting and not job.state.ended:
            self._log.write(
                "settlement", "job_failed", id=job.job_id, failures=task.failures
            )
            self._suspicion.forget_job(job.job_id)
            self._orders.end_job(job, JobState.FAILED, f"{name} failed too often")

    def _stop_members(self, tracked: TrackedRun, how: RunEnd) -> None:
        for link, other in self._orders.find_members(tracked):
            self._orders.stop(link, other, f"a member of its gang ended {how}")

    def _finish(self, job: JobProgress) -> None:
        job.close_finished()
        if job.all_done and not job.state.ended:
            self._log.write("settlement", "job_completed", id=job.job_id)
            self._suspicion.forget_job(job.job_id)
            self._orders.end_job(job, JobState.COMPLETED, "")

    def _jobs_of(self, ends: list[EndedTask]) -> list[JobProgress]:
        names = [TaskName.parse(end.task) for end in ends]
        ids = {name.job_id for name in names if name is not None}
        return [self._jobs[job_id] for job_id in ids if job_id in self._jobs]

    async def _acknowledge(
        self, link: WorkerLink, born_ms: int, last: int, jobs: list[JobProgress]
    ) -> None:
        await asyncio.gather(*(self._ledger.save(job) for job in jobs))
        if link.born_ms == born_ms:
            link.acknowledged = max(link.acknowledged, last)
