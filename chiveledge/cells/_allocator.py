"""Allocation of cells to gangs under workspace guarantees.

A workspace's guarantee is a number of equal cells. The first gang that uses a
guaranteed cell binds a physical cell of that whole shape; the binding ends with the
last gang in it. Gangs outside of a guarantee are borrowers. They may run on any free
accelerators, since they can be preempted whenever a guarantee is claimed.

The invariant is therefore that the guaranteed cells not bound yet fit into the
accelerators that are not bound, whether or not borrowers use these. Lost workers or
another configuration can break it; `CellAllocator.list_guarantees_at_risk` reports
that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from chiveledge.cells._allocations import (
    CellGuarantee,
    GangAllocation,
    GuaranteeRisk,
    GuaranteeUse,
)
from chiveledge.cells._block_index import BlockIndex
from chiveledge.cells._packing import Block, CellShape, count_unplaced, free_blocks
from chiveledge.cells._topology import Cell, Tree
from chiveledge.types import Accelerators, AttemptId, WorkerName, WorkspaceName

PreemptionCost = Callable[[AttemptId], float]
"""Returns the cost of stopping a gang."""

MAX_PREEMPTED_RATIO = 2
"""Accelerators that a gang may preempt, as a multiple of its own."""

MIN_PREEMPTION_COST = 1e-9
"""Makes preempting a gang without lost work costlier than preempting none."""


class _BoundCell(NamedTuple):
    """A physical cell that is bound to one guaranteed cell."""

    cell: Cell
    shape: CellShape


class _Search(NamedTuple):
    """Cells and preemption victims chosen so far for one gang."""

    workspace: WorkspaceName
    preemption_cost: PreemptionCost
    cells: list[Cell]
    bound: list[CellShape]
    victims: dict[AttemptId, None]

    def overlaps(self, cell: Cell) -> bool:
        """Whether a cell intersects one that is chosen already."""
        return any(c.tree == cell.tree and c.mask & cell.mask for c in self.cells)

    def add_cell(
        self, bound_cell: _BoundCell, cell: Cell, victims: list[AttemptId]
    ) -> None:
        """Add a cell within a bound cell, and the gangs to preempt there."""
        self.cells.append(cell)
        self.bound.append(bound_cell.shape)
        self.victims.update(dict.fromkeys(victims))


class CellAllocator:
    """Allocator of the accelerator cells of one region.

    Parameters
    ----------
    trees : sequence of Tree
        The region's accelerators, as `build_trees` returns them.
    guarantees : sequence of CellGuarantee
        Guarantees of all workspaces in the region.
    """

    def __init__(
        self, trees: Sequence[Tree], guarantees: Sequence[CellGuarantee]
    ) -> None:
        self._trees = tuple(trees)
        self._guarantees = tuple(guarantees)
        self._unavailable_masks = [0] * len(trees)
        self._used_masks = [0] * len(trees)
        self._excluded_masks = [0] * len(trees)
        self._bound_masks = [0] * len(trees)
        self._bound_cells: dict[WorkspaceName, list[_BoundCell]] = {}
        self._gangs: dict[AttemptId, GangAllocation] = {}
        self._gang_masks_by_tree: list[dict[AttemptId, int]] = [{} for _ in trees]
        self._free = BlockIndex(trees)
        self._unbound = BlockIndex(trees)

    @property
    def trees(self) -> tuple[Tree, ...]:
        """The region's trees."""
        return self._trees

    @property
    def gangs(self) -> Mapping[AttemptId, GangAllocation]:
        """Allocations of all gangs, by attempt ID."""
        return self._gangs

    def list_guarantees_at_risk(self) -> list[GuaranteeRisk]:
        """Return the unbound guaranteed cells that do not fit healthy workers."""
        missing = self._count_missing()
        risks = []
        for guarantee in self._guarantees:
            count = min(missing[guarantee.shape], self._count_unbound(guarantee))
            if count:
                missing[guarantee.shape] -= count
                risks.append(GuaranteeRisk(guarantee.workspace, guarantee.shape, count))
        return risks

    def guarantee_use(self) -> list[GuaranteeUse]:
        """Return guaranteed, bound and borrowed accelerators of each workspace."""
        names = sorted(
            {guarantee.workspace for guarantee in self._guarantees}
            | {gang.workspace for gang in self._gangs.values()}
        )
        return [self._guarantee_use_of(name) for name in names]

    def set_unavailable(self, workers: Iterable[WorkerName]) -> None:
        """Replace the set of unavailable workers; all others count as healthy."""
        self._unavailable_masks = self._make_masks(workers)
        self._refresh_indexes()

    def set_excluded(self, workers: Iterable[WorkerName]) -> None:
        """Replace the set of healthy workers on which no new gang is placed."""
        excluded = self._make_masks(workers)
        if excluded != self._excluded_masks:
            self._excluded_masks = excluded
            self._refresh_indexes()

    def place_guaranteed(
        self,
        attempt: AttemptId,
        workspace: WorkspaceName,
        shapes: Sequence[CellShape],
        preemption_cost: PreemptionCost,
        *,
        allow_preemption: bool = True,
    ) -> GangAllocation | None:
        """Place a gang within its workspace's guarantee.

        Parameters
        ----------
        attempt, workspace : str
            ID of the gang's attempt, and the workspace that owns it.
        shapes : sequence of CellShape
            Cells that the gang needs.
        preemption_cost : callable
            Returns the work that is lost by stopping a borrower, in accelerator
            seconds.
        allow_preemption : bool, optional
            Whether borrowers may be preempted for the gang.

        Returns
        -------
        GangAllocation or None
            The cells, which are allocated at once, and the borrowers that must stop
            first; None if the guarantee does not cover the gang.
        """
        wanted = sum(shape.size for shape in shapes)
        if wanted > self._guaranteed_accelerators(workspace):
            return None
        search = _Search(workspace, preemption_cost, [], [], {})
        for shape in sorted(shapes, reverse=True):
            if not self._choose_guaranteed_cell(search, shape, allow_preemption):
                self._unbind_unused_cells()
                return None
        return self._record_gang(
            GangAllocation(
                attempt,
                workspace,
                tuple(search.cells),
                tuple(search.bound),
                tuple(search.victims),
            )
        )

    def place_borrowed(
        self,
        attempt: AttemptId,
        workspace: WorkspaceName,
        shapes: Sequence[CellShape],
    ) -> GangAllocation | None:
        """Place a gang in free cells; return None if it does not fit."""
        if count_unplaced(Counter(shapes), self._free.count_blocks()):
            return None
        cells = []
        for shape in sorted(shapes, reverse=True):
            cell = self._free.find_first(shape)
            if cell is None:
                raise AssertionError(f"no free cell for {shape}, although it fits")
            self._set_used(cell.tree, self._used_masks[cell.tree] | cell.mask)
            cells.append(cell)
        return self._record_gang(GangAllocation(attempt, workspace, tuple(cells)))

    def place_preempting(
        self,
        attempt: AttemptId,
        workspace: WorkspaceName,
        shapes: Sequence[CellShape],
        can_preempt: Callable[[AttemptId], bool],
    ) -> GangAllocation | None:
        """Place a borrower in cells that are free or used by preemptible borrowers.

        Cells are chosen greedily by the fewest accelerators of gangs to preempt. A
        gang that would preempt more than `MAX_PREEMPTED_RATIO` times its own
        accelerators is not placed.

        Parameters
        ----------
        can_preempt : callable
            Whether a running borrower may be preempted for this gang.
        """
        preemptible = self._index_preemptible_blocks(can_preempt)
        if count_unplaced(Counter(shapes), preemptible.count_blocks()):
            return None
        search = _Search(workspace, self._count_accelerators, [], [], {})
        for shape in sorted(shapes, reverse=True):
            candidates = (cell for cell, _ in preemptible.iter_cells(shape))
            found = self._find_cheapest(search, candidates, preempt=True)
            if found is None:
                return None
            _, cell = found
            search.cells.append(cell)
            search.victims.update(dict.fromkeys(self._gangs_overlapping(cell)))
        wanted = sum(shape.size for shape in shapes)
        if (
            sum(map(self._count_accelerators, search.victims))
            > MAX_PREEMPTED_RATIO * wanted
        ):
            return None
        cells, victims = tuple(search.cells), tuple(search.victims)
        return self._record_gang(GangAllocation(attempt, workspace, cells, (), victims))

    def adopt(
        self,
        attempt: AttemptId,
        workspace: WorkspaceName,
        cells: Sequence[Cell],
        bound: Sequence[CellShape],
    ) -> GangAllocation:
        """Allocate the cells of a running gang.

        The gang becomes a borrower if its guaranteed cells can't be bound again,
        for example since the guarantee was removed.
        """
        guaranteed = []
        for cell, shape in zip(cells, bound, strict=False):
            bound_cell = self._bind_enclosing(workspace, cell, shape)
            if bound_cell is None:
                break
            guaranteed.append(bound_cell.shape)
        if len(guaranteed) < len(cells):
            guaranteed = []
        gang = self._record_gang(
            GangAllocation(attempt, workspace, tuple(cells), tuple(guaranteed))
        )
        self._unbind_unused_cells()
        return gang

    def release(self, attempt: AttemptId) -> None:
        """Free the cells of a gang; does nothing for an unknown attempt."""
        gang = self._gangs.pop(attempt, None)
        if gang is None:
            return
        for index in {cell.tree for cell in gang.cells}:
            masks = self._gang_masks_by_tree[index]
            del masks[attempt]
            self._set_used(index, _join_masks(masks.values()))
        if not gang.borrowed:
            self._unbind_unused_cells()

    def fragmentation(self, shape: CellShape) -> float:
        """Return the share of free accelerators that no cell of a shape can use."""
        free = usable = 0
        for index, tree in enumerate(self._trees):
            for block in self._free_blocks(index, tree):
                free += block.size
                if block.size >= shape.size and tree.per_worker >= shape.per_worker:
                    usable += block.size // shape.size * shape.size
        return 0.0 if not free else 1.0 - usable / free

    def free_accelerators(self) -> Accelerators:
        """Return the number of accelerators that are free and healthy."""
        return sum(
            block.size
            for index, tree in enumerate(self._trees)
            for block in self._free_blocks(index, tree)
        )

    def can_ever_fit(
        self, shapes: Sequence[CellShape], excluded: Collection[WorkerName] = ()
    ) -> bool:
        """Whether the cells fit into the empty region with all workers healthy.

        Parameters
        ----------
        excluded : collection of str, optional
            Workers that don't count.
        """
        index = BlockIndex(self._trees)
        for number, mask in enumerate(self._make_masks(excluded)):
            index.set_occupied(number, mask)
        return not count_unplaced(Counter(shapes), index.count_blocks())

    def _make_masks(self, workers: Iterable[WorkerName]) -> list[int]:
        names = set(workers)
        masks = [0] * len(self._trees)
        for index, tree in enumerate(self._trees):
            for position, worker in enumerate(tree.workers):
                if worker in names:
                    masks[index] |= ((1 << tree.per_worker) - 1) << (
                        position * tree.per_worker
                    )
        return masks

    def _free_blocks(self, index: int, tree: Tree) -> tuple[Block, ...]:
        return free_blocks(
            self._used_masks[index] | self._unavailable_masks[index], tree.size
        )

    def _guarantee_use_of(self, workspace: WorkspaceName) -> GuaranteeUse:
        gangs = [g for g in self._gangs.values() if g.workspace == workspace]
        return GuaranteeUse(
            workspace,
            self._guaranteed_accelerators(workspace),
            sum(
                bound_cell.cell.size
                for bound_cell in self._bound_cells.get(workspace, ())
            ),
            sum(c.size for gang in gangs if gang.borrowed for c in gang.cells),
        )

    def _count_unbound(self, guarantee: CellGuarantee) -> int:
        bound_cells = self._bound_cells.get(guarantee.workspace, ())
        bound = sum(
            1
            for bound_cell in bound_cells
            if bound_cell.shape == guarantee.shape and self._is_healthy(bound_cell)
        )
        return max(guarantee.count - bound, 0)

    def _is_healthy(self, bound_cell: _BoundCell) -> bool:
        """Whether all workers of a bound cell are available; else it does not count."""
        return not self._unavailable_masks[bound_cell.cell.tree] & bound_cell.cell.mask

    def _count_unbound_shapes(self) -> Counter[CellShape]:
        shapes: Counter[CellShape] = Counter()
        for guarantee in self._guarantees:
            shapes[guarantee.shape] += self._count_unbound(guarantee)
        return shapes

    def _guaranteed_accelerators(self, workspace: WorkspaceName) -> Accelerators:
        return sum(
            guarantee.shape.size * guarantee.count
            for guarantee in self._guarantees
            if guarantee.workspace == workspace
        )

    def _choose_guaranteed_cell(
        self, search: _Search, shape: CellShape, allow_preemption: bool
    ) -> bool:
        for preempt in (False, True) if allow_preemption else (False,):
            if self._choose_in_bound_cells(search, shape, preempt):
                return True
            if self._choose_in_new_binding(search, shape, preempt):
                return True
        return False

    def _choose_in_bound_cells(
        self, search: _Search, shape: CellShape, preempt: bool
    ) -> bool:
        best = None
        for bound_cell in self._bound_cells.get(search.workspace, ()):
            if (
                bound_cell.shape.size < shape.size
                or bound_cell.shape.per_worker < shape.per_worker
            ):
                continue
            found = self._find_cheapest_within(
                search, bound_cell.cell, shape.size, preempt
            )
            if found is not None and (best is None or found[0] < best[0]):
                best = (*found, bound_cell)
        if best is None:
            return False
        _, cell, bound_cell = best
        search.add_cell(bound_cell, cell, self._gangs_overlapping(cell))
        return True

    def _choose_in_new_binding(
        self, search: _Search, shape: CellShape, preempt: bool
    ) -> bool:
        for wanted in self._list_unbound_shapes(search.workspace, shape):
            found = self._find_cheapest_binding(search, wanted, shape, preempt)
            if found is not None:
                cell, inner = found
                bound_cell = self._bind(search.workspace, cell, wanted)
                search.add_cell(bound_cell, inner, self._gangs_overlapping(inner))
                return True
        return False

    def _find_cheapest_binding(
        self, search: _Search, wanted: CellShape, shape: CellShape, preempt: bool
    ) -> tuple[Cell, Cell] | None:
        """Return the cell to bind, and the gang's cell within it."""
        best = None
        # Binding a cell in any block of one shape leaves equal counts of free blocks.
        allowed: dict[CellShape, bool] = {}
        missing_before = self._count_missing().total()
        for cell, block in self._unbound.iter_cells(wanted):
            cheapest = self._find_cheapest_within(search, cell, shape.size, preempt)
            if cheapest is None:
                continue
            cost, inner = cheapest
            if best is not None and cost >= best[0]:
                continue
            if block not in allowed:
                missing = self._count_missing_after_binding(
                    search.workspace, wanted, cell
                )
                # Compared with the count before rather than with 0: a guarantee that
                # no longer fits because of lost workers must not block the others.
                allowed[block] = missing <= missing_before
            if allowed[block]:
                best = (cost, cell, inner)
                if cost == 0.0:
                    break
        return best[1:] if best else None

    def _find_cheapest_within(
        self, search: _Search, outer: Cell, size: Accelerators, preempt: bool
    ) -> tuple[float, Cell] | None:
        """Return the cell within `outer` that is cheapest to clear, with the cost."""
        offsets = range(outer.offset, outer.offset + outer.size, size)
        cells = (Cell(outer.tree, offset, size) for offset in offsets)
        return self._find_cheapest(search, cells, preempt)

    def _find_cheapest(
        self, search: _Search, cells: Iterable[Cell], preempt: bool
    ) -> tuple[float, Cell] | None:
        """Return the first cell that is cheapest to clear, with the cost."""
        best = None
        for cell in cells:
            cost = self._clearing_cost(search, cell, preempt)
            if cost is not None and (best is None or cost < best[0]):
                best = (cost, cell)
                if cost == 0.0:
                    break
        return best

    def _index_preemptible_blocks(
        self, can_preempt: Callable[[AttemptId], bool]
    ) -> BlockIndex:
        """Return an index of blocks that are free or used by preemptible gangs."""
        blocks = BlockIndex(self._trees)
        for index, masks in enumerate(self._gang_masks_by_tree):
            occupied = self._unavailable_masks[index] | self._excluded_masks[index]
            for name, mask in masks.items():
                if not self._gangs[name].borrowed or not can_preempt(name):
                    occupied |= mask
            blocks.set_occupied(index, occupied)
        return blocks

    def _count_accelerators(self, attempt: AttemptId) -> Accelerators:
        return sum(cell.size for cell in self._gangs[attempt].cells)

    def _list_unbound_shapes(
        self, workspace: WorkspaceName, shape: CellShape
    ) -> list[CellShape]:
        return sorted(
            guarantee.shape
            for guarantee in self._guarantees
            if guarantee.workspace == workspace
            and guarantee.shape.size >= shape.size
            and guarantee.shape.per_worker >= shape.per_worker
            and self._count_unbound(guarantee) > 0
        )

    def _clearing_cost(
        self, search: _Search, cell: Cell, preempt: bool
    ) -> float | None:
        """Return the cost of clearing a cell, or None if it can't be cleared."""
        unusable = self._unavailable_masks[cell.tree] | self._excluded_masks[cell.tree]
        if unusable & cell.mask or search.overlaps(cell):
            return None
        if not self._used_masks[cell.tree] & cell.mask:
            return 0.0
        gangs = self._gangs_overlapping(cell)
        if any(not self._gangs[name].borrowed for name in gangs):
            return None
        new = [name for name in gangs if name not in search.victims]
        if new and not preempt:
            return None
        return MIN_PREEMPTION_COST + sum(search.preemption_cost(name) for name in new)

    def _gangs_overlapping(self, cell: Cell) -> list[AttemptId]:
        wanted = cell.mask
        masks = self._gang_masks_by_tree[cell.tree]
        return [name for name, mask in masks.items() if mask & wanted]

    def _record_gang(self, gang: GangAllocation) -> GangAllocation:
        self._gangs[gang.attempt] = gang
        for cell in gang.cells:
            masks = self._gang_masks_by_tree[cell.tree]
            masks[gang.attempt] = masks.get(gang.attempt, 0) | cell.mask
            self._set_used(cell.tree, self._used_masks[cell.tree] | cell.mask)
        return gang

    def _set_used(self, index: int, mask: int) -> None:
        self._used_masks[index] = mask
        occupied = mask | self._unavailable_masks[index] | self._excluded_masks[index]
        self._free.set_occupied(index, occupied)

    def _set_bound(self, index: int, mask: int) -> None:
        self._bound_masks[index] = mask
        self._unbound.set_occupied(index, mask | self._unavailable_masks[index])

    def _refresh_indexes(self) -> None:
        for index in range(len(self._trees)):
            self._set_used(index, self._used_masks[index])
            self._set_bound(index, self._bound_masks[index])

    def _count_missing_after_binding(
        self, workspace: WorkspaceName, shape: CellShape, cell: Cell
    ) -> int:
        bound_cell = self._bind(workspace, cell, shape)
        missing = self._count_missing().total()
        self._unbind(workspace, bound_cell)
        return missing

    def _count_missing(self) -> Counter[CellShape]:
        return count_unplaced(
            self._count_unbound_shapes(), self._unbound.count_blocks()
        )

    def _bind(
        self, workspace: WorkspaceName, cell: Cell, shape: CellShape
    ) -> _BoundCell:
        bound_cell = _BoundCell(cell, shape)
        self._bound_cells.setdefault(workspace, []).append(bound_cell)
        self._set_bound(cell.tree, self._bound_masks[cell.tree] | cell.mask)
        return bound_cell

    def _unbind(self, workspace: WorkspaceName, bound_cell: _BoundCell) -> None:
        self._bound_cells[workspace].remove(bound_cell)
        index = bound_cell.cell.tree
        self._set_bound(index, self._bound_masks[index] & ~bound_cell.cell.mask)

    def _bind_enclosing(
        self, workspace: WorkspaceName, cell: Cell, shape: CellShape
    ) -> _BoundCell | None:
        tree = self._trees[cell.tree]
        for bound_cell in self._bound_cells.get(workspace, ()):
            same = bound_cell.cell.tree == cell.tree and bound_cell.shape == shape
            if same and bound_cell.cell.mask & cell.mask == cell.mask:
                return bound_cell
        is_guaranteed = any(
            guarantee.workspace == workspace
            and guarantee.shape == shape
            and self._count_unbound(guarantee) > 0
            for guarantee in self._guarantees
        )
        outer = Cell(cell.tree, cell.offset // shape.size * shape.size, shape.size)
        if (
            not is_guaranteed
            or shape.size > tree.size
            or shape.per_worker > tree.per_worker
        ):
            return None
        if self._bound_masks[cell.tree] & outer.mask:
            return None
        return self._bind(workspace, outer, shape)

    def _unbind_unused_cells(self) -> None:
        guaranteed: dict[int, int] = {}
        for gang in self._gangs.values():
            if not gang.borrowed:
                for cell in gang.cells:
                    guaranteed[cell.tree] = guaranteed.get(cell.tree, 0) | cell.mask
        for workspace, bound_cells in self._bound_cells.items():
            for bound_cell in list(bound_cells):
                if not guaranteed.get(bound_cell.cell.tree, 0) & bound_cell.cell.mask:
                    self._unbind(workspace, bound_cell)


def _join_masks(masks: Iterable[int]) -> int:
    joined = 0
    for mask in masks:
        joined |= mask
    return joined
