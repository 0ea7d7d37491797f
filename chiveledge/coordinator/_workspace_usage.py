"""Sums the capacity that the open runs of each workspace take.

A leader that takes over finds the same sums, as it loads the open runs with the jobs.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping

from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.placement import charged_usage
from chiveledge.types import JobId, WorkerName, WorkspaceName
from chiveledge.workload import JobProgress, Usage


def sum_usage(
    links: Mapping[WorkerName, WorkerLink], jobs: Mapping[JobId, JobProgress]
) -> dict[tuple[str, WorkspaceName], Usage]:
    """Return the capacity that open runs take, by service and workspace.

    Runs that are being stopped don't count: their capacity will be free, and their work
    is lost or resumed by another run.
    """
    counts = Counter(
        (link.entry.service, tracked.name.job_id, tracked.name.step)
        for link in links.values()
        for tracked in link.runs.values()
        if not tracked.stopping
    )
    in_use: dict[tuple[str, WorkspaceName], Usage] = defaultdict(Usage)
    for (service, job_id, step_number), count in counts.items():
        request = jobs[job_id].request
        usage = charged_usage(request.steps[step_number])
        key = service, request.workspace
        in_use[key] = in_use[key].plus(Usage(*(amount * count for amount in usage)))
    return in_use
