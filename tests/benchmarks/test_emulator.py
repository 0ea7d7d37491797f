"""Tests of the fleet emulator: determinism, capacity limits and preemption."""

from __future__ import annotations

import pytest

from benchmarks.emulator import Emulator, Variant
from benchmarks.experiment import make_bursts, make_sites


@pytest.fixture
def site():
    small = make_sites()["pedal"]
    kinds = tuple(
        kind._replace(arrivals_per_s=kind.arrivals_per_s / 3) for kind in small.kinds
    )
    return small._replace(workers=8, kinds=kinds)


def emulate(site, variant: Variant, seed: int = 1):
    return Emulator(site, variant, make_bursts(site), seed).run()


def test_same_seed_gives_same_result(site):
    assert emulate(site, Variant("a")) == emulate(site, Variant("a"))
    assert emulate(site, Variant("a")) != emulate(site, Variant("a"), seed=2)


def test_no_worker_exceeds_its_capacity(site, monkeypatch):
    make_view = Emulator._make_worker_view

    def check(self, *arguments):
        worker = make_view(self, *arguments)
        assert min(worker.capacity.minus(worker.free)) >= 0
        assert sum(run.usage.accelerators for run in worker.runs) <= 8
        return worker

    monkeypatch.setattr(Emulator, "_make_worker_view", check)
    emulate(site, Variant("a", reserve_span_s=0.9))


def test_no_run_is_stopped_while_capacity_is_free(site):
    kinds = tuple(
        kind._replace(arrivals_per_s=kind.arrivals_per_s / 20) for kind in site.kinds
    )
    result = emulate(site._replace(kinds=kinds, workers=24), Variant("a"))
    assert result.stops == 0
    assert result.urgent_wait_s < 0.2
