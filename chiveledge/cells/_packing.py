"""Buddy blocks of free accelerators, and packing of cells into them."""

from __future__ import annotations

from collections import Counter
from functools import lru_cache
from typing import NamedTuple

from chiveledge.types import Accelerators


class CellShape(NamedTuple):
    """Size of a cell, and accelerators of each worker that it spans.

    A cell fits into a block of at least its size, on workers with at least
    `per_worker` accelerators.
    """

    size: Accelerators
    per_worker: Accelerators


class Block(NamedTuple):
    """A maximal free buddy block of a tree."""

    offset: int
    size: Accelerators


@lru_cache(maxsize=1 << 16)
def free_blocks(occupied: int, size: Accelerators) -> tuple[Block, ...]:
    """Return the maximal free blocks of a tree, in the order of their offsets.

    Parameters
    ----------
    occupied : int
        Bit mask of the accelerators that are not free.
    size : int
        Accelerators in the tree.
    """
    if occupied == 0:
        return (Block(0, size),)
    if size == 1:
        return ()
    half = size // 2
    low = free_blocks(occupied & ((1 << half) - 1), half)
    high = free_blocks(occupied >> half, half)
    return low + tuple(Block(block.offset + half, block.size) for block in high)


def count_unplaced(
    wanted: Counter[CellShape], free: Counter[CellShape]
) -> Counter[CellShape]:
    """Return how many of the wanted cells do not fit into free blocks, by shape.

    Best-fit decreasing: the largest cell first, into the smallest block that holds
    it, on workers no larger than needed. This is optimal for equal workers, since
    cell sizes are powers of two. For unequal workers it may reject a cell that an
    exhaustive search would place, but never accepts one that does not fit.

    Parameters
    ----------
    wanted : Counter of CellShape
        Number of cells to place, by shape.
    free : Counter of CellShape
        Number of free blocks, by shape.
    """
    remaining = Counter({shape: count for shape, count in free.items() if count > 0})
    missing: Counter[CellShape] = Counter()
    for shape in sorted(wanted, reverse=True):
        unplaced = _pack_shape(shape, wanted[shape], remaining)
        if unplaced:
            missing[shape] = unplaced
    return missing


def _pack_shape(shape: CellShape, count: int, remaining: Counter[CellShape]) -> int:
    """Remove cells of one shape from `remaining`; return how many do not fit."""
    while count > 0:
        block = _find_smallest_block(shape, remaining)
        if block is None:
            return count
        if block.size == shape.size:
            taken = min(count, remaining[block])
            remaining[block] -= taken
            count -= taken
        else:
            _split_block(block, remaining)
    return 0


def _find_smallest_block(
    shape: CellShape, remaining: Counter[CellShape]
) -> CellShape | None:
    candidates = [
        block
        for block, count in remaining.items()
        if count > 0
        and block.size >= shape.size
        and block.per_worker >= shape.per_worker
    ]
    return min(candidates, default=None)


def _split_block(block: CellShape, remaining: Counter[CellShape]) -> None:
    remaining[block] -= 1
    remaining[CellShape(block.size // 2, block.per_worker)] += 2
