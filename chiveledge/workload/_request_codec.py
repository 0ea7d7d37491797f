"""Encoding of submitted jobs as JSON text in rows."""

from __future__ import annotations

import json

from chiveledge.workload._model import JobRequest, Step, Usage

_STEP_DEFAULTS = Step()._asdict()


def encode_request(request: JobRequest) -> str:
    """Return the row text of a job."""
    fields = request._asdict()
    fields["steps"] = [_encode_step(step) for step in request.steps]
    return json.dumps(fields, separators=(",", ":"))


def decode_request(text: str) -> JobRequest:
    """Return the job encoded in a row text."""
    fields = json.loads(text)
    fields["steps"] = tuple(_decode_step(step) for step in fields["steps"])
    return JobRequest(**fields)


def _encode_step(step: Step) -> dict[str, object]:
    return {
        name: value
        for name, value in step._asdict().items()
        if value != _STEP_DEFAULTS[name]
    }


def _decode_step(fields: dict) -> Step:
    fields["usage"] = Usage(*fields.get("usage", ()))
    fields["after"] = tuple(fields.get("after", ()))
    return Step(**fields)
