"""Cells, which are blocks of adjacent accelerators, and their allocation."""

from __future__ import annotations

from chiveledge.cells._allocations import (
    CellGuarantee,
    GangAllocation,
    GuaranteeRisk,
    GuaranteeUse,
)
from chiveledge.cells._allocator import CellAllocator
from chiveledge.cells._packing import CellShape, count_unplaced, free_blocks
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
    "CellGuarantee",
    "CellShape",
    "GangAllocation",
    "GuaranteeRisk",
    "GuaranteeUse",
    "Tree",
    "WorkerSize",
    "build_trees",
    "count_unplaced",
    "free_blocks",
    "round_up_to_cell",
]
