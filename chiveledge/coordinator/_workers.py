"""The workers of a reign: who is listed, what they report and when they are lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from result import Err, Ok

from chiveledge.coordinator._context import ReignContext
from chiveledge.coordinator._orders import OrderDesk
from chiveledge.coordinator._settlement import Settlement
from chiveledge.coordinator._worker_link import (
    CLOCK_RATE,
    TrackedRun,
    WorkerLink,
)
from chiveledge.leadership import Leadership
from chiveledge.placement import WorkerSuspicion
from chiveledge.services import Row, Unavailable
from chiveledge.services.task_worker import (
    Declined,
    DeclineReason,
    HoldReport,
    HoldRequest,
    WorkerEntry,
)
from chiveledge.workload import RunEnd, RunState, Usage

LOOK_RETRY_S = 0.2
UNLISTED_GRACE_S = 3.0
ACK_PATIENCE_S = 0.5

FORMER_LEADER_S = 3.0
"""How long a leader that lost its leadership may go on extending leases."""


class WorkerDirectory:
    """Follows the platform's list and looks at each worker.

    Parameters
    ----------
    context : ReignContext
        Clients, clock, log and bounds.
    leadership : Leadership
        Names the fence of every look.
    links : dict
        Filled with the state of each worker, by name.
    settlement : Settlement
        Takes reports over.
    orders : OrderDesk
        Stops what must not run.
    suspicion : WorkerSuspicion
        Forgets workers that start anew.
    spawn, wake, end, has_ended : callable
        Run work until the reign ends, ask for a plan, end the reign, and whether it
        has ended.
    """

    def __init__(
        self,
        context: ReignContext,
        leadership: Leadership,
        links: dict[str, WorkerLink],
        settlement: Settlement,
        orders: OrderDesk,
        suspicion: WorkerSuspicion,
        spawn: Callable[[Coroutine], asyncio.Task],
        wake: Callable[[], None],
        end: Callable[[str], None],
        has_ended: Callable[[], bool],
    ) -> None:
        self.links = links
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._leadership = leadership
        self._settlement = settlement
        self._orders = orders
        self._suspicion = suspicion
        self._spawn = spawn
        self._wake = wake
        self._end = end
        self._has_ended = has_ended
        self._began_s = self._clock.monotonic()
        self._loaded = asyncio.Event()

    def start_looking(self) -> None:
        """All jobs are loaded: reports can be compared with open runs."""
        self._loaded.set()

    def find_or_add(self, name: str, born_ms: int) -> WorkerLink:
        """Return a worker; one that is not listed may still run what it was told."""
        if name in self.links:
            return self.links[name]
        entry = WorkerEntry(name, "", "", "", "", frozenset(), Usage(), born_ms)
        link = WorkerLink(entry, self._context.make_worker(entry), listed=False)
        link.born_ms = born_ms
        self.links[name] = link
        self._spawn(self._follow_worker(link))
        return link

    def on_rows(self, rows: Iterable[Row], deleted: Iterable[str], whole: bool) -> None:
        """Take changes of the platform's list in."""
        seen = set()
        for row in rows:
            entry = self._context.decode_worker(row)
            if entry is not None:
                seen.add(entry.name)
                self._note_entry(entry)
        prefix = self._context.worker_prefix
        gone = {key.removeprefix(prefix) for key in deleted}
        if whole:
            gone |= self.links.keys() - seen
        for name in gone:
            link = self.links.get(name)
            if link is not None and link.listed:
                link.listed = False
                self._log.write("workers", "unlisted", worker=name)
        self._wake()

    def _note_entry(self, entry: WorkerEntry) -> None:
        link = self.links.get(entry.name)
        if link is None:
            link = WorkerLink(entry, self._context.make_worker(entry))
            link.born_ms = entry.born_ms
            if entry.draining:
                link.drains_since_s = self._clock.monotonic()
            self.links[entry.name] = link
            self._spawn(self._follow_worker(link))
            return
        if entry.born_ms > link.born_ms:
            self._rebirth(link, entry.born_ms)
        if entry.draining and (
            link.drains_since_s is None or entry.leaves_s != link.entry.leaves_s
        ):
            link.drains_since_s = self._clock.monotonic()
            self._log.write(
                "workers", "draining", worker=entry.name, leaves_s=entry.leaves_s
            )
        if entry.address != link.entry.address:
            link.worker = self._context.make_worker(entry)
        link.entry = entry
        link.listed = True

    def _rebirth(self, link: WorkerLink, born_ms: int) -> None:
        self._log.write("workers", "reborn", worker=link.name, born_ms=born_ms)
        link.begin_life(born_ms, self._clock.monotonic())
        self._suspicion.forget_worker(link.name)
        for tracked in list(link.runs.values()):
            self._carry_over(link, tracked)
        self._wake()

    def _carry_over(self, link: WorkerLink, tracked: TrackedRun) -> None:
        """Decide on a run of a worker that started anew under its name.

        Orders name the worker and not its life, so a start that the earlier life
        never showed may have reached the present one.
        """
        if tracked.run.state is RunState.INTENDED:
            return
        if tracked.shown:
            self._settlement.close(link, tracked, RunEnd.LAPSED, "worker started anew")
        elif tracked.settled_s is None:
            self._orders.stop(link, tracked, "its worker started anew")
        else:
            tracked.settled_s = self._clock.monotonic()

    async def _follow_worker(self, link: WorkerLink) -> None:
        """Hold a worker's lease and settle what it reports.

        A report is compared with the open runs, so all jobs are loaded first.
        """
        await self._loaded.wait()
        while not self._has_ended():
            if link.entry.address:
                await self._look(link)
            else:
                await self._clock.sleep(LOOK_RETRY_S)
            self._expire(link)
            if not link.listed and not link.runs and self._long_silent(link):
                self.links.pop(link.name, None)
                await link.worker.close()
                return

    def _long_silent(self, link: WorkerLink) -> bool:
        heard_s = link.answered_s or self._began_s
        return self._clock.monotonic() - heard_s > UNLISTED_GRACE_S

    async def _look(self, link: WorkerLink) -> None:
        timing = self._context.timing
        storing = link.storing is not None and not link.storing.done()
        if storing:
            await asyncio.wait({link.storing}, timeout=ACK_PATIENCE_S)
            storing = not link.storing.done()
        now_s = self._clock.monotonic()
        lease = None
        wait_s = 0.0
        if link.failing_since_s is None and link.answered_s is not None:
            lease = link.extend_lease(now_s, timing.work_lease_s)
            wait_s = timing.look_wait_s(len(self.links), busy=bool(link.runs))
        if storing:
            wait_s = 0.0
        request = HoldRequest(self._leadership.epoch, link.acknowledged, lease, wait_s)
        match await link.worker.hold(request):
            case Ok(report):
                if link.failing_since_s is not None:
                    self._log.write("workers", "regained", worker=link.name)
                if report.born_ms > link.born_ms:
                    self._rebirth(link, report.born_ms)
                if report.born_ms < link.born_ms:
                    # An answer of the life before; the next look meets the new one.
                    await self._clock.sleep(LOOK_RETRY_S)
                    return
                self._settle(link, report, now_s)
            case Err(Declined(DeclineReason.FENCE)):
                self._end(f"{link.name} has seen a higher fence")
            case Err(error):
                await self._note_silence(link, error)

    async def _note_silence(self, link: WorkerLink, error: object) -> None:
        if link.failing_since_s is None:
            self._log.write(
                "workers",
                "lost",
                worker=link.name,
                error=str(error),
                runs=len(link.runs),
            )
        link.note_failure(
            self._clock.monotonic(), refused=isinstance(error, Unavailable)
        )
        await self._clock.sleep(LOOK_RETRY_S)

    def _settle(self, link: WorkerLink, report: HoldReport, sent_s: float) -> None:
        was_usable = link.fence_raised and link.failing_since_s is None
        held = len(link.runs)
        acknowledge = self._settlement.settle(link, report, sent_s)
        if len(link.runs) < held or not was_usable:
            # Most reports change nothing that a plan looks at.
            self._wake()
        if acknowledge is not None:
            link.storing = self._spawn(acknowledge)

    def _expire(self, link: WorkerLink) -> None:
        """Give up runs of a silent worker once their lease is surely over."""
        now_s = self._clock.monotonic()
        if not link.runs or link.failing_since_s is None and link.entry.address:
            return
        if link.has_left:
            over = True
        elif link.answered_s is None:
            longest_s = self._context.timing.longest_lease_s / CLOCK_RATE
            since_s = max(self._began_s, link.life_began_s)
            over = now_s - since_s > longest_s + FORMER_LEADER_S
        else:
            over = link.lease_is_over(now_s)
        if not over:
            return
        why = "worker has left" if link.has_left else "lease is over"
        for tracked in list(link.runs.values()):
            self._settlement.close(link, tracked, RunEnd.LAPSED, why)
        self._wake()
