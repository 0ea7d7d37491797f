"""Selects a minion for each request and ejects failing minions."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from chiveledge.clock import Clock
from chiveledge.configuration import RequestClass
from chiveledge.events import Timeline
from chiveledge.peers import MinionLoad
from chiveledge.services import HostEntry, HostState
from chiveledge.types import MinionName, ProcessName, RegionName

CLASS_SHARES = {
    RequestClass.URGENT: 1.0,
    RequestClass.STANDARD: 0.875,
    RequestClass.BATCH: 0.75,
}
"""Share of a gateway's own slots up to which a request of a class may use them."""

SPILLOVER_SHARE = 0.5
"""Share of a minion's slots in use up to which gateways exceed their own slots."""

SPILLOVER_PAUSE_S = 1.0
"""Time after a decline during which a gateway keeps to its own slots there."""

EJECT_AFTER_FAILURES = 5
EJECT_BASE_S = 1.0
EJECT_MAX_S = 10.0

MAX_EJECTED_SHARE = 0.5
"""Maximum share of a service's minions in one region that may be ejected at once."""

SLOW_FACTOR = 4.0
"""Multiple of the median service time above which a minion counts as slow."""

MINION_EWMA_WEIGHT = 0.1
"""Weight of the latest service time in the moving average of a minion."""

PEER_REPORT_TTL_S = 5.0


class RouterPolicy(NamedTuple):
    """Concurrency limits of one minion.

    Attributes
    ----------
    slots : int
        Number of requests that a minion runs concurrently.
    connections : int
        Maximum connections of this gateway to one minion; the sum over all
        gateways stays within the minion's own limit.
    """

    slots: int
    connections: int


@dataclass
class _MinionState:
    """State of one minion as this gateway tracks it."""

    entry: HostEntry
    own_slots: int = 0
    in_flight: int = 0
    declined_s: float = float("-inf")
    failures: int = 0
    ejected_until_s: float = float("-inf")
    ejections: int = 0
    probing: bool = False
    service_time_s: float = 0.0
    peer_loads: dict[ProcessName, tuple[int, float]] = field(default_factory=dict)


class MinionPool:
    """Selects minions for the requests of one gateway and tracks their load.

    Each slot of a minion is assigned to one gateway of its region by rendezvous
    hashing, so gateways that agree on the membership never use more slots than
    exist. A gateway exceeds its own slots only at minions with little load from
    itself and its peers. Among eligible minions, two are drawn at random and the
    less loaded one is chosen.

    Parameters
    ----------
    region : str
        Region of this gateway; its minions are preferred.
    policy : RouterPolicy
        Concurrency limits of a minion.
    clock : Clock
        Time source.
    timeline : Timeline
        Receives an event for each ejection.
    seed : int, optional
        Seed of the random draws.
    """

    def __init__(
        self,
        region: RegionName,
        policy: RouterPolicy,
        clock: Clock,
        timeline: Timeline,
        *,
        seed: int = 0,
    ) -> None:
        self._region = region
        self._policy = policy
        self._clock = clock
        self._timeline = timeline
        self._random = random.Random(seed)
        self._minions: dict[MinionName, _MinionState] = {}
        self._gateways: dict[ProcessName, RegionName] = {"": region}
        self._own_name: ProcessName = ""

    @property
    def loads(self) -> tuple[MinionLoad, ...]:
        """Requests in flight of this gateway by minion, to be reported to its peers."""
        return tuple(
            MinionLoad(name, state.in_flight)
            for name, state in self._minions.items()
            if state.in_flight
        )

    def set_minions(self, entries: Iterable[HostEntry]) -> list[MinionName]:
        """Update the known minions from the host list.

        A minion that is no longer listed gets no new requests and is dropped once
        it has none in flight.

        Returns
        -------
        list of str
            Names of the dropped minions.
        """
        listed = {entry.name: entry for entry in entries}
        for name, entry in listed.items():
            state = self._minions.get(name)
            if state is None:
                state = _MinionState(entry, self._count_own_slots(entry))
                self._minions[name] = state
            state.entry = entry
        gone = []
        for name, state in list(self._minions.items()):
            if name not in listed:
                state.entry = state.entry._replace(state=HostState.LEAVING)
                if state.in_flight == 0:
                    del self._minions[name]
                    gone.append(name)
        return gone

    def set_gateways(
        self, own_name: ProcessName, gateways: Mapping[ProcessName, RegionName]
    ) -> None:
        """Set the gateways that share the minions and reassign the slots.

        `gateways` maps the name of each gateway to its region.
        """
        self._own_name = own_name
        self._gateways = {**gateways, own_name: self._region}
        for state in self._minions.values():
            state.own_slots = self._count_own_slots(state.entry)

    def record_peer_loads(self, peer: ProcessName, loads: Sequence[MinionLoad]) -> None:
        """Record a peer's requests in flight."""
        now_s = self._clock.monotonic()
        reported = {load.name: load.in_flight for load in loads}
        for name, state in self._minions.items():
            state.peer_loads[peer] = (reported.get(name, 0), now_s)

    def pick(
        self,
        service: str,
        request_class: RequestClass,
        exclude: Collection[MinionName] = (),
    ) -> HostEntry | None:
        """Select a minion and count the request as in flight there.

        Returns
        -------
        HostEntry or None
            None if no minion has a free slot for this class.
        """
        candidates = [
            state
            for state in self._minions.values()
            if state.entry.service == service
            and state.entry.name not in exclude
            and self._accepts_requests(state)
        ]
        available = self._filter_available(
            [state for state in candidates if state.entry.region == self._region],
            request_class,
        )
        # Only urgent requests justify the latency of another region.
        if not available and request_class is RequestClass.URGENT:
            available = self._filter_available(candidates, request_class)
        if not available:
            return None
        chosen = self._choose(available)
        chosen.in_flight += 1
        if chosen.ejections and chosen.failures:
            chosen.probing = True
        return chosen.entry

    def has_service(self, service: str) -> bool:
        """Whether any minion of a service is live."""
        return any(
            state.entry.service == service and state.entry.state is HostState.LIVE
            for state in self._minions.values()
        )

    def slots(self, service: str) -> int:
        """Return the slots of a service's live minions in this region."""
        live = [
            state
            for state in self._minions.values()
            if state.entry.service == service
            and state.entry.state is HostState.LIVE
            and state.entry.region == self._region
        ]
        return len(live) * self._policy.slots

    def record_success(self, name: MinionName, service_time_s: float) -> None:
        """Record an answer and its service time."""
        state = self._finish(name)
        if state is None:
            return
        state.failures = 0
        state.ejections = 0
        weight = MINION_EWMA_WEIGHT if state.service_time_s else 1.0
        state.service_time_s += weight * (service_time_s - state.service_time_s)

    def record_decline(self, name: MinionName) -> None:
        """Record that a minion declined a request because it was full."""
        state = self._finish(name)
        if state is not None:
            state.declined_s = self._clock.monotonic()

    def record_failure(self, name: MinionName) -> None:
        """Record a failure, and eject the minion if it failed repeatedly.

        It is ejected after `EJECT_AFTER_FAILURES` in a row, or at the first failure
        if it was ejected since its last success.
        """
        state = self._finish(name)
        if state is None:
            return
        state.failures += 1
        if state.failures >= EJECT_AFTER_FAILURES or state.ejections:
            self._eject(state)

    def release(self, name: MinionName) -> None:
        """Release the slot of a request whose end says nothing about the minion."""
        self._finish(name)

    def list_ejected(self) -> list[MinionName]:
        """Return the minions that are ejected at present."""
        now_s = self._clock.monotonic()
        return [n for n, s in self._minions.items() if s.ejected_until_s > now_s]

    def _finish(self, name: MinionName) -> _MinionState | None:
        state = self._minions.get(name)
        if state is not None:
            state.in_flight -= 1
            state.probing = False
        return state

    def _count_own_slots(self, entry: HostEntry) -> int:
        """Return how many slots of a minion are assigned to this gateway.

        The slots are distributed evenly over the gateways of the minion's region,
        or over all gateways if the region has none.
        """
        local = [
            name for name, region in self._gateways.items() if region == entry.region
        ]
        sharing = local or list(self._gateways)
        if self._own_name not in sharing:
            return 0
        ranking = sorted(sharing, key=lambda name: _rendezvous_hash(name, entry.name))
        position = ranking.index(self._own_name)
        base, remainder = divmod(self._policy.slots, len(ranking))
        return min(base + (position < remainder), self._policy.connections)

    def _accepts_requests(self, state: _MinionState) -> bool:
        """Whether a minion is live, not ejected or probed, and below its limit."""
        return (
            state.entry.state is HostState.LIVE
            and not state.probing
            and state.ejected_until_s <= self._clock.monotonic()
            and state.in_flight < self._policy.connections
        )

    def _filter_available(
        self, states: Sequence[_MinionState], request_class: RequestClass
    ) -> list[_MinionState]:
        """Return the minions with a slot that this gateway may use for a class."""
        own = sum(state.own_slots for state in states)
        used = sum(min(state.in_flight, state.own_slots) for state in states)
        if used < own * CLASS_SHARES[request_class]:
            free = [state for state in states if state.in_flight < state.own_slots]
            if free:
                return free
        load_limit = self._policy.slots * SPILLOVER_SHARE * CLASS_SHARES[request_class]
        now_s = self._clock.monotonic()
        return [
            state
            for state in states
            if self._count_in_flight(state) < load_limit
            and state.declined_s + SPILLOVER_PAUSE_S <= now_s
        ]

    def _count_in_flight(self, state: _MinionState) -> int:
        """Return the requests in flight at a minion, with those peers reported."""
        horizon = self._clock.monotonic() - PEER_REPORT_TTL_S
        peers = sum(load for load, at_s in state.peer_loads.values() if at_s > horizon)
        return state.in_flight + peers

    def _choose(self, states: Sequence[_MinionState]) -> _MinionState:
        drawn = self._random.sample(states, min(2, len(states)))
        typical_s = sorted(s.service_time_s for s in states)[len(states) // 2]
        return min(drawn, key=lambda s: self._cost(s, typical_s))

    def _cost(self, state: _MinionState, typical_s: float) -> float:
        slow = typical_s > 0 and state.service_time_s > SLOW_FACTOR * typical_s
        return self._count_in_flight(state) + (self._policy.slots if slow else 0)

    def _eject(self, state: _MinionState) -> None:
        group = (state.entry.service, state.entry.region)
        peers = [
            s
            for s in self._minions.values()
            if (s.entry.service, s.entry.region) == group
        ]
        now_s = self._clock.monotonic()
        ejected = sum(1 for s in peers if s.ejected_until_s > now_s)
        if ejected + 1 > MAX_EJECTED_SHARE * len(peers):
            return
        pause_s = min(EJECT_BASE_S * 2**state.ejections, EJECT_MAX_S)
        state.ejections += 1
        state.ejected_until_s = now_s + pause_s
        self._timeline.add("gateway", "minion_ejected", state.entry.name)


def _rendezvous_hash(gateway: ProcessName, minion: MinionName) -> bytes:
    return hashlib.sha256(f"{gateway}\n{minion}".encode()).digest()
