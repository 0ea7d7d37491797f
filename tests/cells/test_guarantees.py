"""Unused guarantees always fit into cells that are free or can be reclaimed."""

from __future__ import annotations

import random
from functools import cache

import pytest

from chiveledge.cells import (
    CellAllocator,
    CellGuarantee,
    CellShape,
    WorkerSize,
    build_trees,
)

SEEDS = range(60)
STEPS = 60
REGIONS = [(8, 8), (4, 4, 4), (8, 4, 2), (6, 8), (2, 2, 2, 2)]
WORKSPACES = ("cafes", "depots", "pressing")


@cache
def can_place(wanted, free):
    """Whether an exhaustive search places all wanted cells.

    `free` has the accelerators per worker, the size and the occupied positions of
    each tree.
    """
    if not wanted:
        return True
    (size, per_worker), rest = wanted[0], wanted[1:]
    for index, (tree_per_worker, tree_size, occupied) in enumerate(free):
        if tree_per_worker < per_worker:
            continue
        for start in range(0, tree_size, size):
            cell = frozenset(range(start, start + size))
            if start + size > tree_size or cell & occupied:
                continue
            after = (tree_per_worker, tree_size, occupied | cell)
            if can_place(rest, (*free[:index], after, *free[index + 1 :])):
                return True
    return False


class Model:
    """An allocator under random operations, and an independent check of it."""

    def __init__(self, accelerators, guarantees, generator):
        self.workers = [
            WorkerSize(f"w{i}", "rack", count, 32, 65536)
            for i, count in enumerate(accelerators)
        ]
        self.trees = build_trees(self.workers)
        self.guarantees = guarantees
        self.cells = CellAllocator(self.trees, guarantees)
        self.lost = set()
        self.random = generator

    def unused_guarantees_fit(self):
        """Whether all unbound cells fit beside the bound ones, by exhaustive search."""
        bound = [list(gang.bound) for gang in self.cells.gangs.values()]
        bound_cells = self.find_bound_cells()
        unbound = []
        for guarantee in self.guarantees:
            used = sum(
                1
                for workspace, tree, start, shape in bound_cells
                if (workspace, shape) == (guarantee.workspace, guarantee.shape)
                and not self.is_lost(tree, start, shape.size)
            )
            unbound += [guarantee.shape] * max(guarantee.count - used, 0)
        assert len(bound_cells) <= sum(len(shapes) for shapes in bound)
        occupied = [set() for _ in self.trees]
        for _, tree, start, shape in bound_cells:
            occupied[tree] |= set(range(start, start + shape.size))
        for index, tree in enumerate(self.trees):
            for position in range(tree.size):
                if tree.workers[position // tree.per_worker] in self.lost:
                    occupied[index].add(position)
        free = tuple(
            (tree.per_worker, tree.size, frozenset(positions))
            for tree, positions in zip(self.trees, occupied, strict=True)
        )
        return can_place(tuple(sorted(unbound, reverse=True)), free)

    def is_lost(self, tree, start, size):
        """Whether a cell includes accelerators of a lost worker."""
        positions = range(start, start + size)
        workers, per_worker = self.trees[tree].workers, self.trees[tree].per_worker
        return any(
            workers[position // per_worker] in self.lost for position in positions
        )

    def find_bound_cells(self):
        """Return the guaranteed cells that enclose guaranteed gangs, each once."""
        return {
            (gang.workspace, cell.tree, cell.offset // s.size * s.size, s)
            for gang in self.cells.gangs.values()
            for cell, s in zip(gang.cells, gang.bound, strict=False)
        }

    def check_no_overlap(self):
        """Check that no accelerator is allocated twice, except to victims."""
        victims = {v for gang in self.cells.gangs.values() for v in gang.victims}
        used = set()
        for name, gang in self.cells.gangs.items():
            if name in victims:
                continue
            for cell in gang.cells:
                positions = {(cell.tree, cell.offset + i) for i in range(cell.size)}
                assert not positions & used
                used |= positions

    def place(self, name):
        workspace = self.random.choice(WORKSPACES)
        size = self.random.choice([1, 1, 2, 4, 8])
        shapes = [CellShape(size, min(size, 4))] * self.random.choice([1, 1, 2])
        gang = self.cells.place_guaranteed(name, workspace, shapes, lambda _: 1.0)
        if gang is None:
            gang = self.cells.place_borrowed(name, workspace, shapes)
        if gang is not None:
            for victim in gang.victims:
                assert self.cells.gangs[victim].borrowed
                self.cells.release(victim)
        return gang

    def release_any(self):
        if self.cells.gangs:
            self.cells.release(self.random.choice(sorted(self.cells.gangs)))

    def lose_or_recover_worker(self):
        worker = self.random.choice(self.workers).name
        self.lost ^= {worker}
        self.cells.set_unavailable(self.lost)


def draw_guarantees(accelerators, generator):
    """Draw random guarantees that fit into the empty region."""
    trees = build_trees(
        [WorkerSize(f"w{i}", "rack", n, 32, 65536) for i, n in enumerate(accelerators)]
    )
    guarantees = []
    for _ in range(6):
        size = generator.choice([1, 2, 4, 8])
        guarantee = CellGuarantee(
            generator.choice(WORKSPACES),
            CellShape(size, min(size, generator.choice([1, 2, 4]))),
            generator.choice([1, 2]),
        )
        same = [p for p in guarantees if p[:2] == guarantee[:2]]
        if (
            not same
            and not CellAllocator(
                trees, [*guarantees, guarantee]
            ).list_guarantees_at_risk()
        ):
            guarantees.append(guarantee)
    return guarantees


@pytest.mark.parametrize("accelerators", REGIONS, ids=str)
@pytest.mark.parametrize("seed", SEEDS)
def test_unused_guarantees_fit_after_every_step(accelerators, seed):
    generator = random.Random(seed)
    model = Model(accelerators, draw_guarantees(accelerators, generator), generator)
    for step in range(STEPS):
        fitted = model.unused_guarantees_fit()
        action = generator.choice(["place", "place", "place", "finish", "lose"])
        match action:
            case "place":
                model.place(f"g{step}")
            case "finish":
                model.release_any()
            case "lose":
                model.lose_or_recover_worker()
        model.check_no_overlap()
        fits = model.unused_guarantees_fit()
        if action != "lose" and fitted:
            assert fits, f"step {step}: {action} broke a guarantee"
        if not fits:
            assert model.cells.list_guarantees_at_risk(), (
                f"step {step}: guarantee at risk not reported"
            )


@pytest.mark.parametrize("seed", SEEDS)
def test_unused_guarantees_are_reclaimed_from_borrowers(seed):
    generator = random.Random(seed)
    accelerators = generator.choice(REGIONS)
    guarantees = draw_guarantees(accelerators, generator)
    model = Model(accelerators, guarantees, generator)
    for number in range(40):
        size = generator.choice([1, 2, 4])
        shape = CellShape(size, min(size, 2))
        model.cells.place_borrowed(f"b{number}", "other", [shape])
    for guarantee in guarantees:
        for number in range(guarantee.count):
            name = f"{guarantee.workspace}-{guarantee.shape}-{number}"
            gang = model.cells.place_guaranteed(
                name, guarantee.workspace, [guarantee.shape], lambda _: 1.0
            )
            assert gang is not None, f"{name} could not be reclaimed"
            for victim in gang.victims:
                model.cells.release(victim)
            model.check_no_overlap()


def test_victims_with_least_lost_work_are_chosen():
    trees = build_trees([WorkerSize("w0", "rack", 8, 32, 65536)])
    cells = CellAllocator(trees, [CellGuarantee("cafes", CellShape(4, 4), 1)])
    for name in ("dear", "cheap"):
        assert cells.place_borrowed(name, "depots", [CellShape(4, 4)])
    cost = {"dear": 100.0, "cheap": 1.0}
    gang = cells.place_guaranteed("g", "cafes", [CellShape(4, 4)], cost.__getitem__)
    assert gang.victims == ("cheap",)
