"""Tracks the workers of a leader term: their entries, polls and leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from result import Err, Ok

from chiveledge.clock import run_with_timeout
from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._loss_sign import classify_unanswered
from chiveledge.coordinator._orders import OrderDispatcher
from chiveledge.coordinator._reconciliation import Reconciler
from chiveledge.coordinator._run_evidence import has_lease_expired, may_extend_leases
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_lease import CLOCK_RATE, WorkerLease
from chiveledge.coordinator._worker_link import WorkerLink, age_s
from chiveledge.coordinator._worker_loss import CrashRecorder, Verdict
from chiveledge.leadership import Leadership
from chiveledge.placement import WorkerSuspicion
from chiveledge.services import CallError, Row
from chiveledge.services.task_worker import (
    Declined,
    DeclineReason,
    PollReport,
    PollRequest,
    WorkerEntry,
)
from chiveledge.workload import RunEnd, RunState, Usage

FIRST_EPOCH = 1
"""Epoch of the first leader that a store has seen."""

POLL_RETRY_S = 0.2
UNLISTED_GRACE_S = 3.0

STORE_TIMEOUT_S = 0.5
"""How long a poll waits until the ends of the last report are stored."""


class WorkerMonitor:
    """Follows the platform's worker list and polls each worker.

    Parameters
    ----------
    context : TermContext
        Clients, clock, log and timing.
    leadership : Leadership
        Its epoch at the beginning of the term is the fence that every poll carries.
    links : dict
        Filled with the state of each worker, by name.
    reconciler : Reconciler
        Applies the reports of workers.
    orders : OrderDispatcher
        Stops runs.
    suspicion : WorkerSuspicion
        Record of failures, cleared for a worker that restarts.
    crashes : CrashRecorder
        Record of the tasks under which workers crashed.
    spawn : callable
        Starts a task that is cancelled when the term ends.
    request_plan, end_term : callable
        Request a new plan; end the term for a reason.
    has_ended : callable
        Returns whether the term has ended.
    """

    def __init__(
        self,
        context: TermContext,
        leadership: Leadership,
        links: dict[str, WorkerLink],
        reconciler: Reconciler,
        orders: OrderDispatcher,
        suspicion: WorkerSuspicion,
        crashes: CrashRecorder,
        spawn: Callable[[Coroutine], asyncio.Task],
        request_plan: Callable[[], None],
        end_term: Callable[[str], None],
        has_ended: Callable[[], bool],
    ) -> None:
        self.links = links
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._leadership = leadership
        self._epoch = leadership.epoch
        self._reconciler = reconciler
        self._orders = orders
        self._suspicion = suspicion
        self._crashes = crashes
        self._spawn = spawn
        self._request_plan = request_plan
        self._end_term = end_term
        self._has_ended = has_ended
        self._began_s = self._clock.monotonic()
        self._loaded = asyncio.Event()

    def start_polling(self) -> None:
        """Begin to poll workers, once all jobs and their open runs are loaded."""
        self._give_up(self._crashes.record_missed_restarts())
        self._loaded.set()

    def find_or_add(self, name: str, incarnation_ms: int, machine: str) -> WorkerLink:
        """Return the worker of a name; add it if it is not listed.

        A worker that is not listed any more may still execute earlier orders.
        """
        if name in self.links:
            return self.links[name]
        entry = WorkerEntry(
            name,
            service="",
            address="",
            domain="",
            rack="",
            labels=frozenset(),
            capacity=Usage(),
            incarnation_ms=incarnation_ms,
            machine=machine,
        )
        link = self._make_link(entry, listed=False)
        link.incarnation_ms = incarnation_ms
        self.links[name] = link
        self._spawn(self._poll_worker(link))
        return link

    def apply_changes(
        self, rows: Iterable[Row], deleted: Iterable[str], is_snapshot: bool
    ) -> None:
        """Apply changes of the platform's worker list."""
        prefix = self._context.worker_prefix
        removed = {key.removeprefix(prefix) for key in deleted}
        listed = set()
        for row in rows:
            entry = self._context.decode_worker(row)
            if entry is None:
                removed.add(row.key.removeprefix(prefix))
            else:
                listed.add(entry.name)
                self._update_entry(entry)
        if is_snapshot:
            removed |= self.links.keys() - listed
        for name in removed:
            link = self.links.get(name)
            if link is not None and link.listed:
                link.mark_unlisted(self._clock.monotonic())
                self._log.write(
                    "workers",
                    "unlisted",
                    worker=name,
                    draining=link.entry.draining,
                    runs=len(link.runs),
                )
        self._request_plan()

    def _update_entry(self, entry: WorkerEntry) -> None:
        link = self.links.get(entry.name)
        if link is None:
            link = self._make_link(entry, listed=True)
            link.incarnation_ms = entry.incarnation_ms
            if entry.draining:
                link.draining_since_s = self._clock.monotonic()
            link.cold_until_s = self._clock.monotonic() + entry.cold_left_s
            self.links[entry.name] = link
            self._log.write(
                "workers",
                "listed",
                worker=entry.name,
                worker_domain=entry.domain,
                rack=entry.rack,
                service=entry.service,
            )
            self._give_up(self._crashes.record_listed(entry))
            self._spawn(self._poll_worker(link))
            return
        if entry.incarnation_ms in link.past_incarnations:
            # The row has not been replaced since the worker started again.
            return
        has_restarted = entry.incarnation_ms != link.entry.incarnation_ms
        if entry.incarnation_ms > link.incarnation_ms:
            self._handle_restart(link, entry.incarnation_ms)
        if entry.draining and (
            link.draining_since_s is None or entry.leaves_s != link.entry.leaves_s
        ):
            link.draining_since_s = self._clock.monotonic()
            self._log.write(
                "workers", "draining", worker=entry.name, leaves_s=entry.leaves_s
            )
        if entry.address != link.entry.address:
            link.client = self._context.make_worker(entry)
        if has_restarted or entry.cold_left_s != link.entry.cold_left_s:
            link.cold_until_s = self._clock.monotonic() + entry.cold_left_s
        link.entry = entry
        link.listed = True

    def _make_link(self, entry: WorkerEntry, *, listed: bool) -> WorkerLink:
        client = self._context.make_worker(entry)
        # An earlier leader may have extended the lease until its last order, and one
        # that met a restarted worker may have granted the longest lease.
        timing = self._context.timing
        has_predecessor = self._epoch > FIRST_EPOCH and not self._loaded.is_set()
        lease = WorkerLease(
            timing.work_lease_s / CLOCK_RATE,
            granted_at_start_s=timing.longest_lease_s if has_predecessor else 0.0,
        )
        return WorkerLink(entry, client, listed=listed, lease=lease)

    def _handle_restart(self, link: WorkerLink, incarnation_ms: int) -> None:
        self._log.write(
            "workers",
            "reborn",
            worker=link.name,
            born_ms=incarnation_ms,
            earlier_ms=link.incarnation_ms,
            runs=len(link.runs),
            acknowledged=link.sent_acknowledgement,
        )
        verdicts = self._crashes.record_restart(link)
        link.begin_incarnation(
            incarnation_ms,
            self._clock.monotonic(),
            self._context.timing.longest_lease_s,
        )
        self._suspicion.forget_worker(link.name)
        late = link.list_late_starts(self._clock.monotonic())
        for task, run in late:
            if (task, run) not in link.runs:
                self._orders.bar(link, task, run)
        for tracked in list(link.runs.values()):
            self._carry_over_run(link, tracked, is_late=tracked.key in late)
        self._give_up(verdicts)
        self._request_plan()

    def _carry_over_run(
        self, link: WorkerLink, tracked: TrackedRun, *, is_late: bool
    ) -> None:
        """Close, bar or keep a run of a worker that restarted under its name.

        Orders name the worker and not its incarnation, so a start order that the
        earlier incarnation never reported may have reached the present one. If a copy
        may still reach it, the run is barred there before it counts as gone.
        """
        if tracked.run.state is RunState.INTENDED:
            return
        if is_late or tracked.resolved_s is None:
            tracked.resolved_s = None
            self._orders.stop(link, tracked, "the worker restarted")
        elif tracked.reported:
            self._reconciler.close_run(
                link, tracked, RunEnd.LAPSED, "the worker restarted"
            )
        else:
            tracked.resolved_s = self._clock.monotonic()

    async def _poll_worker(self, link: WorkerLink) -> None:
        """Poll a worker, extend its lease and reconcile its reports.

        Reports are compared with the open runs, so all jobs are loaded first.
        """
        await self._loaded.wait()
        while not self._has_ended():
            if link.entry.address:
                await self._poll(link)
            else:
                await self._clock.sleep(POLL_RETRY_S)
            self._close_expired(link)
            if self._is_forgettable(link):
                self.links.pop(link.name, None)
                await link.client.close()
                return

    def _is_forgettable(self, link: WorkerLink) -> bool:
        """Return whether a worker has left and no order of ours may reach it."""
        now_s = self._clock.monotonic()
        if link.listed or link.runs or link.list_late_starts(now_s):
            return False
        last_heard_s = link.last_answer_s or self._began_s
        return now_s - last_heard_s > UNLISTED_GRACE_S

    async def _poll(self, link: WorkerLink) -> None:
        ends = link.ends
        if ends.is_storing and not ends.unconfirmed:
            await run_with_timeout(
                self._clock, ends.wait_until_stored(), STORE_TIMEOUT_S
            )
        now_s = self._clock.monotonic()
        request = self._make_request(link, now_s)
        self._log_acknowledgement(link, request.acknowledged, now_s)
        match await link.client.poll(request):
            case Ok(report):
                if link.unresponsive_since_s is not None:
                    self._log.write("workers", "regained", worker=link.name)
                if link.is_new_incarnation(report.incarnation_ms):
                    self._handle_restart(link, report.incarnation_ms)
                elif link.unresponsive_since_s is not None:
                    self._crashes.record_regained(link)
                if report.incarnation_ms != link.incarnation_ms:
                    # The answer is from the earlier incarnation; poll again.
                    await self._clock.sleep(POLL_RETRY_S)
                    return
                ends.record_answered(request.acknowledged)
                self._reconcile(link, report, now_s)
                if ends.is_withheld:
                    # While it lists an end, the worker answers a poll at once.
                    await self._clock.sleep(self._choose_wait_s(link))
            case Err(Declined(DeclineReason.FENCE)):
                self._end_term(f"{link.name} follows a leader with a higher epoch")
            case Err(error):
                await self._handle_no_answer(link, error)

    def _make_request(self, link: WorkerLink, now_s: float) -> PollRequest:
        timing = self._context.timing
        acknowledged = link.choose_acknowledgement(now_s)
        lease_end_ms = None
        wait_s = 0.0
        if link.unresponsive_since_s is None and link.last_answer_s is not None:
            if may_extend_leases(self._leadership, now_s):
                lease_end_ms = link.lease.extend(now_s, timing.work_lease_s)
            if acknowledged or not link.ends.has_unacknowledged:
                wait_s = self._choose_wait_s(link)
        return PollRequest(self._epoch, acknowledged, lease_end_ms, wait_s)

    def _choose_wait_s(self, link: WorkerLink) -> float:
        timing = self._context.timing
        return timing.poll_wait_s(len(self.links), busy=bool(link.runs))

    def _log_acknowledgement(
        self, link: WorkerLink, acknowledged: int, now_s: float
    ) -> None:
        if acknowledged <= link.sent_acknowledgement:
            return
        self._log.write(
            "settlement",
            "acknowledged",
            worker=link.name,
            incarnation_ms=link.incarnation_ms,
            ends=acknowledged,
            answer_age_s=age_s(link.last_answer_s, now_s),
        )
        link.sent_acknowledgement = acknowledged

    async def _handle_no_answer(
        self, link: WorkerLink, error: CallError | Declined
    ) -> None:
        if link.unresponsive_since_s is None:
            self._log.write(
                "workers",
                "lost",
                worker=link.name,
                error=str(error),
                runs=len(link.runs),
            )
            self._crashes.record_no_answer(link)
        sign = classify_unanswered(error)
        link.record_no_answer(self._clock.monotonic(), str(error), sign)
        await self._clock.sleep(POLL_RETRY_S)

    def _reconcile(self, link: WorkerLink, report: PollReport, sent_s: float) -> None:
        was_usable = link.fence_raised and link.unresponsive_since_s is None
        open_before = len(link.runs)
        storing = self._reconciler.reconcile(link, report, sent_s)
        if len(link.runs) < open_before or not was_usable:
            # Most other reports change nothing that a plan depends on.
            self._request_plan()
        if storing is not None:
            self._spawn(storing)

    def _close_expired(self, link: WorkerLink) -> None:
        """Close the runs of an unresponsive worker once their lease is surely over."""
        now_s = self._clock.monotonic()
        if not link.runs or link.unresponsive_since_s is None and link.entry.address:
            return
        longest_lease_s = self._context.timing.longest_lease_s
        if not has_lease_expired(link, now_s, self._began_s, longest_lease_s):
            return
        verdicts = self._crashes.record_expiry(link)
        reason = "the worker's lease has lapsed"
        for tracked in list(link.runs.values()):
            self._reconciler.close_run(link, tracked, RunEnd.LAPSED, reason)
        self._give_up(verdicts)
        self._request_plan()

    def _give_up(self, verdicts: Iterable[Verdict]) -> None:
        """End jobs whose tasks crash the workers that start them."""
        for verdict in verdicts:
            self._reconciler.fail_job(verdict.job, verdict.reason)
