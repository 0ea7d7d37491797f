"""What the workers of a service can hold when they are empty."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chiveledge.placement._worker_view import count_if_empty
from chiveledge.workload import Step, Usage


class WorkerKind(NamedTuple):
    """What workers have in common that can hold the same tasks when they are empty.

    Attributes
    ----------
    labels : frozenset of str
        Labels of the workers, without their racks.
    """

    labels: frozenset[str]
    capacity: Usage


def explain_infeasible(workers: Mapping[WorkerKind, int], steps: Iterable[Step]) -> str:
    """Return why steps never start on so many workers; empty if they may.

    Parameters
    ----------
    workers : mapping
        Number of workers of each kind.
    steps : iterable of Step
        Steps of a job. One that requires a label which no kind has may start, since
        the label may be that of a rack.
    """
    for number, step in enumerate(steps):
        label = step.required_label
        labelled = [kind for kind in workers if not label or label in kind.labels]
        if label and not labelled:
            continue
        held = sum(
            workers[kind] * count_if_empty(kind.capacity, step) for kind in labelled
        )
        wanted = step.count if step.gang else 1
        if held < wanted:
            return (
                f"steps[{number}]: {held} of its tasks fit on all workers together "
                f"when these are empty, {wanted} must start at once; "
                "ask for fewer or smaller tasks"
            )
    return ""
