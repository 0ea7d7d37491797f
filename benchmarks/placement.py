"""Compares completion time and fragmentation with those of first fit and FIFO.

Each policy replays the same arrivals on one rack of 8 workers with 8 accelerators each.
Declared run times are wrong by a factor of up to ten in either direction.
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
ACCELERATORS_PER_WORKER = 8
TOTAL_ACCELERATORS = WORKERS * ACCELERATORS_PER_WORKER
LARGE_GANG_ACCELERATORS = 16
"""Least number of accelerators of a gang whose wait counts as that of a large one."""

CHECKPOINT_S = 2.0
"""Time that preempted jobs take to write a checkpoint and stop."""

REPLAN_S = 60.0
"""Time between plans while jobs wait and nothing else happens."""

WEIGHTS = {"haneul": (0.7, 0.3), "pedalservis": (0.4, 0.6)}
"""Weights of completion time and fragmentation for each user."""


class Start(NamedTuple):
    """Start of a job, as decided by a policy.

    Attributes
    ----------
    start_id : str
        Identifies the start until it is released.
    accelerators : frozenset of int
        Positions of its accelerators in the rack.
    victims : tuple of str
        Starts that are preempted for it.
    """

    job: Job
    start_id: str
    accelerators: frozenset[int]
    victims: tuple[str, ...]


class Policy(Protocol):
    """Decides which jobs start, and on which accelerators."""

    def plan(self, waiting: list[Job], now: datetime) -> list[Start]:
        """Return the jobs to start now, and allocate their accelerators."""

    def release(self, start_id: str) -> None:
        """Release the accelerators of a start."""


class ReplayResult(NamedTuple):
    """Results of one policy on one sequence."""

    completion_mean_s: float
    completion_p95_s: float
    large_wait_p95_s: float
    fragmentation: float
    plan_us: float


class ChiveledgePolicy:
    """Runs the project's own planner."""

    def __init__(self) -> None:
        sizes = [
            WorkerSize(f"w{n}", "rack", ACCELERATORS_PER_WORKER, 128, 262144)
            for n in range(WORKERS)
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
                    int(member.worker[1:]) * ACCELERATORS_PER_WORKER + index
                    for member in start.members
                    for index in member.accelerators
                ),
                start.victims,
            )
            for start in starts
        ]

    def release(self, start_id: str) -> None:
        self._planner.release(start_id)


class FirstFitPolicy:
    """First fit on a flat list of accelerators, in order of submission.

    With `in_order`, no job starts before an earlier one that doesn't fit (FIFO).
    """

    def __init__(self, *, in_order: bool) -> None:
        self._in_order = in_order
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
            accelerators = next(list_windows(job, taken), None)
            if accelerators is None:
                if self._in_order:
                    break
                failed.add(shape)
                continue
            taken |= accelerators
            start_id = f"f{next(self._numbers)}"
            self._used[start_id] = accelerators
            starts.append(Start(job, start_id, accelerators, ()))
        return starts

    def release(self, start_id: str) -> None:
        del self._used[start_id]


def list_windows(job: Job, taken: frozenset[int]) -> Iterator[frozenset[int]]:
    """Yield each set of free adjacent accelerators on which a gang fits.

    No member spans two workers.
    """
    per_member = job.spec.accelerators
    size = per_member * job.spec.members
    for start in range(TOTAL_ACCELERATORS - size + 1):
        members = range(start, start + size, per_member)
        if any(
            m // ACCELERATORS_PER_WORKER
            != (m + per_member - 1) // ACCELERATORS_PER_WORKER
            for m in members
        ):
            continue
        window = frozenset(range(start, start + size))
        if not window & taken:
            yield window


def measure_fragmentation(waiting: list[Job], taken: frozenset[int]) -> float:
    """Return the share of free accelerators that the largest waiting gang can't use.

    If none waits, the largest guaranteed gang is used instead.
    """
    free = TOTAL_ACCELERATORS - len(taken)
    if not free:
        return 0.0
    if waiting:
        job = max(waiting, key=lambda j: j.spec.members * j.spec.accelerators)
    else:
        job = _LARGEST_GUARANTEED_JOB
    usable = frozenset().union(*list_windows(job, taken))
    return 1 - len(usable) / free


def replay(policy: Policy, arrivals: list[Arrival]) -> ReplayResult:
    """Replay a sequence with a policy until every job has finished."""
    state = _Replay(policy, arrivals)
    while state.events:
        state.step()
    return state.summarize()


class _Replay:
    def __init__(self, policy: Policy, arrivals: list[Arrival]) -> None:
        self._policy = policy
        self._remaining_s = {arrival.job.job_id: arrival.run_s for arrival in arrivals}
        self._waiting: dict[str, Job] = {}
        self._running: dict[str, tuple[Start, datetime]] = {}
        self._event_numbers = itertools.count()
        self.events = [
            (arrival.job.submitted_at, next(self._event_numbers), "arrive", arrival.job)
            for arrival in arrivals
        ]
        heapq.heapify(self.events)
        self._total_jobs = len(arrivals)
        self._finished_jobs = 0
        self._completion_s: list[float] = []
        self._large_waits_s: dict[str, float] = {}
        self._fragmentation_s = 0.0
        self._observed_s = 0.0
        self._last_event_at = START
        self._plan_s: list[float] = []

    def step(self) -> None:
        now, _, event, subject = heapq.heappop(self.events)
        self._accumulate_fragmentation(now)
        match event:
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
            self._start(start, now)
        if event == "tick" or (self._waiting and not self._has_tick()):
            if self._finished_jobs < self._total_jobs:
                self._push(now + timedelta(seconds=REPLAN_S), "tick", None)

    def summarize(self) -> ReplayResult:
        waits = list(self._large_waits_s.values())
        return ReplayResult(
            statistics.mean(self._completion_s),
            percentile(self._completion_s, 0.95),
            percentile(waits, 0.95),
            self._fragmentation_s / self._observed_s,
            statistics.mean(self._plan_s) * 1e6,
        )

    def _has_tick(self) -> bool:
        return any(entry[2] == "tick" for entry in self.events)

    def _push(self, when: datetime, event: str, subject: object) -> None:
        heapq.heappush(self.events, (when, next(self._event_numbers), event, subject))

    def _start(self, start: Start, now: datetime) -> None:
        for victim in start.victims:
            # Two starts of one plan may preempt the same borrower.
            if victim in self._running:
                self._stop(victim, now)
        job = start.job
        del self._waiting[job.job_id]
        started_at = now + timedelta(seconds=CHECKPOINT_S if start.victims else 0.0)
        if len(start.accelerators) >= LARGE_GANG_ACCELERATORS:
            waited_s = (started_at - job.submitted_at).total_seconds()
            self._large_waits_s.setdefault(job.job_id, waited_s)
        self._running[start.start_id] = (start, started_at)
        finished_at = started_at + timedelta(seconds=self._remaining_s[job.job_id])
        self._push(finished_at, "finish", start.start_id)

    def _stop(self, start_id: str, now: datetime) -> None:
        """Checkpoint, stop and requeue a borrower; it keeps the work done so far."""
        start, started_at = self._running.pop(start_id)
        elapsed_s = max((now - started_at).total_seconds(), 0.0)
        self._remaining_s[start.job.job_id] -= elapsed_s
        self._waiting[start.job.job_id] = start.job
        self._policy.release(start_id)

    def _finish(self, start_id: str, now: datetime) -> None:
        start, _ = self._running.pop(start_id)
        self._policy.release(start_id)
        self._finished_jobs += 1
        completion_s = (now - start.job.submitted_at).total_seconds()
        self._completion_s.append(completion_s)

    def _accumulate_fragmentation(self, now: datetime) -> None:
        """Add the time since the last event to the time average of fragmentation."""
        elapsed_s = (now - self._last_event_at).total_seconds()
        self._last_event_at = now
        if elapsed_s <= 0 or not self._running:
            return
        taken = frozenset().union(*(s.accelerators for s, _ in self._running.values()))
        waiting = list(self._waiting.values())
        self._fragmentation_s += elapsed_s * measure_fragmentation(waiting, taken)
        self._observed_s += elapsed_s


_LARGEST_GUARANTEED_JOB = make_sequence("ordinary_day", 0)[0].job
_LARGEST_GUARANTEED_JOB = _LARGEST_GUARANTEED_JOB._replace(
    spec=_LARGEST_GUARANTEED_JOB.spec.model_copy(
        update={"members": 2, "accelerators": 8}
    )
)


def main() -> None:
    """Print the results of all sequences."""
    for name in SEQUENCES:
        for seed in SEEDS:
            arrivals = make_sequence(name, seed)
            result = replay(ChiveledgePolicy(), arrivals)
            for label, baseline in (
                ("first_fit", replay(FirstFitPolicy(in_order=False), arrivals)),
                ("fifo", replay(FirstFitPolicy(in_order=True), arrivals)),
            ):
                _print_results(f"{name}.vs_{label}", result, baseline, seed)


def _print_results(
    scenario: str, result: ReplayResult, baseline: ReplayResult, seed: int
) -> None:
    for field, unit in (
        ("completion_mean_s", "s"),
        ("completion_p95_s", "s"),
        ("large_wait_p95_s", "s"),
        ("fragmentation", "share"),
    ):
        name = "large_gang_wait_p95_s" if field == "large_wait_p95_s" else field
        print_result(
            f"{name}.{scenario}",
            getattr(result, field),
            unit,
            baseline=getattr(baseline, field),
            seed=seed,
        )
    for user, (time_weight, space_weight) in WEIGHTS.items():
        ratio_time = result.completion_mean_s / baseline.completion_mean_s
        ratio_space = result.fragmentation / max(baseline.fragmentation, 1e-9)
        weighted = time_weight * ratio_time + space_weight * ratio_space
        print_result(
            f"weighted_{user}.{scenario}", weighted, "ratio", baseline=1.0, seed=seed
        )


if __name__ == "__main__":
    main()
