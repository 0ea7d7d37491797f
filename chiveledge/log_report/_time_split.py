"""Splits the time of a job along the chain of runs that determined its end.

The chain is followed backwards from the last run that was done: earlier runs of the
same task, its waits between them, then the last run of the steps before. The parts add
up to the time from the first attempt to hand the job in until its completion.
"""

from __future__ import annotations

from enum import StrEnum

from chiveledge.log_report._histories import DONE, JobHistory, RunRecord


class TimeUse(StrEnum):
    """What a job's time went into."""

    HAND_IN = "handing in"
    NO_LEADER = "no leader"
    ADMISSION = "until admitted"
    WAIT_CAPACITY = "waiting for capacity"
    WAIT_STOPS = "waiting for stops"
    LOST_PREEMPTED = "runs preempted"
    LOST_GANG = "runs ended by a gang member"
    LOST_STALLED = "runs stalled"
    LOST_WORKER = "runs on workers that were lost, slow or leaving"
    LOST_FAILED = "runs failed"
    LOST_CANCELLED = "runs of cancelled jobs"
    LOST_OTHER = "runs lost otherwise"
    LAST_RUN = "runs that were done"
    REPORT = "until recorded"


GANG_LOSSES = frozenset({TimeUse.LOST_GANG})
"""Causes for which all members of a gang are lost together."""


def split_time(
    job: JobHistory, leaderless: list[tuple[float, float]]
) -> dict[TimeUse, float]:
    """Return the seconds of a completed job by what they went into.

    Parameters
    ----------
    leaderless : list of tuple
        Periods without a leader; what falls into them of a job's waits counts as
        `TimeUse.NO_LEADER`.
    """
    split = dict.fromkeys(TimeUse, 0.0)
    if job.completed_s is None or job.stored_s is None or job.admitted_s is None:
        return split
    first_s = job.stored_s if job.first_attempt_s is None else job.first_attempt_s
    split[TimeUse.HAND_IN] = max(0.0, job.stored_s - first_s)
    _add_wait(split, TimeUse.ADMISSION, (job.stored_s, job.admitted_s), leaderless)
    done = [run for run in job.runs if run.how == DONE]
    if not done:
        split[TimeUse.LOST_OTHER] = job.completed_s - job.admitted_s
        return split
    last = max(done, key=lambda run: run.ended_s)
    split[TimeUse.REPORT] = max(0.0, job.completed_s - last.ended_s)
    _split_chain(job, last, split, leaderless)
    return split


def classify_loss(run: RunRecord) -> TimeUse:
    """Return the cause for which a run came to nothing."""
    why = run.why
    if why.startswith("preempted"):
        return TimeUse.LOST_PREEMPTED
    if "another member" in why or run.how in ("broken", "alone"):
        return TimeUse.LOST_GANG
    if "no progress" in why:
        return TimeUse.LOST_STALLED
    if "cancelled" in why:
        return TimeUse.LOST_CANCELLED
    if "slow" in why or "leave" in why or run.how in ("lapsed", "not_started"):
        return TimeUse.LOST_WORKER
    if run.how == "failed":
        return TimeUse.LOST_FAILED
    return TimeUse.LOST_OTHER


def _split_chain(
    job: JobHistory,
    last: RunRecord,
    split: dict[TimeUse, float],
    leaderless: list[tuple[float, float]],
) -> None:
    while True:
        split[TimeUse.LAST_RUN] += last.ended_s - last.began_s
        previous = _find_previous_done(job, last.step)
        ready_s = job.admitted_s if previous is None else previous.ended_s
        _split_attempts(job, last, ready_s, split, leaderless)
        if previous is None:
            return
        last = previous


def _is_gang_loss(run: RunRecord, last: RunRecord) -> bool:
    """Return whether a run of another member was lost with its whole gang.

    A worker may report the end of one member only.
    """
    return run.step == last.step and classify_loss(run) in GANG_LOSSES


def _find_previous_done(job: JobHistory, step: int) -> RunRecord | None:
    """Return the last run of the steps before, at whose end the step was ready."""
    earlier = job.after[step] if step < len(job.after) else ()
    done = [run for run in job.runs if run.how == DONE and run.step in earlier]
    return max(done, key=lambda run: run.ended_s, default=None)


def _split_attempts(
    job: JobHistory,
    last: RunRecord,
    ready_s: float,
    split: dict[TimeUse, float],
    leaderless: list[tuple[float, float]],
) -> None:
    """Split the time from when a task was ready until its last run began."""
    at_s = ready_s
    attempts = sorted(
        (
            run
            for run in job.runs
            if run.how != DONE and (run.task == last.task or _is_gang_loss(run, last))
        ),
        key=lambda run: run.began_s,
    )
    for run in attempts:
        _split_wait(job, last.step, (at_s, run.began_s), split, leaderless)
        split[classify_loss(run)] += max(0.0, run.ended_s - max(at_s, run.began_s))
        at_s = max(at_s, run.ended_s)
    _split_wait(job, last.step, (at_s, last.began_s), split, leaderless)


def _split_wait(
    job: JobHistory,
    step: int,
    span: tuple[float, float],
    split: dict[TimeUse, float],
    leaderless: list[tuple[float, float]],
) -> None:
    """Split a wait at the decision to stop other runs, if there was one."""
    began_s, ended_s = span
    if ended_s <= began_s:
        return
    deferred_s = min(
        (at for at, number in job.deferred if number == step and at >= began_s),
        default=ended_s,
    )
    middle_s = min(max(deferred_s, began_s), ended_s)
    _add_wait(split, TimeUse.WAIT_CAPACITY, (began_s, middle_s), leaderless)
    _add_wait(split, TimeUse.WAIT_STOPS, (middle_s, ended_s), leaderless)


def _add_wait(
    split: dict[TimeUse, float],
    use: TimeUse,
    span: tuple[float, float],
    leaderless: list[tuple[float, float]],
) -> None:
    """Add a wait, counting apart what of it falls into periods without a leader."""
    began_s, ended_s = span
    total_s = max(0.0, ended_s - began_s)
    without_s = sum(
        max(0.0, min(ended_s, until_s) - max(began_s, since_s))
        for since_s, until_s in leaderless
    )
    without_s = min(without_s, total_s)
    split[TimeUse.NO_LEADER] += without_s
    split[use] += total_s - without_s
