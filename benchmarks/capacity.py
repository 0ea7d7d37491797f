"""Slopes of the leader's state, time and memory at three sizes and more.

Everything runs through the decision code and the in-process stand-ins.
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
SHARES = (0.125, 0.25, 0.5, 1.0)
WORKERS = 810
ACCELERATORS = 930
TASKS = 4600
JOBS = 1700
KB = 1024


def make_workers(share: float) -> list[WorkerSize]:
    """Return unlike workers: a few with 8 accelerators, many with one or none."""
    generator = random.Random(SEED)
    count = round(WORKERS * share)
    left = round(ACCELERATORS * share)
    sizes = []
    for number in range(count):
        wanted = generator.choices((0, 1, 8), (55, 35, 10))[0]
        accelerators = min(wanted, left)
        left -= accelerators
        rack = f"rack-{number // 16:03d}"
        sizes.append(WorkerSize(f"w{number:04d}", rack, accelerators, 64, 256 * KB))
    return sizes


def make_document(share: float) -> Document:
    """Return 43 workspaces, each with a small guarantee."""
    policy = {
        "admit": list(RequestClass),
        "class_shares": {"urgent": 8, "standard": 4, "batch": 1},
    }
    cells = max(round(2 * share), 1)
    workspaces = {
        f"team-{number:02d}": {
            "weight": 1 + number % 5,
            "token_sha256": hash_token(str(number)),
            "guarantees": [{"region": REGION, "cell": 4, "count": cells}],
        }
        for number in range(WORKSPACES if share > 0.2 else 10)
    }
    return Document.model_validate(
        {
            "preset": "ordinary",
            "presets": {"ordinary": policy},
            "workspaces": workspaces,
            "kinds": {},
        }
    )


def make_jobs(share: float, document: Document) -> list[Job]:
    """Return waiting jobs; most need processors and memory only."""
    generator = random.Random(SEED)
    names = list(document.workspaces)
    jobs = []
    members = 0
    while members < TASKS * share:
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


def measure_placement(share: float) -> list[Job]:
    """Print the time of one placement; return the jobs that run."""
    document = make_document(share)
    planner = Planner(REGION, make_workers(share), document)
    running: list[Job] = []
    times_us: list[float] = []
    for number, job in enumerate(make_jobs(share, document)):
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
    label = f"x{share:g}"
    _figure(f"placement_us.p50.{label}", statistics.median(times_us), "us")
    _figure(f"placement_us.p99.{label}", percentile(times_us, 0.99), "us", 1000.0)
    _figure(f"placed_jobs.{label}", len(running), "jobs")
    return running


def measure_replan(share: float) -> None:
    """Print the time of one pass over a queue in which nothing fits."""
    document = make_document(share)
    planner = Planner(REGION, make_workers(share), document)
    spec = JobSpec(region=REGION, members=64, accelerators=1, adjacent=False)
    generator = random.Random(SEED)
    names = list(document.workspaces)
    jobs = [
        Job(f"j{n}", generator.choice(names), spec, NOW)
        for n in range(round(JOBS * share))
    ]
    planner.plan(jobs, NOW, make_attempt_id=lambda job: job.job_id)
    started_s = time.perf_counter()
    planner.plan(jobs, NOW, make_attempt_id=lambda job: job.job_id)
    took_ms = (time.perf_counter() - started_s) * 1e3
    _figure(f"replan_ms.x{share:g}", took_ms, "ms")


async def measure_rebuild(share: float, running: list[Job]) -> None:
    """Print how long a new leader takes until it follows all running gangs."""
    clock = SystemClock()
    table = MemoryTable(clock)
    sizes = make_workers(share)
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
    leader = RegionLeader(context, leadership, make_document(share), listed)
    task = asyncio.create_task(leader.run())
    while len(leader.planner.cells.gangs) + _flat(running) < len(running):
        await asyncio.sleep(0.005)
    took_s = time.perf_counter() - started_s
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    label = f"x{share:g}"
    _figure(f"rebuild_s.{label}", took_s, "s", 2.0)
    _figure(f"leader_and_fakes_mb.{label}", (after_kb - before_kb) / KB, "MB")
    _figure(f"row_bytes.{label}", row_bytes, "B")


def measure_messages(share: float) -> None:
    """Print the bytes of a peer report and of a worker's renewal."""
    loads = tuple(MinionLoad(f"minion-{n:02d}", 3) for n in range(round(24 * share)))
    report = PeerReport(12345, 0.5, True, loads)
    packed = encode_message(PeerEnvelope("north-01/gateway", report))
    _figure(f"peer_report_bytes.x{share:g}", len(packed), "B")
    attempts = tuple(f"{REGION}.{'0' * 20}~12.{n}" for n in range(round(8 * share)))
    sync = SyncRequest(REGION, 12, attempts, 6.0, 100, 2.0)
    size = len(json.dumps(sync._asdict()))
    _figure(f"renewal_bytes.{len(attempts)}_attempts", size, "B")
    per_s = size / TimingSettings().worker_sync_s
    _figure(f"lease_bytes_per_second_per_worker.{len(attempts)}_attempts", per_s, "B/s")


def _flat(running: list[Job]) -> int:
    return sum(not job.attempt.cells for job in running)


def _figure(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    print_result(name, value, unit, baseline=baseline, seed=SEED)


def main() -> None:
    """Print all slopes."""
    for share in SHARES:
        running = measure_placement(share)
        measure_replan(share)
        asyncio.run(measure_rebuild(share, running))
        measure_messages(share)
    resident_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    _figure("rss_mb.benchmark", resident_kb / KB, "MB")


if __name__ == "__main__":
    main()
