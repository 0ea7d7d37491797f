"""The emulator repeats, keeps to capacities and shows what a rule changes."""

from __future__ import annotations

import pytest

from benchmarks.emulator import Emulator, Rules
from benchmarks.experiment import make_bursts, make_sites


@pytest.fixture
def site():
    small = make_sites()["pedal"]
    kinds = tuple(kind._replace(per_s=kind.per_s / 3) for kind in small.kinds)
    return small._replace(workers=8, kinds=kinds)


def play(site, rules: Rules, seed: int = 1):
    return Emulator(site, rules, make_bursts(site), seed).run()


def test_a_seed_repeats(site):
    assert play(site, Rules("a")) == play(site, Rules("a"))
    assert play(site, Rules("a")) != play(site, Rules("a"), seed=2)


def test_no_worker_is_filled_beyond_its_capacity(site, monkeypatch):
    view = Emulator._view_worker

    def check(self, *arguments):
        worker = view(self, *arguments)
        assert min(worker.capacity.minus(worker.free)) >= 0
        assert sum(run.usage.accelerators for run in worker.runs) <= 8
        return worker

    monkeypatch.setattr(Emulator, "_view_worker", check)
    play(site, Rules("a", kept_span_s=0.9))


def test_enough_room_needs_no_stops(site):
    kinds = tuple(kind._replace(per_s=kind.per_s / 20) for kind in site.kinds)
    outcome = play(site._replace(kinds=kinds, workers=24), Rules("a"))
    assert outcome.stops == 0
    assert outcome.urgent_wait_s < 0.2
