"""Tests of what counts as a workspace's usage.

They guard against a leader that takes over and forgets who was served.
"""

from __future__ import annotations

from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.coordinator._workspace_usage import sum_usage
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.workload import (
    JobProgress,
    JobRequest,
    OpenRun,
    RunState,
    Step,
    TaskName,
    Usage,
)

STEP = Step(count=4, usage=Usage(1000, 100, 1))
FILLER = STEP._replace(filler=True)


def make_job(job_id, workspace, step=STEP):
    return JobProgress(JobRequest(job_id, "q", workspace, "", (step,), 0))


def make_link(name, service="pool"):
    entry = WorkerEntry(
        name, service, "a", "d", "r0", frozenset(), Usage(8000, 8000, 8), 1
    )
    return WorkerLink(entry, None)


def add_run(link, job, index, **options):
    task = job.open_occurrence(0)[0].tasks[index]
    run = OpenRun(1, link.name, 1, state=RunState.RUNNING)
    name = TaskName(job.job_id, 0, 0, index)
    tracked = TrackedRun(name, task, run, job.request.steps[0], **options)
    link.add_run(tracked)
    return tracked


def test_open_runs_count_for_their_workspace_and_service():
    large, small = make_job("a", "large"), make_job("b", "small")
    links = {name: make_link(name) for name in ("w1", "w2")}
    links["w3"] = make_link("w3", "other")
    for index, name in enumerate(["w1", "w2", "w2"]):
        add_run(links[name], large, index)
    add_run(links["w1"], small, 0)
    add_run(links["w3"], small, 1)
    assert sum_usage(links, {"a": large, "b": small}) == {
        ("pool", "large"): Usage(3000, 300, 3),
        ("pool", "small"): Usage(1000, 100, 1),
        ("other", "small"): Usage(1000, 100, 1),
    }


def test_runs_that_an_earlier_leader_started_count():
    job = make_job("a", "large")
    link = make_link("w1")
    add_run(link, job, 0, adopted=True)
    assert sum_usage({"w1": link}, {"a": job}) == {
        ("pool", "large"): Usage(1000, 100, 1)
    }


def test_runs_that_are_being_stopped_do_not_count():
    job = make_job("a", "large")
    link = make_link("w1")
    link.mark_stopping(add_run(link, job, 0))
    assert sum_usage({"w1": link}, {"a": job}) == {}


def test_fillers_count_without_processor_cores():
    job = make_job("a", "large", FILLER)
    link = make_link("w1")
    add_run(link, job, 0)
    assert sum_usage({"w1": link}, {"a": job}) == {("pool", "large"): Usage(0, 100, 1)}
