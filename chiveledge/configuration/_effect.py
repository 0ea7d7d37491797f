"""Tells an operator what a change would do, without making it."""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.configuration._model import Document
from chiveledge.types import WorkspaceName


class ChangeEffect(NamedTuple):
    """What a change means for workspaces and work in progress."""

    preset: str
    added: tuple[WorkspaceName, ...]
    removed: tuple[WorkspaceName, ...]
    changed: tuple[WorkspaceName, ...]
    notes: tuple[str, ...]


def describe_change(before: Document | None, after: Document) -> ChangeEffect:
    """Compare two documents in an operator's words."""
    old = before.workspaces if before else {}
    new = after.workspaces
    added = tuple(sorted(set(new) - set(old)))
    removed = tuple(sorted(set(old) - set(new)))
    changed = tuple(name for name in new if name in old and new[name] != old[name])
    notes = tuple(
        f"jobs of {name} that run are finished as borrowers; waiting jobs are refused"
        for name in removed
    )
    notes += tuple(
        f"jobs of {name} beyond its new guarantee go on as borrowers"
        for name in changed
        if new[name].guarantees != old[name].guarantees
    )
    policy = after.policy
    if not policy.start_jobs:
        notes += ("running gangs finish; no new gang starts under this preset",)
    if not policy.borrowing:
        notes += ("borrowers finish; no new borrower starts under this preset",)
    return ChangeEffect(after.preset, added, removed, changed, notes)
