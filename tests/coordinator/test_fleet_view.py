"""Reused worker views equal newly built ones."""

from __future__ import annotations

import random

import pytest

from chiveledge.coordinator._fleet_view import FleetViewBuilder, SlowWorkers
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.placement import WorkerSuspicion, make_plan
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.workload import (
    Catalogue,
    JobProgress,
    JobRequest,
    OpenRun,
    RunState,
    Step,
    TaskName,
    Usage,
)
from tests.placement.fleets import make_demand

CAPACITY = Usage(8000, 8000, 8)
STOP_S = 0.4
ONE = Step(usage=Usage(1000, 100, 1))


class Fleet:
    """Workers that change at random."""

    def __init__(self, rng, workers=12):
        self.rng = rng
        self.jobs = {}
        self.suspicion = WorkerSuspicion()
        self.links = [self.make_link(number) for number in range(workers)]
        self.reserved = {}
        self.slow = SlowWorkers(set(), {})

    def make_link(self, number):
        entry = WorkerEntry(
            f"w{number}", "pool", "a", "d", "r0", frozenset(), CAPACITY, 1
        )
        link = WorkerLink(entry, None)
        link.fence_raised = True
        return link

    def change(self):
        link = self.rng.choice(self.links)
        runs = list(link.runs.values())
        match self.rng.randrange(7):
            case 0 | 1:
                self.add_run(link)
            case 2 if runs:
                link.remove_run(runs[0])
            case 3 if runs and not runs[-1].stopping:
                link.mark_stopping(runs[-1])
            case 4:
                link.entry = link.entry._replace(draining=not link.entry.draining)
            case 5:
                self.reserved = {link.name: Usage(500, 0, 1)}
            case 6:
                self.slow.now.symmetric_difference_update({link.name})

    def add_run(self, link):
        job_id = f"{len(self.jobs):016x}"
        request = JobRequest(job_id, "q", "team", "", (ONE,), 0, priority=2)
        self.jobs[job_id] = JobProgress(request)
        task = self.jobs[job_id].open_occurrence(0)[0].tasks[0]
        run = OpenRun(1, link.name, 1, state=RunState.RUNNING)
        link.add_run(TrackedRun(TaskName(job_id, 0, 0, 0), task, run, ONE))

    def view(self, builder, now_s):
        return builder.build(
            self.links, self.suspicion, self.slow, self.reserved, now_s
        )

    def make_builder(self):
        return FleetViewBuilder(self.jobs, Catalogue, STOP_S)


def describe(fleet):
    return {
        name: (
            view.free,
            view.future_free,
            view.accepting,
            view.slow,
            view.reserved,
            view.serving,
            view.runs,
        )
        for name, view in fleet.workers.items()
    }


@pytest.mark.parametrize("seed", range(10))
def test_reused_views_equal_new_ones_after_plans(seed):
    rng = random.Random(seed)
    fleet = Fleet(rng)
    builder = fleet.make_builder()
    for now_s in range(60):
        for _ in range(rng.randrange(4)):
            fleet.change()
        shown = fleet.view(builder, float(now_s))
        assert describe(shown) == describe(
            fleet.view(fleet.make_builder(), float(now_s))
        )
        shown.reserve_for_urgent("pool", 2)
        urgent = make_demand("u", count=4, accelerators=4, priority=0)
        make_plan(shown, [urgent, make_demand("j", count=5)])


def test_only_views_of_changed_workers_are_rebuilt():
    fleet = Fleet(random.Random(1))
    builder = fleet.make_builder()
    before = fleet.view(builder, 0.0).workers
    fleet.add_run(fleet.links[3])
    after = fleet.view(builder, 1.0).workers
    made = [name for name in after if after[name] is not before[name]]
    assert made == ["w3"]
