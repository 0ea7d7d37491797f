"""Finds runs on slow workers whose jobs would be in time elsewhere."""

from __future__ import annotations

from chiveledge.coordinator._demands import find_deadline, find_policy
from chiveledge.coordinator._runtimes import RunTimes
from chiveledge.coordinator._worker_link import TrackedRun
from chiveledge.placement import ALL_DONE_PERCENT, Straggler, should_start_anew
from chiveledge.workload import Catalogue, JobProgress, RunState


def is_late_if_left(
    tracked: TrackedRun,
    job: JobProgress,
    catalogue: Catalogue,
    run_times: RunTimes,
    spell_left_s: float,
    stop_s: float,
    now_ms: float,
) -> bool:
    """Return whether a run on a slow worker should start anew on a sound one.

    Parameters
    ----------
    spell_left_s : float
        How much longer the worker stays slow.
    stop_s : float
        Time that a stop takes at the most.
    now_ms : float
        Wall time in milliseconds since 1970.
    """
    step = tracked.step
    rate = tracked.percent_per_s
    usual_s = run_times.expect_s(job.request, step)
    if (
        rate is None
        or usual_s <= 0
        or tracked.stopping
        or tracked.run.state is not RunState.RUNNING
        or step.lasting
        or step.filler
    ):
        return False
    policy = find_policy(job, catalogue)
    chain_s = run_times.expect_chain_s(job.request)
    deadline = find_deadline(job, tracked.name.occurrence, policy, chain_s, now_ms)
    straggler = Straggler(
        percent_left=ALL_DONE_PERCENT - tracked.run.percent,
        percent_per_s=rate,
        usual_percent_per_s=ALL_DONE_PERCENT / usual_s,
        spell_left_s=spell_left_s,
        saved=step.checkpoints,
        due_s=deadline.due_s,
    )
    return should_start_anew(straggler, stop_s)
