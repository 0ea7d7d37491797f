"""Decides whether a set of cells fits into free space."""

from __future__ import annotations

from collections import Counter
from functools import lru_cache
from typing import NamedTuple

from chiveledge.types import Accelerators


class CellShape(NamedTuple):
    """A wanted cell: its size, and the least accelerators of each worker in it."""

    size: Accelerators
    per_worker: Accelerators


class Block(NamedTuple):
    """A largest free aligned run within a tree."""

    offset: int
    size: Accelerators


@lru_cache(maxsize=1 << 16)
def free_blocks(occupied: int, size: Accelerators) -> tuple[Block, ...]:
    """Return the largest free cells of a tree.

    Parameters
    ----------
    occupied : int
        One bit for each accelerator that is not free.
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
    """Pack wanted cells into free ones, and return those that do not fit.

    Largest first into the smallest free cell that holds it, on workers no larger
    than needed. With equal workers this is exact, since cell sizes are powers of
    two. With unequal workers it may leave out a cell that a search would place; it
    never places one that does not fit.

    Parameters
    ----------
    wanted : Counter of CellShape
        Number of cells to place, by size and unit.
    free : Counter of CellShape
        Number of free cells by size and unit.
    """
    remaining = Counter({shape: count for shape, count in free.items() if count > 0})
    missing: Counter[CellShape] = Counter()
    for shape in sorted(wanted, reverse=True):
        unplaced = _pack_shape(shape, wanted[shape], remaining)
        if unplaced:
            missing[shape] = unplaced
    return missing


def _pack_shape(shape: CellShape, count: int, remaining: Counter[CellShape]) -> int:
    """Take cells of one shape out of `left`; return how many do not fit."""
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
