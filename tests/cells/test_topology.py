"""Buddy trees of workers with different numbers of accelerators."""

from __future__ import annotations

import pytest

from chiveledge.cells import WorkerSize, build_trees


def make_workers(*accelerators: int) -> list[WorkerSize]:
    return [
        WorkerSize(f"w{index:02d}", "rack", count, 32, 65536)
        for index, count in enumerate(accelerators)
    ]


@pytest.mark.parametrize(
    ("accelerators", "expected"),
    [
        ((8,) * 8, [(64, 8)]),
        ((8,) * 3, [(16, 8), (8, 8)]),
        ((6,), [(4, 4), (2, 2)]),
        ((0, 0), []),
        ((1,) * 5, [(4, 1), (1, 1)]),
        ((8, 8, 4, 4, 0, 1), [(16, 8), (8, 4), (1, 1)]),
    ],
)
def test_trees_contain_every_accelerator_once(accelerators, expected):
    trees = build_trees(make_workers(*accelerators))
    assert [(tree.size, tree.per_worker) for tree in trees] == expected
    assert sum(tree.size for tree in trees) == sum(accelerators)
