"""Jobs from submission to completion while processes, workers or the store fail."""

from __future__ import annotations

import pytest
from result import Err

from chiveledge.intake import (
    Accepted,
)
from chiveledge.services import Unsettled
from chiveledge.workload import JobState, Step
from tests.coordinator.cluster import SMALL

RECLAIM_BOUND_S = 2.9
"""Longest time from the acceptance of a guaranteed job until all its tasks run."""


async def test_job_runs_each_task_once(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    assert await cluster.submit("j1", Step(count=5, usage=SMALL)) == Accepted()
    await cluster.advance(0.3)
    assert cluster.state("j1") is JobState.RUNNING
    await cluster.advance(3)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 5
    assert all(not worker.ended for worker in cluster.workers.values())


async def test_steps_run_in_order(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    first = Step(count=2, usage=SMALL)
    job_store = cluster.nodes[0].job_store
    await cluster.submit("x", first)
    request = cluster.leader.coordinator.term.jobs["x"].request
    chain = request._replace(
        job_id="j2", steps=(first, Step(count=1, usage=SMALL, after=(0,)))
    )
    cluster.tasks["j2"] = cluster.tasks["x"]
    await cluster.call(job_store.submit(chain, 2.0))
    await cluster.advance(0.8)
    assert {task.split(".")[2] for task, _ in cluster.starts("j2")} == {"0"}
    await cluster.advance(3)
    assert cluster.state("j2") is JobState.COMPLETED


async def test_next_leader_adopts_running_tasks(make_cluster):
    cluster = make_cluster(nodes=2)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=4, usage=SMALL), work_s=6.0, node=1)
    await cluster.advance(1)
    assert cluster.nodes[0].leads
    await cluster.nodes[0].kill()
    await cluster.advance(3)
    assert cluster.nodes[1].leads
    await cluster.advance(5)
    assert cluster.state("j1", node=1) is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 4


async def test_next_leader_loads_jobs_before_it_reconciles_reports(make_cluster):
    cluster = make_cluster(nodes=2)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=4, usage=SMALL), work_s=2.0, node=1)
    await cluster.advance(1)
    await cluster.nodes[0].kill()
    cluster.table.faults.delay_s = 0.25
    await cluster.advance(4)
    cluster.table.faults.delay_s = 0.0
    await cluster.advance(2)
    assert cluster.state("j1", node=1) is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 4


async def test_stopped_leader_releases_the_leadership_at_once(make_cluster):
    cluster = make_cluster(nodes=2)
    await cluster.advance(0.5)
    await cluster.call(cluster.nodes[0].coordinator.stop())
    await cluster.advance(1.0)
    assert cluster.nodes[1].leads


async def test_job_fails_after_the_attempts_of_a_task(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL), work_s=0.3, fails=True)
    await cluster.advance(6)
    assert cluster.state("j1") is JobState.FAILED
    assert [run for _, run in cluster.starts("j1")] == [1, 2, 3]


async def test_cancellation_stops_running_tasks(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=20, usage=SMALL), work_s=30.0)
    await cluster.advance(0.5)
    cancel = cluster.nodes[0].job_store.cancel("j1", "cafes", 2.0)
    assert await cluster.call(cancel) == Accepted()
    await cluster.advance(1.0)
    assert cluster.state("j1") is JobState.CANCELLED
    assert not any(worker.runs for worker in cluster.workers.values())


async def test_start_order_executed_late_runs_once(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    for worker in cluster.workers.values():
        worker.faults.late_starts = 3
        worker.faults.late_start_delay_s = 4.0
    await cluster.submit("j1", Step(count=1, usage=SMALL), work_s=2.0)
    await cluster.advance(15)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_tasks_of_an_unresponsive_worker_restart_after_its_lease(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=2, usage=SMALL), work_s=20.0)
    await cluster.advance(0.5)
    unresponsive = next(w for w in cluster.workers.values() if w.runs)
    unresponsive.faults.unresponsive = True
    unresponsive.clock_rate = 0.98
    await cluster.advance(4)
    assert len(cluster.starts("j1")) == 2
    await cluster.advance(6)
    assert len(cluster.starts("j1")) == 4
    unresponsive.faults.unresponsive = False
    await cluster.advance(22)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_tasks_of_a_restarted_worker_start_again(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=2, usage=SMALL), work_s=3.0)
    await cluster.advance(0.5)
    worker = next(w for w in cluster.workers.values() if w.runs)
    worker.crash(incarnation_ms=2)
    cluster.list_worker(worker.entry)
    await cluster.advance(5)
    assert cluster.state("j1") is JobState.COMPLETED
    assert sorted(run for _, run in cluster.starts("j1")) == [1, 1, 2, 2]


async def test_runs_survive_an_outage_of_the_store(make_cluster):
    cluster = make_cluster(nodes=2)
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(count=3, usage=SMALL), work_s=4.0)
    await cluster.advance(0.5)
    cluster.table.faults.down = True
    await cluster.advance(9)
    cluster.table.faults.down = False
    await cluster.advance(2)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 3


async def test_lost_store_replies_neither_lose_nor_repeat_tasks(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    cluster.table.faults.lose_replies = 3
    assert isinstance(await cluster.submit("j1", Step(count=3, usage=SMALL)), Accepted)
    cluster.table.faults.lose_replies = 4
    await cluster.advance(6)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.starts("j1")) == 3


async def test_urgent_job_preempts_batch_tasks(make_cluster):
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    await cluster.submit("low", Step(count=16, usage=SMALL), queue="batch", work_s=20.0)
    await cluster.advance(1)
    assert sum(len(w.runs) for w in cluster.workers.values()) == 16
    gang = Step(count=2, usage=SMALL._replace(accelerators=4), gang=True)
    await cluster.submit("u1", gang, queue="urgent", work_s=2.0)
    await cluster.advance(1.5)
    assert len(cluster.starts("u1")) == 2
    await cluster.advance(2.5)
    assert cluster.state("u1") is JobState.COMPLETED


async def fill_and_wait(cluster, work_s, until_s):
    """Fill the only worker with one long batch task and advance the clock."""
    full_worker = SMALL._replace(accelerators=8)
    await cluster.advance(0.5)
    await cluster.submit("low", Step(usage=full_worker), queue="batch", work_s=work_s)
    await cluster.advance(until_s)
    assert len(cluster.starts("low")) == 1
    return full_worker


async def test_urgent_job_waits_for_a_run_that_is_about_to_end(make_cluster):
    cluster = make_cluster(workers=1)
    full_worker = await fill_and_wait(cluster, work_s=5.0, until_s=4.6)
    await cluster.submit("u1", Step(usage=full_worker), queue="urgent", work_s=1.0)
    await cluster.advance(3)
    assert cluster.state("u1") is JobState.COMPLETED
    assert cluster.state("low") is JobState.COMPLETED
    assert len(cluster.starts("low")) == 1


async def test_urgent_job_preempts_a_run_that_does_not_end_as_expected(make_cluster):
    cluster = make_cluster(workers=1)
    full_worker = await fill_and_wait(cluster, work_s=5.0, until_s=4.6)
    cluster.workers["w0"].faults.slowdown_factor = 100.0
    submitted_s = cluster.clock.monotonic()
    await cluster.submit("u1", Step(usage=full_worker), queue="urgent", work_s=1.0)
    while not cluster.starts("u1"):
        await cluster.advance(0.05)
        # The guarantee of the workspace covers the job.
        assert cluster.clock.monotonic() - submitted_s <= RECLAIM_BOUND_S


async def test_gang_starts_as_a_whole_or_not_at_all(make_cluster):
    cluster = make_cluster(workers=2)
    await cluster.advance(0.5)
    cluster.workers["w1"].faults.late_starts = 9
    cluster.workers["w1"].faults.late_start_delay_s = 5.0
    gang = Step(count=2, usage=SMALL._replace(accelerators=8), gang=True)
    await cluster.submit("g1", gang, work_s=1.0)
    await cluster.advance(30)
    assert cluster.state("g1") is JobState.COMPLETED


async def test_stalled_run_moves_to_another_worker(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    cluster.workers["w0"].faults.hangs = True
    await cluster.submit("j1", Step(usage=SMALL))
    await cluster.advance(8)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_gang_leaves_a_worker_that_stands_still_soon(make_cluster):
    """A member that stands still is noticed well before the run's expected end."""
    cluster = make_cluster(workers=6)
    await cluster.advance(0.5)
    whole_worker = SMALL._replace(accelerators=8)
    step = Step(count=3, usage=whole_worker, gang=True, estimate_s=4.0)
    await cluster.submit("g1", step, queue="standard", work_s=4.0)
    await cluster.advance(0.5)
    began_s = cluster.clock.monotonic()
    slowed_task = cluster.starts("g1")[0][0]
    for worker in cluster.workers.values():
        worker.faults.hangs = any(task == slowed_task for task, _ in worker.runs)
    while len(cluster.starts("g1")) < 6:
        await cluster.advance(0.1)
        assert cluster.clock.monotonic() - began_s < 3.0
    assert sum(worker.faults.hangs for worker in cluster.workers.values()) == 1


async def test_run_of_a_hundred_minutes_is_not_taken_for_a_stalled_one(make_cluster):
    """Whole percents of a long run rise so rarely that it was stopped every 3 s."""
    cluster = make_cluster()
    await cluster.advance(0.5)
    await cluster.submit("j1", Step(usage=SMALL, estimate_s=6000.0), work_s=6000.0)
    await cluster.advance(30)
    assert len(cluster.starts("j1")) == 1


async def run_with_slow_worker(cluster, queue, step, work_s, slow_for_s=40.0):
    """Run a job while one of its workers is slow; return the job's duration."""
    await cluster.advance(0.5)
    await cluster.submit("j1", step, queue=queue, work_s=work_s)
    began_s = cluster.clock.monotonic()
    await cluster.advance(0.8)
    slowed_task = cluster.starts("j1")[0][0]
    for worker in cluster.workers.values():
        if any(task == slowed_task for task, _ in worker.runs):
            worker.faults.slowdown_factor = 8.0
    slow_until_s = cluster.clock.monotonic() + slow_for_s
    while cluster.state("j1") is not JobState.COMPLETED:
        await cluster.advance(0.25)
        assert cluster.clock.monotonic() - began_s < 40
        if cluster.clock.monotonic() > slow_until_s:
            for worker in cluster.workers.values():
                worker.faults.slowdown_factor = 1.0
    return cluster.clock.monotonic() - began_s


@pytest.mark.parametrize("gang", [False, True])
async def test_urgent_tasks_leave_a_slow_worker_and_end_in_time(make_cluster, gang):
    cluster = make_cluster(workers=6)
    full_worker = SMALL._replace(accelerators=8)
    step = Step(count=3, usage=full_worker, gang=gang, estimate_s=2.5)
    took_s = await run_with_slow_worker(cluster, "urgent", step, 2.5)
    policy = cluster.catalogue.queues["urgent"]
    assert took_s <= policy.stretch * 2.5 + policy.target_s
    assert len(cluster.starts("j1")) == (6 if gang else 4)


async def test_tasks_in_time_on_a_slow_worker_are_not_stopped(make_cluster):
    cluster = make_cluster(workers=6)
    full_worker = SMALL._replace(accelerators=8)
    step = Step(count=3, usage=full_worker, estimate_s=10.0)
    await run_with_slow_worker(cluster, "batch", step, 10.0, slow_for_s=3.0)
    assert len(cluster.starts("j1")) == 3


async def test_tasks_stay_on_a_slow_worker_if_there_is_no_other(make_cluster):
    cluster = make_cluster(workers=3)
    step = Step(count=3, usage=SMALL._replace(accelerators=8), estimate_s=2.5)
    await run_with_slow_worker(cluster, "urgent", step, 2.5)
    assert len(cluster.starts("j1")) == 3


async def test_draining_worker_receives_no_tasks(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    cluster.list_worker(cluster.workers["w0"].entry._replace(draining=True))
    await cluster.advance(0.2)
    await cluster.submit("j1", Step(count=8, usage=SMALL))
    await cluster.advance(4)
    assert cluster.state("j1") is JobState.COMPLETED
    assert not cluster.workers["w0"].faults.started


async def test_worker_that_fails_all_runs_does_not_use_up_the_attempts(make_cluster):
    cluster = make_cluster(workers=3)
    await cluster.advance(0.5)
    cluster.workers["w0"].faults.fails = True
    await cluster.submit("j1", Step(count=12, usage=SMALL), work_s=0.5)
    await cluster.advance(8)
    assert cluster.state("j1") is JobState.COMPLETED
    assert len(cluster.workers["w0"].faults.started) <= 8


LASTING = Step(count=16, usage=SMALL, lasting=True)


@pytest.mark.parametrize("may_be_away,stopped", [(0, 8), (2, 2)])
async def test_urgent_job_preempts_lasting_tasks_within_their_bound(
    make_cluster, may_be_away, stopped
):
    cluster = make_cluster()
    await cluster.advance(0.5)
    step = LASTING._replace(may_be_away=may_be_away)
    await cluster.submit("l1", step, queue="batch", work_s=1e9)
    cluster.tasks["l1"].ready_at_once = True
    await cluster.advance(1.5)
    urgent = Step(count=8, usage=SMALL)
    await cluster.submit("u1", urgent, queue="urgent", work_s=3.0)
    await cluster.advance(2.0)
    assert len(cluster.starts("u1")) == stopped
    await cluster.advance(14.0)
    assert cluster.state("u1") is JobState.COMPLETED
    assert cluster.state("l1") is JobState.RUNNING
    assert sum(len(w.runs) for w in cluster.workers.values()) == 16


async def test_lasting_task_starts_again_however_it_ends(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    step = LASTING._replace(count=1)
    await cluster.submit("l1", step, work_s=0.5, fails=True)
    await cluster.advance(6.0)
    assert len(cluster.starts("l1")) > 5
    assert cluster.state("l1") is JobState.RUNNING


async def test_unanswered_renewals_do_not_delay_others(make_cluster):
    cluster = make_cluster(nodes=2)
    await cluster.advance(0.5)
    transact = cluster.table.transact
    sent = []

    async def lose_two_of_three(transaction):
        if any("renewal" in put.key for put in transaction.puts):
            sent.append(transaction)
            if len(sent) % 3:
                await cluster.clock.sleep(0.8)
                return Err(Unsettled("no answer"))
        return await transact(transaction)

    cluster.table.transact = lose_two_of_three
    await cluster.advance(10.0)
    assert cluster.nodes[0].leads
    assert cluster.table.rows["leadership/all/holder"].version < 10


async def test_checkpointed_runs_leave_a_draining_worker_in_time(make_cluster):
    cluster = make_cluster()
    await cluster.advance(0.5)
    step = Step(count=2, usage=SMALL, checkpoints=True, estimate_s=8.0)
    await cluster.submit("j1", step, work_s=8.0)
    await cluster.advance(2.0)
    worker = next(w for w in cluster.workers.values() if w.runs)
    entry = worker.entry._replace(draining=True, leaves_s=3.0)
    cluster.list_worker(entry)
    await cluster.advance(2.9)
    assert not worker.runs
    await cluster.advance(6.0)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_tasks_of_a_worker_that_left_restart_once_its_lease_is_over(make_cluster):
    """Until then it can't be told from a worker that is cut off and works on."""
    cluster = make_cluster()
    await cluster.advance(0.5)
    step = Step(count=1, usage=SMALL, estimate_s=4.0)
    await cluster.submit("j1", step, work_s=4.0)
    await cluster.advance(1.0)
    worker = next(w for w in cluster.workers.values() if w.runs)
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=2.5))
    await cluster.advance(2.0)
    assert worker.runs
    worker.leave()
    cluster.unlist_worker(worker.entry.name)
    await cluster.advance(cluster.timing.work_lease_s - 1.0)
    assert len(cluster.starts("j1")) == 1
    await cluster.advance(2.0)
    assert len(cluster.starts("j1")) == 2


async def count_runs_stopped_for_urgent_jobs(cluster) -> int:
    """Count the runs stopped while urgent jobs arrive beside a queue of short tasks."""
    await cluster.advance(0.5)
    await cluster.submit("b", Step(count=2000, usage=SMALL), queue="batch", work_s=2.0)
    wide = SMALL._replace(accelerators=8)
    for number in range(30):
        await cluster.submit(f"u{number}", Step(usage=wide), queue="urgent", work_s=1.0)
        await cluster.advance(0.45)
    return cluster.leader.metrics.to_record()["counters"].get("runs_stopped", 0)


async def test_capacity_reserved_for_urgent_jobs_avoids_preemption(
    make_cluster, monkeypatch
):
    with_reserve = await count_runs_stopped_for_urgent_jobs(make_cluster(workers=20))
    monkeypatch.setattr("chiveledge.placement._reserve.MAX_RESERVED_SHARE", 0.0)
    without_reserve = await count_runs_stopped_for_urgent_jobs(make_cluster(workers=20))
    assert with_reserve <= without_reserve / 2


async def test_gang_completes_despite_two_workers_that_fail_all_runs(make_cluster):
    """Two workers with the most free capacity fail all runs that they start."""
    cluster = make_cluster(workers=4, capacity=SMALL._replace(accelerators=2))
    await cluster.advance(0.5)
    bad = [cluster.workers[name] for name in ("w0", "w1")]
    for worker in bad:
        worker.faults.fails = True
    gang = Step(count=2, usage=SMALL, gang=True)
    await cluster.submit("j1", gang, work_s=0.5)
    await cluster.advance(8)
    assert cluster.state("j1") is JobState.COMPLETED


async def test_failed_gang_restarts_on_trusted_workers(make_cluster):
    """Half of the workers, which are preferred otherwise, fail all runs."""
    cluster = make_cluster(workers=12)
    await cluster.advance(0.5)
    # Workers with equal free capacity are chosen in the order of their names.
    for name in sorted(cluster.workers)[:6]:
        cluster.workers[name].faults.fails_at_once = True
    full_worker = SMALL._replace(accelerators=8)
    for rack in ("r2", "r3", "r4"):
        sound = Step(count=2, usage=full_worker, required_label=rack)
        await cluster.submit(f"sound-{rack}", sound, work_s=0.5)
    await cluster.advance(1.0)
    gang = Step(count=2, usage=full_worker, gang=True)
    await cluster.submit("g1", gang, work_s=0.5)
    await cluster.advance(3)
    assert cluster.state("g1") is JobState.COMPLETED


@pytest.mark.parametrize("leaving", ["w0", "w1"])
async def test_lasting_task_leaves_either_draining_worker(make_cluster, leaving):
    """One of two tasks may be away: the one on the draining worker is stopped."""
    cluster = make_cluster(workers=3)
    await cluster.advance(0.5)
    step = LASTING._replace(count=2, may_be_away=1, max_per_worker=1)
    await cluster.submit("l1", step, work_s=1e9)
    cluster.tasks["l1"].ready_at_once = True
    await cluster.advance(1.5)
    worker = cluster.workers[leaving]
    assert worker.runs
    cluster.list_worker(worker.entry._replace(draining=True, leaves_s=3.0))
    await cluster.advance(2.5)
    assert not worker.runs
    assert sum(len(w.runs) for w in cluster.workers.values()) == 2
