"""Completion time and fragmentation against first fit and FIFO, in one run.

Each policy gets the same arrivals, with run times misdeclared by up to ten times
either way, on one rack of 8 workers with 8 accelerators.
"""

from __future__ import annotations

import heapq
import itertools
import statistics
import time
from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import NamedTuple, Protocol

from benchmarks.arrivals import (
    REGION,
    SEQUENCES,
    START,
    Arrival,
    make_document,
    make_sequence,
)
from benchmarks.reporting import percentile, print_result
from chiveledge.cells import WorkerSize
from chiveledge.jobs import Attempt, Job
from chiveledge.scheduler import Planner

SEEDS = (1, 2, 3)
WORKERS = 8
PER_WORKER = 8
TOTAL = WORKERS * PER_WORKER
LARGE = 16
CHECKPOINT_S = 2.0
REPLAN_S = 60.0
WEIGHTS = {"haneul": (0.7, 0.3), "pedalservis": (0.4, 0.6)}


class Start(NamedTuple):
    """A decision of a policy."""

    job: Job
    name: str
    positions: frozenset[int]
    victims: tuple[str, ...]


class Policy(Protocol):
    """Chooses starts."""

    def plan(self, waiting: list[Job], now: datetime) -> list[Start]:
        """Choose jobs to start now, and take their places."""

    def release(self, name: str) -> None:
        """Free a place."""


class Outcome(NamedTuple):
    """Figures of one policy on one sequence."""

    completion_mean_s: float
    completion_p95_s: float
    large_wait_p95_s: float
    fragmentation: float
    plan_us: float


class ChiveledgePolicy:
    """The project's own decisions."""

    def __init__(self) -> None:
        sizes = [
            WorkerSize(f"w{n}", "rack", PER_WORKER, 128, 262144) for n in range(WORKERS)
        ]
        self._planner = Planner(REGION, sizes, make_document())
        self._numbers = itertools.count()

    def plan(self, waiting: list[Job], now: datetime) -> list[Start]:
        starts = self._planner.plan(
            waiting, now, make_attempt_id=lambda job: f"a{next(self._numbers)}"
        )
        for start in starts:
            attempt = Attempt(start.attempt_id, 1, now, start.members, start.cells)
            self._planner.record_attempt(start.job._replace(attempt=attempt))
        return [
            Start(
                start.job,
                start.attempt_id,
                frozenset(
                    int(member.worker[1:]) * PER_WORKER + index
                    for member in start.members
                    for index in member.accelerators
                ),
                start.victims,
            )
            for start in starts
        ]

    def release(self, name: str) -> None:
        self._planner.release(name)


class FlatPolicy:
    """First fit on a flat list; with `strict`, nobody passes the first in line."""

    def __init__(self, *, strict: bool) -> None:
        self._strict = strict
        self._used: dict[str, frozenset[int]] = {}
        self._numbers = itertools.count()

    def plan(self, waiting: list[Job], now: datetime) -> list[Start]:
        starts = []
        taken = frozenset().union(*self._used.values())
        failed: set[tuple[int, int]] = set()
        for job in sorted(waiting, key=lambda job: job.submitted_at):
            shape = (job.spec.members, job.spec.accelerators)
            if shape in failed:
                continue
            positions = next(list_windows(job, taken), None)
            if positions is None:
                if self._strict:
                    break
                failed.add(shape)
                continue
            taken |= positions
            name = f"f{next(self._numbers)}"
            self._used[name] = positions
            starts.append(Start(job, name, positions, ()))
        return starts

    def release(self, name: str) -> None:
        del self._used[name]


def list_windows(job: Job, taken: frozenset[int]) -> Iterator[frozenset[int]]:
    """Yield free adjacent places of a gang whose members stay on one worker."""
    each = job.spec.accelerators
    size = each * job.spec.members
    for start in range(TOTAL - size + 1):
        members = range(start, start + size, each)
        if any(m // PER_WORKER != (m + each - 1) // PER_WORKER for m in members):
            continue
        window = frozenset(range(start, start + size))
        if not window & taken:
            yield window


def measure_fragmentation(waiting: list[Job], taken: frozenset[int]) -> float:
    """Return the share of free accelerators that can't serve the largest waiting gang.

    Without a waiting gang the largest guaranteed shape takes its place.
    """
    free = TOTAL - len(taken)
    if not free:
        return 0.0
    if waiting:
        job = max(waiting, key=lambda j: j.spec.members * j.spec.accelerators)
    else:
        job = _GUARANTEED
    usable = frozenset().union(*list_windows(job, taken))
    return 1 - len(usable) / free


def run(policy: Policy, arrivals: list[Arrival]) -> Outcome:
    """Run a policy through a sequence until every job is done."""
    replay = _Replay(policy, arrivals)
    while replay.events:
        replay.step()
    return replay.outcome()


class _Replay:
    def __init__(self, policy: Policy, arrivals: list[Arrival]) -> None:
        self._policy = policy
        self._left = {arrival.job.job_id: arrival.run_s for arrival in arrivals}
        self._waiting: dict[str, Job] = {}
        self._running: dict[str, tuple[Start, datetime]] = {}
        self._order = itertools.count()
        self.events = [
            (arrival.job.submitted_at, next(self._order), "arrive", arrival.job)
            for arrival in arrivals
        ]
        heapq.heapify(self.events)
        self._jobs = len(arrivals)
        self._done = 0
        self._completion: list[float] = []
        self._large_wait: dict[str, float] = {}
        self._fragmented = 0.0
        self._observed_s = 0.0
        self._last = START
        self._plan_s: list[float] = []

    def step(self) -> None:
        now, _, verb, subject = heapq.heappop(self.events)
        self._observe(now)
        match verb:
            case "arrive":
                self._waiting[subject.job_id] = subject
            case "finish" if subject in self._running:
                self._finish(subject, now)
            case "finish":
                return
        started_s = time.perf_counter()
        starts = self._policy.plan(list(self._waiting.values()), now)
        self._plan_s.append(time.perf_counter() - started_s)
        for start in starts:
            self._begin(start, now)
        if verb == "tick" or (self._waiting and not self._ticks()):
            if self._done < self._jobs:
                self._push(now + timedelta(seconds=REPLAN_S), "tick", None)

    def outcome(self) -> Outcome:
        waits = list(self._large_wait.values())
        return Outcome(
            statistics.mean(self._completion),
            percentile(self._completion, 0.95),
            percentile(waits, 0.95),
            self._fragmented / self._observed_s,
            statistics.mean(self._plan_s) * 1e6,
        )

    def _ticks(self) -> bool:
        return any(event[2] == "tick" for event in self.events)

    def _push(self, when: datetime, verb: str, subject: object) -> None:
        heapq.heappush(self.events, (when, next(self._order), verb, subject))

    def _begin(self, start: Start, now: datetime) -> None:
        for victim in start.victims:
            # Two starts of one plan may name the same borrower.
            if victim in self._running:
                self._stop(victim, now)
        job = start.job
        del self._waiting[job.job_id]
        begins = now + timedelta(seconds=CHECKPOINT_S if start.victims else 0.0)
        if len(start.positions) >= LARGE:
            waited_s = (begins - job.submitted_at).total_seconds()
            self._large_wait.setdefault(job.job_id, waited_s)
        self._running[start.name] = (start, begins)
        ends = begins + timedelta(seconds=self._left[job.job_id])
        self._push(ends, "finish", start.name)

    def _stop(self, name: str, now: datetime) -> None:
        """Checkpoint and stop a borrower; its work so far is kept."""
        start, begins = self._running.pop(name)
        ran_s = max((now - begins).total_seconds(), 0.0)
        self._left[start.job.job_id] -= ran_s
        self._waiting[start.job.job_id] = start.job
        self._policy.release(name)

    def _finish(self, name: str, now: datetime) -> None:
        start, _ = self._running.pop(name)
        self._policy.release(name)
        self._done += 1
        took_s = (now - start.job.submitted_at).total_seconds()
        self._completion.append(took_s)

    def _observe(self, now: datetime) -> None:
        """Add the time since the last event to the average of fragmentation."""
        passed_s = (now - self._last).total_seconds()
        self._last = now
        if passed_s <= 0 or not self._running:
            return
        taken = frozenset().union(*(s.positions for s, _ in self._running.values()))
        waiting = list(self._waiting.values())
        self._fragmented += passed_s * measure_fragmentation(waiting, taken)
        self._observed_s += passed_s


_GUARANTEED = make_sequence("ordinary_day", 0)[0].job
_GUARANTEED = _GUARANTEED._replace(
    spec=_GUARANTEED.spec.model_copy(update={"members": 2, "accelerators": 8})
)


def main() -> None:
    """Print the figures of all sequences."""
    for name in SEQUENCES:
        for seed in SEEDS:
            arrivals = make_sequence(name, seed)
            own = run(ChiveledgePolicy(), arrivals)
            for label, baseline in (
                ("first_fit", run(FlatPolicy(strict=False), arrivals)),
                ("fifo", run(FlatPolicy(strict=True), arrivals)),
            ):
                _print(f"{name}.vs_{label}", own, baseline, seed)


def _print(scenario: str, own: Outcome, baseline: Outcome, seed: int) -> None:
    for field, unit in (
        ("completion_mean_s", "s"),
        ("completion_p95_s", "s"),
        ("large_wait_p95_s", "s"),
        ("fragmentation", "share"),
    ):
        name = "large_gang_wait_p95_s" if field == "large_wait_p95_s" else field
        print_result(
            f"{name}.{scenario}",
            getattr(own, field),
            unit,
            baseline=getattr(baseline, field),
            seed=seed,
        )
    for user, (time_weight, space_weight) in WEIGHTS.items():
        ratio_time = own.completion_mean_s / baseline.completion_mean_s
        ratio_space = own.fragmentation / max(baseline.fragmentation, 1e-9)
        weighed = time_weight * ratio_time + space_weight * ratio_space
        print_result(
            f"weighted_{user}.{scenario}", weighed, "ratio", baseline=1.0, seed=seed
        )


if __name__ == "__main__":
    main()
