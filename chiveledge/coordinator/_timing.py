"""Timing parameters of the coordinator, which a deployment may override."""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.cancellations import RETENTION_S

POLLS_PER_SECOND = 120
"""Polls of busy workers in a second; each takes a leader about half a millisecond."""


class CoordinatorTiming(NamedTuple):
    """Timing parameters of the coordinator, in seconds.

    Attributes
    ----------
    leader_lease_s : float
        Duration of the leadership after its last renewal.
    renew_s : float
        Interval between renewals of the leadership.
    lease_poll_s : float
        Interval at which a standby polls the leader's lease.
    work_lease_s : float
        Duration of the lease on a worker's runs after its last extension.
    longest_lease_s : float
        Longest lease that a worker grants, whatever an order asks for.
    poll_wait_busy_s, poll_wait_idle_s : float
        Longest wait of one poll of a worker with runs, and of one without.
    order_timeout_s : float
        Timeout of one order.
    stop_s : float
        Longest time that a stop takes.
    keep_ended_s : float
        How long the state of an ended job can be read.
    keep_cancellations_s : float
        How long a cancellation without its job is kept; longer than a submission can
        be on its way.
    drain_s : float
        Shortest time that a worker stays after it announced draining.
    machine_lease_s : float
        How long a former leader's orders to machines may still be in flight.
    upkeep_s : float
        Downtime of a machine for its upkeep.
    stall_s : float
        Shortest time without progress after which a run counts as stalled that may not
        have begun to work yet.
    """

    leader_lease_s: float = 1.1
    renew_s: float = 0.4
    lease_poll_s: float = 0.4
    work_lease_s: float = 6.0
    longest_lease_s: float = 10.0
    poll_wait_busy_s: float = 0.5
    poll_wait_idle_s: float = 2.0
    order_timeout_s: float = 0.8
    stop_s: float = 0.9
    keep_ended_s: float = 180.0
    keep_cancellations_s: float = RETENTION_S
    drain_s: float = 2.5
    machine_lease_s: float = 3.0
    upkeep_s: float = 2.0
    stall_s: float = 3.0

    def poll_wait_s(self, workers: int, *, busy: bool) -> float:
        """Return how long a poll of a worker may wait for the end of a run.

        Polls of busy workers reveal stalls and slowness. A leader of hundreds of
        workers on a small host can't afford many of them, so the wait grows with the
        number of workers and keeps the rate of polls bounded.
        """
        if not busy:
            return self.poll_wait_idle_s
        min_wait_s = workers / POLLS_PER_SECOND
        return min(max(self.poll_wait_busy_s, min_wait_s), self.poll_wait_idle_s)
