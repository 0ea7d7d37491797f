"""Reports on made logs, whose sums are known by hand, and on broken ones."""

from __future__ import annotations

import json
from datetime import UTC, datetime, timedelta

import pytest

from chiveledge.log_report import (
    TimeUse,
    describe_report,
    make_report,
    read_histories,
    split_time,
)

START = datetime(2026, 5, 6, 12, 0, tzinfo=UTC)
TASK = "j1.0.0.0"


def make_line(at_s, part, event, node="n1", **fields):
    time = (START + timedelta(seconds=at_s)).isoformat(timespec="milliseconds")
    line = {"t": time, "node": node, "domain": "a", "part": part, "event": event}
    return f" {at_s:.4f} {node} {json.dumps(line | fields)}"


def hand_in(at_s, stored_s, admitted_s, job="j1", priority=0, **fields):
    admission = {"stretch": 1.5, "target_s": 0.5, "after": [[]]} | fields
    return [
        make_line(
            at_s, "front", "routed", id=job, priority=priority, workspace="cafes"
        ),
        make_line(stored_s, "intake", "submit", id=job, outcome="Accepted"),
        make_line(admitted_s, "coordinator", "admitted", id=job, **admission),
    ]


def place(at_s, job="j1", step=0, tasks=(0,), **fields):
    numbers = {"cores": 10.0, "expected_s": 2.0, "checkpoints": False} | fields
    name = f"{job}.0.{step}"
    return make_line(
        at_s, "coordinator", "placed", id=job, step=name, tasks=tasks,
        workers=["w"] * len(tasks), **numbers,
    )  # fmt: skip


def end(at_s, ran_s, how="done", task=TASK, run=1, **fields):
    job = task.partition(".")[0]
    return make_line(
        at_s, "settlement", "ended", id=job, task=task, run=run, how=how, ran_s=ran_s,
        **fields,
    )  # fmt: skip


def complete(at_s, job="j1"):
    return make_line(at_s, "settlement", "job_completed", id=job)


PREEMPTED_JOB = [
    *hand_in(0.0, 1.0, 1.1),
    place(1.6),
    make_line(
        3.4, "orders", "stop", id="j1", task=TASK, run=1, why="preempted by j2.0.0"
    ),
    end(3.6, 2.0, "stopped"),
    make_line(4.0, "coordinator", "deferred", id="j1", step="j1.0.0", tasks=1),
    place(4.5),
    end(6.5, 2.0, run=2),
    complete(6.6),
]


def test_time_of_a_preempted_job_is_split_into_parts_that_add_up():
    period = read_histories(PREEMPTED_JOB)
    split = split_time(period.jobs["j1"], [])
    assert {use: round(time_s, 3) for use, time_s in split.items() if time_s} == {
        TimeUse.HAND_IN: 1.0,
        TimeUse.ADMISSION: 0.1,
        TimeUse.WAIT_CAPACITY: 0.5 + 0.4,
        TimeUse.LOST_PREEMPTED: 2.0,
        TimeUse.WAIT_STOPS: 0.5,
        TimeUse.LAST_RUN: 2.0,
        TimeUse.REPORT: 0.1,
    }
    assert sum(split.values()) == pytest.approx(6.6)


def test_jobs_are_counted_and_lost_work_is_summed_by_cause():
    lines = [
        *PREEMPTED_JOB,
        *hand_in(0.0, 0.1, 0.2, "j2"),
        place(0.2, "j2"),
        end(2.2, 2.0, task="j2.0.0.0"),
        complete(2.3, "j2"),
        make_line(5.0, "front", "routed", id="j3", priority=0, workspace="cafes"),
        *hand_in(5.0, 5.1, 5.2, "j4", priority=2),
        *hand_in(5.0, 5.1, 5.2, "j5", priority=2),
        make_line(6.0, "coordinator", "cancelled", id="j5"),
    ]
    report = make_report(read_histories(reversed(lines)))
    urgent, batch = report.kinds
    assert (urgent.name, urgent.jobs) == ("priority 0", 3)
    assert (urgent.in_time, urgent.late, urgent.too_late) == (1, 1, 0)
    assert (urgent.refused, urgent.unfinished) == (1, 0)
    assert urgent.lost_core_s == {TimeUse.LOST_PREEMPTED: pytest.approx(20.0)}
    assert urgent.ends_without_result == {"stopped": 1}
    assert urgent.estimate_ratio.middle == pytest.approx(1.0)
    assert (batch.jobs, batch.unfinished) == (1, 1)
    assert [group.name for group in report.workspaces] == ["cafes"]


def wait_for_drain(at_s, job="j1", step=0):
    name = f"{job}.0.{step}"
    return make_line(at_s, "coordinator", "waits_for_drain", id=job, step=name)


def test_waits_for_drains_are_counted():
    """Also those that another leader ends or that nothing has ended yet."""
    lines = [
        *hand_in(0.0, 0.1, 0.2),
        wait_for_drain(1.0),
        make_line(3.0, "coordinator", "drain_wait_over", id="j1", step="j1.0.0"),
        place(3.0),
        *hand_in(0.0, 0.1, 0.2, "j2"),
        wait_for_drain(1.0, "j2"),
        make_line(2.0, "coordinator", "loaded", node="n2"),
        wait_for_drain(2.0, "j2"),
        place(5.0, "j2"),
        *hand_in(0.0, 0.1, 0.2, "j3"),
        wait_for_drain(4.0, "j3"),
        make_line(10.0, "node", "stop"),
    ]
    report = make_report(read_histories(lines))
    (group,) = report.kinds
    assert (group.drain_waits, group.drain_wait_s) == (3, pytest.approx(2 + 4 + 6))
    assert any(
        "drained failure domain: 3, for 12.0 s" in t for t in describe_report(report)
    )


def test_wait_without_a_leader_is_counted_apart():
    lines = [
        make_line(-1.0, "coordinator", "loaded", node="n1"),
        make_line(0.5, "coordinator", "admitted", node="n1", id="other"),
        *hand_in(0.0, 1.0, 2.5),
        make_line(2.0, "coordinator", "loaded", node="n2"),
        place(2.5),
        end(4.5, 2.0),
        complete(4.5),
    ]
    period = read_histories(lines)
    split = split_time(period.jobs["j1"], period.leaderless)
    assert split[TimeUse.NO_LEADER] == pytest.approx(1.0)
    assert split[TimeUse.ADMISSION] == pytest.approx(0.5)


def test_error_of_run_times_is_told_apart_after_a_takeover():
    """One that took over knew less; half of all runs must not hide its errors."""
    lines = [make_line(-1.0, "coordinator", "loaded", node="n1")]
    lines += hand_in(0.0, 0.0, 0.0)
    for run, (began_s, ran_s) in enumerate([(0.0, 2.2), (1.0, 2.2), (2.0, 1.8)]):
        lines += [place(began_s, tasks=(run,))]
        lines += [end(began_s + ran_s, ran_s, task=f"j1.0.0.{run}")]
    lines += [
        make_line(10.0, "coordinator", "loaded", node="n2"),
        place(11.0, tasks=(7,)),
        end(12.0, 1.0, task="j1.0.0.7"),
        place(16.0, tasks=(8,)),
        end(18.2, 2.2, task="j1.0.0.8"),
    ]
    report = make_report(read_histories(lines))
    (group,) = report.kinds
    assert group.estimate_error == pytest.approx(1.1, rel=0.02)
    assert group.takeover_estimate_error == pytest.approx(2.0)
    text = "\n".join(describe_report(report))
    assert "at most: 1.10; of runs that began up to 5 s after a takeover: 2.00" in text


def test_steps_are_followed_back_to_the_first():
    lines = [
        *hand_in(0.0, 0.0, 0.0, after=[[], [0]]),
        place(0.0, step=0),
        end(2.0, 2.0, task="j1.0.0.0"),
        place(3.0, step=1),
        end(4.0, 1.0, task="j1.0.1.0"),
        complete(4.0),
    ]
    job = read_histories(lines).jobs["j1"]
    split = split_time(job, [])
    assert job.objective_s == pytest.approx(1.5 * 3.0 + 0.5)
    assert split[TimeUse.LAST_RUN] == pytest.approx(3.0)
    assert split[TimeUse.WAIT_CAPACITY] == pytest.approx(1.0)


def test_checkpoint_counts_as_work_that_is_not_lost():
    lines = [
        *hand_in(0.0, 0.0, 0.0),
        place(0.0, checkpoints=True),
        end(5.0, 5.0, "stopped", saved=True),
    ]
    (group,) = make_report(read_histories(lines)).kinds
    assert sum(group.lost_core_s.values()) == 0.0


def test_outages_of_several_processes_at_once_are_one_line():
    lines = []
    for node, lost_s in (("n1", 1.0), ("n2", 1.5)):
        for table, until_s in (("board/", 3.0), ("op/", 4.0)):
            lines += [
                make_line(lost_s, "follower", "store_lost", node, table=table),
                make_line(until_s, "follower", "store_regained", node, table=table),
            ]
    report = make_report(read_histories([*hand_in(0.0, 0.1, 0.2), *lines]))
    (outage,) = report.store_outages
    assert (outage.since_s, outage.until_s, outage.processes) == (1.0, 4.0, 2)


def test_dropped_and_unreadable_lines_are_said():
    lines = [
        *PREEMPTED_JOB,
        make_line(5.0, "orders", "lines_dropped", of="stop", count=7),
        "panic: not a log line",
        '{"t":"not a time","node":"n","part":"p","event":"e"}',
    ]
    text = "\n".join(describe_report(make_report(read_histories(lines))))
    assert "7 log lines were dropped" in text
    assert "2 lines are not decision log lines" in text
