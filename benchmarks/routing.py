"""Compares four schemes by which gateways share minions.

Gateways route the same seeded arrivals of urgent and batch requests in simulated time.
`SlotShares` runs the project's own `MinionPool` and is the baseline of the others.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random
from collections import deque
from typing import NamedTuple, Protocol

from benchmarks.reporting import percentile, print_result
from chiveledge.clock import ManualClock
from chiveledge.configuration import RequestClass
from chiveledge.events import Timeline
from chiveledge.gateway import MinionPool, RouterPolicy
from chiveledge.gateway._router import CLASS_SHARES
from chiveledge.peers import MinionLoad
from chiveledge.services import HostEntry, HostRole

SEEDS = (1, 2)
GATEWAYS = 6
MINIONS = 24
SLOTS = 8
CONNECTIONS = 64 // 9
"""A minion's 64 connections, divided among at most 9 gateways."""

MEAN_WORK_S = 0.05
RUN_S = 3.0
URGENT_SHARE = 0.2
FORWARD_S = 0.001
RETRY_S = 0.02
REPORT_S = 1.0
LOADS = (0.5, 0.8, 1.1)
NAMES = [f"minion-{n:02d}" for n in range(MINIONS)]


class Request(NamedTuple):
    """A request that arrives at a gateway."""

    arrived_s: float
    request_class: RequestClass
    gateway: int
    work_s: float


class SharingScheme(Protocol):
    """Scheme by which gateways share the slots of minions.

    Attributes
    ----------
    forward_s : float
        Time to forward a request, or its reply, between gateways.
    """

    forward_s: float

    def choose_gateway(self, request: Request, rng: random.Random) -> int:
        """Return the gateway that queues and sends the request."""

    def acquire_slot(self, gateway: int, request_class: RequestClass) -> str | None:
        """Acquire a slot; return its minion, or None if no slot is free."""

    def release_slot(self, gateway: int, minion: str, declined: bool) -> None:
        """Release a slot after the minion has finished or declined the request."""

    def exchange_reports(self) -> None:
        """Exchange load reports between all gateways."""

    def advance_to(self, now_s: float) -> None:
        """Advance the clock to `now_s`."""


class SlotShares:
    """The project's scheme: own slots for each gateway, and more at idle minions."""

    forward_s = 0.0

    def __init__(self, seed: int) -> None:
        self._clock = ManualClock()
        entries = [
            HostEntry(name, HostRole.MINION, "", "r", "d", "planner") for name in NAMES
        ]
        timeline = Timeline("bench", self._clock)
        self._pools = [
            MinionPool(
                "r",
                RouterPolicy(SLOTS, CONNECTIONS),
                self._clock,
                timeline,
                seed=seed * 100 + number,
            )
            for number in range(GATEWAYS)
        ]
        names = {f"gateway-{number}": "r" for number in range(GATEWAYS)}
        for name, pool in zip(names, self._pools, strict=True):
            pool.set_minions(entries)
            pool.set_gateways(name, names)

    def choose_gateway(self, request: Request, rng: random.Random) -> int:
        return request.gateway

    def acquire_slot(self, gateway: int, request_class: RequestClass) -> str | None:
        entry = self._pools[gateway].pick("planner", request_class)
        return entry.name if entry else None

    def release_slot(self, gateway: int, minion: str, declined: bool) -> None:
        if declined:
            self._pools[gateway].record_decline(minion)
        else:
            self._pools[gateway].record_success(minion, MEAN_WORK_S)

    def exchange_reports(self) -> None:
        loads: list[tuple[MinionLoad, ...]] = [pool.loads for pool in self._pools]
        for receiver, pool in enumerate(self._pools):
            for sender, load in enumerate(loads):
                if sender != receiver:
                    pool.record_peer_loads(f"gateway-{sender}", load)

    def advance_to(self, now_s: float) -> None:
        self._clock.jump(now_s - self._clock.monotonic())


class _CountingScheme:
    """Base of schemes that limit a gateway's requests in flight at each minion."""

    forward_s = 0.0

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._in_flight: dict[tuple[int, str], int] = {}

    def choose_gateway(self, request: Request, rng: random.Random) -> int:
        return request.gateway

    def release_slot(self, gateway: int, minion: str, declined: bool) -> None:
        self._in_flight[gateway, minion] -= 1

    def exchange_reports(self) -> None:
        pass

    def advance_to(self, now_s: float) -> None:
        pass

    def _acquire_least_loaded(
        self, gateway: int, names: list[str], limit: int
    ) -> str | None:
        free = [n for n in names if self._in_flight.get((gateway, n), 0) < limit]
        if not free:
            return None
        drawn = self._random.sample(free, min(2, len(free)))
        name = min(drawn, key=lambda n: self._in_flight.get((gateway, n), 0))
        self._in_flight[gateway, name] = self._in_flight.get((gateway, name), 0) + 1
        return name


class TwoChoices(_CountingScheme):
    """The less loaded of two random minions, by own and last reported loads."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._reported: dict[tuple[int, str], int] = {}

    def acquire_slot(self, gateway: int, request_class: RequestClass) -> str | None:
        limit = SLOTS * CLASS_SHARES[request_class]
        free = [name for name in NAMES if self._load(gateway, name) < limit]
        if not free:
            return None
        drawn = self._random.sample(free, min(2, len(free)))
        return self._acquire_least_loaded(gateway, drawn, SLOTS)

    def exchange_reports(self) -> None:
        self._reported = dict(self._in_flight)

    def _load(self, gateway: int, name: str) -> int:
        others = sum(
            self._reported.get((other, name), 0)
            for other in range(GATEWAYS)
            if other != gateway
        )
        return others + self._in_flight.get((gateway, name), 0)


class Ownership(_CountingScheme):
    """Each minion has one owning gateway, to which others forward requests."""

    forward_s = FORWARD_S

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._owned: dict[int, list[str]] = {}
        for name in NAMES:
            owner = max(range(GATEWAYS), key=lambda g, n=name: _hash_owner(g, n))
            self._owned.setdefault(owner, []).append(name)

    def choose_gateway(self, request: Request, rng: random.Random) -> int:
        name = rng.choice(NAMES)
        return next(owner for owner, names in self._owned.items() if name in names)

    def acquire_slot(self, gateway: int, request_class: RequestClass) -> str | None:
        names = self._owned.get(gateway, [])
        return self._acquire_least_loaded(
            gateway, names, int(SLOTS * CLASS_SHARES[request_class])
        )


class FixedShare(_CountingScheme):
    """Each gateway may use the same fixed number of slots of every minion."""

    def acquire_slot(self, gateway: int, request_class: RequestClass) -> str | None:
        return self._acquire_least_loaded(gateway, NAMES, SLOTS // GATEWAYS)


SCHEMES = {
    "slot_shares": SlotShares,
    "two_choices": TwoChoices,
    "ownership": Ownership,
    "fixed_share": FixedShare,
}


class SimulationResult(NamedTuple):
    """Result of one simulation."""

    urgent_p99_ms: float
    batch_p99_ms: float
    rejected_sends: int
    done: int


class _Simulation:
    def __init__(self, scheme: SharingScheme, seed: int, load: float) -> None:
        self._scheme = scheme
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, str, tuple]] = []
        self._event_numbers = itertools.count()
        self._queues = [
            {RequestClass.URGENT: deque(), RequestClass.BATCH: deque()}
            for _ in range(GATEWAYS)
        ]
        self._running = dict.fromkeys(NAMES, 0)
        self._latencies_s: dict[RequestClass, list[float]] = {
            RequestClass.URGENT: [],
            RequestClass.BATCH: [],
        }
        self._rejected = 0
        rate = MINIONS * SLOTS / MEAN_WORK_S * load
        time_s = 0.0
        while time_s < RUN_S:
            time_s += self._rng.expovariate(rate)
            urgent = self._rng.random() < URGENT_SHARE
            request = Request(
                time_s,
                RequestClass.URGENT if urgent else RequestClass.BATCH,
                self._rng.randrange(GATEWAYS),
                self._rng.expovariate(1 / MEAN_WORK_S),
            )
            self._push(time_s, "arrive", (request,))
        for number in range(int(RUN_S / REPORT_S)):
            self._push(number * REPORT_S, "report", ())

    def run(self) -> SimulationResult:
        while self._events and self._events[0][0] < RUN_S:
            now_s, _, event, details = heapq.heappop(self._events)
            self._scheme.advance_to(now_s)
            getattr(self, f"_on_{event}")(now_s, *details)
        return SimulationResult(
            percentile(self._latencies_s[RequestClass.URGENT], 0.99) * 1000,
            percentile(self._latencies_s[RequestClass.BATCH], 0.99) * 1000,
            self._rejected,
            sum(map(len, self._latencies_s.values())),
        )

    def _push(self, when_s: float, event: str, details: tuple) -> None:
        heapq.heappush(
            self._events, (when_s, next(self._event_numbers), event, details)
        )

    def _on_arrive(self, now_s: float, request: Request) -> None:
        sender = self._scheme.choose_gateway(request, self._rng)
        delay_s = self._scheme.forward_s if sender != request.gateway else 0.0
        self._push(now_s + delay_s, "join", (sender, request))

    def _on_join(self, now_s: float, gateway: int, request: Request) -> None:
        self._queues[gateway][request.request_class].append(request)
        self._dispatch(now_s, gateway)

    def _on_report(self, now_s: float) -> None:
        self._scheme.exchange_reports()
        for gateway in range(GATEWAYS):
            self._dispatch(now_s, gateway)

    def _on_finish(
        self, now_s: float, gateway: int, minion: str, request: Request
    ) -> None:
        self._running[minion] -= 1
        self._scheme.release_slot(gateway, minion, False)
        forward_s = self._scheme.forward_s if gateway != request.gateway else 0.0
        took_s = now_s + forward_s - request.arrived_s
        self._latencies_s[request.request_class].append(took_s)
        self._dispatch(now_s, gateway)

    def _dispatch(self, now_s: float, gateway: int) -> None:
        for request_class, queue in self._queues[gateway].items():
            while queue:
                minion = self._scheme.acquire_slot(gateway, request_class)
                if minion is None:
                    break
                self._send(now_s, gateway, minion, queue.popleft())

    def _send(self, now_s: float, gateway: int, minion: str, request: Request) -> None:
        if self._running[minion] >= SLOTS:
            self._rejected += 1
            self._scheme.release_slot(gateway, minion, True)
            self._push(now_s + RETRY_S, "join", (gateway, request))
            return
        self._running[minion] += 1
        ends_s = now_s + request.work_s
        self._push(ends_s, "finish", (gateway, minion, request))


def _hash_owner(gateway: int, name: str) -> str:
    return hashlib.sha256(f"{gateway}/{name}".encode()).hexdigest()


def main() -> None:
    """Print the results of all schemes, with `SlotShares` as the baseline."""
    for load in LOADS:
        for seed in SEEDS:
            results = {
                name: _Simulation(scheme(seed), seed, load).run()
                for name, scheme in SCHEMES.items()
            }
            baseline = results["slot_shares"]
            for name, figures in results.items():
                for field, unit in (
                    ("urgent_p99_ms", "ms"),
                    ("batch_p99_ms", "ms"),
                    ("rejected_sends", "sends"),
                    ("done", "requests"),
                ):
                    print_result(
                        f"{field}.{name}.load_{load:g}",
                        getattr(figures, field),
                        unit,
                        baseline=getattr(baseline, field),
                        seed=seed,
                    )


if __name__ == "__main__":
    main()
