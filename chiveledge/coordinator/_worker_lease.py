"""The lease on a worker's runs, as far as this leader knows it."""

from __future__ import annotations

CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock relative to the leader's."""


ORDER_IN_FLIGHT_S = 3.0
"""How long after a restart an order for the earlier incarnation may arrive that was not
delayed: until a poll has shown the restart."""


class WorkerLease:
    """Lease on the runs of one incarnation of a worker, in times of its own clock.

    The worker ends all its runs when the lease expires. Only an expiry that is certain
    proves that runs have ended which the worker did not report.

    Parameters
    ----------
    granted_unknown_s : float, optional
        Lease that an order to an earlier incarnation may have granted to this one, in
        seconds from the first reading of its clock; 0 if there was no such order.
    granted_at_start_s : float, optional
        Lease that such an order may have granted soon after the worker's start, in
        seconds from its arrival.
    not_over_before_s : float, optional
        Monotonic time until which late orders to an earlier incarnation may have
        granted a lease.
    """

    def __init__(
        self,
        granted_unknown_s: float = 0.0,
        *,
        granted_at_start_s: float = 0.0,
        not_over_before_s: float = float("-inf"),
    ) -> None:
        self._granted_unknown_s = granted_unknown_s
        self._granted_at_start_s = granted_at_start_s
        self._not_over_before_s = not_over_before_s
        self._is_known = False
        self._clock_ms = 0
        self._read_s = 0.0
        self._end_ms = 0

    @property
    def clock_ms(self) -> int:
        """Last reading of the worker's clock; 0 before the first."""
        return self._clock_ms

    @property
    def is_known(self) -> bool:
        """Whether the worker's clock has been read."""
        return self._is_known

    def assume_granted(self, lease_s: float, now_s: float) -> None:
        """Assume that an order of another leader may have granted a lease until now."""
        if self._is_known:
            self.extend(now_s, lease_s)
        self._granted_unknown_s = max(self._granted_unknown_s, lease_s)

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Record a reading of the worker's clock."""
        if not self._is_known:
            self._end_ms = clock_ms + int(self._granted_unknown_s * 1000)
            if self._granted_at_start_s:
                # The worker's clock began with its process.
                at_start_s = ORDER_IN_FLIGHT_S + self._granted_at_start_s
                self._end_ms = max(self._end_ms, int(at_start_s * 1000))
        self._is_known = True
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._read_s = now_s

    def extend(self, now_s: float, lease_s: float) -> int | None:
        """Extend the lease to at least `lease_s` from now; return the end to grant.

        The end is in milliseconds on the worker's clock, None if the clock has not been
        read yet. It is earlier than the end that this leader counts on if another order
        may have granted more. The next leader doesn't know of that, so an end that is
        only assumed must not be granted.
        """
        if not self._is_known:
            return None
        clock_ms = self._clock_ms + (now_s - self._read_s) * 1000
        granted_ms = int(clock_ms + lease_s * 1000)
        self._end_ms = max(self._end_ms, granted_ms)
        return granted_ms

    def left_s(self, now_s: float) -> float | None:
        """Return the time until the lease has expired even on a slow clock.

        Negative once it has; None if the clock has not been read.
        """
        if not self._is_known:
            return None
        passed_ms = (now_s - self._read_s) * 1000 * CLOCK_RATE
        left_s = (self._end_ms - self._clock_ms - passed_ms) / 1000 / CLOCK_RATE
        return max(left_s, self._not_over_before_s - now_s)

    def may_have_late_grant(self, now_s: float) -> bool:
        """Return whether a late order may have granted a lease that is not over."""
        return now_s <= self._not_over_before_s

    def is_over(self, now_s: float) -> bool:
        """Return whether all runs have lapsed, even if the worker's clock is slow."""
        left_s = self.left_s(now_s)
        return left_s is not None and left_s < 0
