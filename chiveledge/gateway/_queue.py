"""A bounded queue of requests that wait for a slot, by class and workspace."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.configuration import Document, RequestClass
from chiveledge.services import HostEntry
from chiveledge.types import WorkspaceName

AGED_EVERY = 16
"""Every how many grants the longest waiting aged request goes first."""

AGED_AFTER_S = 5.0

QUEUE_SHARES = {
    RequestClass.URGENT: 1.0,
    RequestClass.STANDARD: 0.9,
    RequestClass.BATCH: 0.6,
}
"""Part of the queue that may be filled when a request of a class joins."""

PickMinion = Callable[[str, RequestClass], HostEntry | None]


@dataclass(eq=False)
class Waiter:
    """A request that waits for a slot."""

    service: str
    since_s: float
    granted: asyncio.Future[HostEntry]


class _Flow(NamedTuple):
    """Requests of one class and workspace share a flow, first in first out."""

    request_class: RequestClass
    workspace: WorkspaceName


class SlotQueue:
    """Grants slots: urgent first, then classes and workspaces by their weights.

    Standard and batch share what urgent leaves by the preset's class shares, and
    workspaces within a class by their weights. One grant in `AGED_EVERY` goes to the
    request that has waited longest beyond `AGED_AFTER_S`, so that batch finishes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    pick : callable
        Takes a slot, or returns None where there is none.
    give_back : callable
        Gives back a slot that is not used.
    limit : int
        Most requests that wait.
    """

    def __init__(
        self,
        clock: Clock,
        pick: PickMinion,
        give_back: Callable[[HostEntry], None],
        *,
        limit: int,
    ) -> None:
        self._clock = clock
        self._pick = pick
        self._give_back = give_back
        self._limit = limit
        self._flows: dict[_Flow, deque[Waiter]] = {}
        self._passed: dict[object, float] = {}
        self._document: Document | None = None
        self._size = 0
        self._grants = 0

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return self._size

    def set_document(self, document: Document) -> None:
        """Take other weights into force."""
        self._document = document

    def size_ahead(self, request_class: RequestClass) -> int:
        """Return the number of waiting requests at least as urgent."""
        return sum(
            len(waiters)
            for flow, waiters in self._flows.items()
            if flow.request_class.rank <= request_class.rank
        )

    def has_place(self, request_class: RequestClass) -> bool:
        """Whether a request of this class may wait.

        Less urgent classes may fill only a part of the queue, so that they don't
        have more urgent ones refused.
        """
        return self._size < self._limit * QUEUE_SHARES[request_class]

    async def wait_slot(
        self,
        service: str,
        request_class: RequestClass,
        workspace: WorkspaceName,
        seconds: float,
    ) -> HostEntry | None:
        """Wait for a slot; the request is in the queue before the first pause.

        Returns
        -------
        HostEntry or None
            The minion, with the request counted as in flight there; None where no
            slot was free in time.
        """
        flow = _Flow(request_class, workspace)
        waiter = self._join(flow, service)
        try:
            granted = await run_with_timeout(self._clock, waiter.granted, seconds)
            return granted.ok()
        except asyncio.CancelledError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                # The slot was granted in the moment in which the caller gave up.
                self._give_back(waiter.granted.result())
            raise
        finally:
            self._remove(flow, waiter)

    def _join(self, flow: _Flow, service: str) -> Waiter:
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(service, self._clock.monotonic(), granted)
        if flow not in self._flows:
            self._activate(flow)
        self._flows[flow].append(waiter)
        self._size += 1
        self.grant()
        return waiter

    def grant(self) -> None:
        """Grant free slots to waiting requests, the first to go first."""
        blocked: set[_Flow] = set()
        while self._size:
            flow = self._next_flow(blocked)
            if flow is None:
                return
            waiter = self._flows[flow][0]
            entry = self._pick(waiter.service, flow.request_class)
            if entry is None:
                blocked.add(flow)
                continue
            self._remove(flow, waiter)
            self._charge(flow)
            waiter.granted.set_result(entry)

    def _remove(self, flow: _Flow, waiter: Waiter) -> None:
        waiters = self._flows.get(flow)
        if waiters is None or waiter not in waiters:
            return
        waiters.remove(waiter)
        self._size -= 1
        if not waiters:
            del self._flows[flow]

    def _next_flow(self, blocked: set[_Flow]) -> _Flow | None:
        open_flows = [flow for flow in self._flows if flow not in blocked]
        if not open_flows:
            return None
        aged = self._find_aged(open_flows)
        if aged is not None:
            return aged
        return min(open_flows, key=self._virtual_time)

    def _find_aged(self, flows: list[_Flow]) -> _Flow | None:
        if self._grants % AGED_EVERY:
            return None
        horizon = self._clock.monotonic() - AGED_AFTER_S
        aged = [flow for flow in flows if self._flows[flow][0].since_s < horizon]
        return min(aged, key=lambda f: self._flows[f][0].since_s, default=None)

    def _virtual_time(self, flow: _Flow) -> tuple[bool, float, float]:
        urgent = flow.request_class is RequestClass.URGENT
        return (
            not urgent,
            0.0 if urgent else self._passed.get(flow.request_class, 0.0),
            self._passed.get(flow, 0.0),
        )

    def _charge(self, flow: _Flow) -> None:
        """Move the virtual time of a flow and its class on."""
        self._grants += 1
        if self._document is None:
            return
        shares = self._document.policy.class_shares
        workspace = self._document.workspaces.get(flow.workspace)
        weight = workspace.weight if workspace else 1
        self._passed[flow] += 1 / weight
        self._passed[flow.request_class] += 1 / max(
            shares.get(flow.request_class, 1), 1
        )

    def _activate(self, flow: _Flow) -> None:
        """Let a flow that was idle start where the others are, without credit."""
        peers = [f for f in self._flows if f.request_class is flow.request_class]
        self._catch_up(flow, peers)
        classes = {f.request_class for f in self._flows}
        if flow.request_class not in classes:
            self._catch_up(flow.request_class, classes - {RequestClass.URGENT})
        self._flows[flow] = deque()

    def _catch_up(self, key: object, rivals: Iterable[object]) -> None:
        floor = min((self._passed.get(rival, 0.0) for rival in rivals), default=0.0)
        self._passed[key] = max(self._passed.get(key, 0.0), floor)
