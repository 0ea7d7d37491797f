"""Placement decisions of one region: which waiting job starts on which workers.

The planner makes no remote calls and reads no clock: callers pass the time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from datetime import datetime
from typing import NamedTuple

from chiveledge.cells import (
    CellAllocator,
    CellGuarantee,
    CellShape,
    GangAllocation,
    GuaranteeRisk,
    GuaranteeUse,
    WorkerSize,
    build_trees,
)
from chiveledge.configuration import Document, RequestClass
from chiveledge.jobs import Attempt, CellRecord, Job, JobSpec
from chiveledge.scheduler._capacity import CoreMemoryCapacity
from chiveledge.scheduler._order import (
    WorkspaceUsage,
    aged_class_rank,
    attained_service_level,
    sort_jobs,
)
from chiveledge.scheduler._shapes import (
    locate_cells,
    make_cell_records,
    place_members,
    required_shapes,
)
from chiveledge.services import MemberPlacement
from chiveledge.types import AttemptId, RegionName, WorkerName, WorkspaceName

STARVATION_AFTER_S = 300.0
"""Waiting time after which a gang may preempt smaller borrowers."""

MAX_PREEMPTION_SEARCHES_PER_PLAN = 8
"""Bounds the time of one plan."""

MIN_RUN_BEFORE_PREEMPTION_S = 300.0
"""Run time of a borrower before a job that is not urgent may preempt it."""


class PlannedStart(NamedTuple):
    """A decision to start a job.

    Attributes
    ----------
    victims : tuple of str
        Attempts of borrowers that must stop first.
    """

    job: Job
    attempt_id: AttemptId
    members: tuple[MemberPlacement, ...]
    cells: tuple[CellRecord, ...]
    victims: tuple[AttemptId, ...]


class _RunningAttempt(NamedTuple):
    job: Job
    members: tuple[MemberPlacement, ...]
    started_at: datetime

    @property
    def accelerators(self) -> int:
        """Accelerators of all members."""
        return sum(len(member.accelerators) for member in self.members)

    @property
    def usage(self) -> int:
        """Accelerators of all members, where a member without any counts as one."""
        return sum(max(len(member.accelerators), 1) for member in self.members)


def list_guarantees(document: Document, region: RegionName) -> list[CellGuarantee]:
    """Return the guarantees of all workspaces in a region."""
    return [
        CellGuarantee(name, CellShape(guarantee.cell, guarantee.unit), guarantee.count)
        for name, workspace in document.workspaces.items()
        for guarantee in workspace.guarantees
        if guarantee.region == region
    ]


class Planner:
    """Allocator of a region's workers, and the policy that decides who gets them.

    Parameters
    ----------
    region : str
        Name of the region.
    workers : sequence of WorkerSize
        The region's workers in the host list.
    document : Document
        Configuration in force: weights, guarantees and the preset.
    """

    def __init__(
        self, region: RegionName, workers: Sequence[WorkerSize], document: Document
    ) -> None:
        self._region = region
        self._document = document
        self._workers = tuple(workers)
        self._running: dict[AttemptId, _RunningAttempt] = {}
        self._usage_by_workspace: Counter[WorkspaceName] = Counter()
        self._unavailable: frozenset[WorkerName] = frozenset()
        self._excluded: frozenset[WorkerName] = frozenset()
        self._preemption_searches_left = 0
        self._build_allocators()

    @property
    def workers(self) -> tuple[WorkerSize, ...]:
        """The region's workers."""
        return self._workers

    @property
    def cells(self) -> CellAllocator:
        """Allocator of accelerator cells, for status and benchmarks."""
        return self._cells

    def rebuild(self, workers: Sequence[WorkerSize], document: Document) -> None:
        """Apply another configuration or list of workers; running attempts stay."""
        self._workers = tuple(workers)
        self._document = document
        self._build_allocators()
        for attempt_id, running in sorted(
            self._running.items(), key=lambda item: item[1].started_at
        ):
            attempt = running.job.attempt
            if attempt is not None:
                self._allocate_attempt(attempt_id, running.job, attempt)

    def set_unavailable(self, workers: Iterable[WorkerName]) -> None:
        """Replace the set of workers that are lost, leaving or quarantined."""
        self._unavailable = frozenset(workers)
        self._cells.set_unavailable(self._unavailable)

    def set_excluded(self, workers: Iterable[WorkerName]) -> None:
        """Replace the set of healthy workers that get no new work for now."""
        self._excluded = frozenset(workers)
        self._cells.set_excluded(self._excluded)

    def explain_infeasible(self, spec: JobSpec) -> str:
        """Return why a job can never run in this region; empty if it can."""
        reason = self._capacity.explain_infeasible(spec)
        if reason:
            return reason
        shapes = required_shapes(spec)
        if not shapes or self._cells.can_ever_fit(shapes):
            return ""
        return (
            f"region {self._region!r} has no cells for members={spec.members} with "
            f"accelerators={spec.accelerators} and adjacent={spec.adjacent}; "
            "ask for fewer, or for a gang that is not adjacent"
        )

    def list_guarantees_at_risk(self) -> list[GuaranteeRisk]:
        """Return the guaranteed cells that do not fit into the healthy workers."""
        return self._cells.list_guarantees_at_risk()

    def guarantee_use(self) -> list[GuaranteeUse]:
        """Return guaranteed, bound and borrowed accelerators of each workspace."""
        return self._cells.guarantee_use()

    def plan(
        self,
        waiting: Iterable[Job],
        now: datetime,
        *,
        make_attempt_id: Callable[[Job], AttemptId],
        max_starts: int = 64,
    ) -> list[PlannedStart]:
        """Choose the jobs to start now, and allocate their members.

        Parameters
        ----------
        waiting : iterable of Job
            Queued jobs.
        now : datetime
            Current wall time.
        make_attempt_id : callable
            Returns the ID of a job's next attempt.
        max_starts : int, optional
            Largest number of jobs to start in one call.

        Returns
        -------
        list of PlannedStart
            The starts in the order of priority. Their cells, cores and memory stay
            allocated until `release`.
        """
        if not self._document.policy.start_jobs:
            return []
        sorted_jobs = sort_jobs(waiting, self._workspace_usage(), now)
        starts: list[PlannedStart] = []
        unplaceable: set[tuple[object, ...]] = set()
        self._preemption_searches_left = MAX_PREEMPTION_SEARCHES_PER_PLAN
        for job in sorted_jobs:
            if len(starts) >= max_starts:
                break
            key = self._placement_key(job)
            if key in unplaceable:
                continue
            start = self._place(job, make_attempt_id(job), now)
            if start is None:
                unplaceable.add(key)
                continue
            starts.append(start)
            self._add_running(
                start.attempt_id, _RunningAttempt(job, start.members, now)
            )
        return starts

    def record_attempt(self, job: Job) -> None:
        """Record the committed attempt of a planned job, for a later `rebuild`."""
        if job.attempt is not None and job.attempt.attempt_id in self._running:
            running = self._running[job.attempt.attempt_id]
            self._running[job.attempt.attempt_id] = running._replace(job=job)

    def adopt(self, job: Job) -> None:
        """Allocate the running attempt of a job that was read from its row."""
        attempt = job.attempt
        if attempt is None:
            raise AssertionError(f"job {job.job_id} runs without an attempt")
        running = _RunningAttempt(job, attempt.members, attempt.started_at)
        self._add_running(attempt.attempt_id, running)
        self._allocate_attempt(attempt.attempt_id, job, attempt)

    def release(self, attempt_id: AttemptId) -> None:
        """Free what is allocated to an attempt of which no member runs any more."""
        running = self._running.pop(attempt_id, None)
        if running is not None:
            self._usage_by_workspace[running.job.workspace] -= running.usage
        self._cells.release(attempt_id)
        self._capacity.release(attempt_id)

    def fragmentation(self, waiting: Iterable[Job]) -> float:
        """Return the share of free accelerators that no cell of a shape can use.

        The shape is the largest of waiting gangs, or else of the guarantees.
        """
        shapes = [shape for job in waiting for shape in required_shapes(job.spec)]
        guaranteed = [p.shape for p in list_guarantees(self._document, self._region)]
        largest = max(shapes, default=max(guaranteed, default=None))
        return 0.0 if largest is None else self._cells.fragmentation(largest)

    def explain_waiting(self, job: Job) -> str:
        """Return a message for a job's owner that says why the job waits."""
        if not self._document.policy.start_jobs:
            return f"preset {self._document.preset!r} starts no jobs"
        shapes = required_shapes(job.spec)
        if not shapes:
            return "no worker has enough free cores and memory"
        largest = max(shapes)
        return (
            f"no free cell of {largest.size} accelerators; "
            f"{self._cells.free_accelerators()} accelerators are free"
        )

    def _build_allocators(self) -> None:
        guarantees = list_guarantees(self._document, self._region)
        self._cells = CellAllocator(build_trees(self._workers), guarantees)
        self._cells.set_unavailable(self._unavailable)
        self._cells.set_excluded(self._excluded)
        self._capacity = CoreMemoryCapacity(self._workers)

    def _allocate_attempt(
        self, attempt_id: AttemptId, job: Job, attempt: Attempt
    ) -> None:
        cells, bound = locate_cells(attempt, self._cells.trees)
        if cells:
            self._cells.adopt(attempt_id, job.workspace, cells, bound)
        self._capacity.allocate(attempt_id, attempt.members)

    def _workspace_usage(self) -> Mapping[WorkspaceName, WorkspaceUsage]:
        workspaces = self._document.workspaces
        return {
            name: WorkspaceUsage(self._usage_by_workspace[name], workspace.weight)
            for name, workspace in workspaces.items()
        }

    def _add_running(self, attempt_id: AttemptId, running: _RunningAttempt) -> None:
        self._running[attempt_id] = running
        self._usage_by_workspace[running.job.workspace] += running.usage

    def _placement_key(self, job: Job) -> tuple[object, ...]:
        spec = job.spec
        return (
            job.workspace,
            tuple(required_shapes(spec)),
            (spec.members, spec.cores, spec.memory_mb) if not spec.accelerators else (),
            job.spec.request_class,
            attained_service_level(job.saved_s),
            job.failed_on,
        )

    def _place(
        self, job: Job, attempt_id: AttemptId, now: datetime
    ) -> PlannedStart | None:
        """Place a job on workers on which it has not failed, if these can hold it.

        Workers that are away count, since they may come back before the job has failed
        too often.
        """
        failed_on = frozenset(job.failed_on)
        start = self._place_avoiding(job, attempt_id, now, failed_on)
        if start is not None or not failed_on or self._can_hold(job.spec, failed_on):
            return start
        return self._place_avoiding(job, attempt_id, now, frozenset())

    def _can_hold(self, spec: JobSpec, excluded: frozenset[WorkerName]) -> bool:
        """Return whether a job fits on the other workers if these are empty."""
        shapes = required_shapes(spec)
        if shapes:
            return self._cells.can_ever_fit(shapes, excluded)
        return self._capacity.can_ever_fit(spec, excluded)

    def _place_avoiding(
        self,
        job: Job,
        attempt_id: AttemptId,
        now: datetime,
        avoided: frozenset[WorkerName],
    ) -> PlannedStart | None:
        shapes = required_shapes(job.spec)
        if not shapes:
            excluded = self._unavailable.union(self._excluded, avoided)
            members = self._capacity.place(attempt_id, job.spec, excluded)
            return members and PlannedStart(job, attempt_id, members, (), ())
        if avoided:
            self._cells.set_excluded(self._excluded.union(avoided))
        gang = self._place_cells(job, attempt_id, shapes, now)
        if avoided:
            self._cells.set_excluded(self._excluded)
        if gang is None:
            return None
        trees = self._cells.trees
        members = place_members(job.spec, gang.cells, trees)
        self._capacity.allocate(attempt_id, members)
        records = make_cell_records(gang, trees)
        return PlannedStart(job, attempt_id, members, records, gang.victims)

    def _preemption_allowed(self) -> bool:
        """Whether gangs may be preempted for others.

        Not while workers are excluded since they have not reported to this leader:
        their cells may turn out to be free.
        """
        return not self._excluded

    def _place_cells(
        self,
        job: Job,
        attempt_id: AttemptId,
        shapes: Collection[CellShape],
        now: datetime,
    ) -> GangAllocation | None:
        borrowing = self._document.policy.borrowing
        allow_preemption = self._preemption_allowed()
        if borrowing:
            gang = self._cells.place_borrowed(attempt_id, job.workspace, list(shapes))
            if gang is not None:
                return gang
        gang = self._cells.place_guaranteed(
            attempt_id,
            job.workspace,
            list(shapes),
            lambda name: self._lost_work(name, now),
            allow_preemption=allow_preemption,
        )
        if gang is not None or not borrowing or not allow_preemption:
            return gang
        if not self._preemption_searches_left:
            return None
        self._preemption_searches_left -= 1
        return self._cells.place_preempting(
            attempt_id,
            job.workspace,
            list(shapes),
            self._make_preemption_rule(job, now),
        )

    def _lost_work(self, attempt_id: AttemptId, now: datetime) -> float:
        """Return the work that stopping an attempt loses, in accelerator seconds."""
        running = self._running.get(attempt_id)
        if running is None:
            return 0.0
        return running.accelerators * (now - running.started_at).total_seconds()

    def _make_preemption_rule(
        self, job: Job, now: datetime
    ) -> Callable[[AttemptId], bool]:
        """Return a predicate that tells which borrowers a waiting job may preempt.

        An urgent job may preempt borrowers of a less urgent class. Any other job may
        preempt borrowers that have run for `MIN_RUN_BEFORE_PREEMPTION_S`, whose class
        is not more urgent than its own after aging, and that have more attained
        service. Once it has waited for `STARVATION_AFTER_S`, it may also preempt
        smaller ones with as much attained service.
        """
        urgent = job.spec.request_class is RequestClass.URGENT
        level = attained_service_level(job.saved_s)
        size = job.spec.members * job.spec.accelerators
        starving = (now - job.submitted_at).total_seconds() >= STARVATION_AFTER_S

        def can_preempt(attempt_id: AttemptId) -> bool:
            running = self._running.get(attempt_id)
            if running is None:
                return False
            rank = running.job.spec.request_class.rank
            if urgent:
                return rank > RequestClass.URGENT.rank
            ran_s = (now - running.started_at).total_seconds()
            if rank < aged_class_rank(job, now) or ran_s < MIN_RUN_BEFORE_PREEMPTION_S:
                return False
            if attained_service_level(running.job.saved_s + ran_s) > level:
                return True
            return starving and running.accelerators < size

        return can_preempt


def find_unsatisfiable_guarantees(
    document: Document, region: RegionName, workers: Sequence[WorkerSize]
) -> list[str]:
    """Return messages on the guarantees that a region's workers can't hold together.

    This includes a guarantee in a region without workers, and one that alone exceeds
    the region.
    """
    cells = CellAllocator(build_trees(workers), list_guarantees(document, region))
    return [
        f"workspaces.{risk.workspace}.guarantees: {risk.missing} cells of "
        f"{risk.shape.size} accelerators do not fit into region {region!r} beside "
        "all other guarantees; reduce the guarantees"
        for risk in cells.list_guarantees_at_risk()
    ]
