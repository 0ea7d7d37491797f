"""Where tasks go: each test replays the load that its rule answers."""

from __future__ import annotations

import pytest

from chiveledge.placement import make_plan, place_step
from chiveledge.workload import Usage
from tests.placement.fleets import make_demand, make_fleet, make_run, make_worker


def places(fleet, demand) -> list[str]:
    return [placement.worker for placement in place_step(fleet, demand)]


def test_small_tasks_leave_whole_workers_to_large_ones():
    fleet = make_fleet(
        make_worker("w1"), make_worker("w2", runs=[make_run("a", "w2", 4)])
    )
    assert places(fleet, make_demand(count=4)) == ["w2"] * 4
    assert places(fleet, make_demand("big", accelerators=8)) == ["w1"]


@pytest.mark.parametrize(
    "usage,fitting",
    [
        (Usage(1000, 1000, 1), 8),
        (Usage(13000, 34000, 1), 1),
        (Usage(16000, 1000, 0), 2),
        (Usage(0, 0, 0), 20),
    ],
)
def test_scarcest_resource_bounds_a_worker(usage, fitting):
    fleet = make_fleet(make_worker("w1"))
    assert len(places(fleet, make_demand(count=20, usage=usage))) == fitting


def test_gang_is_placed_whole_or_not():
    fleet = make_fleet(make_worker("w1"), make_worker("w2", accepting=False))
    assert places(fleet, make_demand(count=2, accelerators=8, gang=True)) == []
    assert places(fleet, make_demand(count=2, accelerators=4, gang=True)) == ["w1"] * 2


def test_gang_that_talks_goes_to_one_rack():
    fleet = make_fleet(
        make_worker("w1", "r1", [make_run("a", "w1", 6)]),
        make_worker("w2", "r1"),
        make_worker("w3", "r2"),
        make_worker("w4", "r2"),
    )
    demand = make_demand(count=2, accelerators=8, gang=True, same_rack=True)
    assert sorted(places(fleet, demand)) == ["w3", "w4"]


def test_gang_waits_a_little_for_a_rack_then_takes_any_room():
    workers = [make_worker("w1", "r1"), make_worker("w2", "r2")]
    demand = make_demand(count=2, accelerators=8, gang=True, same_rack=True)
    assert places(make_fleet(*workers), demand) == []
    late = demand._replace(waited_s=2.5)
    assert sorted(places(make_fleet(*workers), late)) == ["w1", "w2"]


def test_tasks_go_to_their_data_then_anywhere():
    demand = make_demand(count=10, data_rack="r2")
    late = demand._replace(waited_s=2.5)
    for asked, elsewhere in ((demand, 0), (late, 2)):
        fleet = make_fleet(make_worker("w1", "r1"), make_worker("w2", "r2"))
        assert places(fleet, asked).count("w1") == elsewhere


def test_label_bound_and_spread_are_kept():
    fleet = make_fleet(make_worker("w1", "r1"), make_worker("w2", "r2"))
    assert set(places(fleet, make_demand(count=3, required_label="r1"))) == {"w1"}
    spread = make_demand("s", count=5, max_per_worker=2)
    assert sorted(places(fleet, spread)) == ["w1", "w1", "w2", "w2"]
    assert places(fleet, spread) == []


def test_suspected_worker_gets_one_task_as_a_probe():
    fleet = make_fleet(make_worker("w1", probing=True), make_worker("w2"))
    assert places(fleet, make_demand(count=9)).count("w1") == 1


def test_fillers_and_servers_keep_apart():
    fleet = make_fleet(make_worker("w1"))
    assert places(fleet, make_demand("s", latency_target_ms=50)) == ["w1"]
    assert places(fleet, make_demand("f", filler=True)) == []


def test_advice_bounds_the_workers():
    fleet = make_fleet(make_worker("w1"), make_worker("w2"))
    demand = make_demand(count=2, allowed=frozenset({"w2"}))
    assert places(fleet, demand) == ["w2", "w2"]


def test_task_that_failed_before_avoids_workers_in_doubt():
    fleet = make_fleet(make_worker("w1", doubted=True))
    assert places(fleet, make_demand(careful=True)) == []
    assert places(fleet, make_demand()) == ["w1"]


def test_task_never_goes_back_to_a_worker_that_failed_its_step():
    tried = make_demand(careful=True, failed_on=frozenset({"w2"}))
    for demand, worker in ((tried, "w1"), (tried._replace(careful=False), "w2")):
        fuller = make_worker("w2", runs=[make_run("a", "w2")])
        assert places(make_fleet(make_worker("w1"), fuller), demand) == [worker]


def test_task_that_failed_before_goes_to_proven_workers_if_there_are_any():
    workers = [make_worker("w1"), make_worker("w2", proven=True)]
    tried = make_demand(count=20, careful=True)
    assert set(places(make_fleet(*workers), tried)) == {"w2"}
    assert places(make_fleet(make_worker("w1")), make_demand(careful=True)) == ["w1"]


def test_workers_in_doubt_come_last():
    fleet = make_fleet(
        make_worker("w1", doubted=True, runs=[make_run("a", "w1", 7)]),
        make_worker("w2"),
    )
    assert places(fleet, make_demand(count=2)) == ["w2", "w2"]


@pytest.fixture
def comparisons(monkeypatch) -> list[Usage]:
    """Return what was compared with the room of a worker, grown as a plan is made."""
    seen: list[Usage] = []
    compare = Usage.fits

    def fits(self, free):
        seen.append(self)
        return compare(self, free)

    monkeypatch.setattr(Usage, "fits", fits)
    return seen


def test_full_fleet_is_searched_once_for_each_size(comparisons):
    fleet = make_fleet(
        *(
            make_worker(f"w{i}", runs=[make_run(f"a{i}", f"w{i}", 8)])
            for i in range(100)
        )
    )
    demands = [make_demand(f"j{i}", accelerators=1 + i % 3) for i in range(300)]
    assert make_plan(fleet, demands).starts == []
    assert len(comparisons) <= 3 * len(fleet.workers) + 3 * len(demands)


def test_burst_of_urgent_jobs_prices_a_worker_once(comparisons):
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
    assert len(make_plan(fleet, demands).claims) == 20
    # A worker is compared twice while it is priced and once more when it is chosen.
    assert len(comparisons) <= 10 * (len(fleet.workers) + len(demands))
