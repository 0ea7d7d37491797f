"""Processors and memory of workers: a flat check beside the cells."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from chiveledge.cells import WorkerSize
from chiveledge.jobs import JobSpec
from chiveledge.services import MemberPlacement
from chiveledge.types import AttemptId, WorkerName

ACCELERATOR_TASK_SHARE = 0.75
"""Share of a worker's processors and memory that its accelerators' tasks may use."""


class _FreeCapacity(NamedTuple):
    """How many members of a gang a worker holds."""

    worker: WorkerName
    members: int


class CoreMemoryCapacity:
    """Processors and memory that gangs use on each worker.

    Members with accelerators may use each accelerator's part of the
    `ACCELERATOR_SHARE`; all others share what is left. So a member with
    accelerators always finds room where its accelerators are free.

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
        """Return why no worker could ever run a member, or an empty text."""
        if any(_can_run_member(worker, spec) for worker in self._workers.values()):
            return ""
        return (
            f"no worker of region {spec.region!r} can ever run a member with "
            f"accelerators={spec.accelerators}, cores={spec.cores}, "
            f"memory_mb={spec.memory_mb}; declare a smaller member"
        )

    def place(
        self, attempt: AttemptId, spec: JobSpec, excluded: Collection[WorkerName]
    ) -> tuple[MemberPlacement, ...] | None:
        """Place a gang without accelerators; return None where there is no room."""
        members: list[MemberPlacement] = []
        for free in self._iter_free_capacity(spec, excluded):
            # Members are alike, so the fullest worker takes as many as it holds.
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
        """Yield workers with room for members, the fullest first."""
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
            by_memory = self._free_memory_mb[name] // spec.memory_mb
            yield _FreeCapacity(name, int(min(cores // spec.cores, by_memory)))

    def allocate(
        self, attempt: AttemptId, members: tuple[MemberPlacement, ...]
    ) -> None:
        """Count the members of a gang; those with accelerators have their own part."""
        self._allocations[attempt] = members
        self._adjust_free(members, -1)

    def release(self, attempt: AttemptId) -> None:
        """Give back what a gang uses."""
        self._adjust_free(self._allocations.pop(attempt, ()), 1)

    def _adjust_free(self, members: tuple[MemberPlacement, ...], sign: int) -> None:
        for member in members:
            if not member.accelerators and member.worker in self._free_cores:
                self._free_cores[member.worker] += sign * member.cores
                self._free_memory_mb[member.worker] += sign * member.memory_mb


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
