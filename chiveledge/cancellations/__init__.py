"""What both schedulers and their callers' interfaces share on cancellations of jobs.

A cancellation that finds no job is stored all the same, since a submission of the job
may still be on its way. Each submission checks that no cancellation of its workspace is
stored.
"""

from __future__ import annotations

from chiveledge.cancellations._cancellation import Cancellation, digest_owner
from chiveledge.cancellations._quota import CancellationQuota
from chiveledge.cancellations._row_ages import RowAges

RETENTION_S = 180.0
"""How long a cancellation without its job is kept at least by default, in seconds; a
submission is on its way for seconds, with the suspensions of a process."""

__all__ = [
    "RETENTION_S",
    "Cancellation",
    "CancellationQuota",
    "RowAges",
    "digest_owner",
]
