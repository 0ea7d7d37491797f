"""Tests that the rows of jobs keep all that a new leader needs."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chiveledge.workload import (
    JobProgress,
    JobRequest,
    JobState,
    OccurrenceSet,
    OpenRun,
    RunState,
    Step,
    TaskName,
    TaskProgress,
    Usage,
    can_store_checkpoint,
    decode_progress,
    decode_request,
    encode_progress,
    encode_request,
)
from chiveledge.workload._progress import MAX_FAILED_ON
from chiveledge.workload._progress_codec import MAX_CHECKPOINT_CHARS

STEPS = (
    Step(count=3, usage=Usage(100, 200, 1), estimate_s=1.5, checkpoints=True),
    Step(count=70, after=(0,), gang=True, same_rack=True, required_label="a"),
)
REQUEST = JobRequest("j", "h/q/", "team", "text é", STEPS, 17, 3, 100, 50, "pool")

tasks = st.tuples(
    st.integers(0, 2),
    st.integers(0, 72),
    st.integers(1, 9),
    st.integers(0, 3),
    st.sampled_from(["done", "open", "waiting"]),
)


def test_request_round_trip():
    assert decode_request(encode_request(REQUEST)) == REQUEST


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(tasks, max_size=20),
    st.sampled_from(JobState),
    st.sampled_from([100, 300, 10_000]),
)
def test_progress_round_trip(rows, state, max_chars):
    job = JobProgress(REQUEST, state=state, finished_occurrences=OccurrenceSet({2}))
    for occurrence, number, run, failures, state_name in rows:
        if occurrence == 2:
            continue
        step, index = (0, number) if number < 3 else (1, number - 3)
        task = job.open_occurrence(occurrence)[step].tasks[index]
        task.last_run = 1 if state_name == "done" else run
        task.failures = 0 if state_name == "done" else failures
        task.begun = True
        task.done = state_name == "done"
        task.run = None
        # The checkpoint of a task is not stored once the task is done.
        task.checkpoint = "" if state_name == "done" else "w"
        if state_name == "open":
            task.run = OpenRun(run, "w1", 5, RunState.UNKNOWN, checkpoint="c")
            task.checkpoint = "b"
    header, parts = encode_progress(job, max_chars)
    assert max(map(len, parts.values()), default=0) <= max_chars
    found = decode_progress(REQUEST, header, 0, parts.items())
    assert found == job


def test_part_written_last_has_precedence():
    """A part that was halved stays in the store until its halves are written."""
    job = JobProgress(REQUEST)
    task = job.open_occurrence(0)[1].tasks[60]
    task.last_run = 1
    _, old = encode_progress(job, 10)
    task.last_run = 2
    header, new = encode_progress(job, 100)
    assert old.keys().isdisjoint(new)
    rows = [*old.items(), *new.items()]
    found = decode_progress(REQUEST, header, 0, rows)
    assert found.find_task(TaskName("j", 0, 1, 60)).last_run == 2


def test_parts_beside_a_whole_header_are_ignored():
    """They are those of an unfinished write, or are about to be deleted."""
    job = JobProgress(REQUEST)
    header, _ = encode_progress(job, 10_000)
    job.open_occurrence(0)[0].tasks[0].last_run = 3
    _, parts = encode_progress(job, 10)
    assert decode_progress(REQUEST, header, 0, parts.items()) == JobProgress(REQUEST)


def test_finished_occurrences_are_stored_as_ranges():
    """A schedule of each minute of a year took more than a row as single numbers."""
    job = JobProgress(
        REQUEST, finished_occurrences=OccurrenceSet(set(range(500_000)) - {7})
    )
    header, _ = encode_progress(job, 1000)
    assert len(header) < 1000
    assert decode_progress(REQUEST, header, 0) == job


def test_long_checkpoint_is_not_stored():
    assert can_store_checkpoint("a" * (MAX_CHECKPOINT_CHARS // 2))
    assert not can_store_checkpoint("\x01" * (MAX_CHECKPOINT_CHARS // 6 + 1))


def test_task_remembers_the_last_workers_that_failed_it():
    task = TaskProgress()
    for number in range(20):
        task.record_failed_on(f"w{number}")
        task.record_failed_on("w0")
    assert len(task.failed_on) == MAX_FAILED_ON
    assert task.failed_on[-2:] == ("w19", "w0")


def test_task_name_round_trip():
    name = TaskName("5c0e7a21d94b36f8", 0, 1, 17)
    assert TaskName.parse(str(name)) == name
    assert TaskName.parse("a.b") is None
    assert TaskName.parse("a.0.x.1") is None


@pytest.mark.parametrize("max_chars", [150, 10_000])
def test_crashes_under_a_task_outlast_the_leader(max_chars):
    """Each leader began to count anew, and didn't know the machines of open runs."""
    job = JobProgress(REQUEST)
    tasks = job.open_occurrence(0)[1].tasks
    for index in (3, 60):
        tasks[index].last_run = 1
        tasks[index].run = OpenRun(1, "w1", 5, RunState.UNKNOWN, "m1")
        tasks[index].record_crash(1, 7, is_suspect=index == 3, names_job=index == 3)
    header, parts = encode_progress(job, max_chars)
    assert bool(parts) == (max_chars == 150)
    assert decode_progress(REQUEST, header, 0, parts.items()) == job


def test_progress_without_crashes_is_read_as_before():
    """Rows of an earlier version have no crashes and no machines."""
    header = (
        '{"state":"running","ended_ms":0,"reason":"","finished":[],"occurrences":{"0":'
        '[{"done":"0","begun":"1","tasks":{"0":[1,0,"",[1,"w1",5,""],[]]}},'
        '{"done":"0","begun":"0"}]}}'
    )
    task = decode_progress(REQUEST, header, 0).find_task(TaskName("j", 0, 0, 0))
    assert task.run == OpenRun(1, "w1", 5, RunState.UNKNOWN)
    assert not task.crashes and not task.starts_apart
