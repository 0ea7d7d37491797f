"""Loads at their worst, replayed on the emulator with the real rules of placement.

Each test is a load under which an earlier rule served callers badly.
"""

from __future__ import annotations

import pytest

from benchmarks.emulator import Emulator, Job, JobKind, Site, Variant
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


def play(jobs, racks=2, workers_per_rack=4):
    site = Site(
        "load", racks * workers_per_rack, workers_per_rack, CAPACITY, 0.4,
        (URGENT, BATCH),
    )  # fmt: skip
    result = Emulator(site, Variant("rules"), (), 1, jobs).run()
    return result, {job.name: job for job in jobs}


def is_in_time(job):
    return job.finished_s - job.arrival_s <= job.kind.stretch * job.run_s + (
        job.kind.target_s
    )


def test_gang_wider_than_any_rack_stops_no_work_and_delays_no_urgent_job():
    """It took the whole fleet for three times its run time, and was late itself."""
    batch = [make_job(f"b{n}", BATCH, 0.0, 1, 9.0) for n in range(8)]
    wide = make_gang("wide", 1.0, count=6)
    narrow = [make_gang(f"n{n}", 2.0 + 2.6 * n, count=2) for n in range(3)]
    result, jobs = play([*batch, wide, *narrow])
    assert all(is_in_time(jobs[f"n{n}"]) for n in range(3))
    assert result.stops <= 2 * len(narrow)
    assert wide.finished_s is not None


@pytest.mark.parametrize("gangs", [3, 6])
def test_gangs_of_a_burst_wait_for_a_rack_instead_of_being_spread(gangs):
    """Spread gangs ran three times as long, and each one made the next wait."""
    burst = [make_gang(f"g{n}", 1.0 + 0.1 * n, count=2) for n in range(gangs)]
    _, jobs = play(burst, workers_per_rack=3)
    last_s = max(job.finished_s for job in jobs.values())
    waves = -(-gangs // 2)
    assert last_s <= 1.0 + waves * (2.0 + 0.5)
