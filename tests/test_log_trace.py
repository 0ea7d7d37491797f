"""The way of a job is told from logs alone: which route took it, where and why."""

from __future__ import annotations

import json
import os

import pytest

from chiveledge.cli import main
from chiveledge.clock import ManualClock
from chiveledge.decision_log import JsonLog
from chiveledge.log_trace import describe, parse_line, trace_job

JOB = "00c0ffee00c0ffee"
OTHER = "0badcafe0badcafe"


class Host:
    """A process that logs into a pipe."""

    def __init__(self, name, domain, clock):
        self._reader, writer = os.pipe()
        self.log = JsonLog(name, clock, domain=domain, descriptor=writer)

    def read(self):
        return os.read(self._reader, 1 << 20).decode().splitlines()


@pytest.fixture
def texts():
    clock = ManualClock()
    entry, leader = Host("h1", "gyeonggi-b", clock), Host("h2", "honam-a", clock)
    entry.log.write(
        "front",
        "routed",
        id=JOB,
        queue="oats.example/quotes/live/",
        shorter=["oats.example/quotes/"],
        service="planner",
        priority=0,
        workspace="cafes",
        revision=41,
        age_s=0.2,
    )
    clock.jump(0.1)
    entry.log.write("intake", "submit", id=JOB, outcome="Accepted", detail=[False])
    leader.log.write("leadership", "taken_over", epoch=3)
    clock.jump(0.1)
    leader.log.write("orders", "stop", id=OTHER, why=f"makes room for {JOB}.0.0")
    leader.log.write(
        "coordinator",
        "placed",
        id=JOB,
        step=f"{JOB}.0.0",
        workers=["w1", "w2"],
        waited_s=0.4,
        due_s=3.1,
    )
    clock.jump(2.0)
    leader.log.write("settlement", "ended", id=JOB, how="done")
    leader.log.write("settlement", "job_completed", id=JOB)
    clock.jump(2.0)
    leader.log.write("leadership", "lost", why="much later")
    return [*leader.read(), "not one of ours", *entry.read()]


def test_route_zone_and_reason_are_told_without_the_configuration(texts):
    story = "\n".join(describe(trace_job(texts, JOB)))
    assert "h1 in gyeonggi-b took it by the route oats.example/quotes/live/" in story
    assert "a longer prefix than oats.example/quotes/" in story
    assert "revision 41" in story
    assert "h2 in honam-a placed 2 tasks" in story and "after 0.4 s" in story


def test_lines_of_all_hosts_come_in_order_with_what_happened_around(texts):
    trace = trace_job(texts, JOB)
    events = [line.event for line in trace.lines]
    assert events[:3] == ["routed", "submit", "stop"]
    assert [line.event for line in trace.context] == ["taken_over"]
    assert trace.unreadable == 1
    assert "Runs of other jobs that were stopped for it: 1." in describe(trace)


def test_unknown_job_is_said_to_be_unknown(texts):
    assert describe(trace_job(texts, "feedfeedfeedfeed")) == [
        "No line names the job feedfeedfeedfeed."
    ]


@pytest.mark.parametrize("text", ["", "{", "[]", "{}", '{"t": 1}', "null", '"{"'])
def test_strange_lines_are_none_of_ours(text):
    assert parse_line(text) is None


def run(*argv):
    with pytest.raises(SystemExit) as ended:
        main([str(argument) for argument in argv])
    return ended.value.code


def test_command_reads_files_of_all_hosts(texts, tmp_path, capsys):
    paths = [tmp_path / "h1.log", tmp_path / "h2.log"]
    paths[0].write_text("\n".join(texts[:3]))
    paths[1].write_text("\n".join(texts[3:]))
    assert run("trace", JOB, *paths) == 0
    assert "took it by the route" in capsys.readouterr().out
    assert run("trace", "--json", JOB, *paths) == 0
    first = json.loads(capsys.readouterr().out.splitlines()[0])
    assert first["event"] == "routed"
    assert run("trace", OTHER[::-1], *paths) == 1
    assert run("trace", JOB, tmp_path / "missing.log") == 2
    assert "missing.log: no such file" in capsys.readouterr().err
