"""An index of the maximal free blocks of all trees, by shape."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from chiveledge.cells._packing import CellShape, free_blocks
from chiveledge.cells._topology import Cell, Tree


class BlockStart(NamedTuple):
    """Tree and offset of a free block's first accelerator."""

    tree: int
    offset: int


class BlockIndex:
    """Index of a region's free blocks, updated one tree at a time.

    Parameters
    ----------
    trees : sequence of Tree
        The region's trees; all accelerators are free at first.
    """

    def __init__(self, trees: Sequence[Tree]) -> None:
        self._trees = tuple(trees)
        self._occupied = [-1] * len(trees)
        self._starts: dict[CellShape, set[BlockStart]] = {}
        for index in range(len(trees)):
            self.set_occupied(index, 0)

    def set_occupied(self, index: int, mask: int) -> None:
        """Replace the bit mask of a tree's accelerators that are not free."""
        before = self._occupied[index]
        if mask == before:
            return
        tree = self._trees[index]
        if before >= 0:
            for block in free_blocks(before, tree.size):
                shape = CellShape(block.size, tree.per_worker)
                self._starts[shape].discard(BlockStart(index, block.offset))
        for block in free_blocks(mask, tree.size):
            shape = CellShape(block.size, tree.per_worker)
            self._starts.setdefault(shape, set()).add(BlockStart(index, block.offset))
        self._occupied[index] = mask

    def count_blocks(self) -> Counter[CellShape]:
        """Return the number of free blocks by shape."""
        return Counter({s: len(starts) for s, starts in self._starts.items() if starts})

    def find_first(self, shape: CellShape) -> Cell | None:
        """Return the first cell in the smallest block that holds it, or None."""
        block = min(self._list_blocks_holding(shape), default=None)
        if block is None:
            return None
        start = min(self._starts[block])
        return Cell(start.tree, start.offset, shape.size)

    def iter_cells(self, shape: CellShape) -> Iterator[tuple[Cell, CellShape]]:
        """Yield free cells with the shapes of their blocks, smallest blocks first."""
        for block in sorted(self._list_blocks_holding(shape)):
            for start in sorted(self._starts[block]):
                for shift in range(0, block.size, shape.size):
                    cell = Cell(start.tree, start.offset + shift, shape.size)
                    yield cell, block

    def _list_blocks_holding(self, shape: CellShape) -> list[CellShape]:
        return [
            block
            for block, starts in self._starts.items()
            if starts
            and block.size >= shape.size
            and block.per_worker >= shape.per_worker
        ]
