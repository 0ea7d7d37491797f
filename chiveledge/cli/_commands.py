"""Commands of callers and operators."""

from __future__ import annotations

import json as json_codec
import sys
import uuid
from pathlib import Path

from absl import logging
from result import Err, Ok

from chiveledge.cli._client import (
    EXIT_BAD_INPUT,
    EXIT_DONE,
    Call,
    call_first,
    caller_headers,
    fail,
    operator_headers,
    print_reply,
    read_urls,
)
from chiveledge.configuration import parse_document
from chiveledge.process import run_process
from chiveledge.settings import load_settings


def run(settings: Path) -> int:
    """Run a process with the roles that its settings name.

    :param settings: file of JSON with comments
    """
    match load_settings(settings):
        case Ok(checked):
            logging.set_verbosity(logging.INFO)
            run_process(checked)
            return EXIT_DONE
        case Err(problem):
            print(f"chiveledge: {problem}", file=sys.stderr)
            return EXIT_BAD_INPUT
    raise AssertionError("unreachable")


def request(
    kind: str,
    body: str,
    *,
    key: str = "",
    deadline_ms: int = 0,
    url: str = "",
    token: str = "",
    workspace: str = "",
    json: bool = False,
) -> int:
    """Send a request to a minion and print its answer.

    :param kind: kind of request, as the configuration names it
    :param body: the request's body
    :param key: idempotency key, the same for each repeat
    :param deadline_ms: how long to wait, in milliseconds
    :param url: gateways, separated by commas
    :param token: token of the workspace
    :param workspace: name of the workspace
    :param json: print JSON
    """
    headers = caller_headers(token, workspace)
    if key:
        headers["Idempotency-Key"] = key
    if deadline_ms:
        headers["Chiveledge-Deadline-Ms"] = str(deadline_ms)
    call = Call("POST", f"/v1/requests/{kind}", headers, body.encode())
    return print_reply(call_first(read_urls(url), call), as_json=json)


def submit(
    region: str,
    *,
    members: int = 1,
    accelerators: int = 0,
    cores: int = 1,
    memory_mb: int = 256,
    adjacent: bool = True,
    request_class: str = "standard",
    run_time_hint_s: float = 0.0,
    payload: str = "{}",
    key: str = "",
    url: str = "",
    token: str = "",
    workspace: str = "",
    json: bool = False,
) -> int:
    """Submit a job whose members run together.

    :param region: where it runs
    :param members: size of the gang
    :param accelerators: accelerators of each member
    :param cores: processors of each member
    :param memory_mb: memory of each member, in MB
    :param adjacent: whether all accelerators must be adjacent
    :param request_class: urgent, standard or batch
    :param run_time_hint_s: expected run time, in seconds; 0 if not known
    :param payload: what the members run
    :param key: idempotency key; the same key gives the same job
    :param url: gateways, separated by commas
    :param token: token of the workspace
    :param workspace: name of the workspace
    :param json: print JSON
    """
    job = {
        "region": region,
        "request_class": request_class,
        "members": members,
        "accelerators": accelerators,
        "cores": cores,
        "memory_mb": memory_mb,
        "adjacent": adjacent,
        "run_time_hint_s": run_time_hint_s,
        "payload": payload,
    }
    headers = caller_headers(token, workspace)
    headers["Idempotency-Key"] = key or uuid.uuid4().hex
    call = Call("POST", "/v1/jobs", headers, json_codec.dumps(job).encode())
    return print_reply(call_first(read_urls(url), call), as_json=json)


def cancel(
    job_id: str,
    *,
    url: str = "",
    token: str = "",
    workspace: str = "",
    json: bool = False,
) -> int:
    """Cancel a job.

    :param job_id: the job
    :param url: gateways, separated by commas
    :param token: token of the workspace
    :param workspace: name of the workspace
    :param json: print JSON
    """
    headers = caller_headers(token, workspace)
    call = Call("DELETE", f"/v1/jobs/{job_id}", headers)
    return print_reply(call_first(read_urls(url), call), as_json=json)


def preset(
    name: str,
    *,
    expect: int,
    dry_run: bool = False,
    operator: str = "operator",
    url: str = "",
    token: str = "",
    json: bool = False,
) -> int:
    """Put another preset in force.

    :param name: the preset
    :param expect: revision that you saw; another change since then wins
    :param dry_run: print the effect only
    :param operator: your name, for the audit
    :param url: processes, separated by commas
    :param token: operator token
    :param json: print JSON
    """
    headers = operator_headers(token)
    headers |= {"If-Match": str(expect), "Chiveledge-Operator": operator}
    path = f"/v1/admin/preset/{name}" + ("?dry_run=1" if dry_run else "")
    call = Call("PUT", path, headers)
    return print_reply(call_first(read_urls(url), call), as_json=json)


def set_configuration(
    file: Path,
    *,
    expect: int,
    dry_run: bool = False,
    operator: str = "operator",
    url: str = "",
    token: str = "",
    json: bool = False,
) -> int:
    """Replace the whole configuration document.

    :param file: the document, JSON with comments
    :param expect: revision that you saw, 0 for the first one
    :param dry_run: print the effect only
    :param operator: your name, for the audit
    :param url: processes, separated by commas
    :param token: operator token
    :param json: print JSON
    """
    try:
        text = file.read_text(encoding="utf-8")
    except OSError as error:
        fail(f"{file}: can't be read: {error.strerror}")
    problem = parse_document(str(file), text).err()
    if problem is not None:
        fail(str(problem))
    headers = operator_headers(token)
    headers |= {"If-Match": str(expect), "Chiveledge-Operator": operator}
    path = "/v1/admin/configuration" + ("?dry_run=1" if dry_run else "")
    call = Call("PUT", path, headers, text.encode())
    return print_reply(call_first(read_urls(url), call), as_json=json)


def drain(*, url: str = "", token: str = "", json: bool = False) -> int:
    """Stop a process gracefully: it finishes what is in progress.

    :param url: the process
    :param token: operator token
    :param json: print JSON
    """
    call = Call("POST", "/v1/admin/drain", operator_headers(token))
    return print_reply(call_first(read_urls(url), call), as_json=json)
