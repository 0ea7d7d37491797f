"""Chooses a minion for each request, and ejects those that fail."""

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
"""Part of a gateway's slots that may be in use when a request of a class is sent."""

SPILL_SHARE = 0.5
"""Load of a minion up to which a gateway goes beyond its own slots there."""

SPILL_PAUSE_S = 1.0
"""Time after a decline in which a gateway stays within its own slots there."""

EJECT_AFTER_FAILURES = 5
EJECT_BASE_S = 1.0
EJECT_MAX_S = 10.0
EJECT_MOST_SHARE = 0.5
"""Most of a service's minions in one region that may be ejected at a time."""

SLOW_FACTOR = 4.0
SERVICE_EWMA_WEIGHT = 0.1
PEER_REPORT_TTL_S = 5.0


class RouterPolicy(NamedTuple):
    """Limits of minions and the share of this gateway.

    Attributes
    ----------
    slots : int
        Requests that a minion runs at once.
    connections : int
        Connections that this gateway may have to one minion; the limits of all
        gateways together stay within the minion's own.
    """

    slots: int
    connections: int


@dataclass
class _MinionState:
    """What this gateway knows of one minion."""

    entry: HostEntry
    share: int = 0
    in_flight: int = 0
    declined_s: float = float("-inf")
    failures: int = 0
    ejected_until_s: float = float("-inf")
    ejections: int = 0
    probing: bool = False
    service_s: float = 0.0
    peer_loads: dict[ProcessName, tuple[int, float]] = field(default_factory=dict)


class MinionPool:
    """The minions of the services, as one gateway sees them.

    Each slot of a minion belongs to one gateway of its region, dealt by rendezvous
    hashing, so that gateways that agree on the membership never ask for
    more slots than there are. A gateway goes beyond its own slots only at minions
    that it and its peers hardly use. Of two minions drawn at random the one with
    less load is taken.

    Parameters
    ----------
    region : str
        Minions of this region are preferred.
    policy : RouterPolicy
        Limits.
    clock : Clock
        Source of time.
    timeline : Timeline
        Receives ejections.
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
        """This gateway's requests in flight, for the peers."""
        return tuple(
            MinionLoad(name, state.in_flight)
            for name, state in self._minions.items()
            if state.in_flight
        )

    def set_entries(self, entries: Iterable[HostEntry]) -> list[MinionName]:
        """Take in the listed minions; return those that are gone and idle."""
        listed = {entry.name: entry for entry in entries}
        for name, entry in listed.items():
            state = self._minions.get(name)
            if state is None:
                state = _MinionState(entry, self._deal_slots(entry))
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
        """Take in which gateways share the minions, and where they are."""
        self._own_name = own_name
        self._gateways = {**gateways, own_name: self._region}
        for state in self._minions.values():
            state.share = self._deal_slots(state.entry)

    def hear(self, peer: ProcessName, loads: Sequence[MinionLoad]) -> None:
        """Take in a peer's requests in flight."""
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
        """Choose a minion and count the request as in flight there.

        Returns
        -------
        HostEntry or None
            None where no minion has room for a request of this class.
        """
        room = [
            state
            for state in self._minions.values()
            if state.entry.service == service
            and state.entry.name not in exclude
            and self._is_open(state)
        ]
        near = self._with_room(
            [state for state in room if state.entry.region == self._region],
            request_class,
        )
        # Only urgent work may pay for the way to another region.
        if not near and request_class is RequestClass.URGENT:
            near = self._with_room(room, request_class)
        if not near:
            return None
        chosen = self._choose(near)
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

    def succeeded(self, name: MinionName, service_s: float) -> None:
        """Record an answer."""
        state = self._finish(name)
        if state is None:
            return
        state.failures = 0
        state.ejections = 0
        weight = SERVICE_EWMA_WEIGHT if state.service_s else 1.0
        state.service_s += weight * (service_s - state.service_s)

    def declined(self, name: MinionName) -> None:
        """Record that a minion did not run a request since it is full."""
        state = self._finish(name)
        if state is not None:
            state.declined_s = self._clock.monotonic()

    def failed(self, name: MinionName) -> None:
        """Record a failure, and eject the minion after several in a row."""
        state = self._finish(name)
        if state is None:
            return
        state.failures += 1
        if state.failures >= EJECT_AFTER_FAILURES or state.ejections:
            self._eject(state)

    def cancelled(self, name: MinionName) -> None:
        """Record that a request ended without telling anything of the minion."""
        self._finish(name)

    def ejected(self) -> list[MinionName]:
        """Return the minions that get no requests now."""
        now_s = self._clock.monotonic()
        return [n for n, s in self._minions.items() if s.ejected_until_s > now_s]

    def _finish(self, name: MinionName) -> _MinionState | None:
        state = self._minions.get(name)
        if state is not None:
            state.in_flight -= 1
            state.probing = False
        return state

    def _deal_slots(self, entry: HostEntry) -> int:
        """Return this gateway's slots of a minion.

        The gateways of the minion's region share all slots, dealt round and round;
        all gateways do where the region has none.
        """
        near = [name for name, at in self._gateways.items() if at == entry.region]
        sharing = near or list(self._gateways)
        if self._own_name not in sharing:
            return 0
        order = sorted(sharing, key=lambda name: _weigh(name, entry.name))
        position = order.index(self._own_name)
        whole, rest = divmod(self._policy.slots, len(order))
        return min(whole + (position < rest), self._policy.connections)

    def _is_open(self, state: _MinionState) -> bool:
        """Whether a minion may get requests at all now."""
        return (
            state.entry.state is HostState.LIVE
            and not state.probing
            and state.ejected_until_s <= self._clock.monotonic()
            and state.in_flight < self._policy.connections
        )

    def _with_room(
        self, states: Sequence[_MinionState], request_class: RequestClass
    ) -> list[_MinionState]:
        """Return minions at which this gateway may take a slot for a class."""
        own = sum(state.share for state in states)
        used = sum(min(state.in_flight, state.share) for state in states)
        if used < own * CLASS_SHARES[request_class]:
            free = [state for state in states if state.in_flight < state.share]
            if free:
                return free
        spill = self._policy.slots * SPILL_SHARE * CLASS_SHARES[request_class]
        now_s = self._clock.monotonic()
        return [
            state
            for state in states
            if self._load(state) < spill and state.declined_s + SPILL_PAUSE_S <= now_s
        ]

    def _load(self, state: _MinionState) -> int:
        horizon = self._clock.monotonic() - PEER_REPORT_TTL_S
        peers = sum(load for load, at_s in state.peer_loads.values() if at_s > horizon)
        return state.in_flight + peers

    def _choose(self, states: Sequence[_MinionState]) -> _MinionState:
        drawn = self._random.sample(states, min(2, len(states)))
        typical_s = sorted(s.service_s for s in states)[len(states) // 2]
        return min(drawn, key=lambda s: self._cost(s, typical_s))

    def _cost(self, state: _MinionState, typical_s: float) -> float:
        slow = typical_s > 0 and state.service_s > SLOW_FACTOR * typical_s
        return self._load(state) + (self._policy.slots if slow else 0)

    def _eject(self, state: _MinionState) -> None:
        place = (state.entry.service, state.entry.region)
        same = [
            s
            for s in self._minions.values()
            if (s.entry.service, s.entry.region) == place
        ]
        now_s = self._clock.monotonic()
        out = sum(1 for s in same if s.ejected_until_s > now_s)
        if out + 1 > EJECT_MOST_SHARE * len(same):
            return
        pause_s = min(EJECT_BASE_S * 2**state.ejections, EJECT_MAX_S)
        state.ejections += 1
        state.ejected_until_s = now_s + pause_s
        self._timeline.add("gateway", "minion_ejected", state.entry.name)


def _weigh(gateway: ProcessName, minion: MinionName) -> bytes:
    return hashlib.sha256(f"{gateway}\n{minion}".encode()).digest()
