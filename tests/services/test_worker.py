"""Contract of a worker that runs members of gangs."""

from __future__ import annotations

import pytest

from chiveledge.services import (
    AttemptOrder,
    Conflict,
    MemberPlacement,
    Reservation,
    SyncRequest,
    TaskState,
    Unavailable,
    Unsettled,
)

LEASE_S = 30.0


def reserve(attempt="a", epoch=1, accelerators=(0, 1), cores=2, member=0):
    placement = MemberPlacement(member, "worker-1", accelerators, cores, 512)
    return Reservation("honam", epoch, "job", attempt, LEASE_S, "{}", 0.0, (placement,))


def order(attempt="a", epoch=1):
    return AttemptOrder("honam", epoch, (attempt,), LEASE_S)


def sync(epoch=1, renew=(), after=-1):
    return SyncRequest("honam", epoch, renew, LEASE_S, after, 0.0)


async def states(worker):
    report = (await worker.client.sync(sync())).unwrap()
    return {task.attempt: task.state for task in report.tasks}


async def test_task_states_from_reservation_to_removal(worker):
    (await worker.client.reserve(reserve())).unwrap()
    assert await states(worker) == {"a": TaskState.RESERVED}
    (await worker.client.start(order())).unwrap()
    assert (await states(worker))["a"] in (TaskState.RUNNING, TaskState.FINISHED)
    (await worker.client.stop(order())).unwrap()
    assert (await states(worker))["a"] in (TaskState.STOPPED, TaskState.FINISHED)
    (await worker.client.forget(order())).unwrap()
    assert await states(worker) == {}


async def test_report_without_new_events_has_no_tasks(worker):
    (await worker.client.reserve(reserve())).unwrap()
    first = (await worker.client.sync(sync())).unwrap()
    assert len(first.tasks) == 1
    again = (await worker.client.sync(sync(after=first.event))).unwrap()
    assert again == (first.event, None)


async def test_orders_are_idempotent(worker):
    for _ in range(2):
        (await worker.client.reserve(reserve())).unwrap()
    for _ in range(2):
        (await worker.client.stop(order())).unwrap()
    assert await states(worker) == {"a": TaskState.STOPPED}


@pytest.mark.parametrize(
    "second",
    [reserve("b", accelerators=(1, 2)), reserve("b", accelerators=(7,), cores=31)],
    ids=["accelerator", "cores"],
)
async def test_reserved_resources_are_not_reserved_again(worker, second):
    (await worker.client.reserve(reserve())).unwrap()
    assert isinstance((await worker.client.reserve(second)).unwrap_err(), Conflict)


@pytest.mark.parametrize("verb", ["start", "stop", "checkpoint", "forget"])
async def test_lower_epoch_is_declined(worker, verb):
    (await worker.client.reserve(reserve(epoch=5))).unwrap()
    result = await getattr(worker.client, verb)(order(epoch=4))
    assert isinstance(result.unwrap_err(), Conflict)
    assert isinstance((await worker.client.sync(sync(epoch=4))).unwrap_err(), Conflict)


async def test_start_without_reservation_is_declined(worker):
    assert isinstance((await worker.client.start(order("z"))).unwrap_err(), Conflict)


@pytest.mark.parametrize(
    ("fault", "error", "reserved"),
    [({"down": True}, Unavailable, False), ({"lose_replies": 1}, Unsettled, True)],
)
async def test_error_shows_whether_the_call_may_have_taken_effect(
    worker, fault, error, reserved
):
    worker.faults.set(fault)
    result = await worker.client.reserve(reserve())
    worker.faults.set({})
    assert isinstance(result.unwrap_err(), error)
    assert ("a" in await states(worker)) == reserved
