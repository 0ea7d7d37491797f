"""What proves that a run is gone although its worker reported no end.

A run that is closed may start elsewhere, so a mistake makes a task run twice. A refused
connection, a missing entry in the platform's list or an unanswered poll proves nothing:
a worker that is cut off, or that only the platform can't reach, shows the same.

There are three proofs: the lease has surely expired; the worker process started again,
so that nothing of before runs; or a complete report, requested after the start order
was carried out or barred, doesn't show the run.
"""

from __future__ import annotations

from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_lease import CLOCK_RATE
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.leadership import Leadership
from chiveledge.services.task_worker import PollReport

FORMER_LEADER_GRACE_S = 3.0
"""How long after the lapse of its leadership a leader may extend leases of workers."""


def may_extend_leases(leadership: Leadership, now_s: float) -> bool:
    """Return whether an order may extend a lease, so that the next leader counts it."""
    return now_s < leadership.valid_until_s + FORMER_LEADER_GRACE_S


def has_lease_expired(
    link: WorkerLink, now_s: float, term_began_s: float, longest_lease_s: float
) -> bool:
    """Return whether all runs on a worker have lapsed.

    Parameters
    ----------
    link : WorkerLink
        The worker, whose last poll got no answer.
    now_s, term_began_s : float
        Monotonic time now, and at the beginning of this leader's term.
    longest_lease_s : float
        Longest lease that a worker grants, in seconds.
    """
    if link.lease.is_known:
        return link.lease.is_over(now_s)
    if link.lease.may_have_late_grant(now_s):
        return False
    # Only earlier leaders, or orders to an earlier incarnation, may have granted one.
    since_s = max(term_began_s, link.incarnation_began_s)
    return now_s - since_s > longest_lease_s / CLOCK_RATE + FORMER_LEADER_GRACE_S


def list_absent_runs(
    link: WorkerLink, report: PollReport, sent_s: float
) -> list[TrackedRun]:
    """Return the open runs that a worker neither has nor will have.

    Parameters
    ----------
    link : WorkerLink
        The worker that reported.
    report : PollReport
        Its answer to a poll that carried the fence of this term.
    sent_s : float
        Monotonic time at which the poll was sent.
    """
    if report.has_more_ends:
        return []
    reported = {(row.task, row.run) for row in (*report.running, *report.ended)}
    return [
        tracked
        for key, tracked in link.runs.items()
        if key not in reported
        and tracked.resolved_s is not None
        and sent_s >= tracked.resolved_s
    ]
