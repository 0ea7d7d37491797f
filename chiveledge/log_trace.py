"""Tells a job's way through the fleet from the logs of all processes.

The lines are those of `chiveledge.decision_log`, in any order and from any number of
files; text before a line's opening brace is passed over, as collectors put their own
time and host there.
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
"""What happened around a job and is often its cause, though no line has its ID."""

MANDATORY_FIELDS = ("t", "node", "part", "event")


class LogLine(NamedTuple):
    """One line of a process's log.

    Attributes
    ----------
    time : str
        Wall time in ISO 8601; lines sort by it.
    fields : dict
        All but those that have an attribute.
    """

    time: str
    node: str
    domain: str
    part: str
    event: str
    fields: dict[str, Any]

    @property
    def kind(self) -> tuple[str, str]:
        """Part and event."""
        return self.part, self.event


class Trace(NamedTuple):
    """What the logs say of a job.

    Attributes
    ----------
    job_id : str
        The job.
    lines : list of LogLine
        Lines about the job, in order of time.
    context : list of LogLine
        Lines from the first to the last of them that name what happened around it.
    unreadable : int
        Lines that could not be read.
    """

    job_id: str
    lines: list[LogLine]
    context: list[LogLine]
    unreadable: int


def parse_line(text: str) -> LogLine | None:
    """Return a line, or None if it is none of ours.

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
    """Collect what the logs say of a job."""
    lines: list[LogLine] = []
    context: list[LogLine] = []
    unreadable = 0
    for text in texts:
        line = parse_line(text)
        if line is None:
            unreadable += bool(text.strip())
        elif _concerns(line, job_id):
            lines.append(line)
        elif line.kind in CONTEXT_EVENTS:
            context.append(line)
    lines.sort(key=lambda line: line.time)
    if lines:
        first, last = lines[0].time, lines[-1].time
        context = [line for line in context if first <= line.time <= last]
    context.sort(key=lambda line: line.time)
    return Trace(job_id, lines, context, unreadable)


def _concerns(line: LogLine, job_id: str) -> bool:
    """Whether a line is about a job, or about work that was stopped for it."""
    if line.fields.get("id") == job_id:
        return True
    return f" {job_id}." in str(line.fields.get("why", ""))


def describe(trace: Trace) -> list[str]:
    """Return sentences on a job's way: its route, its waits, its runs and its end."""
    own = [line for line in trace.lines if line.fields.get("id") == trace.job_id]
    if not own:
        return [f"No line names the job {trace.job_id}."]
    sentences = []
    for line in own:
        sentence = _describe_line(line)
        if sentence:
            sentences.append(f"{line.time}  {sentence}")
    return [*sentences, *_sum_up(trace, own)]


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
            return f"{where} handed it on to {fields.get('peer')}: {outcome}"
        case ("intake", "submit"):
            return f"{where} stored it: {fields.get('outcome')} {fields.get('detail')}"
        case ("coordinator", "placed"):
            return (
                f"{where} placed {len(fields.get('workers', ()))} tasks of "
                f"{fields.get('step')} after {fields.get('waited_s')} s of waiting, "
                f"{fields.get('due_s')} s before they were late"
            )
        case ("coordinator", "admitted" | "cancelled") | ("settlement", "job_failed"):
            return f"{where}: {line.event.replace('_', ' ')}"
        case ("settlement", "job_completed"):
            return f"{where}: all its tasks are done"
    return ""


def _describe_route(fields: dict[str, Any], where: str) -> str:
    shorter = fields.get("shorter") or ()
    why = "the only route that matches its host and path"
    if shorter:
        why = f"a longer prefix than {', '.join(shorter)}, which match too"
    return (
        f"{where} took it by the route {fields.get('queue')} ({why}) under revision "
        f"{fields.get('revision')}, {fields.get('age_s')} s after it was confirmed, "
        f"for workspace {fields.get('workspace')}: service {fields.get('service')}, "
        f"priority {fields.get('priority')}"
    )


def _sum_up(trace: Trace, own: list[LogLine]) -> list[str]:
    ends = Counter(
        str(line.fields.get("how"))
        for line in own
        if line.kind in {("settlement", "ended"), ("settlement", "closed")}
    )
    stops = Counter(
        str(line.fields.get("why")) for line in own if line.kind == ("orders", "stop")
    )
    spared = [line for line in trace.lines if line.fields.get("id") != trace.job_id]
    around = Counter(f"{line.part} {line.event}" for line in trace.context)
    rows = [
        ("Its runs ended", ends),
        ("Its runs were stopped", stops),
        ("Meanwhile", around),
    ]
    sentences = [
        f"{title}: {', '.join(f'{count} x {name}' for name, count in counts.items())}."
        for title, counts in rows
        if counts
    ]
    if spared:
        sentences.append(f"Runs of other jobs that were stopped for it: {len(spared)}.")
    if trace.unreadable:
        sentences.append(f"Lines that are none of our log's: {trace.unreadable}.")
    return sentences
