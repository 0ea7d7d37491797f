"""Encoding of the progress of jobs as JSON text in rows of limited length.

The progress of most jobs is one row, the header. If it would be too long, the header
keeps the state of the job, and each range of tasks of a step has a row of its own, a
part. A part is only written when its tasks have changed.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chiveledge.workload._model import JobRequest, JobState
from chiveledge.workload._occurrences import OccurrenceSet
from chiveledge.workload._progress import (
    JobProgress,
    OpenRun,
    RunState,
    StepProgress,
    TaskProgress,
)

MAX_PART_TASKS = 256
"""Most tasks in a part; with short names of workers, they take some 24 kB."""

MAX_CHECKPOINT_CHARS = 16_384
"""Longest encoding of a checkpoint, so that two and the rest of a task fit in a row."""

LONGEST_ESCAPE_CHARS = 6
"""Characters of the longest escape sequence in a JSON string, as in ``\\u0001``."""


class EncodedProgress(NamedTuple):
    """Row texts of a job's progress.

    Attributes
    ----------
    header : str
        Text of the job's first row.
    parts : dict
        Texts of further rows by the name of the part; empty if the header holds all.
    """

    header: str
    parts: dict[str, str]


class TaskRange(NamedTuple):
    """Consecutive tasks of a step, whose progress is in one part."""

    occurrence: int
    step: int
    first: int
    count: int

    @property
    def name(self) -> str:
        """Name of the part."""
        return ".".join(map(str, self))

    @property
    def indices(self) -> slice:
        """Indices of the tasks within their step."""
        return slice(self.first, self.first + self.count)

    @classmethod
    def parse(cls, name: str) -> TaskRange:
        """Return the range of a part's name; raise ValueError if it isn't one."""
        occurrence, step, first, count = map(int, name.split("."))
        return cls(occurrence, step, first, count)


def can_store_checkpoint(text: str) -> bool:
    """Return whether a checkpoint is short enough to be stored with its task."""
    if len(text) * LONGEST_ESCAPE_CHARS <= MAX_CHECKPOINT_CHARS:
        return True
    return len(json.dumps(text)) <= MAX_CHECKPOINT_CHARS


def encode_progress(progress: JobProgress, max_chars: int) -> EncodedProgress:
    """Return the row texts of a job's progress.

    Tasks are encoded as bit sets; only those that have run and are not done, or have
    an open run, add a list of their own.

    Parameters
    ----------
    progress : JobProgress
        Progress to encode.
    max_chars : int
        Longest text of a row. All characters are ASCII.
    """
    occurrences = {
        occurrence: [_encode_tasks(step, step.tasks) for step in steps]
        for occurrence, steps in progress.occurrences.items()
    }
    header = _encode_header(progress, {"occurrences": occurrences})
    if len(header) <= max_chars:
        return EncodedProgress(header, {})
    parts = {
        part.name: text
        for occurrence, steps in progress.occurrences.items()
        for number, step in enumerate(steps)
        for first in range(0, len(step.tasks), MAX_PART_TASKS)
        for part, text in _encode_range(
            step,
            TaskRange(
                occurrence, number, first, min(MAX_PART_TASKS, len(step.tasks) - first)
            ),
            max_chars,
        )
    }
    return EncodedProgress(_encode_header(progress, {"has_parts": True}), parts)


def decode_progress(
    request: JobRequest,
    header: str,
    version: int,
    parts: Iterable[tuple[str, str]] = (),
) -> JobProgress:
    """Return the progress encoded in row texts.

    Open runs get the state unknown, since the row doesn't tell whether they started.

    Parameters
    ----------
    header : str
        Text of the job's first row.
    version : int
        Version of that row.
    parts : iterable of tuple
        Name and text of each part, the one written last at the end. Of ranges that
        overlap, it has precedence. Ignored if the header holds all tasks.
    """
    fields = json.loads(header)
    progress = JobProgress(
        request=request,
        state=JobState(fields["state"]),
        finished_occurrences=OccurrenceSet.from_ranges(fields["finished"]),
        version=version,
        ended_ms=fields["ended_ms"],
        reason=fields["reason"],
    )
    for occurrence, steps in fields.get("occurrences", {}).items():
        found = progress.open_occurrence(int(occurrence))
        for step, tasks in zip(found, steps, strict=True):
            _decode_tasks(step, slice(None), tasks)
    if fields.get("has_parts"):
        for name, text in parts:
            part = TaskRange.parse(name)
            step = progress.open_occurrence(part.occurrence)[part.step]
            _decode_tasks(step, part.indices, json.loads(text))
    return progress


def _encode_header(progress: JobProgress, tasks: dict[str, object]) -> str:
    fields = {
        "state": progress.state,
        "ended_ms": progress.ended_ms,
        "reason": progress.reason,
        "finished": list(progress.finished_occurrences.ranges()),
    }
    return _to_json(fields | tasks)


def _encode_range(
    step: StepProgress, part: TaskRange, max_chars: int
) -> Iterator[tuple[TaskRange, str]]:
    """Yield the parts of a range of tasks, halved until each fits, and their texts."""
    tasks = step.tasks[part.indices]
    if not step.failed_run and not any(task.last_run or task.done for task in tasks):
        return
    text = _to_json(_encode_tasks(step, tasks))
    if len(text) <= max_chars or part.count == 1:
        yield part, text
        return
    half = part.count // 2
    yield from _encode_range(step, part._replace(count=half), max_chars)
    rest = part._replace(first=part.first + half, count=part.count - half)
    yield from _encode_range(step, rest, max_chars)


def _encode_tasks(step: StepProgress, tasks: list[TaskProgress]) -> dict[str, object]:
    done = sum(1 << index for index, task in enumerate(tasks) if task.done)
    begun = sum(1 << index for index, task in enumerate(tasks) if task.begun)
    fields: dict[str, object] = {"done": f"{done:x}", "begun": f"{begun:x}"}
    rest = {
        index: _encode_task(task)
        for index, task in enumerate(tasks)
        if task.last_run and not (task.done and task.run is None)
    }
    if rest:
        fields["tasks"] = rest
        fields |= _encode_details(tasks, rest)
    if step.failed_run:
        fields["failed_run"] = step.failed_run
    return fields


def _encode_details(
    tasks: list[TaskProgress], indices: Iterable[int]
) -> dict[str, object]:
    """Return what only some of the tasks have, by their indices."""
    machines = {}
    crashes = {}
    for index in indices:
        task = tasks[index]
        if task.run is not None and task.run.machine:
            machines[index] = task.run.machine
        if task.crashes:
            crashes[index] = [
                task.crashes,
                task.named_crashes,
                task.crashed_run,
                task.last_crash_ms,
                task.suspected,
            ]
    details = {"machines": machines, "crashes": crashes}
    return {name: rows for name, rows in details.items() if rows}


def _encode_task(task: TaskProgress) -> list[object]:
    run = task.run
    open_run = run and [run.number, run.worker, run.incarnation_ms, run.checkpoint]
    failed_on = list(task.failed_on)
    return [task.last_run, task.failures, task.checkpoint, open_run, failed_on]


def _decode_tasks(step: StepProgress, indices: slice, fields: dict) -> None:
    """Replace the progress of some tasks of a step by that encoded in `fields`."""
    done = int(fields["done"], 16)
    begun = int(fields["begun"], 16)
    tasks = [
        TaskProgress(
            done=bool(done >> index & 1),
            begun=bool(begun >> index & 1),
            last_run=done >> index & 1,
        )
        for index in range(len(step.tasks[indices]))
    ]
    for index, row in fields.get("tasks", {}).items():
        _decode_task(tasks[int(index)], row)
    for index, machine in fields.get("machines", {}).items():
        tasks[int(index)].run.machine = machine
    for index, row in fields.get("crashes", {}).items():
        task = tasks[int(index)]
        task.crashes, task.named_crashes, task.crashed_run, *rest = row
        task.last_crash_ms, task.suspected = rest
    step.tasks[indices] = tasks
    step.failed_run = max(step.failed_run, fields.get("failed_run", 0))


def _decode_task(task: TaskProgress, row: list) -> None:
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


def _to_json(fields: dict[str, object]) -> str:
    return json.dumps(fields, separators=(",", ":"))
