"""After every step the unused guarantees fit free plus reclaimable cells."""

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
def search(wanted, free):
    """Whether a backtracking search places all wanted cells.

    `free` holds, for each tree, its unit, its size and the positions taken.
    """
    if not wanted:
        return True
    (size, unit), rest = wanted[0], wanted[1:]
    for index, (tree_unit, tree_size, taken) in enumerate(free):
        if tree_unit < unit:
            continue
        for start in range(0, tree_size, size):
            cell = frozenset(range(start, start + size))
            if start + size > tree_size or cell & taken:
                continue
            after = (tree_unit, tree_size, taken | cell)
            if search(rest, (*free[:index], after, *free[index + 1 :])):
                return True
    return False


class Model:
    """An independent record of what the allocator was told."""

    def __init__(self, accelerators, promises, generator):
        self.workers = [
            WorkerSize(f"w{i}", "rack", count, 32, 65536)
            for i, count in enumerate(accelerators)
        ]
        self.trees = build_trees(self.workers)
        self.promises = promises
        self.cells = CellAllocator(self.trees, promises)
        self.lost = set()
        self.random = generator

    def unused_guarantees_fit(self):
        """Whether all unbound cells fit beside guaranteed gangs, by search."""
        bound = [list(gang.bound) for gang in self.cells.gangs.values()]
        places = self.bound_places()
        unbound = []
        for promise in self.promises:
            used = sum(
                1
                for workspace, tree, start, shape in places
                if (workspace, shape) == (promise.workspace, promise.shape)
                and not self.is_lost(tree, start, shape.size)
            )
            unbound += [promise.shape] * max(promise.count - used, 0)
        assert len(places) <= sum(len(shapes) for shapes in bound)
        taken = [set() for _ in self.trees]
        for _, tree, start, shape in places:
            taken[tree] |= set(range(start, start + shape.size))
        for index, tree in enumerate(self.trees):
            for position in range(tree.size):
                if tree.workers[position // tree.per_worker] in self.lost:
                    taken[index].add(position)
        free = tuple(
            (tree.per_worker, tree.size, frozenset(positions))
            for tree, positions in zip(self.trees, taken, strict=True)
        )
        return search(tuple(sorted(unbound, reverse=True)), free)

    def is_lost(self, tree, start, size):
        """Whether a place includes accelerators of a lost worker."""
        positions = range(start, start + size)
        workers, unit = self.trees[tree].workers, self.trees[tree].per_worker
        return any(workers[position // unit] in self.lost for position in positions)

    def bound_places(self):
        """Return the aligned places around all guaranteed gangs, each once."""
        return {
            (gang.workspace, cell.tree, cell.offset // s.size * s.size, s)
            for gang in self.cells.gangs.values()
            for cell, s in zip(gang.cells, gang.bound, strict=False)
        }

    def check_no_overlap(self):
        """No accelerator serves two gangs, but for victims that are being stopped."""
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

    def finish_any(self):
        if self.cells.gangs:
            self.cells.release(self.random.choice(sorted(self.cells.gangs)))

    def lose_or_heal(self):
        worker = self.random.choice(self.workers).name
        self.lost ^= {worker}
        self.cells.set_unavailable(self.lost)


def draw_promises(accelerators, generator):
    """Draw guarantees that fit the empty region."""
    trees = build_trees(
        [WorkerSize(f"w{i}", "rack", n, 32, 65536) for i, n in enumerate(accelerators)]
    )
    promises = []
    for _ in range(6):
        size = generator.choice([1, 2, 4, 8])
        promise = CellGuarantee(
            generator.choice(WORKSPACES),
            CellShape(size, min(size, generator.choice([1, 2, 4]))),
            generator.choice([1, 2]),
        )
        same = [p for p in promises if p[:2] == promise[:2]]
        if (
            not same
            and not CellAllocator(trees, [*promises, promise]).list_guarantees_at_risk()
        ):
            promises.append(promise)
    return promises


@pytest.mark.parametrize("accelerators", REGIONS, ids=str)
@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_after_every_step(accelerators, seed):
    generator = random.Random(seed)
    model = Model(accelerators, draw_promises(accelerators, generator), generator)
    for step in range(STEPS):
        fitted = model.unused_guarantees_fit()
        action = generator.choice(["place", "place", "place", "finish", "lose"])
        match action:
            case "place":
                model.place(f"g{step}")
            case "finish":
                model.finish_any()
            case "lose":
                model.lose_or_heal()
        model.check_no_overlap()
        fits = model.unused_guarantees_fit()
        if action != "lose" and fitted:
            assert fits, f"step {step}: {action} broke a guarantee"
        if not fits:
            assert model.cells.list_guarantees_at_risk(), (
                f"step {step}: a risk was not reported"
            )


@pytest.mark.parametrize("seed", SEEDS)
def test_guaranteed_shape_is_always_reclaimed(seed):
    """With borrowers everywhere, every unused guaranteed cell can be claimed."""
    generator = random.Random(seed)
    accelerators = generator.choice(REGIONS)
    promises = draw_promises(accelerators, generator)
    model = Model(accelerators, promises, generator)
    for number in range(40):
        size = generator.choice([1, 2, 4])
        shape = CellShape(size, min(size, 2))
        model.cells.place_borrowed(f"b{number}", "other", [shape])
    for promise in promises:
        for number in range(promise.count):
            name = f"{promise.workspace}-{promise.shape}-{number}"
            gang = model.cells.place_guaranteed(
                name, promise.workspace, [promise.shape], lambda _: 1.0
            )
            assert gang is not None, f"{name} could not be reclaimed"
            for victim in gang.victims:
                model.cells.release(victim)
            model.check_no_overlap()


def test_victims_lose_least_work():
    trees = build_trees([WorkerSize("w0", "rack", 8, 32, 65536)])
    cells = CellAllocator(trees, [CellGuarantee("cafes", CellShape(4, 4), 1)])
    for name in ("dear", "cheap"):
        assert cells.place_borrowed(name, "depots", [CellShape(4, 4)])
    loss = {"dear": 100.0, "cheap": 1.0}
    gang = cells.place_guaranteed("g", "cafes", [CellShape(4, 4)], loss.__getitem__)
    assert gang.victims == ("cheap",)
