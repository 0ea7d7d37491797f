"""One job ends the term of no leader, so that the others of its region go on.

The next leader reads the same row, so nothing bounds the number of terms it ends.
"""

from __future__ import annotations

import json

from chiveledge.jobs import JobSpec, JobState
from tests.support import REGION, Region, run_region

SMALL = {"region": REGION, "cores": 1, "memory_mb": 256}


def make_spec(**fields) -> JobSpec:
    return JobSpec.model_validate(SMALL | {"payload": '{"run_s": 1.0}'} | fields)


async def check_other_job_finishes(region: Region) -> None:
    """Check that a second job finishes under the first leader."""
    other = await region.submit(make_spec(), "other")
    await region.run_until(
        lambda: region.job(other).state is JobState.FINISHED, within_s=10.0
    )
    assert len(region.leaders) == 1


def test_job_with_an_infinite_declared_run_time_ends_no_leader():
    # The magnitude of infinity is no whole number; JSON has no infinity, but 1e999.
    async def work(region):
        region.start_leader("a")
        job_id = await region.submit(
            make_spec(run_time_hint_s=json.loads("1e999")), "k"
        )
        await check_other_job_finishes(region)
        assert region.job(job_id).state is JobState.FINISHED

    run_region(work)
