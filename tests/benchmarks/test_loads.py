"""Loads at their worst, replayed on the emulator with the real rules of placement.

Each test is a load under which an earlier rule served callers badly.
"""

from __future__ import annotations

import pytest

from benchmarks.emulator import Emulator, Variant
from benchmarks.load import Job, JobKind, Site
from chiveledge.placement import _plan
from chiveledge.workload import Step, Usage

CAPACITY = Usage(32000, 64000, 8)
WHOLE_WORKER = Usage(8000, 8000, 8)
URGENT = JobKind(
    "urgent", 0, 1.0, 2, 9, 2.0, 0.0, 9.0, 8000, 8000, (8,), 1.0, 1.0, 0.0, 1.5, 0.5,
    4.0, 0.8,
)  # fmt: skip
BATCH = URGENT._replace(
    name="batch", priority=2, gang_share=0.0, same_rack_share=0.0, stretch=9.0,
    credit=1.0, late_credit=0.3,
)  # fmt: skip


def make_job(name, kind, arrival_s, count, run_s, **fields):
    step = Step(count=count, usage=WHOLE_WORKER, estimate_s=run_s, **fields)
    return Job(kind, step, name, arrival_s, run_s, [run_s] * count)


def make_gang(name, arrival_s, count, run_s=2.0):
    return make_job(name, URGENT, arrival_s, count, run_s, gang=True, same_rack=True)


RULES = Variant("rules")


def play(jobs, variant=RULES, slowdowns=(1.0,)):
    site = Site("load", 8, 8, CAPACITY, 0.9, (URGENT, BATCH), slowdowns)
    result = Emulator(site, variant, (), 1, jobs).run()
    return result, {job.name: job for job in jobs}


def is_in_time(job):
    objective_s = job.kind.stretch * job.run_s + job.kind.target_s
    return job.finished_s - job.arrival_s <= objective_s


@pytest.mark.parametrize("learns_speeds", [True, False])
def test_urgent_gangs_that_wait_for_stops_leave_out_slower_workers(learns_speeds):
    """A gang on a full fleet waited for stops, and was late on one slower member.

    The first gang shows which workers are slower; batch work then takes all workers.
    """
    first = make_gang("first", 0.0, count=8)
    batch = [make_job(f"b{n}", BATCH, 2.6, 1, 20.0) for n in range(8)]
    burst = [make_gang(f"g{n}", 4.0 + 4.0 * n, count=3) for n in range(4)]
    variant = Variant("rules", learns_speeds=learns_speeds)
    slowdowns = (1.7, 1.0, 1.0, 1.0)
    _, jobs = play([first, *batch, *burst], variant, slowdowns)
    in_time = sum(is_in_time(jobs[f"g{n}"]) for n in range(4))
    assert (in_time == 4) is learns_speeds


def test_urgent_gang_takes_free_slower_workers_rather_than_stop_work():
    """Waiting for full speed must not cost work where the gang is in time anyway."""
    first = make_gang("first", 0.0, count=8)
    batch = [make_job(f"b{n}", BATCH, 2.9, 1, 20.0) for n in range(6)]
    gang = make_gang("gang", 4.0, count=2)
    result, jobs = play([first, *batch, gang], slowdowns=(1.2, 1.0, 1.0, 1.0))
    assert is_in_time(jobs["gang"])
    assert result.stops == 0


SINGLE = Usage(1000, 1000, 1)


def make_batch(name, workspace, arrival_s):
    step = Step(count=8, usage=SINGLE, estimate_s=2.0)
    return Job(BATCH, step, name, arrival_s, 2.0, [2.0] * 8, workspace=workspace)


def play_burst():
    """Play 80 jobs of a workspace, each the size of a worker, then 4 of another."""
    burst = [make_batch(f"l{n:02}", "large", 0.0) for n in range(80)]
    small = [make_batch(f"s{n}", "small", 0.5) for n in range(4)]
    _, jobs = play([*burst, *small])
    return jobs


def test_burst_of_a_large_workspace_does_not_delay_small_ones():
    """A small workspace's jobs waited for the whole burst that came before them.

    Of the burst no more jobs come late than the small workspace has.
    """
    jobs = play_burst()
    waits_s = [jobs[f"s{n}"].finished_s - 0.5 for n in range(4)]
    assert max(waits_s) < 5.0
    in_time = sum(is_in_time(jobs[f"l{n:02}"]) for n in range(80))
    assert in_time >= 72 - 4


def test_without_turns_the_small_workspace_waits_for_the_whole_burst(monkeypatch):
    """Shows that the load above is one that turns answer."""
    monkeypatch.setattr(_plan, "may_compete", lambda _: False)
    jobs = play_burst()
    assert min(jobs[f"s{n}"].finished_s for n in range(4)) > 15.0
