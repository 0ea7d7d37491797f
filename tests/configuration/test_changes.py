"""Concurrent changes, lost replies and the freshness of a process's copy."""

from __future__ import annotations

import asyncio
import json

import pytest

from chiveledge.clock import ManualClock
from chiveledge.configuration import (
    Accepted,
    ChangeRefused,
    ChangeUnknown,
    ConfigurationReplica,
    Superseded,
    change_configuration,
    read_configuration,
)
from chiveledge.configuration._change import make_versioned
from chiveledge.events import Timeline
from standins.table import MemoryTable
from tests.support import make_document

STALE_S = 4.0


async def change(table, clock, expected, preset, author="ann", write_id="w"):
    return await change_configuration(
        table,
        clock,
        expected=expected,
        document=make_document(preset=preset),
        author=author,
        write_id=f"{write_id}-{author}",
    )


async def finish(clock, awaitable, within_s=20.0):
    task = asyncio.ensure_future(awaitable)
    for _ in range(int(within_s / 0.05)):
        if task.done():
            break
        await clock.advance(0.05)
    return task.result()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    return MemoryTable(clock)


@pytest.mark.parametrize("operators", [2, 5, 20])
async def test_exactly_one_of_concurrent_changes_is_accepted(table, clock, operators):
    await change(table, clock, 0, "ordinary")
    outcomes = await finish(
        clock,
        asyncio.gather(
            *(
                change(table, clock, 1, ("peak", "closed")[n % 2], f"op{n}")
                for n in range(operators)
            )
        ),
    )
    accepted = [outcome for outcome in outcomes if isinstance(outcome, Accepted)]
    superseded = [outcome for outcome in outcomes if isinstance(outcome, Superseded)]
    assert len(accepted) == 1 and len(superseded) == operators - 1
    current = (await read_configuration(table)).unwrap()
    assert current == accepted[0].versioned
    assert all(outcome.winner == current for outcome in superseded)
    winning_preset = {current.document.preset}
    for outcome in superseded:
        assert outcome.differing in ((), ("preset",)), winning_preset


@pytest.mark.parametrize("lost", [1, 2, 5])
async def test_change_is_accepted_once_although_replies_are_lost(table, clock, lost):
    table.faults.set({"lose_replies": lost})
    outcome = await finish(clock, change(table, clock, 0, "peak"))
    assert isinstance(outcome, Accepted)
    assert table.transactions == 1


async def test_change_without_any_reply_is_accepted_or_unknown(table, clock):
    table.faults.set({"lose_replies": 10_000})
    outcome = await finish(clock, change(table, clock, 0, "peak"))
    assert isinstance(outcome, ChangeUnknown | Accepted)
    if isinstance(outcome, ChangeUnknown):
        assert outcome.revision == 1


async def test_change_is_refused_while_the_store_is_unavailable(table, clock):
    table.faults.set({"down": True})
    outcome = await finish(clock, change(table, clock, 0, "peak"))
    assert isinstance(outcome, ChangeRefused)
    table.faults.set({})
    assert (await read_configuration(table)).unwrap() is None


async def test_repeated_change_is_accepted_without_a_second_write(table, clock):
    first = await change(table, clock, 0, "peak", write_id="w1")
    repeated = await change(table, clock, 0, "peak", write_id="w2")
    assert repeated == first
    assert table.transactions == 1


async def test_every_revision_stays_stored_for_the_audit(table, clock):
    for revision, preset in enumerate(("ordinary", "peak", "ordinary")):
        await change(table, clock, revision, preset, f"op{revision}")
    rows = table.find_all("configuration/revision/")
    authors = [json.loads(row.value)["author"] for row in rows]
    assert authors == ["op0", "op1", "op2"]


def make_replica(table, clock, name="a"):
    return ConfigurationReplica(
        table, clock, Timeline(name, clock), poll_s=1.0, stale_s=STALE_S
    )


async def test_lower_and_equal_revisions_are_not_applied(table, clock):
    replica = make_replica(table, clock)
    applied = []
    replica.stream.subscribe(lambda versioned: applied.append(versioned.revision))
    for revision in (2, 1, 5, 3, 5, 4):
        replica.apply(make_versioned(revision, make_document(), "ann"))
    assert applied == [2, 5] and replica.revision == 5


async def test_process_paused_during_two_changes_applies_the_last(table, clock):
    replica = make_replica(table, clock)
    await change(table, clock, 0, "ordinary")
    await replica.refresh()
    for revision, preset in ((1, "peak"), (2, "closed")):
        await change(table, clock, revision, preset)
    clock.jump(60.0)
    assert not replica.fresh
    await replica.refresh()
    assert replica.fresh and replica.revision == 3


FRESH_CASES = [
    # name, processes, reporting peers, age of their confirmation, seconds since the
    # last read, expected
    ("store just read", 5, 0, 0.0, 0.0, True),
    ("isolated", 5, 0, 0.0, STALE_S + 1, False),
    ("peer read the store", 5, 1, 0.5, STALE_S + 1, True),
    ("minority in an outage", 5, 1, 100.0, STALE_S + 1, False),
    ("majority in an outage", 5, 2, 100.0, STALE_S + 1, True),
    ("alone by design", 1, 0, 0.0, 1000.0, True),
]


@pytest.mark.parametrize(
    ("name", "processes", "reporting", "age_s", "since_s", "expected"), FRESH_CASES
)
async def test_freshness(
    table, clock, name, processes, reporting, age_s, since_s, expected
):
    replica = make_replica(table, clock)
    await change(table, clock, 0, "ordinary")
    await replica.refresh()
    replica.set_process_count(processes)
    table.faults.set({"down": True})
    clock.jump(since_s)
    if since_s:
        await replica.refresh()
    for number in range(reporting):
        replica.record_peer_revision(f"peer{number}", 1, age_s, 0.0)
    assert replica.fresh == expected


async def test_report_of_another_revision_does_not_confirm(table, clock):
    replica = make_replica(table, clock)
    await change(table, clock, 0, "ordinary")
    await replica.refresh()
    replica.set_process_count(5)
    clock.jump(STALE_S + 1)
    replica.record_peer_revision("peer", 2, 0.0, 0.0)
    assert not replica.fresh


@pytest.mark.parametrize("newer_peers", [1, 4])
async def test_newer_revision_of_a_peer_ends_freshness(table, clock, newer_peers):
    """The store rejects this process and serves others; the push to it was lost."""
    replica = make_replica(table, clock)
    await change(table, clock, 0, "ordinary")
    await replica.refresh()
    replica.set_process_count(5)
    table.faults.set({"down": True})
    clock.jump(STALE_S + 1)
    await replica.refresh()
    for number in range(4):
        revision = 2 if number < newer_peers else 1
        replica.record_peer_revision(f"peer{number}", revision, 100.0, 0.0)
    assert not replica.fresh
    replica.apply(make_versioned(2, make_document(), "ann"))
    assert replica.fresh
