"""Decides which waiting job starts where. It makes no calls and keeps no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from datetime import datetime
from typing import NamedTuple

from chiveledge.cells import (
    CellAllocator,
    CellShape,
    GangCells,
    GuaranteeRisk,
    GuaranteeUse,
    Promise,
    WorkerSize,
    build_trees,
)
from chiveledge.configuration import Document, RequestClass
from chiveledge.jobs import Attempt, CellRecord, Job, JobSpec
from chiveledge.scheduler._capacity import FlatCapacity
from chiveledge.scheduler._order import (
    Usage,
    aged_rank,
    order_jobs,
    service_level,
)
from chiveledge.scheduler._shapes import (
    find_cells,
    place_members,
    record_cells,
    wanted_shapes,
)
from chiveledge.services import MemberPlacement
from chiveledge.types import AttemptId, RegionName, WorkerName, WorkspaceName

STARVES_AFTER_S = 300.0
"""Waiting time after which a gang may displace smaller ones."""

DISPLACEMENTS_PER_PLAN = 8
"""Searches for displaceable borrowers in one plan, which bounds its time."""

LEAST_RUN_S = 300.0
"""Run time of a borrower before a job that is not urgent may displace it."""


class PlannedStart(NamedTuple):
    """A decision to start a job.

    Attributes
    ----------
    victims : tuple of str
        Attempts to stop first.
    """

    job: Job
    attempt_id: AttemptId
    members: tuple[MemberPlacement, ...]
    cells: tuple[CellRecord, ...]
    victims: tuple[AttemptId, ...]


class _Running(NamedTuple):
    job: Job
    members: tuple[MemberPlacement, ...]
    started_at: datetime

    @property
    def accelerators(self) -> int:
        """Accelerators of all members."""
        return sum(len(member.accelerators) for member in self.members)

    @property
    def size(self) -> int:
        """Accelerators, with one for a member that has none."""
        return sum(max(len(member.accelerators), 1) for member in self.members)


def promises_of(document: Document, region: RegionName) -> list[Promise]:
    """Return the guarantees of all workspaces in a region."""
    return [
        Promise(name, CellShape(guarantee.cell, guarantee.unit), guarantee.count)
        for name, workspace in document.workspaces.items()
        for guarantee in workspace.guarantees
        if guarantee.region == region
    ]


class Planner:
    """Placement decisions of one region.

    Parameters
    ----------
    region : str
        The region.
    workers : sequence of WorkerSize
        Its listed workers.
    document : Document
        Weights, guarantees and the preset in force.
    """

    def __init__(
        self, region: RegionName, workers: Sequence[WorkerSize], document: Document
    ) -> None:
        self._region = region
        self._document = document
        self._workers = tuple(workers)
        self._running: dict[AttemptId, _Running] = {}
        self._used: Counter[WorkspaceName] = Counter()
        self._lost: frozenset[WorkerName] = frozenset()
        self._avoided: frozenset[WorkerName] = frozenset()
        self._displacements_left = 0
        self._build()

    @property
    def workers(self) -> tuple[WorkerSize, ...]:
        """The region's workers."""
        return self._workers

    @property
    def cells(self) -> CellAllocator:
        """The cells, for status and measures."""
        return self._cells

    def rebuild(self, workers: Sequence[WorkerSize], document: Document) -> None:
        """Take in another document or list of workers, and keep what runs."""
        self._workers = tuple(workers)
        self._document = document
        self._build()
        for attempt_id, running in sorted(
            self._running.items(), key=lambda item: item[1].started_at
        ):
            attempt = running.job.attempt
            if attempt is not None:
                self._take(attempt_id, running.job, attempt)

    def set_lost(self, workers: Iterable[WorkerName]) -> None:
        """Say which workers are lost or must get no new work."""
        self._lost = frozenset(workers)
        self._cells.set_dead(self._lost)

    def set_avoided(self, workers: Iterable[WorkerName]) -> None:
        """Say which healthy workers get no new work now."""
        self._avoided = frozenset(workers)
        self._cells.set_avoided(self._avoided)

    def explain_never(self, spec: JobSpec) -> str:
        """Return why a job can never run in this region, or an empty text."""
        misfit = self._capacity.explain_misfit(spec)
        if misfit:
            return misfit
        shapes = wanted_shapes(spec)
        if not shapes or self._cells.can_ever_fit(shapes):
            return ""
        return (
            f"region {self._region!r} has no cells for members={spec.members} with "
            f"accelerators={spec.accelerators} and adjacent={spec.adjacent}; "
            "ask for fewer, or for a gang that is not adjacent"
        )

    def at_risk(self) -> list[GuaranteeRisk]:
        """Return guarantees that do not fit the healthy workers."""
        return self._cells.at_risk()

    def guarantee_use(self) -> list[GuaranteeUse]:
        """Return promised, bound and borrowed accelerators of each workspace."""
        return self._cells.use()

    def plan(
        self,
        waiting: Iterable[Job],
        now: datetime,
        *,
        make_attempt_id: Callable[[Job], AttemptId],
        at_most: int = 64,
    ) -> list[PlannedStart]:
        """Choose jobs to start now, and take their places.

        Parameters
        ----------
        waiting : iterable of Job
            Jobs that are queued.
        now : datetime
            Present time.
        make_attempt_id : callable
            Names the attempt of a job.
        at_most : int, optional
            Bound on the starts of one call.
        """
        if not self._document.policy.start_jobs:
            return []
        ordered = order_jobs(waiting, self._usage(), now)
        starts: list[PlannedStart] = []
        failed_shapes: set[tuple[object, ...]] = set()
        self._displacements_left = DISPLACEMENTS_PER_PLAN
        for job in ordered:
            if len(starts) >= at_most:
                break
            signature = self._signature(job)
            if signature in failed_shapes:
                continue
            start = self._place(job, make_attempt_id(job), now)
            if start is None:
                failed_shapes.add(signature)
                continue
            starts.append(start)
            self._record(start.attempt_id, _Running(job, start.members, now))
        return starts

    def confirm(self, job: Job) -> None:
        """Record the committed attempt of a planned job, for a later rebuild."""
        if job.attempt is not None and job.attempt.attempt_id in self._running:
            running = self._running[job.attempt.attempt_id]
            self._running[job.attempt.attempt_id] = running._replace(job=job)

    def adopt(self, job: Job) -> None:
        """Take in the running attempt of a job, as its row has it."""
        attempt = job.attempt
        if attempt is None:
            raise AssertionError(f"job {job.job_id} runs without an attempt")
        running = _Running(job, attempt.members, attempt.started_at)
        self._record(attempt.attempt_id, running)
        self._take(attempt.attempt_id, job, attempt)

    def release(self, attempt_id: AttemptId) -> None:
        """Free the place of an attempt that surely runs no longer."""
        running = self._running.pop(attempt_id, None)
        if running is not None:
            self._used[running.job.workspace] -= running.size
        self._cells.release(attempt_id)
        self._capacity.release(attempt_id)

    def fragmentation(self, waiting: Iterable[Job]) -> float:
        """Return the share of free accelerators that can't serve the largest gang.

        Without a waiting gang the largest guaranteed cell takes its place.
        """
        shapes = [shape for job in waiting for shape in wanted_shapes(job.spec)]
        promised = [p.shape for p in promises_of(self._document, self._region)]
        largest = max(shapes, default=max(promised, default=None))
        return 0.0 if largest is None else self._cells.fragmentation(largest)

    def explain_waiting(self, job: Job) -> str:
        """Return why a job waits, for its owner."""
        if not self._document.policy.start_jobs:
            return f"preset {self._document.preset!r} starts no jobs"
        shapes = wanted_shapes(job.spec)
        if not shapes:
            return "no worker has enough free processors and memory"
        largest = max(shapes)
        return (
            f"waits for a cell of {largest.size} accelerators; "
            f"{self._cells.free_accelerators()} accelerators are free"
        )

    def _build(self) -> None:
        promises = promises_of(self._document, self._region)
        self._cells = CellAllocator(build_trees(self._workers), promises)
        self._cells.set_dead(self._lost)
        self._cells.set_avoided(self._avoided)
        self._capacity = FlatCapacity(self._workers)

    def _take(self, attempt_id: AttemptId, job: Job, attempt: Attempt) -> None:
        cells, bound = find_cells(attempt, self._cells.trees)
        if cells:
            self._cells.adopt(attempt_id, job.workspace, cells, bound)
        self._capacity.take(attempt_id, attempt.members)

    def _usage(self) -> Mapping[WorkspaceName, Usage]:
        workspaces = self._document.workspaces
        return {
            name: Usage(self._used[name], workspace.weight)
            for name, workspace in workspaces.items()
        }

    def _record(self, attempt_id: AttemptId, running: _Running) -> None:
        self._running[attempt_id] = running
        self._used[running.job.workspace] += running.size

    def _signature(self, job: Job) -> tuple[object, ...]:
        spec = job.spec
        return (
            job.workspace,
            tuple(wanted_shapes(spec)),
            (spec.members, spec.cores, spec.memory_mb) if not spec.accelerators else (),
            job.spec.request_class,
            service_level(job.saved_s),
            job.failed_on,
        )

    def _place(
        self, job: Job, attempt_id: AttemptId, now: datetime
    ) -> PlannedStart | None:
        shapes = wanted_shapes(job.spec)
        if not shapes:
            avoid = self._lost.union(self._avoided, job.failed_on)
            members = self._capacity.place(attempt_id, job.spec, avoid)
            return members and PlannedStart(job, attempt_id, members, (), ())
        if job.failed_on:
            self._cells.set_avoided(self._avoided.union(job.failed_on))
        gang = self._place_cells(job, attempt_id, shapes, now)
        if job.failed_on:
            self._cells.set_avoided(self._avoided)
        if gang is None:
            return None
        trees = self._cells.trees
        members = place_members(job.spec, gang.cells, trees)
        self._capacity.take(attempt_id, members)
        records = record_cells(gang, trees)
        return PlannedStart(job, attempt_id, members, records, gang.victims)

    def _may_stop(self) -> bool:
        """Whether gangs may be stopped: a worker that is silent may have free cells."""
        return not self._avoided

    def _place_cells(
        self,
        job: Job,
        attempt_id: AttemptId,
        shapes: Collection[CellShape],
        now: datetime,
    ) -> GangCells | None:
        borrowing = self._document.policy.borrowing
        may_stop = self._may_stop()
        if borrowing:
            gang = self._cells.place_borrowed(attempt_id, job.workspace, list(shapes))
            if gang is not None:
                return gang
        gang = self._cells.place_guaranteed(
            attempt_id,
            job.workspace,
            list(shapes),
            lambda name: self._lost_by(name, now),
            may_stop=may_stop,
        )
        if gang is not None or not borrowing or not may_stop:
            return gang
        if not self._displacements_left:
            return None
        self._displacements_left -= 1
        return self._cells.place_displacing(
            attempt_id, job.workspace, list(shapes), self._may_displace(job, now)
        )

    def _lost_by(self, attempt_id: AttemptId, now: datetime) -> float:
        """Return the work lost by stopping an attempt, in accelerator seconds."""
        running = self._running.get(attempt_id)
        if running is None:
            return 0.0
        return running.accelerators * (now - running.started_at).total_seconds()

    def _may_displace(self, job: Job, now: datetime) -> Callable[[AttemptId], bool]:
        """Return which running borrowers a waiting job may take the place of.

        Those of a less urgent class for an urgent job; for others those with more
        attained service, or smaller ones once the job has waited long. A borrower
        runs for `LEAST_RUN_S` before a job that is not urgent may displace it.
        """
        urgent = job.spec.request_class is RequestClass.URGENT
        level = service_level(job.saved_s)
        size = job.spec.members * job.spec.accelerators
        starves = (now - job.submitted_at).total_seconds() >= STARVES_AFTER_S

        def may_displace(attempt_id: AttemptId) -> bool:
            running = self._running.get(attempt_id)
            if running is None:
                return False
            rank = running.job.spec.request_class.rank
            if urgent:
                return rank > RequestClass.URGENT.rank
            ran_s = (now - running.started_at).total_seconds()
            if rank < aged_rank(job, now) or ran_s < LEAST_RUN_S:
                return False
            if service_level(running.job.saved_s + ran_s) > level:
                return True
            return starves and running.accelerators < size

        return may_displace


def find_guarantee_misfits(
    document: Document, region: RegionName, workers: Sequence[WorkerSize]
) -> list[str]:
    """Return which guarantees do not fit the listed workers of a region together.

    Guarantees also may not name regions without workers, or exceed them alone.
    """
    cells = CellAllocator(build_trees(workers), promises_of(document, region))
    return [
        f"workspaces.{risk.workspace}.guarantees: {risk.missing} cells of "
        f"{risk.shape.size} accelerators do not fit into region {region!r} beside "
        "all other guarantees; promise less"
        for risk in cells.at_risk()
    ]
