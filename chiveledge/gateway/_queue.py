"""A bounded queue for minion slots, with weighted fair queueing."""

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

AGING_INTERVAL = 16
"""One grant in this many is made by age, to the longest waiting request."""

AGING_AFTER_S = 5.0
"""Wait after which a request is eligible for a grant by age."""

QUEUE_SHARES = {
    RequestClass.URGENT: 1.0,
    RequestClass.STANDARD: 0.9,
    RequestClass.BATCH: 0.6,
}
"""Fill level of the queue up to which a request of a class is accepted."""

PickMinion = Callable[[str, RequestClass], HostEntry | None]


@dataclass(eq=False)
class _Waiter:
    """A request that waits for a slot of a service."""

    service: str
    enqueued_s: float
    granted: asyncio.Future[HostEntry]


class _Flow(NamedTuple):
    """Key of a FIFO flow: the requests of one class and workspace."""

    request_class: RequestClass
    workspace: WorkspaceName


class SlotQueue:
    """Grants slots to waiting requests by class, workspace and age.

    Urgent requests go first. The standard and batch classes divide the remaining
    slots by the preset's class shares, and the workspaces of a class by their
    weights. One grant in `AGING_INTERVAL` goes to the request that has waited
    longest, if that is more than `AGING_AFTER_S`, so that batch requests do not
    starve.

    Parameters
    ----------
    clock : Clock
        Time source.
    pick : callable
        Allocates a slot for a service and class; returns None if none is free.
    release : callable
        Releases an unused slot.
    limit : int
        Maximum number of waiting requests.
    """

    def __init__(
        self,
        clock: Clock,
        pick: PickMinion,
        release: Callable[[HostEntry], None],
        *,
        limit: int,
    ) -> None:
        self._clock = clock
        self._pick = pick
        self._release = release
        self._limit = limit
        self._flows: dict[_Flow, deque[_Waiter]] = {}
        self._virtual_times: dict[object, float] = {}
        self._document: Document | None = None
        self._size = 0
        self._grants = 0

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return self._size

    def set_document(self, document: Document) -> None:
        """Set the document that holds the class shares and workspace weights."""
        self._document = document

    def size_ahead(self, request_class: RequestClass) -> int:
        """Return the number of waiting requests of this class or a more urgent one."""
        return sum(
            len(waiters)
            for flow, waiters in self._flows.items()
            if flow.request_class.rank <= request_class.rank
        )

    def can_enqueue(self, request_class: RequestClass) -> bool:
        """Whether a request of this class may join the queue.

        Less urgent classes may fill only a part of the queue, so that they do not
        cause refusals of more urgent requests.
        """
        return self._size < self._limit * QUEUE_SHARES[request_class]

    async def wait_for_slot(
        self,
        service: str,
        request_class: RequestClass,
        workspace: WorkspaceName,
        timeout_s: float,
    ) -> HostEntry | None:
        """Wait for a slot.

        The request joins the queue before the coroutine first suspends, so a
        preceding `can_enqueue` still holds.

        Returns
        -------
        HostEntry or None
            The minion, with the request counted as in flight there; None if no
            slot was granted within `timeout_s`.
        """
        flow = _Flow(request_class, workspace)
        waiter = self._join(flow, service)
        try:
            granted = await run_with_timeout(self._clock, waiter.granted, timeout_s)
            return granted.ok()
        except asyncio.CancelledError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                # The caller was cancelled after the grant but before it resumed.
                self._release(waiter.granted.result())
            raise
        finally:
            self._remove(flow, waiter)

    def _join(self, flow: _Flow, service: str) -> _Waiter:
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(service, self._clock.monotonic(), granted)
        if flow not in self._flows:
            self._activate(flow)
        self._flows[flow].append(waiter)
        self._size += 1
        self.grant()
        return waiter

    def grant(self) -> None:
        """Grant free slots to waiting requests until no flow can be served."""
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

    def _remove(self, flow: _Flow, waiter: _Waiter) -> None:
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
        return min(open_flows, key=self._sort_key)

    def _find_aged(self, flows: list[_Flow]) -> _Flow | None:
        if self._grants % AGING_INTERVAL:
            return None
        horizon = self._clock.monotonic() - AGING_AFTER_S
        aged = [flow for flow in flows if self._flows[flow][0].enqueued_s < horizon]
        return min(aged, key=lambda f: self._flows[f][0].enqueued_s, default=None)

    def _sort_key(self, flow: _Flow) -> tuple[bool, float, float]:
        urgent = flow.request_class is RequestClass.URGENT
        return (
            not urgent,
            0.0 if urgent else self._virtual_times.get(flow.request_class, 0.0),
            self._virtual_times.get(flow, 0.0),
        )

    def _charge(self, flow: _Flow) -> None:
        """Advance the virtual time of a flow and of its class by one grant."""
        self._grants += 1
        if self._document is None:
            return
        shares = self._document.policy.class_shares
        workspace = self._document.workspaces.get(flow.workspace)
        weight = workspace.weight if workspace else 1
        self._virtual_times[flow] += 1 / weight
        self._virtual_times[flow.request_class] += 1 / max(
            shares.get(flow.request_class, 1), 1
        )

    def _activate(self, flow: _Flow) -> None:
        """Add an idle flow at its rivals' lowest virtual time, without credit."""
        peers = [f for f in self._flows if f.request_class is flow.request_class]
        self._advance_virtual_time(flow, peers)
        classes = {f.request_class for f in self._flows}
        if flow.request_class not in classes:
            self._advance_virtual_time(
                flow.request_class, classes - {RequestClass.URGENT}
            )
        self._flows[flow] = deque()

    def _advance_virtual_time(self, key: object, rivals: Iterable[object]) -> None:
        floor = min(
            (self._virtual_times.get(rival, 0.0) for rival in rivals), default=0.0
        )
        self._virtual_times[key] = max(self._virtual_times.get(key, 0.0), floor)
