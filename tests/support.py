"""Shared test helpers: documents, and an in-process region with injected failures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from chiveledge.cells import WorkerSize
from chiveledge.clock import ManualClock
from chiveledge.configuration import Document, hash_token
from chiveledge.events import Timeline
from chiveledge.jobs import Job, JobSpec, decode_job, encode_job, inbox_key, make_job_id
from chiveledge.leadership import Leadership
from chiveledge.metrics import Metrics
from chiveledge.scheduler._region import ListedWorker, RegionContext, RegionLeader
from chiveledge.services import Put, TaskState, Transaction
from chiveledge.settings import TimingSettings
from standins.objects import MemoryObjects
from standins.table import MemoryTable
from standins.worker import MemoryWorker

REGION = "gyeonggi"
STEP_S = 0.05
DOMAINS = ("a", "b")


def make_document(
    guarantees: dict[str, list[tuple[int, int]]] | None = None,
    *,
    borrowing: bool = True,
    preset: str = "ordinary",
) -> Document:
    """Return a document whose workspaces have the given guarantees.

    Parameters
    ----------
    guarantees : dict of str to list of (int, int), optional
        Cell size, in accelerators, and number of cells by workspace; by default two
        workspaces without guarantees.
    borrowing : bool, optional
        Whether workspaces may borrow capacity that others leave idle.
    preset : str, optional
        Preset in force.
    """
    workspaces = {
        name: {
            "weight": 1,
            "token_sha256": hash_token(f"{name}-token"),
            "guarantees": [
                {"region": REGION, "cell": cell, "count": count}
                for cell, count in cells
            ],
        }
        for name, cells in (guarantees or {"cafes": [], "depots": []}).items()
    }
    policy = {
        "admit": ["urgent", "standard", "batch"],
        "borrowing": borrowing,
        "class_shares": {"urgent": 8, "standard": 4, "batch": 1},
    }
    closed = {"admit": [], "start_jobs": False, "class_shares": {}}
    kinds = {
        "quote": ("urgent", True, 2000),
        "order": ("standard", False, 4000),
        "forecast": ("standard", True, 4000),
        "blend": ("batch", True, 60000),
    }
    return Document.model_validate(
        {
            "preset": preset,
            "presets": {"ordinary": policy, "peak": policy, "closed": closed},
            "workspaces": workspaces,
            "kinds": {
                name: {
                    "service": "planner",
                    "request_class": request_class,
                    "idempotent": idempotent,
                    "deadline_ms": deadline_ms,
                }
                for name, (request_class, idempotent, deadline_ms) in kinds.items()
            },
        }
    )


def make_worker_sizes(count: int, accelerators: int = 8) -> list[WorkerSize]:
    """Return workers that share one rack."""
    return [
        WorkerSize(f"w{index:02d}", "rack", accelerators, 32, 65536)
        for index in range(count)
    ]


class Region:
    """A region in one process: a table, workers in two domains, any number of leaders.

    Parameters
    ----------
    workers : int
        Number of workers, each with 8 accelerators.
    document : Document, optional
        Configuration in force.
    """

    def __init__(self, workers: int = 4, document: Document | None = None) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.objects = MemoryObjects(self.clock)
        self.document = document or make_document()
        self.sizes = make_worker_sizes(workers)
        self.workers = {
            size.name: MemoryWorker(size.name, clock=self.clock) for size in self.sizes
        }
        self.timeline = Timeline("test", self.clock)
        self.timing = TimingSettings()
        self.leaders: list[RegionLeader] = []
        self._tasks = [
            asyncio.ensure_future(worker.run()) for worker in self.workers.values()
        ]

    def start_leader(
        self, name: str, wrap: Callable[[Any], Any] = lambda service: service
    ) -> asyncio.Task[None]:
        """Start a task that competes for leadership, and leads once it holds it.

        Parameters
        ----------
        name : str
            Holder of the leadership.
        wrap : callable, optional
            Wraps the table and each worker that the leader calls, to inject faults.
        """
        task = asyncio.ensure_future(self._lead(name, wrap))
        self._tasks.append(task)
        return task

    async def submit(self, spec: JobSpec, key: str, workspace: str = "cafes") -> str:
        """Commit the rows of a new job as a gateway does; return its ID."""
        job_id = make_job_id(REGION, workspace, key)
        job = Job(job_id, workspace, spec, self.clock.now())
        puts = (Put(job.key, encode_job(job)), Put(inbox_key(job_id), "{}"))
        self.table.commit(Transaction(f"submit-{key}", puts=puts))
        return job_id

    def domain_of(self, worker: str) -> str:
        """Return a worker's failure domain, one of two by turns."""
        return DOMAINS[int(worker[1:]) % len(DOMAINS)]

    def job(self, job_id: str) -> Job:
        """Return a job as stored in its row."""
        return decode_job(self.table.rows[f"job/{REGION}/{job_id}"].value)

    async def run_until(self, done: Callable[[], bool], *, within_s: float) -> float:
        """Advance the clock until a condition holds; return the time taken, in s."""
        started_s = self.clock.monotonic()
        while not done():
            waited_s = self.clock.monotonic() - started_s
            assert waited_s <= within_s, f"condition not met within {within_s} s"
            await self.clock.advance(STEP_S)
        return self.clock.monotonic() - started_s

    async def run_for(self, duration_s: float) -> None:
        """Advance the clock by a duration."""
        await self.run_until(
            _has_reached(self.clock, self.clock.monotonic() + duration_s),
            within_s=duration_s + 1,
        )

    async def close(self) -> None:
        """Cancel all leaders and workers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _lead(self, name: str, wrap: Callable[[Any], Any]) -> None:
        table = wrap(self.table)
        context = RegionContext(
            REGION,
            table,
            self.objects,
            self.clock,
            self.timeline,
            Metrics(),
            self.timing,
            lambda url: wrap(self.workers[url]),
        )
        listed = [
            ListedWorker(size, size.name, False, self.domain_of(size.name))
            for size in self.sizes
        ]
        while True:
            leadership = Leadership(
                REGION, name, table, self.clock, self.timeline, self.timing
            )
            while not await leadership.challenge():
                await self.clock.sleep(self.timing.leader_renew_s)
            leader = RegionLeader(context, leadership, self.document, listed)
            self.leaders.append(leader)
            await leader.run()


class CallInterceptor:
    """Injects a fault before or after the n-th write call of a leader or gateway.

    Calls of `sync`, `read` and `scan` are not counted.

    Parameters
    ----------
    number : int
        Number of the call, from 1, counted over all wrapped services.
    after : bool
        Whether the call is executed before the action.
    action : callable
        Coroutine function to run. Its value replaces the reply unless it is None; if
        it runs first, the call is then not made.

    Attributes
    ----------
    intercepted : str
        Method of the n-th call, empty until it is made.
    gate : callable or None
        Coroutine function that waits while the process is frozen.
    """

    def __init__(self, number, after, action):
        self.number = number
        self.after = after
        self.action = action
        self.calls = 0
        self.intercepted = ""
        self.gate = None

    async def intercept_call(self, call):
        """Make any call, delayed before and after it while the process is frozen."""
        if self.gate is not None:
            await self.gate()
        reply = await call()
        if self.gate is not None:
            await self.gate()
        return reply

    def wrap(self, service):
        """Return a proxy of a service whose calls pass through this interceptor."""
        return InterceptedService(service, self)

    async def intercept_write(self, name, call):
        """Make a write call; run the action if it is the n-th."""
        self.calls += 1
        if self.calls != self.number:
            return await call()
        self.intercepted = name
        if not self.after:
            replaced = await self.action()
            return replaced if replaced is not None else await call()
        reply = await call()
        replaced = await self.action()
        return replaced if replaced is not None else reply


class InterceptedService:
    """Proxy of a service that passes its calls through an interceptor."""

    def __init__(self, service, interceptor):
        self._service = service
        self._interceptor = interceptor

    def __getattr__(self, name):
        method = getattr(self._service, name)

        async def call(*arguments):
            if name in ("sync", "read", "scan"):
                return await self._interceptor.intercept_call(
                    lambda: method(*arguments)
                )
            return await self._interceptor.intercept_call(
                lambda: self._interceptor.intercept_write(
                    name, lambda: method(*arguments)
                )
            )

        return call


def _has_reached(clock: ManualClock, time_s: float) -> Callable[[], bool]:
    return lambda: clock.monotonic() >= time_s


def check_no_double_allocation(region: Region) -> None:
    """Check that no worker has allocated an accelerator to two tasks."""
    for worker in region.workers.values():
        allocated = [
            index
            for task in worker.tasks.values()
            if task.state in (TaskState.RESERVED, TaskState.RUNNING)
            for index in task.placement.accelerators
        ]
        assert len(allocated) == len(set(allocated)), (
            f"{worker.name} allocated an accelerator twice"
        )


def count_transitions(region: Region, job_id: str, state: TaskState) -> dict[int, int]:
    """Return how often each member of a job entered a state."""
    counts: dict[int, int] = {}
    for worker in region.workers.values():
        for change in worker.history:
            if change.job == job_id and change.state is state:
                counts[change.member] = counts.get(change.member, 0) + 1
    return counts


def find_longest_partial_run_s(region: Region, job_id: str, members: int) -> float:
    """Return the longest time for which an attempt ran without all of its members.

    Members that finished count as present. The time is in seconds.
    """
    changes = sorted(
        change
        for worker in region.workers.values()
        for change in worker.history
        if change.job == job_id
    )
    running: dict[str, set[int]] = {}
    finished: dict[str, set[int]] = {}
    started_s: dict[str, float] = {}
    longest_s = 0.0
    for change in changes:
        running_members = running.setdefault(change.attempt, set())
        finished_members = finished.setdefault(change.attempt, set())
        if change.state is TaskState.RUNNING:
            running_members.add(change.member)
        elif change.state is not TaskState.RESERVED:
            running_members.discard(change.member)
        if change.state is TaskState.FINISHED:
            finished_members.add(change.member)
        is_partial = running_members and (
            len(running_members | finished_members) < members
        )
        if is_partial:
            started_s.setdefault(change.attempt, change.time_s)
        elif change.attempt in started_s:
            longest_s = max(longest_s, change.time_s - started_s.pop(change.attempt))
    now_s = region.clock.monotonic()
    return max([longest_s, *(now_s - start_s for start_s in started_s.values())])


def run_region(work: Callable[[Region], Coroutine], **options: Any) -> None:
    """Run an asynchronous test function with a region, and close the region afterwards.

    The options are the parameters of `Region`.
    """

    async def run() -> None:
        region = Region(**options)
        try:
            await work(region)
        finally:
            await region.close()

    asyncio.run(run())
