"""Four ways to share minions between gateways, side by side in one run.

Gateways route the same seeded arrivals of urgent and batch requests in simulated
time. The chosen way runs the project's own `MinionPool`.
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
SERVICE_S = 0.05
RUN_S = 3.0
URGENT_SHARE = 0.2
HOP_S = 0.001
RETRY_S = 0.02
REPORT_S = 1.0
LOADS = (0.5, 0.8, 1.1)
NAMES = [f"minion-{n:02d}" for n in range(MINIONS)]


class Request(NamedTuple):
    """One request."""

    arrived_s: float
    request_class: RequestClass
    gateway: int
    work_s: float


class Way(Protocol):
    """How gateways choose minions."""

    hop_s: float

    def home(self, request: Request, draw: random.Random) -> int:
        """Return the gateway that queues and sends the request."""

    def pick(self, gateway: int, request_class: RequestClass) -> str | None:
        """Take a slot of a minion, or return None."""

    def done(self, gateway: int, minion: str, declined: bool) -> None:
        """Give a slot back."""

    def report(self) -> None:
        """Exchange reports between gateways."""

    def advance(self, now_s: float) -> None:
        """Move the time on."""


class SlotShares:
    """The chosen way: slots dealt to gateways, and more at idle minions."""

    hop_s = 0.0

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

    def home(self, request: Request, draw: random.Random) -> int:
        return request.gateway

    def pick(self, gateway: int, request_class: RequestClass) -> str | None:
        entry = self._pools[gateway].pick("planner", request_class)
        return entry.name if entry else None

    def done(self, gateway: int, minion: str, declined: bool) -> None:
        if declined:
            self._pools[gateway].record_decline(minion)
        else:
            self._pools[gateway].record_success(minion, SERVICE_S)

    def report(self) -> None:
        loads: list[tuple[MinionLoad, ...]] = [pool.loads for pool in self._pools]
        for receiver, pool in enumerate(self._pools):
            for sender, load in enumerate(loads):
                if sender != receiver:
                    pool.record_peer_loads(f"gateway-{sender}", load)

    def advance(self, now_s: float) -> None:
        self._clock.jump(now_s - self._clock.monotonic())


class _Counted:
    """Base of ways that know exactly what they may use of each minion."""

    hop_s = 0.0

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._in_flight: dict[tuple[int, str], int] = {}

    def home(self, request: Request, draw: random.Random) -> int:
        return request.gateway

    def done(self, gateway: int, minion: str, declined: bool) -> None:
        self._in_flight[gateway, minion] -= 1

    def report(self) -> None:
        pass

    def advance(self, now_s: float) -> None:
        pass

    def _take(self, gateway: int, names: list[str], limit: int) -> str | None:
        free = [n for n in names if self._in_flight.get((gateway, n), 0) < limit]
        if not free:
            return None
        drawn = self._random.sample(free, min(2, len(free)))
        name = min(drawn, key=lambda n: self._in_flight.get((gateway, n), 0))
        self._in_flight[gateway, name] = self._in_flight.get((gateway, name), 0) + 1
        return name


class TwoChoices(_Counted):
    """Two draws by own load and what the others last reported."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._reported: dict[tuple[int, str], int] = {}

    def pick(self, gateway: int, request_class: RequestClass) -> str | None:
        limit = SLOTS * CLASS_SHARES[request_class]
        free = [name for name in NAMES if self._load(gateway, name) < limit]
        if not free:
            return None
        drawn = self._random.sample(free, min(2, len(free)))
        return self._take(gateway, drawn, SLOTS)

    def report(self) -> None:
        self._reported = dict(self._in_flight)

    def _load(self, gateway: int, name: str) -> int:
        others = sum(
            self._reported.get((other, name), 0)
            for other in range(GATEWAYS)
            if other != gateway
        )
        return others + self._in_flight.get((gateway, name), 0)


class Ownership(_Counted):
    """Each minion belongs to one gateway; others hand requests over."""

    hop_s = HOP_S

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._owned: dict[int, list[str]] = {}
        for name in NAMES:
            owner = max(range(GATEWAYS), key=lambda g, n=name: _weigh(g, n))
            self._owned.setdefault(owner, []).append(name)

    def home(self, request: Request, draw: random.Random) -> int:
        name = draw.choice(NAMES)
        return next(owner for owner, names in self._owned.items() if name in names)

    def pick(self, gateway: int, request_class: RequestClass) -> str | None:
        names = self._owned.get(gateway, [])
        return self._take(gateway, names, int(SLOTS * CLASS_SHARES[request_class]))


class FixedShare(_Counted):
    """Each gateway has the same number of slots of every minion."""

    def pick(self, gateway: int, request_class: RequestClass) -> str | None:
        return self._take(gateway, NAMES, SLOTS // GATEWAYS)


WAYS = {
    "slot_shares": SlotShares,
    "two_choices": TwoChoices,
    "ownership": Ownership,
    "fixed_share": FixedShare,
}


class Figures(NamedTuple):
    """What a way achieved."""

    urgent_p99_ms: float
    batch_p99_ms: float
    rejected_sends: int
    done: int


class _Run:
    def __init__(self, way: Way, seed: int, load: float) -> None:
        self._way = way
        self._draw = random.Random(seed)
        self._events: list[tuple[float, int, str, tuple]] = []
        self._order = itertools.count()
        self._queues = [
            {RequestClass.URGENT: deque(), RequestClass.BATCH: deque()}
            for _ in range(GATEWAYS)
        ]
        self._running = dict.fromkeys(NAMES, 0)
        self._took: dict[RequestClass, list[float]] = {
            RequestClass.URGENT: [],
            RequestClass.BATCH: [],
        }
        self._rejected = 0
        rate = MINIONS * SLOTS / SERVICE_S * load
        time_s = 0.0
        while time_s < RUN_S:
            time_s += self._draw.expovariate(rate)
            urgent = self._draw.random() < URGENT_SHARE
            request = Request(
                time_s,
                RequestClass.URGENT if urgent else RequestClass.BATCH,
                self._draw.randrange(GATEWAYS),
                self._draw.expovariate(1 / SERVICE_S),
            )
            self._push(time_s, "arrive", (request,))
        for number in range(int(RUN_S / REPORT_S)):
            self._push(number * REPORT_S, "report", ())

    def figures(self) -> Figures:
        while self._events and self._events[0][0] < RUN_S:
            now_s, _, verb, details = heapq.heappop(self._events)
            self._way.advance(now_s)
            getattr(self, f"_on_{verb}")(now_s, *details)
        return Figures(
            percentile(self._took[RequestClass.URGENT], 0.99) * 1000,
            percentile(self._took[RequestClass.BATCH], 0.99) * 1000,
            self._rejected,
            sum(map(len, self._took.values())),
        )

    def _push(self, when_s: float, verb: str, details: tuple) -> None:
        heapq.heappush(self._events, (when_s, next(self._order), verb, details))

    def _on_arrive(self, now_s: float, request: Request) -> None:
        home = self._way.home(request, self._draw)
        delay_s = self._way.hop_s if home != request.gateway else 0.0
        self._push(now_s + delay_s, "join", (home, request))

    def _on_join(self, now_s: float, gateway: int, request: Request) -> None:
        self._queues[gateway][request.request_class].append(request)
        self._grant(now_s, gateway)

    def _on_report(self, now_s: float) -> None:
        self._way.report()
        for gateway in range(GATEWAYS):
            self._grant(now_s, gateway)

    def _on_finish(
        self, now_s: float, gateway: int, minion: str, request: Request
    ) -> None:
        self._running[minion] -= 1
        self._way.done(gateway, minion, False)
        hop_s = self._way.hop_s if gateway != request.gateway else 0.0
        took_s = now_s + hop_s - request.arrived_s
        self._took[request.request_class].append(took_s)
        self._grant(now_s, gateway)

    def _grant(self, now_s: float, gateway: int) -> None:
        for request_class, queue in self._queues[gateway].items():
            while queue:
                minion = self._way.pick(gateway, request_class)
                if minion is None:
                    break
                self._send(now_s, gateway, minion, queue.popleft())

    def _send(self, now_s: float, gateway: int, minion: str, request: Request) -> None:
        if self._running[minion] >= SLOTS:
            self._rejected += 1
            self._way.done(gateway, minion, True)
            self._push(now_s + RETRY_S, "join", (gateway, request))
            return
        self._running[minion] += 1
        ends_s = now_s + request.work_s
        self._push(ends_s, "finish", (gateway, minion, request))


def _weigh(gateway: int, name: str) -> str:
    return hashlib.sha256(f"{gateway}/{name}".encode()).hexdigest()


def main() -> None:
    """Print the figures of all ways; the chosen way is the baseline."""
    for load in LOADS:
        for seed in SEEDS:
            results = {
                name: _Run(way(seed), seed, load).figures()
                for name, way in WAYS.items()
            }
            chosen = results["slot_shares"]
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
                        baseline=getattr(chosen, field),
                        seed=seed,
                    )


if __name__ == "__main__":
    main()
