"""The decision log limits its lines, counts dropped ones and never blocks."""

from __future__ import annotations

import json
import os

from chiveledge.clock import ManualClock
from chiveledge.decision_log import JsonLog


def read_lines(descriptor: int) -> list[dict]:
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def test_lines_over_the_limit_are_dropped_and_counted():
    reader, writer = os.pipe()
    clock = ManualClock()
    log = JsonLog("n1", clock, descriptor=writer, lines_per_second=3)
    for number in range(10):
        log.write("part", "event", id=f"j{number}")
    clock.jump(1.0)
    log.write("part", "event", id="later")
    lines = read_lines(reader)
    assert [line["event"] for line in lines] == ["event"] * 3 + [
        "lines_dropped",
        "event",
    ]
    assert lines[3]["count"] == 7
    assert lines[0]["node"] == "n1"
    assert lines[0]["id"] == "j0"


def test_events_of_tasks_do_not_displace_the_end_of_a_job():
    reader, writer = os.pipe()
    clock = ManualClock()
    log = JsonLog("n1", clock, descriptor=writer, lines_per_second=3)
    for number in range(10):
        log.write("settlement", "ended", id="j", task=f"j.0.0.{number}")
    log.write("settlement", "job_completed", id="j")
    clock.jump(1.0)
    log.write("settlement", "ended", id="k")
    lines = read_lines(reader)
    assert [line["event"] for line in lines] == ["ended"] * 3 + [
        "job_completed",
        "lines_dropped",
        "ended",
    ]
    assert (lines[4]["of"], lines[4]["count"]) == ("ended", 7)


def test_full_pipe_does_not_block():
    reader, writer = os.pipe()
    log = JsonLog("n1", ManualClock(), descriptor=writer, lines_per_second=10**9)
    for number in range(5000):
        log.write("part", "event", id=f"j{number}", filler="x" * 100)
    os.close(reader)
    log.write("part", "event")
