"""Commands of callers and operators that change state."""

from __future__ import annotations

import json as json_codec
import sys
import uuid
from pathlib import Path
from urllib.parse import quote

from absl import logging
from result import Err, Ok

from chiveledge.cli._client import (
    EXIT_BAD_INPUT,
    EXIT_SUCCESS,
    Call,
    exit_bad_input,
    make_caller_headers,
    make_operator_headers,
    print_first_reply,
)
from chiveledge.configuration import parse_document
from chiveledge.drain_store import find_domain_problem
from chiveledge.process import run_process
from chiveledge.settings import load_settings


def run(settings: Path) -> int:
    """Run a process with the roles given in its settings.

    :param settings: settings file, JSON with comments
    """
    match load_settings(settings):
        case Ok(checked):
            logging.set_verbosity(logging.INFO)
            run_process(checked)
            return EXIT_SUCCESS
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
    """Send a request to a minion and print the answer.

    :param kind: kind of request, one of those in the configuration
    :param body: body of the request
    :param key: idempotency key; use the same key for every retry
    :param deadline_ms: time limit in milliseconds; 0 for that of the kind
    :param url: URLs of gateways, separated by commas
    :param token: token of the workspace
    :param workspace: name of the workspace
    :param json: print the reply as JSON
    """
    headers = make_caller_headers(token, workspace)
    if key:
        headers["Idempotency-Key"] = key
    if deadline_ms:
        headers["Chiveledge-Deadline-Ms"] = str(deadline_ms)
    call = Call("POST", f"/v1/requests/{kind}", headers, body.encode())
    return print_first_reply(url, call, as_json=json)


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
    """Submit a job whose members are started together as a gang.

    :param region: region in which the job runs
    :param members: number of members of the gang
    :param accelerators: accelerators per member
    :param cores: CPU cores per member
    :param memory_mb: memory per member, in MB
    :param adjacent: require all accelerators of the gang to be adjacent
    :param request_class: request class: urgent, standard or batch
    :param run_time_hint_s: expected run time in seconds; 0 if unknown
    :param payload: payload passed to each member
    :param key: idempotency key; a repeated key returns the same job
    :param url: URLs of gateways, separated by commas
    :param token: token of the workspace
    :param workspace: name of the workspace
    :param json: print the reply as JSON
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
    headers = make_caller_headers(token, workspace)
    headers["Idempotency-Key"] = key or uuid.uuid4().hex
    call = Call("POST", "/v1/jobs", headers, json_codec.dumps(job).encode())
    return print_first_reply(url, call, as_json=json)


def cancel(
    job_id: str,
    *,
    url: str = "",
    token: str = "",
    workspace: str = "",
    json: bool = False,
) -> int:
    """Cancel a job.

    :param job_id: ID of the job
    :param url: URLs of gateways, separated by commas
    :param token: token of the workspace
    :param workspace: name of the workspace
    :param json: print the reply as JSON
    """
    headers = make_caller_headers(token, workspace)
    call = Call("DELETE", f"/v1/jobs/{job_id}", headers)
    return print_first_reply(url, call, as_json=json)


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
    """Switch to another preset of the configuration.

    :param name: name of the preset
    :param expect: revision the change is based on; refused if a newer one exists
    :param dry_run: print the effect of the change without making it
    :param operator: your name, recorded as the author of the revision
    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print the reply as JSON
    """
    headers = _make_change_headers(token, expect, operator)
    path = f"/v1/admin/preset/{name}" + ("?dry_run=1" if dry_run else "")
    call = Call("PUT", path, headers)
    return print_first_reply(url, call, as_json=json)


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

    :param file: file with the document, JSON with comments
    :param expect: revision the change is based on; 0 if there is none yet
    :param dry_run: print the effect of the change without making it
    :param operator: your name, recorded as the author of the revision
    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print the reply as JSON
    """
    try:
        text = file.read_text(encoding="utf-8")
    except OSError as error:
        exit_bad_input(f"{file}: can't be read: {error.strerror}")
    problem = parse_document(str(file), text).err()
    if problem is not None:
        exit_bad_input(str(problem))
    headers = _make_change_headers(token, expect, operator)
    path = "/v1/admin/configuration" + ("?dry_run=1" if dry_run else "")
    call = Call("PUT", path, headers, text.encode())
    return print_first_reply(url, call, as_json=json)


def _make_change_headers(token: str, expect: int, operator: str) -> dict[str, str]:
    change = {"If-Match": str(expect), "Chiveledge-Operator": operator}
    return make_operator_headers(token) | change


def drain(*, url: str = "", token: str = "", json: bool = False) -> int:
    """Shut a process down gracefully, after it finishes the work in progress.

    :param url: URL of the process
    :param token: operator token
    :param json: print the reply as JSON
    """
    call = Call("POST", "/v1/admin/drain", make_operator_headers(token))
    return print_first_reply(url, call, as_json=json)


def drain_domain(
    domain: str,
    *,
    operator: str = "operator",
    url: str = "",
    token: str = "",
    json: bool = False,
) -> int:
    """Take a failure domain out: no more gangs start there, running ones go on.

    :param domain: name of the failure domain
    :param operator: your name, recorded as the author
    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print the reply as JSON
    """
    call = _make_drain_call("PUT", domain, operator, token)
    return print_first_reply(url, call, as_json=json)


def undrain_domain(
    domain: str,
    *,
    operator: str = "operator",
    url: str = "",
    token: str = "",
    json: bool = False,
) -> int:
    """Give a drained failure domain back.

    :param domain: name of the failure domain
    :param operator: your name, recorded as the author
    :param url: URLs of processes, separated by commas
    :param token: operator token
    :param json: print the reply as JSON
    """
    call = _make_drain_call("DELETE", domain, operator, token)
    return print_first_reply(url, call, as_json=json)


def _make_drain_call(method: str, domain: str, operator: str, token: str) -> Call:
    problem = find_domain_problem(domain)
    if problem:
        exit_bad_input(problem)
    headers = make_operator_headers(token) | {"Chiveledge-Operator": operator}
    return Call(method, f"/v1/admin/drains/{quote(domain, safe='')}", headers)
