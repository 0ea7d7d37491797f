"""Bounds that the coordinator keeps to; a deployment sets them."""

from __future__ import annotations

from typing import NamedTuple

LOOKS_PER_SECOND = 120
"""Looks at busy workers in a second; each takes a leader about half a millisecond."""


class CoordinatorTiming(NamedTuple):
    """Times in seconds.

    Attributes
    ----------
    leader_lease_s : float
        How long a leadership lasts after its last renewal.
    renew_s : float
        Period of renewals.
    challenge_s : float
        Period at which a standby looks at the lease.
    work_lease_s : float
        How long running work outlives its last extension.
    longest_lease_s : float
        Longest lease that a worker grants, whatever it is asked for.
    hold_busy_s, hold_idle_s : float
        Longest wait of one look at a worker with and without work.
    order_timeout_s : float
        Bound on one order.
    stop_s : float
        Time that a stop takes at the most.
    keep_ended_s : float
        How long the state of ended jobs can be read.
    drain_s : float
        Time that a worker serves at least after it said that it drains.
    machine_lease_s : float
        How long orders of a former leader to machines may still be under way.
    upkeep_s : float
        How long a machine is down for its upkeep.
    stall_s : float
        Time without any progress after which a run is taken for stalled.
    """

    leader_lease_s: float = 1.1
    renew_s: float = 0.4
    challenge_s: float = 0.4
    work_lease_s: float = 6.0
    longest_lease_s: float = 10.0
    hold_busy_s: float = 0.5
    hold_idle_s: float = 2.0
    order_timeout_s: float = 0.8
    stop_s: float = 0.9
    keep_ended_s: float = 180.0
    drain_s: float = 2.5
    machine_lease_s: float = 3.0
    upkeep_s: float = 2.0
    stall_s: float = 3.0

    def look_wait_s(self, workers: int, *, busy: bool) -> float:
        """Return how long a look at a worker may wait for an end.

        Load answered: a leader of hundreds of workers on a small host. Looks at busy
        workers show stalls and slowness; they grow rarer with the number of workers
        so that their number in a second stays bounded.
        """
        if not busy:
            return self.hold_idle_s
        crowded_s = workers / LOOKS_PER_SECOND
        return min(max(self.hold_busy_s, crowded_s), self.hold_idle_s)
