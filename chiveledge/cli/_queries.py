"""Read-only queries of callers and operators."""

from __future__ import annotations

import fileinput
import json as json_codec
import sys
from datetime import UTC, datetime
from pathlib import Path

from chiveledge.cli._client import (
    EXIT_BAD_INPUT,
    EXIT_FAILURE,
    EXIT_SUCCESS,
    Call,
    Reply,
    call_all,
    make_caller_headers,
    make_operator_headers,
    print_first_reply,
    print_reply,
    read_urls,
)
from chiveledge.events import EventRecord, merge_records
from chiveledge.log_report import (
    Report,
    describe_report,
    make_report,
    read_histories,
)
from chiveledge.log_trace import describe_trace, trace_job

MS_PER_S = 1000


def status(
    job_id: str,
    *,
    url: str = "",
    token: str = "",
    workspace: str = "",
    json: bool = False,
) -> int:
    """Show the state of a job.

    :param job_id: ID of the job
    :param url: URLs of gateways, separated by commas
    :param token: token of the workspace
    :param workspace: name of the workspace
    :param json: print the reply as JSON
    """
    call = Call("GET", f"/v1/jobs/{job_id}", make_caller_headers(token, workspace))
    return print_first_reply(url, call, as_json=json)


def result(
    job_id: str,
    *,
    url: str = "",
    token: str = "",
    workspace: str = "",
    json: bool = False,
) -> int:
    """Show the results of a finished job.

    :param job_id: ID of the job
    :param url: URLs of gateways, separated by commas
    :param token: token of the workspace
    :param workspace: name of the workspace
    :param json: print the reply as JSON
    """
    call = Call(
        "GET", f"/v1/jobs/{job_id}/result", make_caller_headers(token, workspace)
    )
    return print_first_reply(url, call, as_json=json)


def explain(job_id: str, *, url: str = "", token: str = "", json: bool = False) -> int:
    """Show why a job waits.

    Asks all processes, as only the leader of the job's region can answer.

    :param job_id: ID of the job
    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print the reply as JSON
    """
    call = Call("GET", f"/v1/admin/explain/{job_id}", make_operator_headers(token))
    replies = call_all(read_urls(url), call)
    answers = [reply for reply in replies if reply.succeeded]
    return print_reply((answers or replies)[0], as_json=json)


def report(*logs: Path, json: bool = False) -> int:
    """Report where the time and the work of jobs went, from the logs of all hosts.

    :param logs: log files of the processes; standard input if none are given
    :param json: print the report as JSON
    """
    if not _are_files(logs):
        return EXIT_BAD_INPUT
    with _open_logs(logs) as texts:
        period_report = make_report(read_histories(texts))
    if json:
        print(json_codec.dumps(_to_json(period_report)))
    else:
        print("\n".join(describe_report(period_report)))
    return EXIT_SUCCESS if period_report.kinds else EXIT_FAILURE


def _are_files(logs: tuple[Path, ...]) -> bool:
    """Return whether all paths are files; print an error for the first that is not."""
    for path in logs:
        if not path.is_file():
            print(f"{path}: no such file; give log files of the hosts", file=sys.stderr)
            return False
    return True


def _open_logs(logs: tuple[Path, ...]) -> fileinput.FileInput:
    return fileinput.input(logs or ("-",), encoding="utf-8", errors="replace")


def _to_json(period_report: Report) -> dict[str, object]:
    fields = period_report._asdict()
    for name in ("kinds", "workspaces"):
        fields[name] = [group._asdict() for group in fields[name]]
    return fields


def trace(job_id: str, *logs: Path, json: bool = False) -> int:
    """Trace a job through the logs of all hosts: its route, waits and runs.

    :param job_id: ID of the job
    :param logs: log files of the processes; standard input if none are given
    :param json: print the log lines of the job as JSON
    """
    if not _are_files(logs):
        return EXIT_BAD_INPUT
    with _open_logs(logs) as texts:
        job_trace = trace_job(texts, job_id)
    if json:
        for line in job_trace.lines:
            print(json_codec.dumps(line._asdict()))
    else:
        print("\n".join(describe_trace(job_trace)))
    return EXIT_SUCCESS if job_trace.lines else EXIT_FAILURE


def configuration(*, url: str = "", token: str = "", json: bool = False) -> int:
    """Show the configuration in force and its revision.

    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print the reply as JSON
    """
    call = Call("GET", "/v1/admin/configuration", make_operator_headers(token))
    return print_first_reply(url, call, as_json=json)


def hosts(*, url: str = "", token: str = "", json: bool = False) -> int:
    """Show the readiness, revision, preset and led regions of every process.

    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print the reply as JSON
    """
    urls = read_urls(url)
    call = Call("GET", "/v1/admin/status", make_operator_headers(token))
    replies = call_all(urls, call)
    if json:
        print(json_codec.dumps([reply.body for reply in replies]))
    else:
        print(f"{'process':<28} {'ready':<6} {'revision':<9} {'preset':<12} leads")
        for address, reply in zip(urls, replies, strict=True):
            print(_format_process(address, reply))
    return EXIT_SUCCESS if all(reply.succeeded for reply in replies) else EXIT_FAILURE


def drains(*, url: str = "", token: str = "", json: bool = False) -> int:
    """Show drained failure domains: by whom, since when, and what still runs there.

    Asks all processes, as only a region's leader knows what runs there.

    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print the reply as JSON
    """
    call = Call("GET", "/v1/admin/drains", make_operator_headers(token))
    replies = call_all(read_urls(url), call)
    answers = [reply for reply in replies if reply.succeeded]
    if not answers:
        return print_reply(replies[0], as_json=json)
    leaders = [leader for reply in answers for leader in reply.body["leaders"]]
    rows = answers[0].body["drains"]
    if json:
        print(json_codec.dumps({"drains": rows, "leaders": leaders}))
        return EXIT_SUCCESS
    print(f"{'domain':<20} {'by':<16} {'since':<20} {'workers':<8} running")
    for row in rows:
        print(_format_drain(row, leaders))
    for leader in leaders:
        if not leader["starts"]:
            print(f"{leader['region']}: nothing starts, the drains are not known yet")
    return EXIT_SUCCESS


def timeline(
    *, subject: str = "", url: str = "", token: str = "", json: bool = False
) -> int:
    """Show the merged events of all processes.

    :param subject: show only the events of this request, job, target or region
    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print one JSON object per line
    """
    query = f"?subject={subject}" if subject else ""
    call = Call("GET", f"/v1/admin/timeline{query}", make_operator_headers(token))
    replies = call_all(read_urls(url), call)
    records = [r for reply in replies if reply.succeeded for r in reply.body["events"]]
    for record in merge_records(records):
        print(json_codec.dumps(record) if json else format_event(record))
    return EXIT_SUCCESS if all(reply.succeeded for reply in replies) else EXIT_FAILURE


def metrics(*, url: str = "", token: str = "") -> int:
    """Print the counters and percentiles of each process as JSON.

    :param url: URLs of processes, separated by commas
    :param token: operator token
    """
    call = Call("GET", "/v1/admin/metrics", make_operator_headers(token))
    replies = call_all(read_urls(url), call)
    for reply in replies:
        print(json_codec.dumps(reply.body))
    return EXIT_SUCCESS if all(reply.succeeded for reply in replies) else EXIT_FAILURE


def format_event(record: EventRecord) -> str:
    """Format an event of the timeline as a human-readable line."""
    fields = [
        record["time"][11:23],
        f"{record['process']:<26}",
        f"{record['part']:<13}",
        f"{record['name']:<18}",
        f"r{record['revision']}",
        f"e{record['epoch']}" if record["epoch"] else "-",
        record["subject"],
        record["outcome"],
        record["detail"],
    ]
    return " ".join(field for field in fields if field)


def _format_process(address: str, reply: Reply) -> str:
    if not reply.succeeded:
        return f"{address:<28} {'-':<6} not reached"
    body = reply.body
    ready = "yes" if body["ready"] else "no"
    led = [f"{region['region']} (epoch {region['epoch']})" for region in body["leads"]]
    return (
        f"{body['process']:<28} {ready:<6} {body['revision']:<9} "
        f"{body['preset']:<12} {', '.join(led)}"
    )


def _format_drain(row: dict[str, object], leaders: list[dict]) -> str:
    counts = [leader["running"].get(row["domain"]) for leader in leaders]
    known = [count for count in counts if count is not None]
    running = str(sum(known)) if known else "not known"
    return (
        f"{row['domain']:<20} {row['author'] or '?':<16} "
        f"{_format_time(row['since_ms']):<20} {row['workers']:<8} {running}"
    )


def _format_time(time_ms: int) -> str:
    if not time_ms:
        return "?"
    time = datetime.fromtimestamp(time_ms / MS_PER_S, tz=UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")
