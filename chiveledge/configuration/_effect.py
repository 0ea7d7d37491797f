"""Describes the effect of a configuration change before it is made."""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.configuration._model import Document
from chiveledge.types import WorkspaceName


class ChangeEffect(NamedTuple):
    """Effect of a change on workspaces and on jobs in progress.

    Attributes
    ----------
    preset : str
        Preset in force after the change.
    added, removed, changed : tuple of str
        Workspaces that are added, removed or defined differently.
    notes : tuple of str
        Consequences for jobs, one sentence each.
    """

    preset: str
    added: tuple[WorkspaceName, ...]
    removed: tuple[WorkspaceName, ...]
    changed: tuple[WorkspaceName, ...]
    notes: tuple[str, ...]


def describe_change(before: Document | None, after: Document) -> ChangeEffect:
    """Return the effect of replacing one document by another.

    Parameters
    ----------
    before : Document or None
        Document in force, None if there is none.
    after : Document
        Document to replace it.
    """
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
