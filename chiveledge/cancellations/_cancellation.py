"""Whose cancellation a row is."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from chiveledge.types import JobId, WorkspaceName

OWNER_CHARS = 16


class Cancellation(NamedTuple):
    """What the key of a cancellation row says.

    Attributes
    ----------
    owner : str
        Digest of the workspace that cancelled; empty in the rows of earlier versions,
        which only the owner of a stored job could write.
    """

    job_id: JobId
    owner: str

    def applies_to(self, workspace: WorkspaceName) -> bool:
        """Whether a job of a workspace is cancelled."""
        return self.owner in ("", digest_owner(workspace))


def digest_owner(workspace: WorkspaceName) -> str:
    """Return the digest that stands in keys for a workspace, whose name may be long."""
    return hashlib.sha256(workspace.encode()).hexdigest()[:OWNER_CHARS]
