"""Decoders of the operators' configuration and of the jobs that callers submit."""

from __future__ import annotations

from typing import Any, NamedTuple

from result import Err, Ok, Result

from chiveledge.decoding import (
    DECODE_ERRORS,
    check_number,
    check_type,
    check_whole_number,
    describe_error,
    parse_json,
)
from chiveledge.workload import (
    AdvicePolicy,
    Catalogue,
    JobRequest,
    Queue,
    RequestLimits,
    Service,
    Step,
    Usage,
    Workspace,
)

CONFIGURATION_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
MAX_PAYLOAD_BYTES = 4000
MAX_STEPS = 100
MAX_TASKS = 10_000

MAX_OCCURRENCES = 1_000_000
"""Nearly two years of a schedule of each minute."""


class InvalidJob(NamedTuple):
    """Invalid field of a submitted job, and how to correct it."""

    field: str
    remedy: str


def decode_catalogue(text: str) -> Result[Catalogue, str]:
    """Decode the operators' configuration row, or return why it is invalid."""
    try:
        fields = parse_json(text)
        queues = [_decode_queue(route) for route in fields.get("routes", ())]
        services = [
            Service(
                service["name"],
                # If the field is missing, assume that the workers accept more than
                # fits.
                checks_capacity=bool(service.get("enforces_capacity", False)),
                standby=bool(service.get("standby", False)),
            )
            for service in fields.get("services", ())
        ]
        workspaces = [
            Workspace(
                tenant["name"],
                tuple(tenant.get("api_keys", ())),
                int((tenant.get("guaranteed") or {}).get("gpu", 0)),
            )
            for tenant in fields.get("tenants", ())
        ]
        return Ok(
            Catalogue(
                revision=int(fields["version"]),
                queues={queue.key: queue for queue in queues},
                services={service.name: service for service in services},
                workspaces={space.name: space for space in workspaces},
                owners={key: space.name for space in workspaces for key in space.keys},
                limits=_decode_limits(fields.get("limits") or {}),
            )
        )
    except DECODE_ERRORS as error:
        return Err(describe_error(error))


def _decode_queue(route: dict[str, Any]) -> Queue:
    advice = route.get("advice")
    return Queue(
        key=route["host"] + route["path_prefix"],
        host=route["host"],
        path_prefix=route["path_prefix"],
        service=route["service"],
        priority=int(route.get("priority", 0)),
        max_attempts=int(route.get("max_attempts", 1)),
        stretch=float(route.get("stretch", 1.0)),
        target_s=float(route.get("target_runtime_ms", 0)) / 1000,
        is_public=bool(route.get("no_auth", False)),
        advice=AdvicePolicy(
            float(advice.get("decide_ms", 0)) / 1000,
            float(advice.get("each_ms", 0)) / 1000,
            float(advice.get("valid_ms", 0)) / 1000,
        )
        if advice
        else None,
    )


def _decode_limits(fields: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        header_bytes=int(fields.get("max_header_bytes", default.header_bytes)),
        body_bytes=int(fields.get("max_body_bytes", default.body_bytes)),
        header_s=float(fields.get("header_timeout_ms", 3000)) / 1000,
        idle_s=float(fields.get("idle_timeout_ms", 15000)) / 1000,
    )


def decode_job(
    body: bytes, job_id: str, queue: Queue, workspace: str, accepted_ms: int
) -> Result[JobRequest, InvalidJob]:
    """Decode the body of a submission, or return its first invalid field."""
    try:
        fields = parse_json(body)
    except DECODE_ERRORS:
        return Err(InvalidJob("body", "send JSON that is not deeply nested"))
    if not isinstance(fields, dict):
        return Err(InvalidJob("body", "send an object"))
    payload = fields.get("spec", "")
    if not _is_valid_payload(payload):
        return Err(
            InvalidJob("spec", f"send a string of up to {MAX_PAYLOAD_BYTES} bytes")
        )
    rows = fields.get("steps")
    if not isinstance(rows, list) or not 0 < len(rows) <= MAX_STEPS:
        return Err(InvalidJob("steps", f"send a list of 1 to {MAX_STEPS} steps"))
    steps = []
    for number, row in enumerate(rows):
        try:
            steps.append(_decode_step(row, number))
        except DECODE_ERRORS as error:
            return Err(InvalidJob(f"steps.{number}", str(error)))
    schedule = {}
    for name in _SCHEDULE_FIELDS:
        try:
            schedule[name] = check_whole_number(fields.get(name, 0))
        except DECODE_ERRORS as error:
            return Err(InvalidJob(name, f"send a whole number; {error}"))
    if schedule["repeat_count"] > MAX_OCCURRENCES:
        return Err(InvalidJob("repeat_count", f"send up to {MAX_OCCURRENCES}"))
    if sum(step.count for step in steps) > MAX_TASKS:
        return Err(InvalidJob("steps", f"send up to {MAX_TASKS} tasks"))
    return Ok(
        JobRequest(
            job_id=job_id,
            queue=queue.key,
            workspace=workspace,
            payload=payload,
            steps=tuple(steps),
            accepted_ms=accepted_ms,
            occurrences=schedule["repeat_count"],
            first_due_ms=schedule["first_ms"],
            interval_ms=schedule["interval_ms"],
            service=queue.service,
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            stretch=queue.stretch,
            target_s=queue.target_s,
        )
    )


_SCHEDULE_FIELDS = ("repeat_count", "first_ms", "interval_ms")


def _is_valid_payload(payload: object) -> bool:
    try:
        return len(check_type(payload, str).encode()) <= MAX_PAYLOAD_BYTES
    except DECODE_ERRORS:
        # Not a string, or one with half of a surrogate pair, which has no encoding.
        return False


def _decode_step(row: dict[str, Any], number: int) -> Step:
    after = tuple(
        sorted({_check_field(earlier, "after") for earlier in row.get("after", ())})
    )
    if any(not 0 <= earlier < number for earlier in after):
        raise ValueError("after: name earlier steps only")
    count = _check_field(row.get("count", 0), "count")
    if count < 1:
        raise ValueError("count: request at least one task")
    return Step(
        count=count,
        usage=Usage(
            _check_field(row.get("cpu", 0), "cpu"),
            _check_field(row.get("mem_mb", 0), "mem_mb"),
            _check_field(row.get("gpu", 0), "gpu"),
        ),
        estimate_s=_check_estimate(row.get("estimate_ms", 0)) / 1000,
        after=after,
        checkpoints=bool(row.get("checkpoint", False)),
        gang=bool(row.get("gang", False)),
        same_rack=bool(row.get("same_rack", False)),
        speculative=bool(row.get("speculative", False)),
        lasting=bool(row.get("long_running", False)),
        filler=bool(row.get("fills", False)),
        required_label=_check_text(row.get("requires", ""), "requires"),
        data_rack=_check_text(row.get("affinity", ""), "affinity"),
        max_per_worker=_check_field(row.get("anti_affinity", 0), "anti_affinity"),
        may_be_away=_check_field(row.get("may_miss", 0), "may_miss"),
        image=_check_text(row.get("image", ""), "image"),
        latency_target_ms=_check_field(row.get("target_ms", 0), "target_ms"),
    )


def _check_field(value: object, field: str) -> int:
    try:
        return check_whole_number(value)
    except (TypeError, ValueError) as error:
        raise ValueError(f"{field}: send a whole number; {error}") from error


def _check_estimate(value: object) -> float:
    try:
        estimate_ms = check_number(value)
    except (TypeError, ValueError) as error:
        raise ValueError(f"estimate_ms: send a number; {error}") from error
    if estimate_ms < 0:
        raise ValueError("estimate_ms: send a time that is not negative")
    return estimate_ms


def _check_text(value: object, field: str) -> str:
    try:
        return check_type(value, str)
    except TypeError as error:
        raise ValueError(f"{field}: send a string; {error}") from error
