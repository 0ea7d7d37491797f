"""Contracts of the object store and of the host list."""

from __future__ import annotations

import pytest

from chiveledge.services import HostState, Unavailable, Unsettled


async def test_object_is_read_as_written(objects):
    assert (await objects.client.read("a/b")).ok() is None
    text = "x" * 100_000
    (await objects.client.write("a/b", text)).unwrap()
    (await objects.client.write("a/b", text)).unwrap()
    assert (await objects.client.read("a/b")).unwrap() == text


@pytest.mark.parametrize(
    ("fault", "error"),
    # Two replies are lost, as an HTTP client may retry an idempotent write once.
    [({"down": True}, Unavailable), ({"lose_replies": 2}, Unsettled)],
)
async def test_fault_of_the_object_store_is_returned_as_its_error(
    objects, fault, error
):
    objects.faults.set(fault)
    assert isinstance((await objects.client.write("a", "x")).unwrap_err(), error)


async def test_list_shows_changed_states(hosts):
    assert [e.state for e in (await hosts.client.read()).unwrap()] == ["live", "live"]
    hosts.fake.set_state("worker-1", "leaving")
    entries = {e.name: e for e in (await hosts.client.read()).unwrap()}
    assert entries["worker-1"].state is HostState.LEAVING
    hosts.fake.set_state("worker-1", "gone")
    assert [e.name for e in (await hosts.client.read()).unwrap()] == ["minion-1"]


async def test_unreachable_list_is_unavailable(hosts):
    hosts.faults.set({"down": True})
    assert isinstance((await hosts.client.read()).unwrap_err(), Unavailable)
