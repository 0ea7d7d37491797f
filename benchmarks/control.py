"""Measures takeover, reclaim, urgent starts and store writes in simulated time."""

from __future__ import annotations

import asyncio
import statistics
from datetime import datetime

from benchmarks.reporting import percentile, print_result
from chiveledge.configuration import RequestClass
from chiveledge.jobs import JobSpec, JobState
from tests.support import REGION, Region, make_document

PHASES = 16
PHASE_S = 0.05
WARM_UP_S = 3.0
TIMEOUT_S = 30.0
TAKEOVER_TARGET_S = 2.0
URGENT_TARGET_S = 2.9
JOBS = 200


def make_spec(members: int = 1, run_s: float = 1000.0, **fields: object) -> JobSpec:
    """Return the spec of a gang whose members need 8 accelerators each."""
    return JobSpec(
        region=REGION,
        members=members,
        accelerators=8,
        payload=f'{{"run_s": {run_s}}}',
        **fields,
    )


async def measure_takeover(phase: int) -> tuple[float, float]:
    """Return the times from a leader's end to the takeover and to an urgent start.

    The urgent job is submitted right after the leader's end. `phase` shifts the end
    relative to the leader's renewals.
    """
    region = Region()
    leader = region.start_leader("a")
    await region.run_for(1.0 + phase * PHASE_S)
    region.start_leader("b")
    await region.run_for(WARM_UP_S)
    leader.cancel()
    job_id = await region.submit(make_spec(request_class=RequestClass.URGENT), "k")
    killed_s = region.clock.monotonic()
    await region.run_until(
        lambda: region.job(job_id).state is JobState.RUNNING, within_s=TIMEOUT_S
    )
    started_s = region.clock.monotonic() - killed_s
    takeovers = [e for e in region.timeline.records() if e["name"] == "taken_over"]
    clock_offset_s = region.clock.now().timestamp() - region.clock.monotonic()

    taken_over_s = (
        datetime.fromisoformat(takeovers[-1]["time"]).timestamp() - clock_offset_s
    )
    await region.close()
    return taken_over_s - killed_s, started_s


async def measure_reclaim(phase: int) -> float:
    """Return the time from the submission of a guaranteed gang to its start.

    Borrowers hold the guaranteed capacity before and are preempted for it.
    """
    region = Region(document=make_document({"cafes": [(16, 1)], "depots": []}))
    region.start_leader("a")
    borrowers = [await region.submit(make_spec(), f"b{n}", "depots") for n in range(4)]
    await region.run_until(
        lambda: all(region.job(b).state is JobState.RUNNING for b in borrowers),
        within_s=TIMEOUT_S,
    )
    await region.run_for(1.0 + phase * PHASE_S)
    owner = await region.submit(make_spec(2), "g")
    took_s = await region.run_until(
        lambda: region.job(owner).state is JobState.RUNNING, within_s=TIMEOUT_S
    )
    await region.close()
    return took_s


async def measure_writes() -> tuple[float, float]:
    """Return the store transactions per job and the makespan of all jobs.

    Submissions and renewals of the leadership aren't counted.
    """
    region = Region()
    region.start_leader("a")
    ids = [await region.submit(make_spec(run_s=0.2), f"k{n}") for n in range(JOBS)]
    before = region.table.transactions
    took_s = await region.run_until(
        lambda: all(region.job(j).state is JobState.FINISHED for j in ids),
        within_s=600.0,
    )
    renewals = took_s / region.timing.leader_renew_s
    writes = (region.table.transactions - before - renewals) / JOBS
    await region.close()
    return writes, took_s


async def run() -> None:
    """Run all measurements and print their results."""
    samples = [await measure_takeover(phase) for phase in range(PHASES)]
    takeovers = [takeover for takeover, _ in samples]
    starts = [start for _, start in samples]
    seed = f"phases_{PHASES}"
    for name, values, target in (
        ("takeover_s", takeovers, TAKEOVER_TARGET_S),
        ("urgent_start_with_takeover_s", starts, URGENT_TARGET_S),
    ):
        mean = statistics.mean(values)
        print_result(f"{name}.mean", mean, "s", baseline=target, seed=seed)
        print_result(f"{name}.max", max(values), "s", baseline=target, seed=seed)
    reclaims = [await measure_reclaim(phase) for phase in range(PHASES)]
    print_result("reclaim_s.p99", percentile(reclaims, 0.99), "s", seed=seed)
    writes, took_s = await measure_writes()
    print_result("store_writes_per_job", writes, "writes", baseline=2.0)
    print_result("makespan_s.200_jobs_on_4_workers", took_s, "s", baseline=10.0)


def main() -> None:
    """Run the benchmark."""
    asyncio.run(run())


if __name__ == "__main__":
    main()
