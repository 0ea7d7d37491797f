"""Encoding of jobs and their progress as JSON text in rows."""

from __future__ import annotations

import json

from chiveledge.workload._model import JobRequest, JobState, Step, Usage
from chiveledge.workload._progress import (
    JobProgress,
    OpenRun,
    RunState,
    StepProgress,
    TaskProgress,
)

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


def encode_progress(progress: JobProgress) -> str:
    """Return the row text of a job's progress.

    Tasks are encoded as bit sets; only those that have run and are not done, or have
    an open run, add a row of their own.
    """
    fields = {
        "state": progress.state,
        "ended_ms": progress.ended_ms,
        "reason": progress.reason,
        "finished": sorted(progress.finished_occurrences),
        "occurrences": {
            occurrence: [_encode_tasks(step) for step in steps]
            for occurrence, steps in progress.occurrences.items()
        },
    }
    return json.dumps(fields, separators=(",", ":"))


def decode_progress(request: JobRequest, text: str, version: int) -> JobProgress:
    """Return the progress encoded in a row text.

    Open runs get the state unknown, since the row doesn't tell whether they started.
    """
    fields = json.loads(text)
    progress = JobProgress(
        request=request,
        state=JobState(fields["state"]),
        finished_occurrences=set(fields["finished"]),
        version=version,
        ended_ms=fields["ended_ms"],
        reason=fields["reason"],
    )
    for occurrence, steps in fields["occurrences"].items():
        progress.occurrences[int(occurrence)] = [
            _decode_tasks(spec.count, step)
            for spec, step in zip(request.steps, steps, strict=True)
        ]
    return progress


def _encode_tasks(step: StepProgress) -> dict[str, object]:
    done = sum(1 << index for index, task in enumerate(step.tasks) if task.done)
    begun = sum(1 << index for index, task in enumerate(step.tasks) if task.begun)
    rest = {}
    for index, task in enumerate(step.tasks):
        run = task.run
        if task.done and run is None:
            continue
        if task.last_run:
            rest[index] = [
                task.last_run,
                task.failures,
                task.checkpoint,
                [run.number, run.worker, run.incarnation_ms, run.checkpoint]
                if run
                else None,
                list(task.failed_on),
            ]
    fields: dict[str, object] = {"done": f"{done:x}", "begun": f"{begun:x}"}
    if rest:
        fields["tasks"] = rest
    if step.failed_run:
        fields["failed_run"] = step.failed_run
    return fields


def _decode_tasks(count: int, fields: dict) -> StepProgress:
    done = int(fields["done"], 16)
    begun = int(fields["begun"], 16)
    tasks = [
        TaskProgress(
            done=bool(done >> index & 1),
            begun=bool(begun >> index & 1),
            last_run=done >> index & 1,
        )
        for index in range(count)
    ]
    for index, row in fields.get("tasks", {}).items():
        task = tasks[int(index)]
        task.last_run, task.failures, task.checkpoint, run, failed_on = row
        task.failed_on = tuple(failed_on)
        if run is not None:
            number, worker, incarnation_ms, checkpoint = run
            task.run = OpenRun(
                number,
                worker,
                incarnation_ms,
                state=RunState.UNKNOWN,
                checkpoint=checkpoint,
            )
    return StepProgress(tasks, fields.get("failed_run", 0))
