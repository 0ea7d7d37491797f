"""Leader election for a region: a lease in the table service, fenced by an epoch.

The leadership row changes only at a takeover, so every placement can check its
version. The renewal row gets a new version with each renewal. A standby takes over
once that version has not changed for a whole lease on its own monotonic clock. The
leader stops acting a margin before its lease ends, and counts the lease from the time
at which it sent the renewal.
"""

from __future__ import annotations

import json
import random
import uuid
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.events import Timeline
from chiveledge.logs import PartLogger
from chiveledge.services import (
    Check,
    Conflict,
    Put,
    Row,
    TableService,
    Transaction,
    commit_with_retries,
)
from chiveledge.types import Epoch, ProcessName, RegionName

LEASE_MARGIN_SHARE = 0.2
"""Last part of the lease, as a fraction, in which the leader no longer acts."""

LAPSE_MARGIN_S = 0.001
"""Added to the time until a lease lapses, as timers may fire slightly early."""

STANDBY_DELAY_S = 0.15
"""Extra time per rank that a standby waits before it takes over."""

ROUND_TRIP_PER_RANK_S = 0.02
"""Round trip to the store that raises a candidate's rank by one."""

MIN_LEADER_CORES = 0.8
MIN_LEADER_LINK_MBPS = 30.0
WEAK_HOST_RANKS = 3
"""Ranks added for a slow processor and for a slow link, each as many as the largest
distance adds."""

MAX_DISTANCE_RANKS = 3

POLL_TOLERANCE_S = 0.5
"""How late a poll may be and still prove that the renewal row has not changed since
the poll before it."""

STANDBY_POLLS_PER_S = 30.0
"""Polls per second of all standbys together; each is one read of the store."""

POLL_JITTER_SHARE = 0.5
"""Jitter of the time between polls, as a fraction of the period, so that standbys
which started together do not all poll at once."""

log = PartLogger("leadership")


NEW_RENEWAL_FOLLOW_SHARE = 1 / 3
"""Share of polls finding a new renewal whose next poll is timed to the lapse of its
lease. In a large fleet some standby makes such a poll soon after the last renewal of
a lost leader."""


class LeaseTiming(Protocol):
    """Timing settings that `Leadership` reads."""

    @property
    def leader_lease_s(self) -> float:
        """Length of the lease after a renewal, in seconds."""


class LeadershipRecord(NamedTuple):
    """Value of a leadership row; `incarnation` identifies one start of the holder."""

    epoch: Epoch
    holder: ProcessName
    incarnation: str


@dataclass(frozen=True)
class _ObservedRenewal:
    """The latest renewal that a standby read, and when it first read it.

    Attributes
    ----------
    version : int
        Version of the renewal row; 0 if there is no such row.
    since_s : float
        Monotonic time of the first poll that returned this version.
    """

    version: int
    since_s: float


def rank_candidate(round_trip_s: float, cores: float, link_mbps: float) -> int:
    """Return the rank of a process among the candidates, 0 for the most suitable.

    The leader calls the store and every worker all the time, so it should be close
    to the store and on a host with enough processor time and bandwidth. A host that
    falls short may still lead if there is no better one.

    Parameters
    ----------
    round_trip_s : float
        Duration of one call to the store.
    cores : float
        Processor time available to the host, in full cores.
    link_mbps : float
        Bandwidth of the host's link, in Mbit/s.

    Examples
    --------
    >>> rank_candidate(0.006, 1.07, 1000.0), rank_candidate(0.045, 0.5, 5.0)
    (0, 8)
    """
    rank = min(int(round_trip_s / ROUND_TRIP_PER_RANK_S), MAX_DISTANCE_RANKS)
    if cores < MIN_LEADER_CORES:
        rank += WEAK_HOST_RANKS
    if link_mbps < MIN_LEADER_LINK_MBPS:
        rank += WEAK_HOST_RANKS
    return rank


def choose_poll_period_s(shortest_s: float, hosts: int) -> float:
    """Return the mean time between two polls of the lease by one standby.

    Hundreds of standbys would overload the store if each polled at the shortest
    period. The rate of all polls together is bounded instead, so the first standby to
    read the last renewal of a lost leader does so as soon in a large fleet as in a
    small one.

    Parameters
    ----------
    shortest_s : float
        Period in a small fleet.
    hosts : int
        Number of hosts that poll.

    Examples
    --------
    >>> choose_poll_period_s(0.4, 6), choose_poll_period_s(0.4, 300)
    (0.4, 10.0)
    """
    return max(shortest_s, hosts / STANDBY_POLLS_PER_S)


def leadership_key(region: RegionName) -> str:
    """Return the key of a region's leadership row."""
    return f"leadership/{region}/holder"


def renewal_key(region: RegionName) -> str:
    """Return the key of a region's renewal row."""
    return f"leadership/{region}/renewal"


class Leadership:
    """Takes part in the leader election of one region.

    Parameters
    ----------
    region : str
        Region to lead.
    process : str
        Name of this process, stored as the holder.
    table : TableService
        Stores the leadership and renewal rows.
    clock : Clock
        Its monotonic time measures leases.
    timeline : Timeline
        Records takeovers and losses.
    timing : LeaseTiming
        Length of the lease.
    standby_rank : int
        Rank of this process among the region's standbys, 0 for the first to take over.
    """

    def __init__(
        self,
        region: RegionName,
        process: ProcessName,
        table: TableService,
        clock: Clock,
        timeline: Timeline,
        timing: LeaseTiming,
        *,
        standby_rank: int = 0,
    ) -> None:
        self._region = region
        self._process = process
        self._incarnation = uuid.uuid4().hex
        self._table = table
        self._clock = clock
        self._timeline = timeline
        self._timing = timing
        self._rank = standby_rank
        self._rng = random.Random(process)
        self._polled_s = float("-inf")
        self._has_read_holder = False
        self._epoch = 0
        self._fence: Check | None = None
        self._renewal_version = 0
        self._valid_until_s = float("-inf")
        self._observed: _ObservedRenewal | None = None

    @property
    def epoch(self) -> Epoch:
        """Epoch of this process's leadership, 0 while it does not lead."""
        return self._epoch

    @property
    def process(self) -> ProcessName:
        """Name of this process, which other processes read as the holder."""
        return self._process

    @property
    def fence(self) -> Check:
        """Version check that every transaction of the leader includes.

        It is kept after the leadership is lost, so that transactions still in flight
        fail on it.
        """
        if self._fence is None:
            raise AssertionError("this process never led the region")
        return self._fence

    @property
    def valid(self) -> bool:
        """Whether this process leads and its lease still allows it to act."""
        return self._epoch > 0 and self._clock.monotonic() < self._valid_until_s

    @property
    def lapsed_s(self) -> float:
        """Time since the lease ceased to allow this process to act; negative before."""
        return self._clock.monotonic() - self._valid_until_s

    def next_poll_delay_s(self, period_s: float) -> float:
        """Return the time until the next call of `challenge`, in seconds.

        Polls are jittered around the period. If the last poll found a renewal that an
        earlier one had found, the next comes no later than the lapse of its lease.
        Some polls that found a new renewal are followed up in the same way.

        Parameters
        ----------
        period_s : float
            Mean time between two polls.
        """
        delay_s = period_s * self._rng.uniform(
            1 - POLL_JITTER_SHARE, 1 + POLL_JITTER_SHARE
        )
        if self._observed is None:
            return delay_s
        unchanged = self._polled_s > self._observed.since_s
        if not unchanged and self._rng.random() >= NEW_RENEWAL_FOLLOW_SHARE:
            return delay_s
        now_s = self._clock.monotonic()
        lapse_s = self._observed.since_s + self._lapse_wait_s(self._observed.version)
        return max(0.0, min(delay_s, lapse_s - now_s)) + LAPSE_MARGIN_S

    def step_down(self, reason: str) -> None:
        """Stop leading, since another process leads or may lead the region.

        Unlike `resign`, this does not change the rows in the store. If no other process
        leads yet, a standby takes over only when the lease lapses.

        Parameters
        ----------
        reason : str
            Text for the event and the log line.
        """
        if self._epoch == 0:
            return
        self._timeline.add(
            "leadership", "lost", self._region, epoch=self._epoch, detail=reason
        )
        log.warning(
            "Lost the leadership of the region.", region=self._region, why=reason
        )
        self._epoch = 0
        self._observed = None

    async def challenge(self) -> bool:
        """Poll the rows once, and take over the region if its lease has lapsed.

        Returns
        -------
        bool
            Whether this process leads the region now.
        """
        started_s = self._clock.monotonic()
        match await self._table.read(renewal_key(self._region)):
            case Ok(renewal):
                pass
            case Err(_):
                # The leader may have renewed while the row could not be read.
                self._observed = None
                return False
        lapsed = self._has_lapsed(renewal, started_s)
        if not lapsed and self._has_read_holder:
            return False
        match await self._table.read(leadership_key(self._region)):
            case Ok(holder):
                self._has_read_holder = True
                if lapsed or self._held_by_earlier_incarnation(holder):
                    return await self._take_over(holder, renewal)
                return False
            case Err(_):
                return False
        raise AssertionError("unreachable")

    async def renew(self) -> None:
        """Extend the lease, or stop leading if another process took over the region."""
        sent_s = self._clock.monotonic()
        key = renewal_key(self._region)
        transaction = Transaction(
            write_id=uuid.uuid4().hex,
            checks=(self.fence,),
            puts=(Put(key, json.dumps({"epoch": self._epoch})),),
        )
        match await self._table.transact(transaction):
            case Ok(_):
                until_s = sent_s + self._usable_lease_s()
                self._valid_until_s = max(self._valid_until_s, until_s)
            case Err(Conflict()):
                self.step_down("another process took over")
            case Err(_):
                pass

    async def resign(self) -> None:
        """Stop leading and release the lease, at a graceful stop.

        Deletes the renewal row, so that a standby takes over without waiting for the
        lease to lapse.
        """
        if self._epoch == 0:
            return
        fence = self.fence
        self.step_down("resigned")
        transaction = Transaction(
            write_id=uuid.uuid4().hex,
            checks=(fence,),
            deletes=(renewal_key(self._region),),
        )
        await self._table.transact(transaction)

    def _usable_lease_s(self) -> float:
        return self._timing.leader_lease_s * (1 - LEASE_MARGIN_SHARE)

    def _has_lapsed(self, renewal: Row | None, started_s: float) -> bool:
        version = renewal.version if renewal else 0
        wait_s = self._lapse_wait_s(version)
        # After a longer gap the store may have been unavailable to the leader too, so
        # an unchanged renewal does not show that the leader stopped.
        polled_late = started_s - self._polled_s > wait_s + POLL_TOLERANCE_S
        self._polled_s = self._clock.monotonic()
        if self._observed is None or version != self._observed.version or polled_late:
            self._observed = _ObservedRenewal(version, self._polled_s)
        return wait_s == 0.0 or started_s - self._observed.since_s >= wait_s

    def _lapse_wait_s(self, version: int) -> float:
        """Return how long a renewal must stay unchanged before a takeover.

        Version 0 means that there is no renewal row, hence no lease to wait for.
        """
        wait_s = self._rank * STANDBY_DELAY_S
        return wait_s + self._timing.leader_lease_s if version else wait_s

    def _held_by_earlier_incarnation(self, holder: Row | None) -> bool:
        """Whether an earlier incarnation of this process, now gone, held the lease."""
        record = _decode_record(holder)
        return (
            record.holder == self._process and record.incarnation != self._incarnation
        )

    async def _take_over(self, holder: Row | None, renewal: Row | None) -> bool:
        previous = _decode_record(holder)
        record = LeadershipRecord(previous.epoch + 1, self._process, self._incarnation)
        key = leadership_key(self._region)
        sent_s = self._clock.monotonic()
        transaction = Transaction(
            write_id=uuid.uuid4().hex,
            checks=(
                Check(key, holder.version if holder else 0),
                Check(renewal_key(self._region), renewal.version if renewal else 0),
            ),
            puts=(
                Put(key, json.dumps(record._asdict())),
                Put(renewal_key(self._region), json.dumps({"epoch": record.epoch})),
            ),
        )
        result = await commit_with_retries(
            self._table,
            transaction,
            self._clock,
            timeout_s=self._timing.leader_lease_s,
        )
        match result:
            case Ok(version):
                self._start_leading(record, version, sent_s)
                return True
            case Err(_):
                self._observed = None
                return False
        raise AssertionError("unreachable")

    def _start_leading(
        self, record: LeadershipRecord, version: int, sent_s: float
    ) -> None:
        self._epoch = record.epoch
        self._fence = Check(leadership_key(self._region), version)
        self._valid_until_s = sent_s + self._usable_lease_s()
        self._observed = None
        self._timeline.add("leadership", "taken_over", self._region, epoch=record.epoch)
        log.info(
            "Took over the leadership of the region.",
            region=self._region,
            epoch=record.epoch,
        )


def _decode_record(row: Row | None) -> LeadershipRecord:
    if row is None:
        return LeadershipRecord(0, "", "")
    return LeadershipRecord(**json.loads(row.value))
