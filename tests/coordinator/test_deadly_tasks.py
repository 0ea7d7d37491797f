"""Tasks that crash each worker that starts them, and losses that no task causes.

The bench's page: a task under which two workers have crashed may be given up, its job
shown as failed; after three crashes it must not be started three more times.
"""

from __future__ import annotations

import asyncio

import pytest

from chiveledge.services.machines import Wave
from chiveledge.workload import JobState, Step, TaskName
from tests.coordinator.cluster import SMALL, Cluster, Reboot

FULL_WORKER = SMALL._replace(accelerators=8)
WORKERS = 8
SLOTS = 64
CRASH_S = 0.01
"""Time from a start to the crash, as in the bench; the order is still unanswered."""

START_ANSWER_S = 0.02
GIVE_UP_S = 60.0
"""Longest time from the acceptance of a deadly job until it is shown as failed."""

COMPLETE_S = 90.0
"""Longest time in which jobs beside a deadly one complete."""

MAX_CRASHES = 3
MAX_STARTS_AFTER_THIRD_CRASH = 2

SAME_NAME = Reboot(spread_s=0.4)
NEW_NAME = Reboot(spread_s=0.4, new_name=True)
SILENT = Reboot(spread_s=0.4, silent=True)
both_names = pytest.mark.parametrize(
    "reboot", [SAME_NAME, NEW_NAME], ids=["same-name", "new-name"]
)
all_reboots = pytest.mark.parametrize(
    "reboot", [SAME_NAME, NEW_NAME, SILENT], ids=["same-name", "new-name", "silent"]
)


@pytest.fixture
def make_fleet(make_cluster):
    """Return a factory of clusters whose workers answer starts as in the bench."""

    async def make(reboot: Reboot, *, nodes: int = 1) -> Cluster:
        cluster = make_cluster(
            workers=WORKERS, nodes=nodes, reboot=reboot, start_answer_s=START_ANSWER_S
        )
        await cluster.advance(2.0)
        return cluster

    return make


def find_state(cluster: Cluster, job_id: str) -> JobState | None:
    """Return a job's state according to the leader, if there is one."""
    leaders = [node for node in cluster.nodes if node.leads]
    entry = leaders[0].status_cache.find(job_id) if leaders else None
    return entry.state if entry else None


def list_running(cluster: Cluster, job_ids) -> list[str]:
    """Return the jobs that haven't ended."""
    states = {job_id: find_state(cluster, job_id) for job_id in job_ids}
    return [j for j, state in states.items() if state is None or not state.ended]


async def advance_until_ended(cluster: Cluster, job_ids, limit_s: float) -> None:
    """Advance until all jobs have ended, for `limit_s` at most."""
    deadline_s = cluster.clock.monotonic() + limit_s
    while cluster.clock.monotonic() < deadline_s and list_running(cluster, job_ids):
        await cluster.advance(0.5)


async def wait_for_crashes(cluster: Cluster, count: int, limit_s: float = 30.0) -> None:
    """Advance until workers have crashed so often, or no task is left to do so."""
    deadline_s = cluster.clock.monotonic() + limit_s
    while cluster.clock.monotonic() < deadline_s:
        if count_crashes(cluster) >= count:
            return
        await cluster.advance(0.05)


def count_crashes(cluster: Cluster) -> int:
    """Return how often workers crashed under deadly tasks."""
    return len({at_s for times in cluster.record.crashes.values() for at_s in times})


def check_budget(cluster: Cluster, max_crashes: int = MAX_CRASHES) -> None:
    """Check the bounds on the crashes under each task and on its later starts."""
    assert cluster.record.crashes
    for task, times in cluster.record.crashes.items():
        later = cluster.record.starts_after_third_crash(task)
        assert later <= MAX_STARTS_AFTER_THIRD_CRASH, (task, len(times), later)
        assert len(times) <= max_crashes, (task, times)


async def check_given_up(
    cluster: Cluster,
    *job_ids: str,
    max_crashes: int = MAX_CRASHES,
    limit_s: float = GIVE_UP_S,
) -> None:
    """Check that jobs end as failed in time and that workers crash no more after it."""
    await advance_until_ended(cluster, job_ids, limit_s)
    crashes = count_crashes(cluster)
    check_budget(cluster, max_crashes)
    assert [find_state(cluster, j) for j in job_ids] == [JobState.FAILED] * len(job_ids)
    await cluster.advance(8.0)
    assert count_crashes(cluster) == crashes


async def check_completed(
    cluster: Cluster, job_ids, limit_s: float = COMPLETE_S
) -> None:
    """Check that jobs complete in time."""
    await advance_until_ended(cluster, job_ids, limit_s)
    states = {job_id: find_state(cluster, job_id) for job_id in job_ids}
    assert states == dict.fromkeys(job_ids, JobState.COMPLETED)


async def submit_together(cluster: Cluster, *calls) -> None:
    """Submit jobs at the same moment."""
    await cluster.call(asyncio.gather(*calls))


def send_innocents(cluster: Cluster, jobs: int, *, name="innocent", **options):
    """Return names and calls of jobs of one small task each."""
    names = [f"{name}{number}" for number in range(jobs)]
    step = Step(usage=SMALL)
    return names, [cluster.send(job_id, step, **options) for job_id in names]


def count_lost(cluster: Cluster, job_ids) -> int:
    """Return how many runs of these jobs were lost with their workers."""
    return sum(
        run.how is None and run.ended_s is not None
        for task, runs in cluster.record.runs.items()
        if task.split(".")[0] in job_ids
        for run in runs
    )


@all_reboots
async def test_single_deadly_task_is_given_up(make_fleet, reboot):
    """It crashed worker after worker, and its job ran on."""
    cluster = await make_fleet(reboot)
    await cluster.submit("deadly", Step(usage=SMALL), crash_after_s=CRASH_S)
    await check_given_up(cluster, "deadly")


@both_names
async def test_deadly_task_of_a_wide_step_is_given_up(make_fleet, reboot):
    """One of 25 tasks crashed the workers of the others, too."""
    cluster = await make_fleet(reboot)
    await cluster.submit("deadly", Step(count=25, usage=SMALL), crash_after_s=CRASH_S)
    await check_given_up(cluster, "deadly")


@both_names
@pytest.mark.parametrize("usage", [SMALL, FULL_WORKER], ids=["beside", "apart"])
async def test_six_deadly_tasks_of_a_job_are_given_up(make_fleet, reboot, usage):
    """Each crashed workers by itself, so that most of the fleet was down."""
    cluster = await make_fleet(reboot)
    step = Step(count=6, usage=usage)
    await cluster.submit("deadly", step, crash_after_s=CRASH_S, crash_indices=None)
    await check_given_up(cluster, "deadly")


@both_names
@pytest.mark.parametrize("count", [3, 16])
@pytest.mark.parametrize("crash_after_s", [CRASH_S, 1.5], ids=["at-start", "late"])
async def test_gang_with_a_deadly_member_is_given_up(
    make_fleet, reboot, count, crash_after_s
):
    """The gang was started as a whole again after each crash under one member."""
    cluster = await make_fleet(reboot)
    step = Step(count=count, usage=SMALL, gang=True, max_per_worker=count // 2)
    # A member that is done ends the job, so none may be done before the others restart.
    await cluster.submit("deadly", step, work_s=30.0, crash_after_s=crash_after_s)
    await check_given_up(cluster, "deadly")


@both_names
@pytest.mark.parametrize("count", [1, 3])
async def test_deadly_task_of_a_lasting_step_is_given_up(make_fleet, reboot, count):
    """Failed ends of lasting tasks have no limit, but crashes of workers have one."""
    cluster = await make_fleet(reboot)
    call = cluster.send(
        "deadly",
        Step(count=count, usage=SMALL, lasting=True),
        work_s=1e6,
        crash_after_s=CRASH_S,
    )
    cluster.tasks["deadly"].ready_at_once = True
    await cluster.call(call)
    await check_given_up(cluster, "deadly")


@both_names
@pytest.mark.parametrize("crash_after_s", [CRASH_S, 5.0], ids=["at-start", "late"])
async def test_deadly_task_of_a_speculative_step_is_given_up(
    make_fleet, reboot, crash_after_s
):
    """Copies crash workers as well, and each counts as a start."""
    cluster = await make_fleet(reboot)
    step = Step(count=4, usage=SMALL, speculative=True, estimate_s=2.0)
    await cluster.submit("deadly", step, work_s=6.0, crash_after_s=crash_after_s)
    await check_given_up(cluster, "deadly", limit_s=GIVE_UP_S + 20.0)


@both_names
async def test_deadly_occurrence_is_given_up(make_fleet, reboot):
    """Each occurrence of a schedule crashed workers without a limit."""
    cluster = await make_fleet(reboot)
    now_ms = int(cluster.clock.now().timestamp() * 1000)
    await cluster.submit(
        "deadly",
        Step(count=2, usage=SMALL),
        crash_after_s=CRASH_S,
        occurrences=3,
        first_due_ms=now_ms + 1000,
        interval_ms=5000,
    )
    await check_given_up(cluster, "deadly")


@both_names
@pytest.mark.parametrize("crash_after_s", [CRASH_S, 2.0], ids=["at-start", "late"])
async def test_deadly_task_with_checkpoints_is_given_up(
    make_fleet, reboot, crash_after_s
):
    """Its progress between the crashes made it look sound."""
    cluster = await make_fleet(reboot)
    step = Step(usage=SMALL, checkpoints=True)
    await cluster.submit("deadly", step, work_s=60.0, crash_after_s=crash_after_s)
    await check_given_up(cluster, "deadly")


@both_names
async def test_two_deadly_jobs_at_once_are_given_up(make_fleet, reboot):
    """The crashes of one hid those of the other, or were counted for it."""
    cluster = await make_fleet(reboot)
    step = Step(count=3, usage=SMALL)
    innocents, calls = send_innocents(cluster, 10, work_s=2.0)
    await submit_together(
        cluster,
        cluster.send("deadly1", step, crash_after_s=CRASH_S),
        cluster.send("deadly2", step, crash_after_s=CRASH_S),
        *calls,
    )
    await check_given_up(cluster, "deadly1", "deadly2")
    await check_completed(cluster, innocents)


@both_names
async def test_deadly_urgent_job_is_given_up(make_fleet, reboot):
    """It was started first after each crash, on workers that others' runs left."""
    cluster = await make_fleet(reboot)
    others, calls = send_innocents(cluster, SLOTS, queue="batch", work_s=6.0)
    await submit_together(cluster, *calls)
    await cluster.advance(1.0)
    step = Step(count=4, usage=SMALL)
    await cluster.submit("deadly", step, queue="urgent", crash_after_s=CRASH_S)
    await check_given_up(cluster, "deadly")
    await check_completed(cluster, others)


@both_names
async def test_deadly_task_is_given_up_while_other_workers_restart(make_fleet, reboot):
    """A worker without the task restarted at each of its crashes."""
    cluster = await make_fleet(reboot)
    others, calls = send_innocents(cluster, 16, work_s=8.0)
    await submit_together(
        cluster,
        *calls,
        cluster.send("deadly", Step(usage=SMALL), crash_after_s=CRASH_S),
    )
    for crashes in range(1, 4):
        await wait_for_crashes(cluster, crashes, limit_s=10.0)
        up = [w for w in cluster.present_workers if not w.faults.down]
        cluster.crash_worker(up[crashes].entry.name)
        await cluster.advance(0.05)
    await check_given_up(cluster, "deadly")
    await check_completed(cluster, others)


@both_names
async def test_deadly_task_is_given_up_though_leaders_are_killed(make_fleet, reboot):
    """Each leader began to count anew."""
    cluster = await make_fleet(reboot)
    await cluster.submit("deadly", Step(count=3, usage=SMALL), crash_after_s=CRASH_S)
    for _ in range(10):
        await cluster.advance(6.0)
        if find_state(cluster, "deadly") is JobState.FAILED:
            break
        await cluster.restart(0)
    # A crash that only the killed leader has seen may go uncounted.
    page_bound = MAX_CRASHES + MAX_STARTS_AFTER_THIRD_CRASH
    await check_given_up(cluster, "deadly", max_crashes=page_bound)


@both_names
@pytest.mark.parametrize("delay_s", [0.0, 0.3, 2.0, 3.2])
async def test_first_crash_counts_though_the_leader_is_killed(
    make_fleet, reboot, delay_s
):
    """The leader was killed before it had noted or stored that a worker crashed."""
    cluster = await make_fleet(reboot)
    await cluster.submit("deadly", Step(usage=SMALL), crash_after_s=CRASH_S)
    await wait_for_crashes(cluster, 1)
    await cluster.advance(delay_s)
    await cluster.restart(0)
    await check_given_up(cluster, "deadly")


@both_names
async def test_crashes_count_beyond_a_change_of_leaders(make_fleet, reboot):
    """Each leader that stopped handed its jobs over without their crashes."""
    cluster = await make_fleet(reboot, nodes=2)
    await cluster.submit("deadly", Step(usage=SMALL), crash_after_s=CRASH_S)
    for crashes in (1, 2):
        await wait_for_crashes(cluster, crashes)
        await cluster.advance(1.0)
        index = next(i for i, node in enumerate(cluster.nodes) if node.leads)
        await cluster.call(cluster.nodes[index].coordinator.stop())
        await cluster.restart(index)
        await cluster.advance(1.5)
    await check_given_up(cluster, "deadly")


@all_reboots
async def test_jobs_beside_a_deadly_task_complete(make_fleet, reboot):
    """Jobs that started beside it at the same moment were given up for its crashes.

    All other workers are full, so that they share its worker after each crash.
    """
    cluster = await make_fleet(reboot)
    earlier, calls = send_innocents(cluster, SLOTS - 8, name="earlier", work_s=25.0)
    await submit_together(cluster, *calls)
    await cluster.advance(3.0)
    beside, calls = send_innocents(cluster, 7, name="beside", work_s=2.0)
    deadly = cluster.send("deadly", Step(usage=SMALL), crash_after_s=CRASH_S)
    await submit_together(cluster, *calls, deadly)
    await check_given_up(cluster, "deadly")
    await check_completed(cluster, beside + earlier)
    assert count_lost(cluster, beside)


@all_reboots
async def test_jobs_on_the_worker_of_a_deadly_task_complete(make_fleet, reboot):
    """Jobs that had run there for long were given up for its crashes."""
    cluster = await make_fleet(reboot)
    earlier, calls = send_innocents(cluster, SLOTS - 1, name="earlier", work_s=25.0)
    await submit_together(cluster, *calls)
    await cluster.advance(5.0)
    await cluster.submit("deadly", Step(usage=SMALL), crash_after_s=CRASH_S)
    await check_given_up(cluster, "deadly")
    await check_completed(cluster, earlier)
    assert count_lost(cluster, earlier)


@all_reboots
@pytest.mark.parametrize("count", [1, 25])
async def test_jobs_of_a_busy_fleet_complete_beside_a_deadly_one(
    make_fleet, reboot, count
):
    """Each crash took seven runs along, and the same jobs were hit again and again."""
    cluster = await make_fleet(reboot)
    names, calls = send_innocents(cluster, 2 * SLOTS, work_s=6.0)
    step = Step(count=count, usage=SMALL, max_per_worker=4)
    deadly = cluster.send("deadly", step, crash_after_s=CRASH_S)
    await submit_together(cluster, *calls[:SLOTS], deadly, *calls[SLOTS:])
    await check_given_up(cluster, "deadly")
    await check_completed(cluster, names)
    assert count_lost(cluster, names)


@both_names
async def test_short_jobs_complete_beside_a_task_that_crashes_late(make_fleet, reboot):
    """What had started last was blamed, not the task that had run for 5 s."""
    cluster = await make_fleet(reboot)
    step = Step(usage=SMALL)
    await cluster.submit("deadly", step, work_s=20.0, crash_after_s=5.0)
    names = []
    for second in range(20):
        # The fleet is nearly full, so that short tasks come and go everywhere.
        short, calls = send_innocents(cluster, 40, name=f"short{second}-", work_s=1.5)
        await submit_together(cluster, *calls)
        names += short
        await cluster.advance(0.9)
    await check_given_up(cluster, "deadly")
    await check_completed(cluster, names)
    assert count_lost(cluster, names)


@both_names
async def test_gang_beside_a_deadly_task_completes(make_fleet, reboot):
    """A gang loses all its members' work whenever one of its workers crashes."""
    cluster = await make_fleet(reboot)
    gang = Step(count=40, usage=SMALL, gang=True)
    filling, calls = send_innocents(cluster, 20, work_s=6.0)
    await submit_together(
        cluster,
        cluster.send("gang", gang, work_s=4.0),
        cluster.send("deadly", Step(usage=SMALL), crash_after_s=CRASH_S),
        *calls,
    )
    await check_given_up(cluster, "deadly")
    await check_completed(cluster, ["gang", *filling])
    assert count_lost(cluster, ["gang"])


async def test_cut_worker_is_no_crash(make_fleet):
    """The leases of a task's runs lapsed on four workers that were cut off."""
    cluster = await make_fleet(SAME_NAME)
    await cluster.submit("job", Step(usage=FULL_WORKER), work_s=12.0)
    for _ in range(4):
        await cluster.advance(1.5)
        worker = next(w for w in cluster.present_workers if w.runs)
        connection = cluster.leader.workers[worker.entry.name]
        connection.cut = True
        await cluster.advance(10.0)
        connection.cut = False
        await cluster.advance(0.5)
    await check_completed(cluster, ["job"])
    assert len(cluster.starts("job")) > 4


@both_names
async def test_drained_worker_that_leaves_is_no_crash(make_fleet, reboot):
    """Four workers in turn drained, left while the task ran, and came back."""
    cluster = await make_fleet(reboot)
    await cluster.submit("job", Step(usage=FULL_WORKER), work_s=12.0)
    for _ in range(4):
        await cluster.advance(2.0)
        while not any(w.runs for w in cluster.present_workers):
            await cluster.advance(0.5)
        worker = next(w for w in cluster.present_workers if w.runs)
        cluster.list_worker(worker.entry._replace(draining=True, leaves_s=2.5))
        await cluster.advance(2.5)
        cluster.crash_worker(worker.entry.name)
    await check_completed(cluster, ["job"])
    assert len(cluster.starts("job")) > 3


async def test_upkeep_is_no_crash(make_fleet):
    """Four waves restarted each worker four times while jobs ran there."""
    cluster = await make_fleet(SAME_NAME)
    machines = tuple(f"m-w{number}" for number in range(WORKERS))
    names, calls = send_innocents(cluster, 40, work_s=8.0)
    lasting = cluster.send("lasting", Step(count=4, usage=SMALL, lasting=True))
    cluster.tasks["lasting"].ready_at_once = True
    cluster.tasks["lasting"].work_s = 1e6
    long = Step(count=4, usage=SMALL, checkpoints=True)
    await submit_together(
        cluster, *calls, lasting, cluster.send("long", long, work_s=40.0)
    )
    for number in range(1, 5):
        cluster.waves = [Wave(number, machines, within_s=24.0, max_down=4)]
        await cluster.advance(22.0)
    await check_completed(cluster, [*names, "long"])
    assert len(cluster.machines.upkeeps) == 4 * WORKERS
    assert find_state(cluster, "lasting") is JobState.RUNNING


@all_reboots
@pytest.mark.parametrize("losing", [4, 8], ids=["half", "all"])
@pytest.mark.parametrize("gap_s", [4.5, 8.0])
async def test_power_loss_of_a_domain_is_no_crash(make_fleet, reboot, losing, gap_s):
    """Many workers lost power at once, three times, with the same jobs on them."""
    cluster = await make_fleet(reboot)
    for worker in cluster.present_workers[:losing]:
        labels = worker.entry.labels | {"other"}
        worker.entry = worker.entry._replace(domain="other", labels=labels)
        cluster.list_worker(worker.entry)
    await cluster.advance(1.0)
    step = Step(usage=SMALL, required_label="other")
    names = [f"single{number}" for number in range(8)]
    calls = [cluster.send(name, step, work_s=12.0) for name in names]
    wide = cluster.send("wide", step._replace(count=12), work_s=12.0)
    gang = cluster.send("gang", step._replace(count=3, gang=True), work_s=12.0)
    await submit_together(cluster, *calls, wide, gang)
    for _ in range(3):
        await cluster.advance(gap_s)
        for worker in cluster.present_workers:
            if worker.entry.domain == "other":
                cluster.crash_worker(worker.entry.name)
    await check_completed(cluster, [*names, "wide", "gang"])
    assert count_lost(cluster, names) >= 2 * len(names)


async def test_crash_is_counted_once_though_leaders_change(make_fleet):
    """Each leader that found the run still open counted the same crash again."""
    cluster = await make_fleet(SAME_NAME)
    await cluster.submit("job", Step(usage=SMALL), crash_after_s=CRASH_S)
    await wait_for_crashes(cluster, 1)
    (crashed,) = [w for w in cluster.present_workers if w.faults.down]
    for _ in range(3):
        # The row shows the restart, but no call tells whether the run is there.
        cluster.nodes[0].workers[crashed.entry.name].cut = True
        await cluster.advance(5.0)
        job = cluster.leader.coordinator.term.jobs["job"]
        task = job.find_task(TaskName("job", 0, 0, 0))
        assert task.run is not None
        assert task.crashes == 1
        await cluster.restart(0)
