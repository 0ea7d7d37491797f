"""Cores and memory of workers, which are allocated apart from accelerator cells."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from chiveledge.cells import WorkerSize
from chiveledge.jobs import JobSpec
from chiveledge.services import MemberPlacement
from chiveledge.types import AttemptId, WorkerName

ACCELERATOR_TASK_SHARE = 0.75
"""Share of a worker's cores and memory for members that use its accelerators."""


class _FreeCapacity(NamedTuple):
    """Number of members of one gang that fit into a worker's free cores and memory."""

    worker: WorkerName
    members: int


class CoreMemoryCapacity:
    """Allocator of the workers' cores and memory.

    On a worker with accelerators, `ACCELERATOR_TASK_SHARE` of the cores and memory is
    divided equally among the accelerators, and a member may use the parts of its own
    accelerators. Only the rest is allocated here, to members without accelerators. So
    free accelerators always come with the cores and memory that their members need.

    Parameters
    ----------
    workers : sequence of WorkerSize
        The region's workers.
    """

    def __init__(self, workers: Sequence[WorkerSize]) -> None:
        self._workers = {worker.name: worker for worker in workers}
        self._free_cores = {w.name: _shared_cores(w) for w in workers}
        self._free_memory_mb = {w.name: _shared_memory_mb(w) for w in workers}
        self._allocations: dict[AttemptId, tuple[MemberPlacement, ...]] = {}

    def explain_infeasible(self, spec: JobSpec) -> str:
        """Return why a job can never run on the workers; empty if it can.

        For a gang with accelerators only a single member is considered.
        """
        if not any(_can_run_member(worker, spec) for worker in self._workers.values()):
            return (
                f"no worker of region {spec.region!r} can ever run a member with "
                f"accelerators={spec.accelerators}, cores={spec.cores}, "
                f"memory_mb={spec.memory_mb}; declare a smaller member"
            )
        if spec.accelerators or self.can_ever_fit(spec):
            return ""
        return (
            f"the workers of region {spec.region!r} can never run members="
            f"{spec.members} with cores={spec.cores} and memory_mb={spec.memory_mb} "
            "together; declare fewer or smaller members"
        )

    def can_ever_fit(
        self, spec: JobSpec, excluded: Collection[WorkerName] = ()
    ) -> bool:
        """Return whether a gang without accelerators fits on the empty workers.

        Parameters
        ----------
        excluded : collection of str, optional
            Workers that don't count.
        """
        held = sum(
            _count_members(_shared_cores(worker), _shared_memory_mb(worker), spec)
            for name, worker in self._workers.items()
            if name not in excluded
        )
        return held >= spec.members

    def place(
        self, attempt: AttemptId, spec: JobSpec, excluded: Collection[WorkerName]
    ) -> tuple[MemberPlacement, ...] | None:
        """Place and allocate a gang without accelerators, or return None."""
        members: list[MemberPlacement] = []
        for free in self._iter_free_capacity(spec, excluded):
            # Members are identical, so each worker in turn gets all that fit.
            count = min(free.members, spec.members - len(members))
            members += [
                MemberPlacement(
                    len(members) + index, free.worker, (), spec.cores, spec.memory_mb
                )
                for index in range(count)
            ]
            if len(members) == spec.members:
                self.allocate(attempt, tuple(members))
                return tuple(members)
        return None

    def _iter_free_capacity(
        self, spec: JobSpec, excluded: Collection[WorkerName]
    ) -> Iterator[_FreeCapacity]:
        """Yield the workers that can hold a member, fewest free cores first."""
        heap = [
            (cores, name)
            for name, cores in self._free_cores.items()
            if cores >= spec.cores
            and self._free_memory_mb[name] >= spec.memory_mb
            and name not in excluded
        ]
        heapq.heapify(heap)
        while heap:
            cores, name = heapq.heappop(heap)
            members = _count_members(cores, self._free_memory_mb[name], spec)
            yield _FreeCapacity(name, members)

    def allocate(
        self, attempt: AttemptId, members: tuple[MemberPlacement, ...]
    ) -> None:
        """Allocate the members of a gang; those with accelerators take nothing here."""
        self._allocations[attempt] = members
        self._adjust_free(members, -1)

    def release(self, attempt: AttemptId) -> None:
        """Free what is allocated to an attempt; does nothing for an unknown one."""
        self._adjust_free(self._allocations.pop(attempt, ()), 1)

    def _adjust_free(self, members: tuple[MemberPlacement, ...], sign: int) -> None:
        for member in members:
            if not member.accelerators and member.worker in self._free_cores:
                self._free_cores[member.worker] += sign * member.cores
                self._free_memory_mb[member.worker] += sign * member.memory_mb


def _count_members(cores: float, memory_mb: float, spec: JobSpec) -> int:
    """Return how many members of a gang fit into cores and memory."""
    return int(min(cores // spec.cores, memory_mb // spec.memory_mb))


def _shared_cores(worker: WorkerSize) -> float:
    share = 1 - ACCELERATOR_TASK_SHARE if worker.accelerators else 1.0
    return worker.cores * share


def _shared_memory_mb(worker: WorkerSize) -> float:
    share = 1 - ACCELERATOR_TASK_SHARE if worker.accelerators else 1.0
    return worker.memory_mb * share


def _can_run_member(worker: WorkerSize, spec: JobSpec) -> bool:
    if spec.accelerators == 0:
        return spec.cores <= _shared_cores(
            worker
        ) and spec.memory_mb <= _shared_memory_mb(worker)
    if spec.accelerators > worker.accelerators:
        return False
    share = ACCELERATOR_TASK_SHARE * spec.accelerators / worker.accelerators
    return (
        spec.cores <= worker.cores * share
        and spec.memory_mb <= worker.memory_mb * share
    )
