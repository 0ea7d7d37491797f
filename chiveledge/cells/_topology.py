"""Builds trees of cells from the workers that the platform lists."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from chiveledge.types import Accelerators, WorkerName

MAX_CELL_ACCELERATORS = 64


class WorkerSize(NamedTuple):
    """What one worker has, and which rack it stands in."""

    name: WorkerName
    rack: str
    accelerators: Accelerators
    cores: int
    memory_mb: int


class Tree(NamedTuple):
    """A largest cell; its halves, quarters and so on are its smaller cells.

    Attributes
    ----------
    size : int
        Accelerators in the tree, a power of two of 64 at the most.
    unit : int
        Accelerators on each of its workers, a power of two.
    workers : tuple of str
        Adjacent workers; worker ``i`` holds positions ``i * unit`` and on.
    base : int
        Index on the worker of the tree's first accelerator.
    """

    size: Accelerators
    per_worker: Accelerators
    workers: tuple[WorkerName, ...]
    first_index: int


class Cell(NamedTuple):
    """An aligned run of `size` accelerators at `offset` of a tree."""

    tree: int
    offset: int
    size: Accelerators

    @property
    def mask(self) -> int:
        """One bit for each accelerator of the cell."""
        return ((1 << self.size) - 1) << self.offset


def round_up_to_cell(accelerators: Accelerators) -> Accelerators:
    """Return the least power of two that holds a number of accelerators."""
    return 1 << max(accelerators - 1, 0).bit_length()


def build_trees(workers: Iterable[WorkerSize]) -> tuple[Tree, ...]:
    """Return the trees of a region.

    Equal neighbours in a rack, whose accelerators are a power of two, merge into
    cells that span workers. Any other worker is cut into cells of its own.

    Parameters
    ----------
    workers : iterable of WorkerSize
        Neighbours are those whose names follow each other in their rack.
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
