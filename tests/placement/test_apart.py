"""Tests of the workers on which tasks start that may have crashed an earlier one."""

from __future__ import annotations

from chiveledge.placement import make_plan
from chiveledge.placement._order import (
    APART_TIMEOUT_IF_FREE_S,
    EMPTY_WORKER_TIMEOUT_S,
)
from chiveledge.workload import Usage
from tests.placement.fleets import make_demand, make_fleet, make_run, make_worker


def list_workers(plan, job: str) -> list[str]:
    """Return the workers on which a plan starts tasks of a job."""
    return [
        placement.worker
        for start in plan.starts
        if start.demand.job_id == job
        for placement in start.placements
    ]


def make_suspect(job: str = "suspect", **options):
    return make_demand(job, apart_s=3.0, **options)


def make_full_worker():
    """Return a worker on which a large run has just begun."""
    run = make_run("large", "full", accelerators=8)._replace(recent=True)
    return make_worker("full", runs=[run])


def test_suspect_starts_on_an_empty_worker():
    """By best fit, it would have joined other jobs and taken them down."""
    used = make_worker("used", runs=[make_run("other", "used")])
    plan = make_plan(make_fleet(used, make_worker("empty")), [make_suspect()])
    assert list_workers(plan, "suspect") == ["empty"]


def test_suspects_of_two_jobs_do_not_share_a_worker():
    """The next crash would have named neither."""
    workers = [make_worker(f"w{number}") for number in range(4)]
    demands = [make_suspect("a"), make_suspect("b")]
    plan = make_plan(make_fleet(*workers), demands)
    assert len({*list_workers(plan, "a"), *list_workers(plan, "b")}) == 2


def test_other_jobs_do_not_join_a_suspect():
    fleet = make_fleet(make_worker("kept", isolated_job="suspect"), make_worker("free"))
    plan = make_plan(fleet, [make_demand("other", count=9, accelerators=1)])
    assert set(list_workers(plan, "other")) == {"free"}


def test_guarantee_holds_beside_a_suspect():
    """A worker that was kept for a suspect was missing from the guarantee."""
    fleet = make_fleet(make_worker("kept", isolated_job="suspect"))
    plan = make_plan(fleet, [make_demand("urgent", priority=0, guaranteed=True)])
    assert list_workers(plan, "urgent") == ["kept"]


def test_suspects_leave_half_of_the_workers_to_others():
    """Many suspects at once would have kept all other jobs waiting."""
    workers = [make_worker(f"w{number}") for number in range(8)]
    demands = [make_suspect(f"s{number}", accelerators=8) for number in range(8)]
    plan = make_plan(make_fleet(*workers), demands)
    assert len(plan.starts) == 4


def test_suspect_waits_for_an_empty_worker_before_it_joins_older_runs():
    older = [make_run("other", "w"), make_run("other", "w", index=1)]
    early = make_suspect(waited_s=EMPTY_WORKER_TIMEOUT_S - 0.1)
    late = make_suspect(waited_s=EMPTY_WORKER_TIMEOUT_S)
    workers = make_worker("w", runs=older), make_full_worker()
    assert not make_plan(make_fleet(*workers), [early]).starts
    workers = make_worker("w", runs=older), make_full_worker()
    plan = make_plan(make_fleet(*workers), [late])
    assert list_workers(plan, "suspect") == ["w"]


def test_suspect_does_not_join_runs_that_began_lately():
    """A crash would have been laid to all of them."""
    lately = make_run("other", "w")._replace(recent=True)
    late = make_suspect(waited_s=EMPTY_WORKER_TIMEOUT_S)
    workers = make_worker("w", runs=[lately]), make_full_worker()
    assert not make_plan(make_fleet(*workers), [late]).starts


def test_urgent_suspect_stops_no_runs_while_it_waits_for_an_empty_worker():
    """It would have stopped others' runs only to crash their worker."""
    full = make_worker("w", runs=[make_run("other", "w", accelerators=8)])
    fleet = make_fleet(full, make_full_worker())
    plan = make_plan(fleet, [make_suspect(priority=0)])
    assert not plan.deferred_starts


def test_urgent_suspect_stops_older_runs_on_a_full_fleet():
    """An innocent urgent job would have waited until runs ended by themselves."""
    runs = [make_run("other", "w", accelerators=4, index=index) for index in range(2)]
    late = make_suspect(priority=0, waited_s=EMPTY_WORKER_TIMEOUT_S)
    workers = make_worker("w", runs=runs), make_full_worker()
    plan = make_plan(make_fleet(*workers), [late])
    assert [start.demand.job_id for start in plan.deferred_starts] == ["suspect"]


def test_sole_worker_is_kept_for_nobody():
    """A job under suspicion kept the only worker of a service for itself."""
    worker = make_worker("w", runs=[make_run("other", "w")])
    plan = make_plan(make_fleet(worker), [make_suspect(waited_s=0.0)])
    assert list_workers(plan, "suspect") == ["w"]
    assert worker.isolated_job is None


def test_suspect_starts_anywhere_soon_while_half_of_the_capacity_is_free():
    """It waited 20 s on a fleet where short tasks began everywhere all the time."""
    lately = make_run("other", "w")._replace(recent=True)
    workers = [make_worker(name, runs=[lately]) for name in ("w", "v")]
    soon = make_suspect(waited_s=APART_TIMEOUT_IF_FREE_S)
    assert list_workers(make_plan(make_fleet(*workers), [soon]), "suspect")


def test_suspect_joins_older_runs_if_the_empty_worker_is_too_small():
    """Any empty worker kept it from joining older runs, even one without room."""
    small = make_worker("small", capacity=Usage(32000, 64000, 1))
    used = [
        make_worker(f"w{number}", runs=[make_run("other", f"w{number}")])
        for number in range(5)
    ]
    waited_s = EMPTY_WORKER_TIMEOUT_S + 1.0
    demand = make_suspect(accelerators=4, waited_s=waited_s)
    assert make_plan(make_fleet(small, *used), [demand]).starts
