"""Sends starts and stops, and settles those that got no answer.

A start without an answer may be carried out later. It is sent again unchanged,
which is safe since a run starts once at the most; if that gets no answer either, a
stop bars the run before its task may start elsewhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from result import Err, Ok

from chiveledge.coordinator._advice import AdviceBook
from chiveledge.coordinator._context import ReignContext
from chiveledge.coordinator._ledger import Ledger
from chiveledge.coordinator._worker_link import TrackedRun, WorkerLink
from chiveledge.leadership import Leadership
from chiveledge.services import Unavailable
from chiveledge.services.task_worker import (
    Declined,
    DeclineReason,
    StartOrder,
    StopOrder,
)
from chiveledge.workload import JobProgress, JobState, RunState, Step

START_ATTEMPTS = 3
STOP_RETRY_S = 0.3
AVOID_AFTER_DECLINE_S = 0.5
AVOID_UNHEALTHY_S = 2.0

Started = list[tuple[WorkerLink, TrackedRun]]


class OrderDesk:
    """Orders of one reign.

    Parameters
    ----------
    context : ReignContext
        Clock, log, metrics and bounds.
    leadership : Leadership
        Names the fence; nothing starts while it is not valid.
    ledger : Ledger
        Stores each start before it is sent.
    advice : AdviceBook
        Has the tickets that starts carry.
    jobs, links : dict
        All jobs by ID and all workers by name.
    spawn : callable
        Runs work until the reign ends.
    wake : callable
        Asks for a new plan.
    end : callable
        Ends the reign.
    """

    def __init__(
        self,
        context: ReignContext,
        leadership: Leadership,
        ledger: Ledger,
        advice: AdviceBook,
        jobs: dict[str, JobProgress],
        links: dict[str, WorkerLink],
        spawn: Callable[[Coroutine], None],
        wake: Callable[[], None],
        end: Callable[[str], None],
    ) -> None:
        self._clock = context.clock
        self._log = context.log
        self._metrics = context.metrics
        self._timing = context.timing
        self._leadership = leadership
        self._ledger = ledger
        self._advice = advice
        self._jobs = jobs
        self._links = links
        self._spawn = spawn
        self._wake = wake
        self._end = end

    async def launch(self, job: JobProgress, step: Step, started: Started) -> None:
        """Store the runs, then tell the workers; a gang starts whole or not."""
        await self._ledger.save(job)
        if job.state.ended or not self._leadership.valid:
            for link, tracked in started:
                self.forget(link, tracked, "not sent: the job ended or no leadership")
            return
        if any(link.born_ms != tracked.run.born_ms for link, tracked in started):
            for link, tracked in started:
                self.forget(link, tracked, "not sent: a worker started anew")
            return
        checkpoint = _choose_checkpoint(step, started)
        taken = await asyncio.gather(
            *(
                self._start(link, tracked, job.request.payload, checkpoint(tracked))
                for link, tracked in started
            )
        )
        if step.gang and not all(taken):
            for link, tracked in started:
                self.stop(link, tracked, "another member of the gang did not start")

    def stop(self, link: WorkerLink, tracked: TrackedRun, why: str) -> None:
        """Stop a run; what it held is free once its end is listed."""
        if tracked.stopping or tracked.key not in link.runs:
            return
        link.note_stopping(tracked)
        tracked.run.stop_wanted = why
        self._log.write(
            "orders",
            "stop",
            id=tracked.name.job_id,
            task=str(tracked.name),
            run=tracked.run.number,
            worker=link.name,
            why=why,
        )
        self._spawn(self._send_stop(link, tracked))

    def bar(self, link: WorkerLink, task: str, run: int) -> None:
        """Stop a run that no job knows."""
        self._log.write("orders", "stop_unknown", task=task, run=run, worker=link.name)
        order = StopOrder(task, run, self._leadership.epoch)
        self._spawn(link.worker.stop(order))

    def forget(self, link: WorkerLink, tracked: TrackedRun, why: str) -> None:
        """Take back a run that surely never started and never will."""
        if not link.remove_run(tracked):
            return
        if tracked.task.run is tracked.run:
            tracked.task.run = None
        self._log.write(
            "orders",
            "not_started",
            id=tracked.name.job_id,
            task=str(tracked.name),
            run=tracked.run.number,
            worker=link.name,
            why=why,
        )
        self._ledger.mark(self._jobs[tracked.name.job_id])
        self._wake()

    def end_job(self, job: JobProgress, state: JobState, reason: str) -> None:
        """Give a job its final state and stop what still runs."""
        job.state = state
        job.reason = reason
        job.ended_ms = int(self._clock.now().timestamp() * 1000)
        self._ledger.mark(job)
        if state is JobState.COMPLETED:
            # Members of a gang end together; their ends are still to be listed.
            return
        for link, tracked in self.find_runs(job):
            self.stop(link, tracked, reason)

    def find_runs(self, job: JobProgress) -> Started:
        """Return the job's open runs and their workers."""
        found = []
        for name, _, run in job.open_runs():
            link = self._links.get(run.worker)
            tracked = link.runs.get((str(name), run.number)) if link else None
            if tracked is not None:
                found.append((link, tracked))
        return found

    def find_members(self, tracked: TrackedRun) -> Started:
        """Return a run and, for a gang, the runs of its other members."""
        rows = self.find_runs(self._jobs[tracked.name.job_id])
        if not tracked.step.gang:
            return [(link, run) for link, run in rows if run is tracked]
        step, number = tracked.name[:3], tracked.run.number
        return [
            (link, member)
            for link, member in rows
            if member.name[:3] == step and member.run.number == number
        ]

    async def _start(
        self, link: WorkerLink, tracked: TrackedRun, payload: str, checkpoint: str
    ) -> bool:
        """Send a start until it is answered; return whether the run is there."""
        run = tracked.run
        run.state = RunState.SENT
        unanswered = False
        for _ in range(START_ATTEMPTS):
            now_s = self._clock.monotonic()
            order = StartOrder(
                task=str(tracked.name),
                run=run.number,
                payload=payload,
                lease_end_ms=link.extend_lease(now_s, self._timing.work_lease_s) or 0,
                fence=self._leadership.epoch,
                checkpoint=checkpoint,
                ticket=self._advice.find(
                    tracked.name.step_name, link.name, link.born_ms
                ),
            )
            if tracked.stopping or tracked.key not in link.runs:
                return False
            self._metrics.count("starts_sent")
            match await link.worker.start(order):
                case Ok(taken):
                    self._note_started(link, tracked, taken.clock_ms)
                    return True
                case Err(Declined() as declined):
                    self._note_declined(link, tracked, declined, unanswered)
                    return False
                case Err(Unavailable(reason)) if not unanswered:
                    link.avoid_until_s = now_s + AVOID_AFTER_DECLINE_S
                    self.forget(link, tracked, reason)
                    return False
                case Err(_):
                    unanswered = True
                    run.state = RunState.UNKNOWN
            if run.state is RunState.RUNNING:
                return True
        self.stop(link, tracked, "its start got no answer")
        return False

    def _note_started(
        self, link: WorkerLink, tracked: TrackedRun, clock_ms: int
    ) -> None:
        now_s = self._clock.monotonic()
        tracked.settled_s = now_s
        if tracked.run.state is not RunState.RUNNING:
            tracked.run.state = RunState.RUNNING
            tracked.run.began_s = now_s
            tracked.run.last_gain_s = now_s
        self.note_begun(tracked)
        self._metrics.count("starts_taken")

    def note_begun(self, tracked: TrackedRun) -> None:
        """A task runs; its job shows so from now on."""
        job = self._jobs[tracked.name.job_id]
        tracked.task.begun = True
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self._ledger.mark(job)

    def _note_declined(
        self,
        link: WorkerLink,
        tracked: TrackedRun,
        declined: Declined,
        unanswered: bool,
    ) -> None:
        now_s = self._clock.monotonic()
        self._metrics.count(f"starts_declined_{declined.reason}")
        if declined.reason is DeclineReason.FENCE:
            self._end(f"{link.name} has seen a higher fence")
            return
        if declined.reason is DeclineReason.UNHEALTHY:
            link.avoid_until_s = now_s + AVOID_UNHEALTHY_S
        elif declined.reason is not DeclineReason.OLD_RUN:
            link.avoid_until_s = now_s + AVOID_AFTER_DECLINE_S
        if not unanswered:
            self.forget(link, tracked, f"declined: {declined.reason}")
        elif declined.reason is DeclineReason.OLD_RUN:
            # An earlier copy of the order ran and ended there: its end is listed.
            tracked.settled_s = now_s
        else:
            self.stop(link, tracked, f"declined after silence: {declined.reason}")

    async def _send_stop(self, link: WorkerLink, tracked: TrackedRun) -> None:
        order = StopOrder(str(tracked.name), tracked.run.number, self._leadership.epoch)
        while tracked.key in link.runs:
            match await link.worker.stop(order):
                case Ok(_):
                    if tracked.settled_s is None:
                        tracked.settled_s = self._clock.monotonic()
                    await self._clock.sleep(2 * self._timing.stop_s)
                case Err(Declined(DeclineReason.FENCE)):
                    self._end(f"{link.name} has seen a higher fence")
                    return
                case Err(_):
                    await self._clock.sleep(STOP_RETRY_S)


def _choose_checkpoint(step: Step, started: Started) -> Callable[[TrackedRun], str]:
    """Return what gives each run its saved data; a gang's members share one."""
    if not step.checkpoints:
        return lambda tracked: ""
    if not step.gang:
        return lambda tracked: tracked.task.checkpoint
    shared = max(tracked.task.checkpoint for _, tracked in started)
    return lambda tracked: shared
