"""Drains in the table service: racing operators, lost and late writes, odd rows.

Guards against a drain that is lost, one that a late copy of an earlier change sets or
lifts again, and an operator who is told that a change was made or not made when that
is not known.
"""

from __future__ import annotations

import asyncio

import pytest

from chiveledge.clock import ManualClock
from chiveledge.drain_store import (
    DrainChange,
    DrainCommitted,
    DrainRefused,
    DrainUnknown,
    change_drain,
    find_domain_problem,
    make_drain_key,
    read_drains,
)
from chiveledge.drains import Drain
from chiveledge.services import Put, Transaction
from standins.table import MemoryTable


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table(clock):
    return MemoryTable(clock)


async def finish(clock, awaitable, within_s=20.0):
    task = asyncio.ensure_future(awaitable)
    for _ in range(int(within_s / 0.05)):
        if task.done():
            break
        await clock.advance(0.05)
    return task.result()


async def change(table, clock, domain, drained, author="ann", write_id="w"):
    request = DrainChange(domain, drained, author)
    return await finish(clock, change_drain(table, clock, request, write_id))


async def read(table):
    return (await read_drains(table)).unwrap()


async def test_drain_keeps_author_and_time_of_its_first_request(table, clock):
    requested_ms = int(clock.now().timestamp() * 1000)
    first = await change(table, clock, "a", True)
    assert first == DrainCommitted(Drain("a", "ann", requested_ms), changed=True)
    await clock.advance(5.0)
    again = await change(table, clock, "a", True, "bob", "w2")
    assert again == DrainCommitted(first.drain, changed=False)
    assert await read(table) == {"a": first.drain}


async def test_domains_are_drained_and_given_back_one_by_one(table, clock):
    for domain in ("a", "b", "c"):
        await change(table, clock, domain, True, write_id=f"w{domain}")
    lifted = await change(table, clock, "b", False, "bob", "w4")
    assert lifted.changed and lifted.drain.author == "ann"
    assert sorted(await read(table)) == ["a", "c"]
    assert not (await change(table, clock, "b", False, "bob", "w5")).changed


@pytest.mark.parametrize("drained", [True, False])
@pytest.mark.parametrize("lost", [1, 2, 5])
async def test_lost_replies_leave_one_change(table, clock, drained, lost):
    if not drained:
        await change(table, clock, "a", True)
    before = table.transactions
    table.faults.set({"lose_replies": lost})
    outcome = await change(table, clock, "a", drained, write_id="w2")
    assert isinstance(outcome, DrainCommitted)
    assert table.transactions == before + 1 or not outcome.changed
    assert ("a" in await read(table)) is drained


@pytest.mark.parametrize("drained", [True, False])
async def test_change_without_any_reply_is_unknown(table, clock, drained):
    if not drained:
        await change(table, clock, "a", True)
    table.late_writes = 10_000
    table.late_write_delay_s = 1000.0
    outcome = await change(table, clock, "a", drained, write_id="w2")
    assert isinstance(outcome, DrainUnknown)
    assert outcome.write_id.startswith("w2")


@pytest.mark.parametrize("drained", [True, False])
async def test_late_copy_does_not_undo_a_later_change(table, clock, drained):
    # The answer is unknown, the operator makes the opposite change, and only then the
    # store carries out the first one.
    if not drained:
        await change(table, clock, "a", True)
    table.late_writes = 10_000
    table.late_write_delay_s = 30.0
    await change(table, clock, "a", drained, write_id="w2")
    table.late_writes = 0
    opposite = await change(table, clock, "a", not drained, write_id="w3")
    assert isinstance(opposite, DrainCommitted)
    await clock.advance(60.0)
    assert ("a" in await read(table)) is not drained


@pytest.mark.parametrize("operators", [2, 5])
async def test_operators_at_the_same_time_all_get_a_true_answer(
    table, clock, operators
):
    outcomes = await finish(
        clock,
        asyncio.gather(
            *(
                change_drain(table, clock, DrainChange("a", True, f"op{n}"), f"w{n}")
                for n in range(operators)
            )
        ),
    )
    assert sum(outcome.changed for outcome in outcomes) == 1
    (drain,) = (await read(table)).values()
    assert all(outcome.drain == drain for outcome in outcomes)


async def test_change_is_refused_while_the_store_is_unavailable(table, clock):
    table.faults.set({"down": True})
    assert isinstance(await change(table, clock, "a", True), DrainRefused)
    table.faults.set({})
    assert await read(table) == {}


@pytest.mark.parametrize("value", ["", "[]", "[" * 4000, '{"author": 1}', "null"])
async def test_row_that_cannot_be_read_is_a_drain(table, clock, value):
    puts = (Put(make_drain_key("a/b c"), value),)
    table.commit(Transaction("odd", puts=puts))
    assert await read(table) == {"a/b c": Drain("a/b c")}
    lifted = await change(table, clock, "a/b c", False)
    assert lifted.changed and await read(table) == {}


@pytest.mark.parametrize("name", ["", " a", "a\n", "x" * 101, "3:a", "..", "\ud800"])
def test_name_that_no_domain_has_is_refused_with_field_and_remedy(name):
    assert find_domain_problem(name).startswith("domain: got ")


@pytest.mark.parametrize("name", ["a", "gyeonggi-a", "a/b", "흥덕 2", "x" * 100])
def test_ordinary_name_is_taken(name):
    assert find_domain_problem(name) == ""
