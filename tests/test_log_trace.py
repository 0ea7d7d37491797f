"""A job's route, outcomes and end are described from the logs alone."""

from __future__ import annotations

import json
import os

import pytest

from chiveledge.cli import main
from chiveledge.clock import ManualClock
from chiveledge.decision_log import JsonLog
from chiveledge.log_trace import describe_trace, parse_line, trace_job

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
    front, leader = Host("h1", "gyeonggi-b", clock), Host("h2", "honam-a", clock)
    front.log.write(
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
    front.log.write("intake", "submit", id=JOB, outcome="Accepted", detail=[False])
    leader.log.write("leadership", "taken_over", epoch=3)
    clock.jump(0.1)
    leader.log.write("orders", "stop", id=OTHER, why=f"preempted by {JOB}.0.0")
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
    return [*leader.read(), "not a log line", *front.read()]


def test_route_domain_and_reason_are_described_without_the_configuration(texts):
    description = "\n".join(describe_trace(trace_job(texts, JOB)))
    assert "h1 in gyeonggi-b chose the route oats.example/quotes/live/" in description
    assert "a longer prefix than oats.example/quotes/" in description
    assert "revision 41" in description
    assert (
        "h2 in honam-a placed 2 tasks" in description and "after 0.4 s" in description
    )


def test_lines_of_all_hosts_are_in_order_with_context_events(texts):
    trace = trace_job(texts, JOB)
    events = [line.event for line in trace.lines]
    assert events[:3] == ["routed", "submit", "stop"]
    assert [line.event for line in trace.context] == ["taken_over"]
    assert trace.unreadable == 1
    assert "Runs of other jobs stopped for this job: 1." in describe_trace(trace)


@pytest.mark.parametrize(
    ("outcome", "detail", "sentence"),
    [
        ("Accepted", [False], "h1 stored the job: Accepted [False]"),
        ("Accepted", [True], "h1 found the job already stored: Accepted [True]"),
        ("NotStored", ["no"], "h1 did not store the job: NotStored ['no']"),
        (
            "UnknownOutcome",
            ["no"],
            "h1 could not confirm whether the job was stored: UnknownOutcome ['no']",
        ),
        (
            "Infeasible",
            ["no"],
            "h1 refused the job, as no set of workers could ever hold it: "
            "Infeasible ['no']",
        ),
        ("Other", None, "h1 tried to store the job: Other None"),
    ],
)
def test_submission_sentence_says_whether_the_job_was_stored(outcome, detail, sentence):
    host = Host("h1", "", ManualClock())
    host.log.write("intake", "submit", id=JOB, outcome=outcome, detail=detail)
    [described] = describe_trace(trace_job(host.read(), JOB))
    assert described.endswith(f"  {sentence}")


@pytest.mark.parametrize(
    ("outcome", "status", "sentence"),
    [
        ("Relayed", 200, "h1 forwarded the request to h2, which answered: Relayed 200"),
        (
            "MaybeDone",
            None,
            "h1 forwarded the request to h2, which may have processed it: MaybeDone",
        ),
        ("NotTaken", None, "h1 could not forward the request to h2: NotTaken"),
        ("Other", None, "h1 tried to forward the request to h2: Other"),
    ],
)
def test_forward_sentence_says_what_the_outcome_means(outcome, status, sentence):
    host = Host("h1", "", ManualClock())
    host.log.write(
        "relay", "handed_on", id=JOB, peer="h2", outcome=outcome, status=status
    )
    [described] = describe_trace(trace_job(host.read(), JOB))
    assert described.endswith(f"  {sentence}")


def test_cancel_that_found_nothing_and_the_submission_after_it_are_named():
    """Nothing in a trace joined the cancel of an unknown job to what came after it."""
    clock = ManualClock()
    host = Host("h1", "gyeonggi-b", clock)
    host.log.write(
        "intake", "cancel", id=JOB, workspace="cafes", outcome="NotFound", detail=[]
    )
    host.log.write("coordinator", "early_cancellation", id=JOB, key="k")
    host.log.write("intake", "submit", id=JOB, outcome="Withdrawn", detail=[])
    text = "\n".join(describe_trace(trace_job(host.read(), JOB)))
    assert "stored a cancellation by workspace cafes, which has no such job" in text
    assert "keeps a cancellation that finds no open job" in text
    assert "refused the job, as it was cancelled before it was stored" in text


def test_unknown_job_is_reported(texts):
    assert describe_trace(trace_job(texts, "feedfeedfeedfeed")) == [
        "No line names the job feedfeedfeedfeed."
    ]


@pytest.mark.parametrize("text", ["", "{", "[]", "{}", '{"t": 1}', "null", '"{"'])
def test_malformed_lines_are_ignored(text):
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
    assert "chose the route" in capsys.readouterr().out
    assert run("trace", "--json", JOB, *paths) == 0
    first = json.loads(capsys.readouterr().out.splitlines()[0])
    assert first["event"] == "routed"
    assert run("trace", OTHER[::-1], *paths) == 1
    assert run("trace", JOB, tmp_path / "missing.log") == 2
    assert "missing.log: no such file" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("cause", "sentence"),
    [
        ("preference", "they fit, but not on the workers preferred for them"),
        ("other", "other"),
    ],
)
def test_wait_sentence_says_why_a_gang_does_not_start(cause, sentence):
    host = Host("h1", "", ManualClock())
    host.log.write(
        "coordinator",
        "waits",
        id=JOB,
        step=f"{JOB}.0.0",
        cause=cause,
        tasks=20,
        gang=True,
        workers=24,
        candidates=23,
        waited_s=3.1,
    )
    host.log.write("coordinator", "wait_over", id=JOB, step=f"{JOB}.0.0")
    waits, over = describe_trace(trace_job(host.read(), JOB))
    assert waits.endswith(
        f"h1 left {JOB}.0.0 waiting (a gang of 20 tasks, 3.1 s so far, 23 of 24 "
        f"workers allowed): {sentence}"
    )
    assert over.endswith(f"h1 found that {JOB}.0.0 no longer waits so")
