"""Host lists that are delayed, unavailable, or lack hosts that are still alive."""

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


async def list_minions(membership):
    return [e.name for e in membership.find_by_role(HostRole.MINION)]


async def test_entries_stay_while_the_list_is_unavailable():
    membership, hosts, _ = make_membership()
    assert await membership.refresh()
    hosts.faults.set({"down": True})
    assert not await membership.refresh()
    assert len(await list_minions(membership)) == 6


@pytest.mark.parametrize(("vanished", "retained"), [(1, False), (3, False), (5, True)])
async def test_entries_stay_for_a_while_if_most_vanish_at_once(vanished, retained):
    membership, hosts, clock = make_membership()
    await membership.refresh()
    for number in range(vanished):
        hosts.set_state(f"m{number}", "gone")
    await membership.refresh()
    await membership.refresh()
    assert ("m0" in await list_minions(membership)) == retained
    clock.jump(31.0)
    await membership.refresh()
    assert "m0" not in await list_minions(membership)


async def test_leaving_mark_outlasts_reads_of_a_stale_list():
    membership, _, _ = make_membership()
    await membership.refresh()
    membership.mark_leaving(["m1"])
    await membership.refresh()
    states = {entry.name: entry.state for entry in membership.entries}
    assert states["m1"] is HostState.LEAVING
    assert membership.leaving == ("m1",)
