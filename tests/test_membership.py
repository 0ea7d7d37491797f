"""The host list lags, is down, or says that a live host left."""

from __future__ import annotations

import pytest

from chiveledge.clock import ManualClock
from chiveledge.events import Timeline
from chiveledge.membership import Membership
from chiveledge.services import HostEntry, HostRole, HostState
from standins.hosts import MemoryHosts


def make_membership(count=6):
    clock = ManualClock()
    entries = [
        HostEntry(f"m{n}", HostRole.MINION, "", "honam", "a", "planner")
        for n in range(count)
    ]
    hosts = MemoryHosts(entries, clock)
    return Membership(hosts, clock, Timeline("t", clock), poll_s=1.0), hosts, clock


async def names(membership):
    return [e.name for e in membership.of_role(HostRole.MINION)]


async def test_list_down_keeps_what_is_known():
    membership, hosts, _ = make_membership()
    assert await membership.refresh()
    hosts.faults.set({"down": True})
    assert not await membership.refresh()
    assert len(await names(membership)) == 6


@pytest.mark.parametrize(("vanished", "kept"), [(1, False), (3, False), (5, True)])
async def test_list_that_loses_most_entries_is_doubted(vanished, kept):
    membership, hosts, clock = make_membership()
    await membership.refresh()
    for number in range(vanished):
        hosts.set_state(f"m{number}", "gone")
    await membership.refresh()
    await membership.refresh()
    assert ("m0" in await names(membership)) == kept
    clock.jump(31.0)
    await membership.refresh()
    assert "m0" not in await names(membership)


async def test_first_sign_of_leaving_holds_against_a_stale_list():
    membership, _, _ = make_membership()
    await membership.refresh()
    membership.hear_leaving(["m1"])
    await membership.refresh()
    states = {entry.name: entry.state for entry in membership.entries}
    assert states["m1"] is HostState.LEAVING
    assert membership.leaving == ("m1",)
