"""Leadership of one region: a lease in the table service, fenced by an epoch.

The leadership row changes only at a takeover, so every placement can check its
version. The renewal row holds a counter. A challenger takes over after it saw the
counter stand still for the whole lease on its own monotonic clock; a leader stops
acting a margin before its lease ends, counted from when the renewal was sent.
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
    commit_settled,
)
from chiveledge.types import Epoch, ProcessName, RegionName

LEASE_MARGIN_SHARE = 0.2
LAPSE_MARGIN_S = 0.001
"""Added to the time until a lease lapses, as timers may fire a little early."""

STANDBY_DELAY_S = 0.15
"""Extra wait of a challenger for each place behind in the region's order."""

STORE_STEP_S = 0.02
"""Round trip to the store that makes a candidate one place worse."""

WEAK_CORES = 0.8
NARROW_LINK_MBPS = 30.0
WEAK_PLACES = 3
"""Places that a weak processor or a narrow link costs: more than any distance."""

FURTHEST_PLACES = 3

LOOK_SLACK_S = 0.5
"""How much later than planned a look may come and still prove that a renewal stood
still since the look before."""

STANDBY_LOOKS_PER_S = 30.0
"""Looks of all standbys together in a second; each costs the store one reading."""

SPREAD_SHARE = 0.5
"""How far a standby's looks are spread around their period, so that many hosts that
started together do not all look at the same moment."""

log = PartLogger("leadership")


FOLLOWED_SHARE = 1 / 3
"""Share of looks at a new renewal that are followed when its lease lapses. Of a large
fleet, some standby makes such a look soon after the last renewal of a lost leader."""


class LeaseTiming(Protocol):
    """What leadership needs of the timing settings."""

    @property
    def leader_lease_s(self) -> float:
        """How long a leadership lasts after its last renewal, in seconds."""


class LeadershipRecord(NamedTuple):
    """Content of a leadership row."""

    epoch: Epoch
    holder: ProcessName
    incarnation: str


@dataclass(frozen=True)
class _Sighting:
    """When a challenger first saw a region's present renewal; version 0 is none."""

    version: int
    since_s: float


def rank_candidate(round_trip_s: float, cores: float, link_mbps: float) -> int:
    """Return the place of a process among the candidates, 0 for the best.

    The leader calls every worker and the store all the time, so it should be close
    to the store and on a host that can carry it; any host may lead if none is.

    Parameters
    ----------
    round_trip_s : float
        Time of one call to the store.
    cores : float
        Processor time of the host in full cores.
    link_mbps : float
        Bandwidth of the host's link.

    Examples
    --------
    >>> rank_candidate(0.006, 1.07, 1000.0), rank_candidate(0.045, 0.5, 5.0)
    (0, 8)
    """
    rank = min(int(round_trip_s / STORE_STEP_S), FURTHEST_PLACES)
    if cores < WEAK_CORES:
        rank += WEAK_PLACES
    if link_mbps < NARROW_LINK_MBPS:
        rank += WEAK_PLACES
    return rank


def choose_look_period_s(shortest_s: float, hosts: int) -> float:
    """Return the time between two looks of a standby at the lease.

    Load answered: hundreds of standbys. All together look at a steady rate, so that
    the first of them sees the last renewal as soon in a large fleet as in a small one.

    Parameters
    ----------
    shortest_s : float
        Period of a standby in a small fleet.
    hosts : int
        Hosts that look.

    Examples
    --------
    >>> choose_look_period_s(0.4, 6), choose_look_period_s(0.4, 300)
    (0.4, 10.0)
    """
    return max(shortest_s, hosts / STANDBY_LOOKS_PER_S)


def leadership_key(region: RegionName) -> str:
    """Return the key of a region's leadership row."""
    return f"leadership/{region}/holder"


def renewal_key(region: RegionName) -> str:
    """Return the key of a region's renewal row."""
    return f"leadership/{region}/renewal"


class Leadership:
    """This process's hold, or its challenge, on one region.

    Parameters
    ----------
    region, process : str
        What to lead, and who.
    table : TableService
        Where the rows last.
    clock : Clock
        Its monotonic time judges leases.
    timeline : Timeline
        Receives takeovers and losses.
    timing : LeaseTiming
        Length of the lease.
    standby_rank : int
        Place of this process among the region's challengers, 0 for the first.
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
        self._looked_s = float("-inf")
        self._knows_holder = False
        self._epoch = 0
        self._fence: Check | None = None
        self._renewal_version = 0
        self._valid_until_s = float("-inf")
        self._sighting: _Sighting | None = None

    @property
    def epoch(self) -> Epoch:
        """The epoch held, 0 while another process leads."""
        return self._epoch

    @property
    def process(self) -> ProcessName:
        """This process's name, by which others know the holder."""
        return self._process

    @property
    def fence(self) -> Check:
        """The check that every transaction of the leader carries.

        It stays after a loss: what is still on its way then fails on the check.
        """
        if self._fence is None:
            raise AssertionError("this process never led the region")
        return self._fence

    @property
    def valid(self) -> bool:
        """Whether the lease allows outward effects now."""
        return self._epoch > 0 and self._clock.monotonic() < self._valid_until_s

    def next_look_s(self, period_s: float) -> float:
        """Return how long to wait before the next challenge.

        Looks are spread around the period. One that met a renewal for the second time,
        and some of those that met a new one, are followed at the very moment at which
        the lease lapses.
        """
        pause_s = period_s * self._rng.uniform(1 - SPREAD_SHARE, 1 + SPREAD_SHARE)
        if self._sighting is None:
            return pause_s
        stands = self._looked_s > self._sighting.since_s
        if not stands and self._rng.random() >= FOLLOWED_SHARE:
            return pause_s
        now_s = self._clock.monotonic()
        lapses_s = self._sighting.since_s + self._lapse_wait_s(self._sighting.version)
        return max(0.0, min(pause_s, lapses_s - now_s)) + LAPSE_MARGIN_S

    def lose(self, why: str) -> None:
        """Give up the region, since another process has or may have it."""
        if self._epoch == 0:
            return
        self._timeline.add(
            "leadership", "lost", self._region, epoch=self._epoch, detail=why
        )
        log.warning("Lost the region.", region=self._region, why=why)
        self._epoch = 0
        self._sighting = None

    async def challenge(self) -> bool:
        """Look at the rows once; take the region over if its lease lapsed.

        Returns
        -------
        bool
            Whether this process leads the region now.
        """
        asked_s = self._clock.monotonic()
        match await self._table.read(renewal_key(self._region)):
            case Ok(renewal):
                pass
            case Err(_):
                # The counter can't be seen, so its standing still proves nothing.
                self._sighting = None
                return False
        lapsed = self._has_lapsed(renewal, asked_s)
        if not lapsed and self._knows_holder:
            return False
        match await self._table.read(leadership_key(self._region)):
            case Ok(holder):
                self._knows_holder = True
                if lapsed or self._was_own(holder):
                    return await self._take_over(holder, renewal)
                return False
            case Err(_):
                return False
        raise AssertionError("unreachable")

    async def renew(self) -> None:
        """Extend the lease; lose the region if another process took it."""
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
                self.lose("another process took over")
            case Err(_):
                pass

    async def resign(self) -> None:
        """Let another process take over at once, at a graceful stop."""
        if self._epoch == 0:
            return
        fence = self.fence
        self.lose("resigned")
        transaction = Transaction(
            write_id=uuid.uuid4().hex,
            checks=(fence,),
            deletes=(renewal_key(self._region),),
        )
        await self._table.transact(transaction)

    def _usable_lease_s(self) -> float:
        return self._timing.leader_lease_s * (1 - LEASE_MARGIN_SHARE)

    def _has_lapsed(self, renewal: Row | None, asked_s: float) -> bool:
        version = renewal.version if renewal else 0
        wait_s = self._lapse_wait_s(version)
        # After a longer pause the store may have been away for the leader as well, so
        # that the counter stood still for another reason.
        looked_away = asked_s - self._looked_s > wait_s + LOOK_SLACK_S
        self._looked_s = self._clock.monotonic()
        if self._sighting is None or version != self._sighting.version or looked_away:
            self._sighting = _Sighting(version, self._looked_s)
        return wait_s == 0.0 or asked_s - self._sighting.since_s >= wait_s

    def _lapse_wait_s(self, version: int) -> float:
        """Return how long a renewal has to stand still; version 0 is none at all."""
        wait_s = self._rank * STANDBY_DELAY_S
        return wait_s + self._timing.leader_lease_s if version else wait_s

    def _was_own(self, holder: Row | None) -> bool:
        """Whether an earlier life of this process held the lease; it is gone."""
        record = _decode(holder)
        return (
            record.holder == self._process and record.incarnation != self._incarnation
        )

    async def _take_over(self, holder: Row | None, renewal: Row | None) -> bool:
        before = _decode(holder)
        record = LeadershipRecord(before.epoch + 1, self._process, self._incarnation)
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
        result = await commit_settled(
            self._table,
            transaction,
            self._clock,
            patience_s=self._timing.leader_lease_s,
        )
        match result:
            case Ok(version):
                self._hold(record, version, sent_s)
                return True
            case Err(_):
                self._sighting = None
                return False
        raise AssertionError("unreachable")

    def _hold(self, record: LeadershipRecord, version: int, sent_s: float) -> None:
        self._epoch = record.epoch
        self._fence = Check(leadership_key(self._region), version)
        self._valid_until_s = sent_s + self._usable_lease_s()
        self._sighting = None
        self._timeline.add("leadership", "taken_over", self._region, epoch=record.epoch)
        log.info("Took the region over.", region=self._region, epoch=record.epoch)


def _decode(row: Row | None) -> LeadershipRecord:
    if row is None:
        return LeadershipRecord(0, "", "")
    return LeadershipRecord(**json.loads(row.value))
