"""Operators' races and lost replies: one wins, nothing reverts."""

from __future__ import annotations

import asyncio
import json

import pytest

from chiveledge.clock import ManualClock
from chiveledge.configuration import (
    Accepted,
    ChangeRefused,
    ChangeUnknown,
    ConfigurationKeeper,
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


async def finish(clock, work, within_s=20.0):
    task = asyncio.ensure_future(work)
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
async def test_exactly_one_of_racing_operators_wins(table, clock, operators):
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
    won = [outcome for outcome in outcomes if isinstance(outcome, Accepted)]
    lost = [outcome for outcome in outcomes if isinstance(outcome, Superseded)]
    assert len(won) == 1 and len(lost) == operators - 1
    current = (await read_configuration(table)).unwrap()
    assert current == won[0].versioned
    assert all(outcome.winner == current for outcome in lost)
    same = {current.document.preset}
    for outcome in lost:
        assert outcome.differing in ((), ("preset",)), same


@pytest.mark.parametrize("lost", [1, 2, 5])
async def test_lost_reply_is_settled_by_reading_back(table, clock, lost):
    table.faults.set({"lose_replies": lost})
    outcome = await finish(clock, change(table, clock, 0, "peak"))
    assert isinstance(outcome, Accepted)
    assert table.transactions == 1


async def test_change_whose_reply_never_comes_is_unknown(table, clock):
    table.faults.set({"lose_replies": 10_000})
    outcome = await finish(clock, change(table, clock, 0, "peak"))
    assert isinstance(outcome, ChangeUnknown | Accepted)
    if isinstance(outcome, ChangeUnknown):
        assert outcome.revision == 1


async def test_store_down_refuses(table, clock):
    table.faults.set({"down": True})
    outcome = await finish(clock, change(table, clock, 0, "peak"))
    assert isinstance(outcome, ChangeRefused)
    table.faults.set({})
    assert (await read_configuration(table)).unwrap() is None


async def test_same_change_sent_again_is_accepted(table, clock):
    first = await change(table, clock, 0, "peak", write_id="w1")
    again = await change(table, clock, 0, "peak", write_id="w2")
    assert again == first
    assert table.transactions == 1


async def test_every_revision_is_kept_for_the_audit(table, clock):
    for revision, preset in enumerate(("ordinary", "peak", "ordinary")):
        await change(table, clock, revision, preset, f"op{revision}")
    rows = table.find_all("configuration/revision/")
    authors = [json.loads(row.value)["author"] for row in rows]
    assert authors == ["op0", "op1", "op2"]


def make_keeper(table, clock, name="a"):
    return ConfigurationKeeper(
        table, clock, Timeline(name, clock), poll_s=1.0, stale_s=STALE_S
    )


async def test_revisions_only_rise(table, clock):
    keeper = make_keeper(table, clock)
    seen = []
    keeper.stream.subscribe(lambda versioned: seen.append(versioned.revision))
    for revision in (2, 1, 5, 3, 5, 4):
        keeper.apply(make_versioned(revision, make_document(), "ann"))
    assert seen == [2, 5] and keeper.revision == 5


async def test_process_frozen_across_two_changes_takes_the_last(table, clock):
    keeper = make_keeper(table, clock)
    await change(table, clock, 0, "ordinary")
    await keeper.refresh()
    for revision, preset in ((1, "peak"), (2, "closed")):
        await change(table, clock, revision, preset)
    clock.jump(60.0)
    assert not keeper.fresh
    await keeper.refresh()
    assert keeper.fresh and keeper.revision == 3


FRESH_CASES = [
    # processes, peers that speak, their age, seconds since, expected
    ("store just read", 5, 0, 0.0, 0.0, True),
    ("isolated", 5, 0, 0.0, STALE_S + 1, False),
    ("peer read the store", 5, 1, 0.5, STALE_S + 1, True),
    ("minority in an outage", 5, 1, 100.0, STALE_S + 1, False),
    ("majority in an outage", 5, 2, 100.0, STALE_S + 1, True),
    ("alone by design", 1, 0, 0.0, 1000.0, True),
]


@pytest.mark.parametrize(
    ("name", "processes", "speaking", "age_s", "since_s", "expected"), FRESH_CASES
)
async def test_freshness(
    table, clock, name, processes, speaking, age_s, since_s, expected
):
    keeper = make_keeper(table, clock)
    await change(table, clock, 0, "ordinary")
    await keeper.refresh()
    keeper.expect_processes(processes)
    table.faults.set({"down": True})
    clock.jump(since_s)
    if since_s:
        await keeper.refresh()
    for number in range(speaking):
        keeper.hear(f"peer{number}", 1, age_s)
    assert keeper.fresh == expected


async def test_peer_with_another_revision_confirms_nothing(table, clock):
    keeper = make_keeper(table, clock)
    await change(table, clock, 0, "ordinary")
    await keeper.refresh()
    keeper.expect_processes(5)
    clock.jump(STALE_S + 1)
    keeper.hear("peer", 2, 0.0)
    assert not keeper.fresh
