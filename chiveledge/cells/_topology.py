"""Builds trees of cells from the workers that the platform lists."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from chiveledge.types import Accelerators, WorkerName

LARGEST_CELL = 64


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
    unit: Accelerators
    workers: tuple[WorkerName, ...]
    base: int


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
            trees.extend(_merge_neighbours(names, accelerators))
        else:
            trees.extend(
                tree for name in names for tree in _cut_worker(name, accelerators)
            )
    return tuple(trees)


def _merge_neighbours(names: list[WorkerName], unit: Accelerators) -> Iterator[Tree]:
    start = 0
    widest = max(LARGEST_CELL // unit, 1)
    while start < len(names):
        left = len(names) - start
        width = min(widest, 1 << (left.bit_length() - 1))
        chunk = tuple(names[start : start + width])
        yield Tree(width * unit, unit, chunk, 0)
        start += width


def _cut_worker(name: WorkerName, accelerators: Accelerators) -> Iterator[Tree]:
    base = 0
    while base < accelerators:
        left = accelerators - base
        size = min(LARGEST_CELL, 1 << (left.bit_length() - 1))
        yield Tree(size, size, (name,), base)
        base += size
