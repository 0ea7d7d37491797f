"""Measures how the leader's latency, memory and messages grow with the fleet.

Runs the decision code against in-process stand-ins, at several scales of one fleet.
"""

from __future__ import annotations

import asyncio
import json
import random
import resource
import statistics
import time
from datetime import UTC, datetime

from benchmarks.reporting import percentile, print_result
from chiveledge.cells import WorkerSize
from chiveledge.clock import SystemClock
from chiveledge.configuration import Document, RequestClass, hash_token
from chiveledge.events import Timeline
from chiveledge.jobs import Attempt, Job, JobSpec, JobState, encode_job, make_job_id
from chiveledge.leadership import Leadership
from chiveledge.metrics import Metrics
from chiveledge.peers import MinionLoad, PeerEnvelope, PeerReport, encode_message
from chiveledge.scheduler import Planner
from chiveledge.scheduler._region import ListedWorker, RegionContext, RegionLeader
from chiveledge.services import Put, SyncRequest, Transaction
from chiveledge.settings import TimingSettings
from standins.objects import MemoryObjects
from standins.table import MemoryTable
from standins.worker import MemoryWorker

REGION = "north"
SEED = 1
WORKSPACES = 43
NOW = datetime(2026, 1, 1, tzinfo=UTC)
SCALES = (0.125, 0.25, 0.5, 1.0)
"""Scales of the fleet and its load; the numbers below are those of scale 1."""

WORKERS = 810
ACCELERATORS = 930
TASKS = 4600
JOBS = 1700
KB = 1024

REPORT_STAMP = 0x2A7B_41C6_93D5_18EF
"""As long as most stamps; they start at a random number of 62 bits."""


def make_workers(scale: float) -> list[WorkerSize]:
    """Return heterogeneous workers: a few with 8 accelerators, most with 0 or 1."""
    generator = random.Random(SEED)
    count = round(WORKERS * scale)
    remaining = round(ACCELERATORS * scale)
    sizes = []
    for number in range(count):
        wanted = generator.choices((0, 1, 8), (55, 35, 10))[0]
        accelerators = min(wanted, remaining)
        remaining -= accelerators
        rack = f"rack-{number // 16:03d}"
        sizes.append(WorkerSize(f"w{number:04d}", rack, accelerators, 64, 256 * KB))
    return sizes


def make_document(scale: float) -> Document:
    """Return a configuration of workspaces, each with a small guarantee.

    There are 10 workspaces up to a scale of 0.2, and 43 above it.
    """
    policy = {
        "admit": list(RequestClass),
        "class_shares": {"urgent": 8, "standard": 4, "batch": 1},
    }
    cells = max(round(2 * scale), 1)
    workspaces = {
        f"team-{number:02d}": {
            "weight": 1 + number % 5,
            "token_sha256": hash_token(str(number)),
            "guarantees": [{"region": REGION, "cell": 4, "count": cells}],
        }
        for number in range(WORKSPACES if scale > 0.2 else 10)
    }
    return Document.model_validate(
        {
            "preset": "ordinary",
            "presets": {"ordinary": policy},
            "workspaces": workspaces,
            "kinds": {},
        }
    )


def make_jobs(scale: float, document: Document) -> list[Job]:
    """Return waiting jobs; most need no accelerators."""
    generator = random.Random(SEED)
    names = list(document.workspaces)
    jobs = []
    members = 0
    while members < TASKS * scale:
        size = generator.choices((1, 2, 4, 16, 64), (50, 25, 15, 8, 2))[0]
        accelerators = generator.choices((0, 1), (85, 15))[0] if size <= 16 else 0
        spec = JobSpec(
            region=REGION,
            members=size,
            accelerators=accelerators,
            cores=1,
            memory_mb=2 * KB,
            adjacent=size <= 8,
            run_time_hint_s=generator.uniform(600, 36000),
            payload='{"run_s": 100000}',
        )
        workspace = generator.choice(names)
        job_id = make_job_id(REGION, workspace, f"k{len(jobs)}")
        jobs.append(Job(job_id, workspace, spec, NOW))
        members += size
    return jobs


def measure_placement(scale: float) -> list[Job]:
    """Print the time to place one job; return the placed jobs."""
    document = make_document(scale)
    planner = Planner(REGION, make_workers(scale), document)
    running: list[Job] = []
    times_us: list[float] = []
    for number, job in enumerate(make_jobs(scale, document)):
        started_s = time.perf_counter()
        starts = planner.plan([job], NOW, make_attempt_id=lambda _, n=number: f"a{n}")
        times_us.append((time.perf_counter() - started_s) * 1e6)
        for start in starts:
            attempt = Attempt(start.attempt_id, 1, NOW, start.members, start.cells)
            placed = start.job._replace(
                state=JobState.RUNNING, attempt=attempt, attempts=1
            )
            planner.record_attempt(placed)
            running.append(placed)
    label = f"x{scale:g}"
    _print_result(f"placement_us.p50.{label}", statistics.median(times_us), "us")
    _print_result(f"placement_us.p99.{label}", percentile(times_us, 0.99), "us", 1000.0)
    _print_result(f"placed_jobs.{label}", len(running), "jobs")
    return running


def measure_replan(scale: float) -> None:
    """Print the time to plan a queue again in which no job fits."""
    document = make_document(scale)
    planner = Planner(REGION, make_workers(scale), document)
    spec = JobSpec(region=REGION, members=64, accelerators=1, adjacent=False)
    generator = random.Random(SEED)
    names = list(document.workspaces)
    jobs = [
        Job(f"j{n}", generator.choice(names), spec, NOW)
        for n in range(round(JOBS * scale))
    ]
    planner.plan(jobs, NOW, make_attempt_id=lambda job: job.job_id)
    started_s = time.perf_counter()
    planner.plan(jobs, NOW, make_attempt_id=lambda job: job.job_id)
    took_ms = (time.perf_counter() - started_s) * 1e3
    _print_result(f"replan_ms.x{scale:g}", took_ms, "ms")


async def measure_rebuild(scale: float, running: list[Job]) -> None:
    """Print the time and memory that a new leader needs to restore all running jobs."""
    clock = SystemClock()
    table = MemoryTable(clock)
    sizes = make_workers(scale)
    workers = {
        size.name: MemoryWorker(
            size.name, size.accelerators, size.cores, size.memory_mb, clock
        )
        for size in sizes
    }
    for number, job in enumerate(running):
        put = Put(job.key, encode_job(job))
        table.commit(Transaction(f"w{number}", puts=(put,)))
    row_bytes = sum(len(row.value) for row in table.rows.values())
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    started_s = time.perf_counter()
    timeline = Timeline("bench", clock)
    timing = TimingSettings()
    leadership = Leadership(REGION, "bench", table, clock, timeline, timing)
    await leadership.challenge()
    context = RegionContext(
        REGION,
        table,
        MemoryObjects(clock),
        clock,
        timeline,
        Metrics(),
        timing,
        workers.__getitem__,
    )
    listed = [ListedWorker(size, size.name, False) for size in sizes]
    leader = RegionLeader(context, leadership, make_document(scale), listed)
    task = asyncio.create_task(leader.run())
    while len(leader.planner.cells.gangs) + _count_without_cells(running) < len(
        running
    ):
        await asyncio.sleep(0.005)
    took_s = time.perf_counter() - started_s
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    label = f"x{scale:g}"
    _print_result(f"rebuild_s.{label}", took_s, "s", 2.0)
    _print_result(f"leader_and_fakes_mb.{label}", (after_kb - before_kb) / KB, "MB")
    _print_result(f"row_bytes.{label}", row_bytes, "B")


def measure_messages(scale: float) -> None:
    """Print the sizes of a peer report and of a renewal of a worker's leases."""
    loads = tuple(MinionLoad(f"minion-{n:02d}", 3) for n in range(round(24 * scale)))
    stamps = {"sent_stamp": REPORT_STAMP, "echoed_stamp": REPORT_STAMP}
    report = PeerReport(12345, 0.5, True, loads, **stamps)
    packed = encode_message(PeerEnvelope("north-01/gateway", report))
    _print_result(f"peer_report_bytes.x{scale:g}", len(packed), "B")
    attempts = tuple(f"{REGION}.{'0' * 20}~12.{n}" for n in range(round(8 * scale)))
    sync = SyncRequest(REGION, 12, attempts, 6.0, 100, 2.0)
    size = len(json.dumps(sync._asdict()))
    _print_result(f"renewal_bytes.{len(attempts)}_attempts", size, "B")
    per_s = size / TimingSettings().worker_sync_s
    _print_result(
        f"lease_bytes_per_second_per_worker.{len(attempts)}_attempts", per_s, "B/s"
    )


def _count_without_cells(running: list[Job]) -> int:
    return sum(not job.attempt.cells for job in running)


def _print_result(
    name: str, value: float, unit: str, baseline: float | None = None
) -> None:
    print_result(name, value, unit, baseline=baseline, seed=SEED)


def main() -> None:
    """Print the results of all scales."""
    for scale in SCALES:
        running = measure_placement(scale)
        measure_replan(scale)
        asyncio.run(measure_rebuild(scale, running))
        measure_messages(scale)
    resident_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    _print_result("rss_mb.benchmark", resident_kb / KB, "MB")


if __name__ == "__main__":
    main()
