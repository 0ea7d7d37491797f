"""Allocates cells so that unused guarantees always still fit.

A workspace's guarantee is a number of equal cells. The first gang that uses a
guaranteed cell binds a place for the whole of it; the place is released with its
last gang. Gangs outside of a guarantee are borrowers: they may run anywhere, since
a claim on a guarantee can always stop them. So the one thing to preserve is that
the cells not bound yet fit into the places that are not bound: `at_risk` is empty.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from chiveledge.cells._block_index import BlockIndex
from chiveledge.cells._packing import Block, CellShape, fits, free_blocks
from chiveledge.cells._topology import Cell, Tree
from chiveledge.types import Accelerators, AttemptId, WorkerName, WorkspaceName

WorkLoss = Callable[[AttemptId], float]
"""Returns the work of a gang, in accelerator seconds."""

MOST_DISPLACED = 2
"""Accelerators that a gang may displace, in multiples of its own."""

LEAST_STOP_COST = 1e-9
"""Makes stopping a gang without lost work dearer than stopping none."""


class Promise(NamedTuple):
    """Equal cells that a workspace is guaranteed in this region."""

    workspace: WorkspaceName
    shape: CellShape
    count: int


class GangCells(NamedTuple):
    """The cells of one gang.

    Attributes
    ----------
    attempt : str
        Attempt that uses them.
    workspace : str
        Its owner.
    cells : tuple of Cell
        One cell for an adjacent gang, else one for each member.
    bound : tuple of CellShape
        For each cell, the guaranteed cell that it is part of; empty for a borrower.
    victims : tuple of str
        Borrowers that must be stopped before the cells are free.
    """

    attempt: AttemptId
    workspace: WorkspaceName
    cells: tuple[Cell, ...]
    bound: tuple[CellShape, ...] = ()
    victims: tuple[AttemptId, ...] = ()

    @property
    def borrowed(self) -> bool:
        """Whether a claim on a guarantee may stop this gang."""
        return not self.bound


class GuaranteeRisk(NamedTuple):
    """Guaranteed cells that do not fit the healthy workers any more."""

    workspace: WorkspaceName
    shape: CellShape
    missing: int


class GuaranteeUse(NamedTuple):
    """How much of a guarantee is promised and bound, and what is borrowed."""

    workspace: WorkspaceName
    promised: Accelerators
    bound: Accelerators
    borrowed: Accelerators


class _Place(NamedTuple):
    """A place bound to one guaranteed cell."""

    cell: Cell
    shape: CellShape


class _Search(NamedTuple):
    """Cells and victims chosen so far for one gang."""

    workspace: WorkspaceName
    loss: WorkLoss
    cells: list[Cell]
    bound: list[CellShape]
    victims: dict[AttemptId, None]

    def overlaps(self, cell: Cell) -> bool:
        """Whether a cell is chosen already."""
        return any(c.tree == cell.tree and c.mask & cell.mask for c in self.cells)

    def choose(self, place: _Place, cell: Cell, victims: list[AttemptId]) -> None:
        """Add a cell."""
        self.cells.append(cell)
        self.bound.append(place.shape)
        self.victims.update(dict.fromkeys(victims))


class CellAllocator:
    """Cells of one region.

    Parameters
    ----------
    trees : sequence of Tree
        From `build_trees`.
    promises : sequence of Promise
        Guarantees of all workspaces in the region.
    """

    def __init__(self, trees: Sequence[Tree], promises: Sequence[Promise]) -> None:
        self._trees = tuple(trees)
        self._promises = tuple(promises)
        self._dead = [0] * len(trees)
        self._used = [0] * len(trees)
        self._avoided = [0] * len(trees)
        self._bound = [0] * len(trees)
        self._places: dict[WorkspaceName, list[_Place]] = {}
        self._gangs: dict[AttemptId, GangCells] = {}
        self._gangs_of_tree: list[dict[AttemptId, int]] = [{} for _ in trees]
        self._free = BlockIndex(trees)
        self._unbound = BlockIndex(trees)

    @property
    def trees(self) -> tuple[Tree, ...]:
        """The region's trees."""
        return self._trees

    @property
    def gangs(self) -> Mapping[AttemptId, GangCells]:
        """All gangs that hold cells."""
        return self._gangs

    def at_risk(self) -> list[GuaranteeRisk]:
        """Return the guaranteed cells that do not fit now."""
        missing = self._missing_now()
        risks = []
        for promise in self._promises:
            short = min(missing[promise.shape], self._unbound_count(promise))
            if short:
                missing[promise.shape] -= short
                risks.append(GuaranteeRisk(promise.workspace, promise.shape, short))
        return risks

    def use(self) -> list[GuaranteeUse]:
        """Return promised, bound and borrowed accelerators of each workspace."""
        names = sorted(
            {promise.workspace for promise in self._promises}
            | {gang.workspace for gang in self._gangs.values()}
        )
        return [self._use_of(name) for name in names]

    def set_dead(self, workers: Iterable[WorkerName]) -> None:
        """Say which workers are lost; all others are healthy."""
        self._dead = self._masks_of(workers)
        self._refresh_all()

    def set_avoided(self, workers: Iterable[WorkerName]) -> None:
        """Say which healthy workers the gangs placed next must not use."""
        avoided = self._masks_of(workers)
        if avoided != self._avoided:
            self._avoided = avoided
            self._refresh_all()

    def place_guaranteed(
        self,
        attempt: AttemptId,
        workspace: WorkspaceName,
        shapes: Sequence[CellShape],
        loss: WorkLoss,
        *,
        may_stop: bool = True,
    ) -> GangCells | None:
        """Place a gang within its workspace's guarantee.

        Parameters
        ----------
        attempt, workspace : str
            The gang and its owner.
        shapes : sequence of CellShape
            Wanted cells.
        loss : callable
            Work that is lost by stopping a borrower, in accelerator seconds.
        may_stop : bool, optional
            Whether borrowers may be stopped for the gang.

        Returns
        -------
        GangCells or None
            The cells, with the borrowers to stop first; None where the guarantee
            does not cover the gang. The cells are taken at once.
        """
        wanted = sum(shape.size for shape in shapes)
        if wanted > self._promised(workspace):
            return None
        search = _Search(workspace, loss, [], [], {})
        for shape in sorted(shapes, reverse=True):
            if not self._choose_guaranteed(search, shape, may_stop):
                self._release_empty_places()
                return None
        return self._add(
            GangCells(
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
    ) -> GangCells | None:
        """Place a gang in free cells; return None where there are too few."""
        if fits(Counter(shapes), self._free.counts()):
            return None
        cells = []
        for shape in sorted(shapes, reverse=True):
            cell = self._free.find_first(shape)
            if cell is None:
                raise AssertionError(f"no cell for {shape}, though it fits")
            self._set_used(cell.tree, self._used[cell.tree] | cell.mask)
            cells.append(cell)
        return self._add(GangCells(attempt, workspace, tuple(cells)))

    def place_displacing(
        self,
        attempt: AttemptId,
        workspace: WorkspaceName,
        shapes: Sequence[CellShape],
        may_displace: Callable[[AttemptId], bool],
    ) -> GangCells | None:
        """Place a borrower where other borrowers run that may be displaced.

        The fewest accelerators are displaced, and at most `MOST_DISPLACED` times
        those of the new gang.

        Parameters
        ----------
        may_displace : callable
            Whether a running borrower may be stopped for this gang.
        """
        open_space = self._displaceable_space(may_displace)
        if fits(Counter(shapes), open_space.counts()):
            return None
        search = _Search(workspace, self._size_of, [], [], {})
        for shape in sorted(shapes, reverse=True):
            open_cells = (cell for cell, _ in open_space.list_cells(shape))
            found = self._cheapest_of(search, open_cells, allow_stops=True)
            if found is None:
                return None
            _, cell = found
            search.cells.append(cell)
            search.victims.update(dict.fromkeys(self._gangs_in(cell)))
        wanted = sum(shape.size for shape in shapes)
        if sum(map(self._size_of, search.victims)) > MOST_DISPLACED * wanted:
            return None
        cells, victims = tuple(search.cells), tuple(search.victims)
        return self._add(GangCells(attempt, workspace, cells, (), victims))

    def adopt(
        self,
        attempt: AttemptId,
        workspace: WorkspaceName,
        cells: Sequence[Cell],
        bound: Sequence[CellShape],
    ) -> GangCells:
        """Take in a running gang, as a borrower where its guarantee is gone."""
        kept = []
        for cell, shape in zip(cells, bound, strict=False):
            place = self._bind_around(workspace, cell, shape)
            if place is None:
                break
            kept.append(place.shape)
        if len(kept) < len(cells):
            kept = []
        gang = self._add(GangCells(attempt, workspace, tuple(cells), tuple(kept)))
        self._release_empty_places()
        return gang

    def release(self, attempt: AttemptId) -> None:
        """Free the cells of a gang."""
        gang = self._gangs.pop(attempt, None)
        if gang is None:
            return
        for index in {cell.tree for cell in gang.cells}:
            masks = self._gangs_of_tree[index]
            del masks[attempt]
            self._set_used(index, _join_masks(masks.values()))
        if not gang.borrowed:
            self._release_empty_places()

    def fragmentation(self, shape: CellShape) -> float:
        """Return the share of free accelerators that can't serve `shape`."""
        free = usable = 0
        for index, tree in enumerate(self._trees):
            for block in self._free_blocks(index, tree):
                free += block.size
                if block.size >= shape.size and tree.unit >= shape.unit:
                    usable += block.size // shape.size * shape.size
        return 0.0 if not free else 1.0 - usable / free

    def free_accelerators(self) -> Accelerators:
        """Return the number of accelerators that are free and healthy."""
        return sum(
            block.size
            for index, tree in enumerate(self._trees)
            for block in self._free_blocks(index, tree)
        )

    def can_ever_fit(self, shapes: Sequence[CellShape]) -> bool:
        """Whether an empty region with all workers healthy holds these cells."""
        return not fits(Counter(shapes), BlockIndex(self._trees).counts())

    def _masks_of(self, workers: Iterable[WorkerName]) -> list[int]:
        named = set(workers)
        masks = [0] * len(self._trees)
        for index, tree in enumerate(self._trees):
            for position, worker in enumerate(tree.workers):
                if worker in named:
                    masks[index] |= ((1 << tree.unit) - 1) << (position * tree.unit)
        return masks

    def _free_blocks(self, index: int, tree: Tree) -> tuple[Block, ...]:
        return free_blocks(self._used[index] | self._dead[index], tree.size)

    def _use_of(self, workspace: WorkspaceName) -> GuaranteeUse:
        gangs = [g for g in self._gangs.values() if g.workspace == workspace]
        return GuaranteeUse(
            workspace,
            self._promised(workspace),
            sum(place.cell.size for place in self._places.get(workspace, ())),
            sum(c.size for gang in gangs if gang.borrowed for c in gang.cells),
        )

    def _unbound_count(self, promise: Promise) -> int:
        places = self._places.get(promise.workspace, ())
        bound = sum(
            1
            for place in places
            if place.shape == promise.shape and self._is_healthy(place)
        )
        return max(promise.count - bound, 0)

    def _is_healthy(self, place: _Place) -> bool:
        """Whether no worker of a place is lost; else it serves no guarantee."""
        return not self._dead[place.cell.tree] & place.cell.mask

    def _unbound_shapes(self) -> Counter[CellShape]:
        shapes: Counter[CellShape] = Counter()
        for promise in self._promises:
            shapes[promise.shape] += self._unbound_count(promise)
        return shapes

    def _promised(self, workspace: WorkspaceName) -> Accelerators:
        return sum(
            promise.shape.size * promise.count
            for promise in self._promises
            if promise.workspace == workspace
        )

    def _choose_guaranteed(
        self, search: _Search, shape: CellShape, may_stop: bool
    ) -> bool:
        for allow_stops in (False, True) if may_stop else (False,):
            if self._choose_in_places(search, shape, allow_stops):
                return True
            if self._choose_new_place(search, shape, allow_stops):
                return True
        return False

    def _choose_in_places(
        self, search: _Search, shape: CellShape, allow_stops: bool
    ) -> bool:
        best = None
        for place in self._places.get(search.workspace, ()):
            if place.shape.size < shape.size or place.shape.unit < shape.unit:
                continue
            found = self._cheapest_within(search, place.cell, shape.size, allow_stops)
            if found is not None and (best is None or found[0] < best[0]):
                best = (*found, place)
        if best is None:
            return False
        _, cell, place = best
        search.choose(place, cell, self._gangs_in(cell))
        return True

    def _choose_new_place(
        self, search: _Search, shape: CellShape, allow_stops: bool
    ) -> bool:
        for wanted in self._spare_shapes(search.workspace, shape):
            found = self._cheapest_place(search, wanted, shape, allow_stops)
            if found is not None:
                cell, inner = found
                place = self._bind(search.workspace, cell, wanted)
                search.choose(place, inner, self._gangs_in(inner))
                return True
        return False

    def _cheapest_place(
        self, search: _Search, wanted: CellShape, shape: CellShape, allow_stops: bool
    ) -> tuple[Cell, Cell] | None:
        """Return the place to bind, and the cell of the gang within it."""
        best = None
        # All places in blocks of one size and unit leave the same free cells.
        allowed: dict[CellShape, bool] = {}
        missing_before = self._missing_now().total()
        for cell, block in self._unbound.list_cells(wanted):
            cheapest = self._cheapest_within(search, cell, shape.size, allow_stops)
            if cheapest is None:
                continue
            cost, inner = cheapest
            if best is not None and cost >= best[0]:
                continue
            if block not in allowed:
                missing = self._missing_with(search.workspace, wanted, cell)
                # A guarantee that lost hardware broke must not block the others.
                allowed[block] = missing <= missing_before
            if allowed[block]:
                best = (cost, cell, inner)
                if cost == 0.0:
                    break
        return best[1:] if best else None

    def _cheapest_within(
        self, search: _Search, place: Cell, size: Accelerators, allow_stops: bool
    ) -> tuple[float, Cell] | None:
        """Return the cell of a place that loses least work when it is cleared."""
        offsets = range(place.offset, place.offset + place.size, size)
        cells = (Cell(place.tree, offset, size) for offset in offsets)
        return self._cheapest_of(search, cells, allow_stops)

    def _cheapest_of(
        self, search: _Search, cells: Iterable[Cell], allow_stops: bool
    ) -> tuple[float, Cell] | None:
        """Return the first of the cells that cost least to clear, with the cost."""
        best = None
        for cell in cells:
            cost = self._stop_cost(search, cell, allow_stops)
            if cost is not None and (best is None or cost < best[0]):
                best = (cost, cell)
                if cost == 0.0:
                    break
        return best

    def _displaceable_space(
        self, may_displace: Callable[[AttemptId], bool]
    ) -> BlockIndex:
        """Return the cells that are free, or would be without displaceable gangs."""
        space = BlockIndex(self._trees)
        for index, masks in enumerate(self._gangs_of_tree):
            closed = self._dead[index] | self._avoided[index]
            for name, mask in masks.items():
                if not self._gangs[name].borrowed or not may_displace(name):
                    closed |= mask
            space.set_taken(index, closed)
        return space

    def _size_of(self, attempt: AttemptId) -> Accelerators:
        return sum(cell.size for cell in self._gangs[attempt].cells)

    def _spare_shapes(
        self, workspace: WorkspaceName, shape: CellShape
    ) -> list[CellShape]:
        return sorted(
            promise.shape
            for promise in self._promises
            if promise.workspace == workspace
            and promise.shape.size >= shape.size
            and promise.shape.unit >= shape.unit
            and self._unbound_count(promise) > 0
        )

    def _stop_cost(
        self, search: _Search, cell: Cell, allow_stops: bool
    ) -> float | None:
        """Return the work lost by clearing a cell, or None where that can't be."""
        closed = self._dead[cell.tree] | self._avoided[cell.tree]
        if closed & cell.mask or search.overlaps(cell):
            return None
        if not self._used[cell.tree] & cell.mask:
            return 0.0
        gangs = self._gangs_in(cell)
        if any(not self._gangs[name].borrowed for name in gangs):
            return None
        new = [name for name in gangs if name not in search.victims]
        if new and not allow_stops:
            return None
        return LEAST_STOP_COST + sum(search.loss(name) for name in new)

    def _gangs_in(self, cell: Cell) -> list[AttemptId]:
        wanted = cell.mask
        masks = self._gangs_of_tree[cell.tree]
        return [name for name, mask in masks.items() if mask & wanted]

    def _add(self, gang: GangCells) -> GangCells:
        self._gangs[gang.attempt] = gang
        for cell in gang.cells:
            masks = self._gangs_of_tree[cell.tree]
            masks[gang.attempt] = masks.get(gang.attempt, 0) | cell.mask
            self._set_used(cell.tree, self._used[cell.tree] | cell.mask)
        return gang

    def _set_used(self, index: int, mask: int) -> None:
        self._used[index] = mask
        taken = mask | self._dead[index] | self._avoided[index]
        self._free.set_taken(index, taken)

    def _set_bound(self, index: int, mask: int) -> None:
        self._bound[index] = mask
        self._unbound.set_taken(index, mask | self._dead[index])

    def _refresh_all(self) -> None:
        for index in range(len(self._trees)):
            self._set_used(index, self._used[index])
            self._set_bound(index, self._bound[index])

    def _missing_with(
        self, workspace: WorkspaceName, shape: CellShape, cell: Cell
    ) -> int:
        place = self._bind(workspace, cell, shape)
        missing = self._missing_now().total()
        self._unbind(workspace, place)
        return missing

    def _missing_now(self) -> Counter[CellShape]:
        return fits(self._unbound_shapes(), self._unbound.counts())

    def _bind(self, workspace: WorkspaceName, cell: Cell, shape: CellShape) -> _Place:
        place = _Place(cell, shape)
        self._places.setdefault(workspace, []).append(place)
        self._set_bound(cell.tree, self._bound[cell.tree] | cell.mask)
        return place

    def _unbind(self, workspace: WorkspaceName, place: _Place) -> None:
        self._places[workspace].remove(place)
        index = place.cell.tree
        self._set_bound(index, self._bound[index] & ~place.cell.mask)

    def _bind_around(
        self, workspace: WorkspaceName, cell: Cell, shape: CellShape
    ) -> _Place | None:
        tree = self._trees[cell.tree]
        for place in self._places.get(workspace, ()):
            same = place.cell.tree == cell.tree and place.shape == shape
            if same and place.cell.mask & cell.mask == cell.mask:
                return place
        promised = any(
            promise.workspace == workspace
            and promise.shape == shape
            and self._unbound_count(promise) > 0
            for promise in self._promises
        )
        outer = Cell(cell.tree, cell.offset // shape.size * shape.size, shape.size)
        if not promised or shape.size > tree.size or shape.unit > tree.unit:
            return None
        if self._bound[cell.tree] & outer.mask:
            return None
        return self._bind(workspace, outer, shape)

    def _release_empty_places(self) -> None:
        guaranteed: dict[int, int] = {}
        for gang in self._gangs.values():
            if not gang.borrowed:
                for cell in gang.cells:
                    guaranteed[cell.tree] = guaranteed.get(cell.tree, 0) | cell.mask
        for workspace, places in self._places.items():
            for place in list(places):
                if not guaranteed.get(place.cell.tree, 0) & place.cell.mask:
                    self._unbind(workspace, place)


def _join_masks(masks: Iterable[int]) -> int:
    joined = 0
    for mask in masks:
        joined |= mask
    return joined
