"""Sends start and stop orders and resolves those without an answer.

A start order without an answer may be executed later. It is sent again unchanged,
which is safe since a worker starts a run at most once. If no attempt is answered, a
stop order bars the run before its task may start elsewhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from result import Err, Ok

from chiveledge.coordinator._advice import TicketCache
from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._hedged_orders import send_hedged, send_once
from chiveledge.coordinator._progress_writer import ProgressWriter
from chiveledge.coordinator._restart_pauses import RestartPauses
from chiveledge.coordinator._run_evidence import may_extend_leases
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_link import LATE_ORDER_S, WorkerLink
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

BAD_ORDER_PAUSE_S = 0.25
MAX_BAD_ORDER_PAUSE_S = 2.0
"""Longest pause of a step whose orders are declined as bad. Shorter than the 3 s for
which a job may have nothing running while there is capacity for it."""

DRAINED_REASON = "the failure domain is drained, or the drains are not known"

PlacedRuns = list[tuple[WorkerLink, TrackedRun]]
"""Runs, each with the worker on which it is placed."""


class _BadOrders(NamedTuple):
    """Orders of a step that were declined as bad, since the last one that started.

    Attributes
    ----------
    rounds : int
        How often the step rested.
    until_s : float
        Monotonic time until which the step rests.
    """

    rounds: int
    until_s: float


class OrderDispatcher:
    """Dispatches the orders of one leader term to workers.

    Parameters
    ----------
    context : TermContext
        Clock, log, metrics and timing.
    leadership : Leadership
        Its epoch at the beginning of the term is the fence of all orders; nothing
        starts while it is not valid.
    progress_writer : ProgressWriter
        Stores each run before its start order is sent.
    tickets : TicketCache
        Provides the tickets that start orders carry.
    jobs, links : dict
        All jobs by ID and all workers by name.
    spawn : callable
        Starts a task that is cancelled when the term ends.
    request_plan, end_term : callable
        Request a new plan; end the term for a reason.
    """

    def __init__(
        self,
        context: TermContext,
        leadership: Leadership,
        progress_writer: ProgressWriter,
        tickets: TicketCache,
        jobs: dict[str, JobProgress],
        links: dict[str, WorkerLink],
        spawn: Callable[[Coroutine], None],
        request_plan: Callable[[], None],
        end_term: Callable[[str], None],
    ) -> None:
        self._clock = context.clock
        self._log = context.log
        self._metrics = context.metrics
        self._timing = context.timing
        self._drains = context.drains
        self._leadership = leadership
        self._epoch = leadership.epoch
        self._progress_writer = progress_writer
        self._tickets = tickets
        self._jobs = jobs
        self._links = links
        self._spawn = spawn
        self._request_plan = request_plan
        self._end_term = end_term
        self.restart_pauses = RestartPauses()
        self._bad_orders: dict[str, _BadOrders] = {}

    def is_resting(self, step_name: str, now_s: float) -> bool:
        """Return whether a step rests, since its orders were declined as bad."""
        bad = self._bad_orders.get(step_name)
        return bad is not None and now_s < bad.until_s

    async def launch(self, job: JobProgress, step: Step, placed: PlacedRuns) -> None:
        """Store the runs, then send their start orders; a gang starts whole or not."""
        is_stored = await self._progress_writer.save(job)
        obstacle = self._find_obstacle(job, placed, is_stored)
        if obstacle:
            for link, tracked in placed:
                self.discard(link, tracked, f"not sent: {obstacle}")
            return
        placed = self._discard_unusable(step, placed)
        if not placed:
            return
        checkpoint = _choose_checkpoint(step, placed)
        did_start = await asyncio.gather(
            *(
                self._start(link, tracked, job.request.payload, checkpoint(tracked))
                for link, tracked in placed
            )
        )
        if step.gang and not all(did_start):
            for link, tracked in placed:
                self.stop(link, tracked, "another member of the gang did not start")

    def _find_obstacle(
        self, job: JobProgress, placed: PlacedRuns, is_stored: bool
    ) -> str:
        """Return why runs can't start any more; empty if they can."""
        if not is_stored:
            return "the store rejected the job's progress"
        if job.state.ended or not self._leadership.valid:
            return "the job ended or the leadership was lost"
        if any(
            link.incarnation_ms != tracked.run.incarnation_ms
            for link, tracked in placed
        ):
            return "a worker restarted"
        return ""

    def _discard_unusable(self, step: Step, placed: PlacedRuns) -> PlacedRuns:
        """Discard the runs on workers that shrank or were drained after the placement.

        Returns the other runs; none of a gang that isn't whole any more.
        """
        kept = []
        reason = ""
        for link, tracked in placed:
            unusable = self._find_unusable(link)
            if unusable:
                reason = f"not sent: {unusable}"
                self.discard(link, tracked, reason)
            else:
                kept.append((link, tracked))
        if not step.gang or not reason:
            return kept
        for link, tracked in kept:
            self.discard(link, tracked, f"{reason} for another member of the gang")
        return []

    def _find_unusable(self, link: WorkerLink) -> str:
        """Return why nothing may start on a worker any more; empty if it may."""
        if link.is_over_capacity:
            return "the worker's capacity shrank"
        if not self._may_start_on(link):
            return DRAINED_REASON
        return ""

    def _may_start_on(self, link: WorkerLink) -> bool:
        """Return whether the drains known now allow a start on a worker."""
        return self._drains().may_start_in(link.entry.domain)

    def stop(self, link: WorkerLink, tracked: TrackedRun, reason: str) -> None:
        """Stop a run; its capacity becomes free once the worker reports its end."""
        if tracked.stopping or tracked.key not in link.runs:
            return
        link.mark_stopping(tracked)
        tracked.run.stop_reason = reason
        self._log.write(
            "orders",
            "stop",
            id=tracked.name.job_id,
            task=str(tracked.name),
            run=tracked.run.number,
            worker=link.name,
            why=reason,
        )
        self._spawn(self._send_stop(link, tracked))

    def stop_unknown(self, link: WorkerLink, task: str, run: int) -> None:
        """Stop a run that a worker reports but no job has open."""
        self._log.write("orders", "stop_unknown", task=task, run=run, worker=link.name)
        order = StopOrder(task, run, self._epoch)
        self._spawn(link.client.stop(order))

    def bar(self, link: WorkerLink, task: str, run: int) -> None:
        """Keep a closed run from starting if a copy of its order is carried out late.

        The order is sent until it is answered or no copy can come any more.
        """
        self._log.write("orders", "bar", task=task, run=run, worker=link.name)
        self._spawn(self._send_bar(link, StopOrder(task, run, self._epoch)))

    async def _send_bar(self, link: WorkerLink, order: StopOrder) -> None:
        until_s = self._clock.monotonic() + LATE_ORDER_S
        while self._clock.monotonic() < until_s:
            answered = await send_hedged(self._clock, lambda: link.client.stop(order))
            match answered.result:
                case Err(Declined(DeclineReason.FENCE)):
                    self._end_term(f"{link.name} follows a leader with a higher epoch")
                    return
                case Ok(_) | Err(Declined()):
                    return
            await self._clock.sleep(STOP_RETRY_S)

    def discard(self, link: WorkerLink, tracked: TrackedRun, reason: str) -> None:
        """Remove a run that never started and can no longer start."""
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
            why=reason,
        )
        self._progress_writer.mark_dirty(self._jobs[tracked.name.job_id])
        self._request_plan()

    def end_job(self, job: JobProgress, state: JobState, reason: str) -> None:
        """Give a job its final state and stop its open runs."""
        job.state = state
        job.reason = reason
        job.ended_ms = int(self._clock.now().timestamp() * 1000)
        for name in [n for n in self._bad_orders if n.startswith(f"{job.job_id}.")]:
            del self._bad_orders[name]
        self.restart_pauses.forget_job(job.job_id)
        self._progress_writer.mark_dirty(job)
        if state is JobState.COMPLETED:
            # The members of a gang end together, so the others need no stop order.
            return
        for link, tracked in self.find_runs(job):
            self.stop(link, tracked, reason)

    def find_runs(self, job: JobProgress) -> PlacedRuns:
        """Return the open runs of a job with their workers."""
        runs = []
        for name, _, run in job.open_runs():
            link = self._links.get(run.worker)
            tracked = link.runs.get((str(name), run.number)) if link else None
            if tracked is not None:
                runs.append((link, tracked))
        return runs

    def find_gang_runs(self, tracked: TrackedRun) -> PlacedRuns:
        """Return a run and, for a gang, the runs of its other members."""
        runs = self.find_runs(self._jobs[tracked.name.job_id])
        if not tracked.step.gang:
            return [(link, run) for link, run in runs if run is tracked]
        step, number = tracked.name[:3], tracked.run.number
        return [
            (link, member)
            for link, member in runs
            if member.name[:3] == step and member.run.number == number
        ]

    async def _start(
        self, link: WorkerLink, tracked: TrackedRun, payload: str, checkpoint: str
    ) -> bool:
        """Send a start order until it is answered; return whether the run started.

        A worker that started again would start the run again. An order of a task that
        may crash its worker is therefore sent once.
        """
        run = tracked.run
        run.state = RunState.SENT
        unanswered = False
        may_crash = tracked.task.crashes > 0
        send = send_once if may_crash else send_hedged
        for _ in range(1 if may_crash else START_ATTEMPTS):
            now_s = self._clock.monotonic()
            if not may_extend_leases(self._leadership, now_s):
                break
            if not self._may_start_on(link):
                self._withdraw(link, tracked, was_sent=unanswered)
                return False
            incarnation_ms = link.incarnation_ms
            order = StartOrder(
                task=str(tracked.name),
                run=run.number,
                payload=payload,
                lease_end_ms=link.lease.extend(now_s, self._timing.work_lease_s) or 0,
                fence=self._epoch,
                checkpoint=checkpoint,
                ticket=self._tickets.find_ticket(
                    tracked.name.step_name, link.name, link.incarnation_ms
                ),
            )
            if tracked.stopping or tracked.key not in link.runs:
                return False
            self._metrics.count("starts_sent")
            answered = await send(
                self._clock,
                lambda order=order: link.client.start(order),
                lambda: self._may_start_on(link),
            )
            unanswered |= answered.unanswered
            if answered.unanswered:
                self._record_unanswered(link, tracked)
            match answered.result:
                case Ok(answer) if link.incarnation_ms == incarnation_ms:
                    self._mark_started(link, tracked, answer.clock_ms)
                    return True
                case Err(Declined() as declined):
                    self._handle_declined(link, tracked, declined, unanswered)
                    return False
                case Err(Unavailable(reason)) if not unanswered:
                    link.avoid_until_s = now_s + AVOID_AFTER_DECLINE_S
                    self.discard(link, tracked, reason)
                    return False
                case Ok(_) | Err(_):
                    # An answer that an earlier incarnation gave settles nothing.
                    unanswered = True
                    if run.state is not RunState.RUNNING:
                        run.state = RunState.UNKNOWN
                    if not answered.unanswered:
                        self._record_unanswered(link, tracked)
            if run.state is RunState.RUNNING:
                return True
            if _may_have_restarted(link, tracked) or link.is_over_capacity:
                break
        self.stop(link, tracked, "the worker did not answer the start order")
        return False

    def _withdraw(
        self, link: WorkerLink, tracked: TrackedRun, *, was_sent: bool
    ) -> None:
        """Withdraw a start that may not be sent, or sent again, because of a drain.

        An order that was never sent can't be carried out; one that may have arrived is
        stopped.
        """
        if was_sent:
            self.stop(
                link, tracked, f"no answer to the start order, and {DRAINED_REASON}"
            )
        else:
            self.discard(link, tracked, f"not sent: {DRAINED_REASON}")

    def _record_unanswered(self, link: WorkerLink, tracked: TrackedRun) -> None:
        link.record_unanswered_start(tracked, self._clock.monotonic())
        self._metrics.count("starts_unanswered")
        self._log.write(
            "orders",
            "unanswered",
            id=tracked.name.job_id,
            task=str(tracked.name),
            run=tracked.run.number,
            worker=link.name,
        )

    def _mark_started(
        self, link: WorkerLink, tracked: TrackedRun, clock_ms: int
    ) -> None:
        now_s = self._clock.monotonic()
        link.record_order_clock(clock_ms, now_s)
        tracked.resolved_s = now_s
        self._bad_orders.pop(tracked.name.step_name, None)
        if tracked.run.state is not RunState.RUNNING:
            tracked.run.state = RunState.RUNNING
            tracked.run.began_s = now_s
            tracked.run.last_progress_s = now_s
        self.mark_begun(tracked)
        self._metrics.count("starts_taken")

    def mark_begun(self, tracked: TrackedRun) -> None:
        """Record that a task runs, and set its queued job to running."""
        job = self._jobs[tracked.name.job_id]
        tracked.task.begun = True
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self._progress_writer.mark_dirty(job)

    def _handle_declined(
        self,
        link: WorkerLink,
        tracked: TrackedRun,
        declined: Declined,
        unanswered: bool,
    ) -> None:
        now_s = self._clock.monotonic()
        self._metrics.count(f"starts_declined_{declined.reason}")
        if declined.reason is DeclineReason.FENCE:
            self._end_term(f"{link.name} follows a leader with a higher epoch")
            return
        if declined.reason is DeclineReason.UNHEALTHY:
            link.avoid_until_s = now_s + AVOID_UNHEALTHY_S
        elif declined.reason is DeclineReason.BAD_ORDER:
            # It tells of the order and not of the worker, which others may use.
            self._rest(tracked.name.step_name, now_s)
        elif declined.reason is not DeclineReason.OLD_RUN:
            link.avoid_until_s = now_s + AVOID_AFTER_DECLINE_S
        if not unanswered:
            self.discard(link, tracked, f"declined: {declined.reason}")
        elif declined.reason is DeclineReason.OLD_RUN:
            # An earlier copy of the order ran and ended; its end will be reported.
            tracked.resolved_s = now_s
        else:
            self.stop(
                link, tracked, f"declined after an unanswered order: {declined.reason}"
            )

    def _rest(self, step_name: str, now_s: float) -> None:
        """Let a step rest, longer each time, unless it rests already."""
        if self.is_resting(step_name, now_s):
            return
        bad = self._bad_orders.get(step_name)
        rounds = bad.rounds if bad else 0
        pause_s = min(BAD_ORDER_PAUSE_S * 2**rounds, MAX_BAD_ORDER_PAUSE_S)
        self._bad_orders[step_name] = _BadOrders(rounds + 1, now_s + pause_s)

    async def _send_stop(self, link: WorkerLink, tracked: TrackedRun) -> None:
        order = StopOrder(str(tracked.name), tracked.run.number, self._epoch)
        while tracked.key in link.runs:
            incarnation_ms = link.incarnation_ms
            answered = await send_hedged(self._clock, lambda: link.client.stop(order))
            match answered.result:
                case Ok(_):
                    # An earlier incarnation may have given the answer.
                    is_present = link.incarnation_ms == incarnation_ms
                    if tracked.resolved_s is None and is_present:
                        tracked.resolved_s = self._clock.monotonic()
                    await self._clock.sleep(2 * self._timing.stop_s)
                case Err(Declined(DeclineReason.FENCE)):
                    self._end_term(f"{link.name} follows a leader with a higher epoch")
                    return
                case Err(_):
                    await self._clock.sleep(STOP_RETRY_S)


def _may_have_restarted(link: WorkerLink, tracked: TrackedRun) -> bool:
    """Return whether a worker may be another incarnation than a run was placed on."""
    is_same = link.incarnation_ms == tracked.run.incarnation_ms
    return link.unresponsive_since_s is not None or not is_same


def _choose_checkpoint(step: Step, placed: PlacedRuns) -> Callable[[TrackedRun], str]:
    """Return a function from run to checkpoint; the members of a gang share one."""
    if not step.checkpoints:
        return lambda tracked: ""
    if not step.gang:
        return lambda tracked: tracked.task.checkpoint
    shared = max(tracked.task.checkpoint for _, tracked in placed)
    return lambda tracked: shared
