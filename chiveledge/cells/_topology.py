"""Buddy trees of the accelerators of listed workers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from chiveledge.types import Accelerators, WorkerName

MAX_CELL_ACCELERATORS = 64


class WorkerSize(NamedTuple):
    """Resources and rack of one worker."""

    name: WorkerName
    rack: str
    accelerators: Accelerators
    cores: int
    memory_mb: int


class Tree(NamedTuple):
    """A buddy tree of accelerators: its halves, quarters and so on are its cells.

    Attributes
    ----------
    size : int
        Accelerators in the tree: a power of two, 64 at the most.
    per_worker : int
        Accelerators of the tree on each of its workers, a power of two.
    workers : tuple of str
        Adjacent workers; the accelerators of worker ``i`` begin at the offset
        ``i * per_worker``.
    first_index : int
        Index of the tree's first accelerator on its worker. It is 0 unless a worker
        is split into several trees.
    """

    size: Accelerators
    per_worker: Accelerators
    workers: tuple[WorkerName, ...]
    first_index: int


class Cell(NamedTuple):
    """An aligned block of `size` accelerators at `offset` in the tree `tree`."""

    tree: int
    offset: int
    size: Accelerators

    @property
    def mask(self) -> int:
        """Bit mask of the cell's accelerators within its tree."""
        return ((1 << self.size) - 1) << self.offset


def round_up_to_cell(accelerators: Accelerators) -> Accelerators:
    """Return the smallest power of two that is at least `accelerators`."""
    return 1 << max(accelerators - 1, 0).bit_length()


def build_trees(workers: Iterable[WorkerSize]) -> tuple[Tree, ...]:
    """Return the buddy trees of a region.

    Adjacent workers with the same number of accelerators, a power of two, share a
    tree, so that cells can span them. Any other worker is split into trees of its own.

    Parameters
    ----------
    workers : iterable of WorkerSize
        Workers of one rack and size are adjacent if their names follow each other.
    """
    ordered = sorted(workers, key=lambda w: (w.rack, w.name))
    trees: list[Tree] = []
    for (_, accelerators), group in groupby(
        ordered, key=lambda w: (w.rack, w.accelerators)
    ):
        names = [worker.name for worker in group]
        if accelerators and accelerators & (accelerators - 1) == 0:
            trees.extend(_make_spanning_trees(names, accelerators))
        else:
            trees.extend(
                tree for name in names for tree in _split_worker(name, accelerators)
            )
    return tuple(trees)


def _make_spanning_trees(
    names: list[WorkerName], per_worker: Accelerators
) -> Iterator[Tree]:
    start = 0
    max_width = max(MAX_CELL_ACCELERATORS // per_worker, 1)
    while start < len(names):
        remaining = len(names) - start
        width = min(max_width, 1 << (remaining.bit_length() - 1))
        chunk = tuple(names[start : start + width])
        yield Tree(width * per_worker, per_worker, chunk, 0)
        start += width


def _split_worker(name: WorkerName, accelerators: Accelerators) -> Iterator[Tree]:
    first_index = 0
    while first_index < accelerators:
        remaining = accelerators - first_index
        size = min(MAX_CELL_ACCELERATORS, 1 << (remaining.bit_length() - 1))
        yield Tree(size, size, (name,), first_index)
        first_index += size
