"""Cells: adjacent accelerators, and their allocation under guarantees."""

from __future__ import annotations

from chiveledge.cells._allocator import (
    CellAllocator,
    GangCells,
    GuaranteeRisk,
    GuaranteeUse,
    Promise,
)
from chiveledge.cells._packing import CellShape, fits, free_blocks
from chiveledge.cells._topology import (
    Cell,
    Tree,
    WorkerSize,
    build_trees,
    round_up_to_cell,
)

__all__ = [
    "Cell",
    "CellAllocator",
    "CellShape",
    "GangCells",
    "GuaranteeRisk",
    "GuaranteeUse",
    "Promise",
    "Tree",
    "WorkerSize",
    "build_trees",
    "fits",
    "free_blocks",
    "round_up_to_cell",
]
