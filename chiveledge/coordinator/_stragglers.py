"""Finds runs on slow workers whose jobs would meet their due time elsewhere."""

from __future__ import annotations

from chiveledge.coordinator._demands import find_deadline, find_policy
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.placement import COMPLETE_PERCENT, Straggler, should_restart
from chiveledge.workload import Catalogue, JobProgress, RunState


def should_restart_elsewhere(
    tracked: TrackedRun,
    job: JobProgress,
    catalogue: Catalogue,
    estimator: RunTimeEstimator,
    slow_left_s: float,
    stop_s: float,
    now_ms: float,
) -> bool:
    """Return whether a run on a slow worker should restart on another worker.

    Parameters
    ----------
    slow_left_s : float
        Expected time for which the worker stays slow.
    stop_s : float
        Longest time that a stop takes.
    now_ms : float
        Wall time in milliseconds since 1970.
    """
    step = tracked.step
    rate = tracked.percent_per_s
    expected_s = estimator.expected_s(job.request, step)
    if (
        rate is None
        or expected_s <= 0
        or tracked.stopping
        or tracked.run.state is not RunState.RUNNING
        or step.lasting
        or step.filler
    ):
        return False
    policy = find_policy(job, catalogue)
    chain_s = estimator.expected_chain_s(job.request)
    deadline = find_deadline(job, tracked.name.occurrence, policy, chain_s, now_ms)
    straggler = Straggler(
        percent_left=COMPLETE_PERCENT - tracked.run.percent,
        percent_per_s=rate,
        usual_percent_per_s=COMPLETE_PERCENT / expected_s,
        slow_left_s=slow_left_s,
        saved=step.checkpoints,
        due_s=deadline.due_s,
    )
    return should_restart(straggler, stop_s)
