"""Traces a job through the fleet from the decision logs of all processes.

The lines are written by `chiveledge.decision_log`. They may be in any order and come
from any number of files. Text before the opening brace of a line is ignored, since
log collectors add their own time and host there.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

CONTEXT_EVENTS = frozenset(
    {
        ("leadership", "taken_over"),
        ("leadership", "lost"),
        ("follower", "store_lost"),
        ("follower", "store_regained"),
        ("workers", "lost"),
        ("workers", "slow"),
    }
)
"""Events that often explain what happened to a job, though they don't have its ID."""

MANDATORY_FIELDS = ("t", "node", "part", "event")

STATE_SENTENCES = {
    "admitted": "admitted the job",
    "cancelled": "cancelled the job",
    "early_cancellation": "keeps a cancellation that finds no open job",
    "early_cancellation_ended": "no longer keeps a cancellation that found no open job",
    "job_failed": "recorded that the job failed",
}

WAIT_SENTENCES = {
    "too_large": "they fit on no set of workers in use, even if these were empty",
    "full": "too little is free on them together, though most of the fleet is free",
    "excluded": "the workers with free capacity are not allowed for them now",
    "reserved": "the workers with free capacity are reserved for urgent work",
    "preference": "they fit, but not on the workers preferred for them",
}


class LogLine(NamedTuple):
    """One line of a process's decision log.

    Attributes
    ----------
    time : str
        Wall time in ISO 8601, by which lines are ordered.
    node : str
        Name of the process.
    domain : str
        Failure domain of the process.
    part, event : str
        Part of the system, and the event in it.
    fields : dict
        All other fields of the line.
    """

    time: str
    node: str
    domain: str
    part: str
    event: str
    fields: dict[str, Any]

    @property
    def kind(self) -> tuple[str, str]:
        """The part and the event, which together identify the kind of line."""
        return self.part, self.event


class Trace(NamedTuple):
    """Log lines that concern a job.

    Attributes
    ----------
    job_id : str
        ID of the job.
    lines : list of LogLine
        Lines about the job, in order of time.
    context : list of LogLine
        Lines with one of `CONTEXT_EVENTS` between the first and the last of `lines`.
    unreadable : int
        Number of lines that could not be decoded.
    """

    job_id: str
    lines: list[LogLine]
    context: list[LogLine]
    unreadable: int


def parse_line(text: str) -> LogLine | None:
    """Decode a line of a decision log, or return None if it is not one.

    Examples
    --------
    >>> parse_line('12.5 {"t":"09:00","node":"n1","part":"node","event":"stop"}').event
    'stop'
    """
    _, brace, rest = text.partition("{")
    try:
        fields = json.loads(brace + rest)
    except ValueError:
        return None
    if any(not isinstance(fields.get(name), str) for name in MANDATORY_FIELDS):
        return None
    time, node, part, event = (fields.pop(name) for name in MANDATORY_FIELDS)
    return LogLine(time, node, str(fields.pop("domain", "")), part, event, fields)


def trace_job(texts: Iterable[str], job_id: str) -> Trace:
    """Collect the lines about a job, and those around them, from lines of logs."""
    lines: list[LogLine] = []
    context: list[LogLine] = []
    unreadable = 0
    for text in texts:
        line = parse_line(text)
        if line is None:
            unreadable += bool(text.strip())
        elif _is_about(line, job_id):
            lines.append(line)
        elif line.kind in CONTEXT_EVENTS:
            context.append(line)
    lines.sort(key=lambda line: line.time)
    if lines:
        first, last = lines[0].time, lines[-1].time
        context = [line for line in context if first <= line.time <= last]
    context.sort(key=lambda line: line.time)
    return Trace(job_id, lines, context, unreadable)


def _is_about(line: LogLine, job_id: str) -> bool:
    """Whether a line is about the job, or about a run that was stopped for it."""
    if line.fields.get("id") == job_id:
        return True
    return f" {job_id}." in str(line.fields.get("why", ""))


def describe_trace(trace: Trace) -> list[str]:
    """Return sentences on a job's route, waits, runs and end, in order of time."""
    job_lines = [line for line in trace.lines if line.fields.get("id") == trace.job_id]
    if not job_lines:
        return [f"No line names the job {trace.job_id}."]
    sentences = []
    for line in job_lines:
        sentence = _describe_line(line)
        if sentence:
            sentences.append(f"{line.time}  {sentence}")
    return [*sentences, *_summarize(trace, job_lines)]


def _describe_line(line: LogLine) -> str:
    fields = line.fields
    where = f"{line.node} in {line.domain}" if line.domain else line.node
    match line.kind:
        case ("front", "routed"):
            return _describe_route(fields, where)
        case ("front", "not_served"):
            status, reason = fields.get("status"), fields.get("reason")
            return f"{where} answered {fields.get('method')} with {status}: {reason}"
        case ("relay", "handed_on"):
            outcome = f"{fields.get('outcome')} {fields.get('status') or ''}".strip()
            return f"{where} {_describe_forward(fields)}: {outcome}"
        case ("intake", "submit"):
            outcome = f"{fields.get('outcome')} {fields.get('detail')}"
            return f"{where} {_describe_submission(fields)}: {outcome}"
        case ("intake", "cancel"):
            return f"{where} {_describe_cancellation(fields)}"
        case ("coordinator", "placed"):
            return (
                f"{where} placed {len(fields.get('workers', ()))} tasks of "
                f"{fields.get('step')} after {fields.get('waited_s')} s of waiting, "
                f"{fields.get('due_s')} s before the job would be late"
            )
        case ("coordinator", "waits"):
            return _describe_wait(fields, where)
        case ("coordinator", "wait_over"):
            return f"{where} found that {fields.get('step')} no longer waits so"
        case ("coordinator" | "settlement", event) if event in STATE_SENTENCES:
            return f"{where} {STATE_SENTENCES[event]}"
        case ("settlement", "closed"):
            return (
                f"{where} closed run {fields.get('run')} of {fields.get('task')} on "
                f"{fields.get('worker')} as {fields.get('how')} without a report of "
                f"its end: {fields.get('why')}; the worker answered "
                f"{fields.get('answer_age_s')} s before, error: "
                f"{fields.get('error') or 'none'}"
            )
        case ("settlement", "job_completed"):
            return f"{where} completed the job: all its tasks are done"
    return ""


def _describe_forward(fields: dict[str, Any]) -> str:
    peer = fields.get("peer")
    match fields.get("outcome"):
        case "Relayed":
            return f"forwarded the request to {peer}, which answered"
        case "MaybeDone":
            return f"forwarded the request to {peer}, which may have processed it"
        case "NotTaken":
            return f"could not forward the request to {peer}"
    return f"tried to forward the request to {peer}"


def _describe_wait(fields: dict[str, Any], where: str) -> str:
    cause = str(fields.get("cause"))
    tasks = "a gang of" if fields.get("gang") else "up to"
    return (
        f"{where} left {fields.get('step')} waiting ({tasks} {fields.get('tasks')} "
        f"tasks, {fields.get('waited_s')} s so far, {fields.get('candidates')} of "
        f"{fields.get('workers')} workers allowed): {WAIT_SENTENCES.get(cause, cause)}"
    )


def _describe_submission(fields: dict[str, Any]) -> str:
    match fields.get("outcome"), fields.get("detail"):
        case "Accepted", [True]:
            return "found the job already stored"
        case "Accepted", _:
            return "stored the job"
        case "JobIdInUse", _:
            return "refused the job, as another workspace has a job with its ID"
        case "Infeasible", _:
            return "refused the job, as no set of workers could ever hold it"
        case "Withdrawn", _:
            return "refused the job, as it was cancelled before it was stored"
        case "NotStored", _:
            return "did not store the job"
        case "UnknownOutcome", _:
            return "could not confirm whether the job was stored"
    return "tried to store the job"


def _describe_cancellation(fields: dict[str, Any]) -> str:
    match fields.get("outcome"), fields.get("detail"):
        case "Accepted", [True]:
            return "was asked to cancel the job, which had ended"
        case "Accepted", _:
            return "stored the cancellation of the job"
        case "NotFound", _:
            return (
                f"stored a cancellation by workspace {fields.get('workspace')}, which "
                "has no such job: a submission after it is refused"
            )
        case "TooManyCancellations", _:
            return "refused to cancel an unknown job, as too many were cancelled"
    return "could not confirm whether the cancellation was stored"


def _describe_route(fields: dict[str, Any], where: str) -> str:
    shorter = fields.get("shorter") or ()
    why = "the only route that matches its host and path"
    if shorter:
        why = f"a longer prefix than {', '.join(shorter)}, which also match"
    return (
        f"{where} chose the route {fields.get('queue')} ({why}) under revision "
        f"{fields.get('revision')}, {fields.get('age_s')} s after it was confirmed, "
        f"for workspace {fields.get('workspace')}: service {fields.get('service')}, "
        f"priority {fields.get('priority')}"
    )


def _summarize(trace: Trace, job_lines: list[LogLine]) -> list[str]:
    end_counts = Counter(
        str(line.fields.get("how"))
        for line in job_lines
        if line.kind in {("settlement", "ended"), ("settlement", "closed")}
    )
    stop_counts = Counter(
        str(line.fields.get("why"))
        for line in job_lines
        if line.kind == ("orders", "stop")
    )
    displaced = [line for line in trace.lines if line.fields.get("id") != trace.job_id]
    context_counts = Counter(f"{line.part} {line.event}" for line in trace.context)
    rows = [
        ("Ends of its runs", end_counts),
        ("Stops of its runs", stop_counts),
        ("Meanwhile", context_counts),
    ]
    sentences = [
        f"{title}: {', '.join(f'{count} x {name}' for name, count in counts.items())}."
        for title, counts in rows
        if counts
    ]
    if displaced:
        sentences.append(f"Runs of other jobs stopped for this job: {len(displaced)}.")
    if trace.unreadable:
        sentences.append(f"Lines that are not decision log lines: {trace.unreadable}.")
    return sentences
