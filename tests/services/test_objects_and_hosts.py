"""Contracts of the object store and of the host list."""

from __future__ import annotations

import pytest

from chiveledge.services import HostState, Unavailable, Unsettled


async def test_whole_objects(objects):
    assert (await objects.client.read("a/b")).ok() is None
    text = "x" * 100_000
    (await objects.client.write("a/b", text)).unwrap()
    (await objects.client.write("a/b", text)).unwrap()
    assert (await objects.client.read("a/b")).unwrap() == text


@pytest.mark.parametrize(
    ("fault", "error"),
    # A client may repeat a lost write once by itself, since writes are idempotent.
    [({"down": True}, Unavailable), ({"lose_replies": 2}, Unsettled)],
)
async def test_faults_of_objects(objects, fault, error):
    objects.faults.set(fault)
    assert isinstance((await objects.client.write("a", "x")).unwrap_err(), error)


async def test_list_changes(hosts):
    assert [e.state for e in (await hosts.client.read()).unwrap()] == ["live", "live"]
    hosts.fake.set_state("worker-1", "leaving")
    entries = {e.name: e for e in (await hosts.client.read()).unwrap()}
    assert entries["worker-1"].state is HostState.LEAVING
    hosts.fake.set_state("worker-1", "gone")
    assert [e.name for e in (await hosts.client.read()).unwrap()] == ["minion-1"]


async def test_list_down(hosts):
    hosts.faults.set({"down": True})
    assert isinstance((await hosts.client.read()).unwrap_err(), Unavailable)
