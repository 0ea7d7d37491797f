"""Conversion of job specs to cell shapes, and of cells to placements and records."""

from __future__ import annotations

from collections.abc import Sequence

from chiveledge.cells import Cell, CellShape, GangAllocation, Tree, round_up_to_cell
from chiveledge.jobs import Attempt, CellRecord, JobSpec
from chiveledge.services import MemberPlacement
from chiveledge.types import WorkerName


def required_shapes(spec: JobSpec) -> list[CellShape]:
    """Return the shapes of cells that a gang needs; empty without accelerators."""
    if spec.accelerators == 0:
        return []
    member_cell_size = round_up_to_cell(spec.accelerators)
    if not spec.adjacent:
        return [CellShape(member_cell_size, member_cell_size)] * spec.members
    return [
        CellShape(round_up_to_cell(member_cell_size * spec.members), member_cell_size)
    ]


def place_members(
    spec: JobSpec, cells: Sequence[Cell], trees: Sequence[Tree]
) -> tuple[MemberPlacement, ...]:
    """Return the worker and the accelerators of each member of a gang."""
    member_cell_size = round_up_to_cell(spec.accelerators)
    starts = [
        (cell.tree, offset)
        for cell in cells
        for offset in range(cell.offset, cell.offset + cell.size, member_cell_size)
    ]
    return tuple(
        _place_member(spec, member, trees[tree], offset)
        for member, (tree, offset) in enumerate(starts[: spec.members])
    )


def make_cell_records(
    gang: GangAllocation, trees: Sequence[Tree]
) -> tuple[CellRecord, ...]:
    """Return a gang's cells as they are stored, independent of tree numbers."""
    records = []
    for number, cell in enumerate(gang.cells):
        worker, index = _locate_accelerator(trees[cell.tree], cell.offset)
        bound = gang.bound[number] if gang.bound else CellShape(0, 0)
        records.append(
            CellRecord(worker, index, cell.size, bound.size, bound.per_worker)
        )
    return tuple(records)


def locate_cells(
    attempt: Attempt, trees: Sequence[Tree]
) -> tuple[list[Cell], list[CellShape]]:
    """Return the cells of a running attempt in the current trees.

    Returns
    -------
    cells : list of Cell
        The recorded cells. If one of them does not exist any more, since the region's
        workers changed, one cell for each accelerator of the gang.
    bound : list of CellShape
        Guaranteed shapes of the cells; empty for a borrower and for a gang whose
        cells do not exist any more.
    """
    cells: list[Cell] = []
    bound: list[CellShape] = []
    for record in attempt.cells:
        cell = _locate_cell(trees, record.worker, record.index, record.size)
        if cell is None:
            return _locate_single_accelerators(attempt, trees), []
        cells.append(cell)
        if record.bound_size:
            bound.append(CellShape(record.bound_size, record.bound_per_worker))
    return cells, bound


def _place_member(
    spec: JobSpec, member: int, tree: Tree, offset: int
) -> MemberPlacement:
    worker, index = _locate_accelerator(tree, offset)
    accelerators = tuple(range(index, index + spec.accelerators))
    return MemberPlacement(member, worker, accelerators, spec.cores, spec.memory_mb)


def _locate_accelerator(tree: Tree, offset: int) -> tuple[WorkerName, int]:
    return (
        tree.workers[offset // tree.per_worker],
        tree.first_index + offset % tree.per_worker,
    )


def _locate_cell(
    trees: Sequence[Tree], worker: WorkerName, index: int, size: int
) -> Cell | None:
    for number, tree in enumerate(trees):
        if worker not in tree.workers:
            continue
        if not tree.first_index <= index < tree.first_index + tree.per_worker:
            continue
        offset = tree.workers.index(worker) * tree.per_worker + index - tree.first_index
        if offset % size == 0 and offset + size <= tree.size:
            return Cell(number, offset, size)
    return None


def _locate_single_accelerators(attempt: Attempt, trees: Sequence[Tree]) -> list[Cell]:
    found = [
        _locate_cell(trees, member.worker, index, 1)
        for member in attempt.members
        for index in member.accelerators
    ]
    return [cell for cell in found if cell is not None]
