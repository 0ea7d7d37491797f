"""Decoders of the operators' configuration and of the jobs that callers submit."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from result import Err, Ok, Result

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


class InvalidJob(NamedTuple):
    """Invalid field of a submitted job, and how to correct it."""

    field: str
    remedy: str


def decode_catalogue(text: str) -> Result[Catalogue, str]:
    """Decode the operators' configuration row, or return why it is invalid."""
    try:
        fields = json.loads(text)
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
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Err(repr(error))


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
        fields = json.loads(body)
    except ValueError:
        return Err(InvalidJob("body", "send JSON"))
    if not isinstance(fields, dict):
        return Err(InvalidJob("body", "send an object"))
    payload = fields.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
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
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            return Err(InvalidJob(f"steps.{number}", str(error)))
    schedule = {name: fields.get(name, 0) for name in _SCHEDULE_FIELDS}
    for name, value in schedule.items():
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            return Err(InvalidJob(name, "send a non-negative integer"))
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


def _decode_step(row: dict[str, Any], number: int) -> Step:
    after = tuple(
        _check_whole_number(earlier, "after") for earlier in row.get("after", ())
    )
    if any(not 0 <= earlier < number for earlier in after):
        raise ValueError("after: name earlier steps only")
    count = _check_whole_number(row.get("count", 0), "count")
    if count < 1:
        raise ValueError("count: request at least one task")
    return Step(
        count=count,
        usage=Usage(
            _check_whole_number(row.get("cpu", 0), "cpu"),
            _check_whole_number(row.get("mem_mb", 0), "mem_mb"),
            _check_whole_number(row.get("gpu", 0), "gpu"),
        ),
        estimate_s=float(row.get("estimate_ms", 0)) / 1000,
        after=after,
        checkpoints=bool(row.get("checkpoint", False)),
        gang=bool(row.get("gang", False)),
        same_rack=bool(row.get("same_rack", False)),
        speculative=bool(row.get("speculative", False)),
        lasting=bool(row.get("long_running", False)),
        filler=bool(row.get("fills", False)),
        required_label=_check_text(row.get("requires", ""), "requires"),
        data_rack=_check_text(row.get("affinity", ""), "affinity"),
        max_per_worker=_check_whole_number(
            row.get("anti_affinity", 0), "anti_affinity"
        ),
        may_be_away=_check_whole_number(row.get("may_miss", 0), "may_miss"),
        image=_check_text(row.get("image", ""), "image"),
        latency_target_ms=_check_whole_number(row.get("target_ms", 0), "target_ms"),
    )


def _check_whole_number(value: object, field: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{field}: send a non-negative integer")
    return value


def _check_text(value: object, field: str) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{field}: send a string")
    return value
