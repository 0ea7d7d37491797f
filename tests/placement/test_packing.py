"""Tests of task placement, each with the load for which its rule exists."""

from __future__ import annotations

import pytest

from chiveledge.placement import make_plan, place_step
from chiveledge.workload import Usage
from tests.placement.fleets import make_demand, make_fleet, make_run, make_worker


def list_workers(fleet, demand) -> list[str]:
    return [placement.worker for placement in place_step(fleet, demand)]


def test_small_tasks_leave_empty_workers_for_large_ones():
    fleet = make_fleet(
        make_worker("w1"), make_worker("w2", runs=[make_run("a", "w2", 4)])
    )
    assert list_workers(fleet, make_demand(count=4)) == ["w2"] * 4
    assert list_workers(fleet, make_demand("big", accelerators=8)) == ["w1"]


@pytest.mark.parametrize(
    "usage,fitting",
    [
        (Usage(1000, 1000, 1), 8),
        (Usage(13000, 34000, 1), 1),
        (Usage(16000, 1000, 0), 2),
        (Usage(0, 0, 0), 20),
    ],
)
def test_scarcest_resource_limits_tasks_per_worker(usage, fitting):
    fleet = make_fleet(make_worker("w1"))
    assert len(list_workers(fleet, make_demand(count=20, usage=usage))) == fitting


def test_no_run_is_moved_to_a_worker_over_its_capacity():
    """Its free memory was below zero, and only what the task asks for was counted."""
    worker = make_worker("w1", runs=[make_run("a", "w1", usage=Usage(0, 65000, 0))])
    step = make_demand(usage=Usage(1000, 0, 1)).step
    assert not make_fleet(worker).has_full_speed_capacity("pool", step, 1)


def test_gang_is_placed_completely_or_not_at_all():
    fleet = make_fleet(make_worker("w1"), make_worker("w2", accepting=False))
    assert list_workers(fleet, make_demand(count=2, accelerators=8, gang=True)) == []
    assert (
        list_workers(fleet, make_demand(count=2, accelerators=4, gang=True))
        == ["w1"] * 2
    )


def test_same_rack_gang_is_placed_on_one_rack():
    fleet = make_fleet(
        make_worker("w1", "r1", [make_run("a", "w1", 6)]),
        make_worker("w2", "r1"),
        make_worker("w3", "r2"),
        make_worker("w4", "r2"),
    )
    demand = make_demand(count=2, accelerators=8, gang=True, same_rack=True)
    assert sorted(list_workers(fleet, demand)) == ["w3", "w4"]


def test_same_rack_gang_spreads_over_racks_after_timeout():
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    demand = make_demand(count=2, accelerators=8, gang=True, same_rack=True)
    assert list_workers(make_fleet(*workers), demand) == []
    late = demand._replace(waited_s=2.5)
    assert sorted(list_workers(make_fleet(*workers), late)) == ["w1", "w2"]


def test_tasks_run_off_their_data_rack_only_after_timeout():
    demand = make_demand(count=10, data_rack="r2")
    late = demand._replace(waited_s=2.5)
    for asked, elsewhere in ((demand, 0), (late, 2)):
        fleet = make_fleet(make_worker("w1", "r1"), make_worker("w2", "r2"))
        assert list_workers(fleet, asked).count("w1") == elsewhere


def test_required_label_and_max_per_worker_are_respected():
    fleet = make_fleet(make_worker("w1", "r1"), make_worker("w2", "r2"))
    assert set(list_workers(fleet, make_demand(count=3, required_label="r1"))) == {"w1"}
    spread = make_demand("s", count=5, max_per_worker=2)
    assert sorted(list_workers(fleet, spread)) == ["w1", "w1", "w2", "w2"]
    assert list_workers(fleet, spread) == []


@pytest.mark.parametrize(
    ("options", "limits"), [({"max_per_worker": 1}, {}), ({}, {"probing": True})]
)
def test_limits_of_a_worker_hold_for_tasks_spread_over_racks(options, limits):
    """Tasks that no single rack held were placed on each worker up to its limit twice:
    once as part of its rack and once as one of all workers."""
    fleet = make_fleet(
        make_worker("w1", "r1", **limits), make_worker("w2", "r2", **limits)
    )
    demand = make_demand(count=4, same_rack=True, waited_s=2.5, **options)
    assert sorted(list_workers(fleet, demand)) == ["w1", "w2"]


def test_probing_worker_gets_one_task():
    fleet = make_fleet(make_worker("w1", probing=True), make_worker("w2"))
    assert list_workers(fleet, make_demand(count=9)).count("w1") == 1


def test_probing_worker_is_probed_beside_its_earlier_runs():
    """With a task there that never ends, the worker was not used again."""
    lasting = make_run("old", "w1")
    fleet = make_fleet(make_worker("w1", runs=[lasting], probing=True))
    assert list_workers(fleet, make_demand("a", count=2)) == ["w1"]
    assert list_workers(fleet, make_demand("b")) == []
    probed = make_worker("w1", runs=[lasting], probing=True, probe_running=True)
    assert list_workers(make_fleet(probed), make_demand("a")) == []


def test_fillers_and_latency_bound_tasks_do_not_share_a_worker():
    fleet = make_fleet(make_worker("w1"))
    assert list_workers(fleet, make_demand("s", latency_target_ms=50)) == ["w1"]
    assert list_workers(fleet, make_demand("f", filler=True)) == []


def test_tasks_run_only_on_allowed_workers():
    fleet = make_fleet(make_worker("w1"), make_worker("w2"))
    demand = make_demand(count=2, allowed_workers=frozenset({"w2"}))
    assert list_workers(fleet, demand) == ["w2", "w2"]


def test_task_that_failed_before_avoids_suspected_workers():
    fleet = make_fleet(make_worker("w1", suspected=True))
    assert list_workers(fleet, make_demand(avoids_suspected=True)) == []
    assert list_workers(fleet, make_demand()) == ["w1"]


def test_task_that_failed_before_avoids_workers_that_failed_its_step():
    tried = make_demand(avoids_suspected=True, failed_on=frozenset({"w2"}))
    for demand, worker in (
        (tried, "w1"),
        (tried._replace(avoids_suspected=False), "w2"),
    ):
        fuller = make_worker("w2", runs=[make_run("a", "w2")])
        assert list_workers(make_fleet(make_worker("w1"), fuller), demand) == [worker]


def test_task_that_failed_before_prefers_trusted_workers():
    workers = [make_worker("w1"), make_worker("w2", trusted=True)]
    tried = make_demand(count=20, avoids_suspected=True)
    assert set(list_workers(make_fleet(*workers), tried)) == {"w2"}
    assert list_workers(
        make_fleet(make_worker("w1")), make_demand(avoids_suspected=True)
    ) == ["w1"]


def test_suspected_workers_are_filled_last():
    fleet = make_fleet(
        make_worker("w1", suspected=True, runs=[make_run("a", "w1", 7)]),
        make_worker("w2"),
    )
    assert list_workers(fleet, make_demand(count=2)) == ["w2", "w2"]


@pytest.fixture
def comparisons(monkeypatch) -> list[Usage]:
    """Return the usages compared with free capacity so far, in a growing list."""
    seen: list[Usage] = []
    compare = Usage.fits

    def fits(self, free):
        seen.append(self)
        return compare(self, free)

    monkeypatch.setattr(Usage, "fits", fits)
    return seen


def test_full_fleet_is_searched_once_per_usage(comparisons):
    fleet = make_fleet(
        *(
            make_worker(f"w{i}", runs=[make_run(f"a{i}", f"w{i}", 8)])
            for i in range(100)
        )
    )
    demands = [make_demand(f"j{i}", accelerators=1 + i % 3) for i in range(300)]
    assert make_plan(fleet, demands).starts == []
    assert len(comparisons) <= 3 * len(fleet.workers) + 3 * len(demands)


def test_burst_of_urgent_jobs_computes_stop_cost_of_a_worker_once(comparisons):
    fleet = make_fleet(
        *(
            make_worker(f"w{i}", runs=[make_run(f"a{i}", f"w{i}", 8)])
            for i in range(100)
        )
    )
    demands = [
        make_demand(f"u{i}", priority=0, accelerators=8, due_s=float(i))
        for i in range(20)
    ]
    assert len(make_plan(fleet, demands).deferred_starts) == 20
    # Usages are compared twice to find the stop cost and once to choose the worker.
    assert len(comparisons) <= 10 * (len(fleet.workers) + len(demands))
