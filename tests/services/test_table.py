"""Contract of the table service, and commits whose replies are lost."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from chiveledge.clock import ManualClock, SystemClock
from chiveledge.metrics import Metrics
from chiveledge.services import (
    Check,
    Conflict,
    GroupCommit,
    Put,
    Rejected,
    Transaction,
    Unavailable,
    Unsettled,
    commit_with_retries,
)
from chiveledge.services.table import RETRY_DELAY_S
from standins.table import MemoryTable


def write(key, value, version, write_id="w1"):
    return Transaction(write_id, (Check(key, version),), (Put(key, value),))


async def test_read_of_absent_row(table):
    assert (await table.client.read("a")).ok() is None
    assert (await table.client.scan("a")).unwrap() == []


async def test_commit_read_scan_delete(table):
    version = (await table.client.transact(write("a/1", "x", 0))).unwrap()
    row = (await table.client.read("a/1")).unwrap()
    assert (row.value, row.version, row.write_id) == ("x", version, "w1")
    await table.client.transact(Transaction("w2", puts=(Put("a/2", "y"),)))
    assert [r.key for r in (await table.client.scan("a/")).unwrap()] == ["a/1", "a/2"]
    await table.client.transact(Transaction("w3", deletes=("a/1",)))
    assert [r.key for r in (await table.client.scan("a/")).unwrap()] == ["a/2"]


async def test_failed_check_writes_nothing_and_names_the_key(table):
    await table.client.transact(write("a", "x", 0))
    both = Transaction("w2", (Check("a", 0),), (Put("a", "y"), Put("b", "y")))
    assert (await table.client.transact(both)).unwrap_err() == Conflict(("a",))
    assert (await table.client.read("a")).unwrap().value == "x"
    assert (await table.client.read("b")).unwrap() is None


FAULTS = [
    ("down", {"down": True}, Unavailable, False),
    ("reply_lost", {"lose_replies": 1}, Unsettled, True),
]


@pytest.mark.parametrize(("name", "fault", "error", "written"), FAULTS)
async def test_error_shows_whether_the_call_may_have_taken_effect(
    table, name, fault, error, written
):
    table.faults.set(fault)
    result = await table.client.transact(write("a", "x", 0))
    table.faults.set({})
    assert isinstance(result.unwrap_err(), error)
    assert ((await table.client.read("a")).unwrap() is not None) == written


async def test_commit_with_lost_reply_is_recognised_as_committed(table):
    table.faults.set({"lose_replies": 1})
    result = await commit_with_retries(
        table.client, write("a", "x", 0), SystemClock(), timeout_s=5.0
    )
    row = (await table.client.read("a")).unwrap()
    assert result.unwrap() == row.version
    assert table.fake.transactions == 1


async def test_conflict_with_lost_reply_is_recognised_as_conflict(table):
    await table.client.transact(write("a", "other", 0, "w0"))
    table.faults.set({"lose_replies": 1})
    result = await commit_with_retries(
        table.client, write("a", "x", 0), SystemClock(), timeout_s=5.0
    )
    assert result.unwrap_err() == Conflict(("a",))


@pytest.mark.parametrize("lost", [0, 1, 2])
async def test_group_commit_returns_the_outcome_of_each_write(table, lost):
    await table.client.transact(write("taken", "x", 0, "w0"))
    table.faults.set({"lose_replies": lost})
    writes = GroupCommit(
        table.client, SystemClock(), Metrics(), timeout_s=5.0, linger_s=0.01
    )
    commits = [
        writes.commit(checks=(Check(key, 0),), puts=(Put(key, "new"),))
        for key in ("a", "taken", "b")
    ]
    first, taken, last = await asyncio.gather(*commits)
    assert first.is_ok() and last.is_ok()
    assert isinstance(taken.unwrap_err(), Conflict)
    rows = {r.key: r.value for r in (await table.client.scan("")).unwrap()}
    assert rows == {"a": "new", "b": "new", "taken": "x"}
    assert first.unwrap() == (await table.client.read("a")).unwrap().version


class ForeignConflictTable:
    """Table that answers each transaction with a conflict on a row it did not check."""

    def __init__(self):
        self.sends = 0

    async def transact(self, transaction):
        self.sends += 1
        assert self.sends < 1000, "the transaction is sent again without a pause"
        return Err(Conflict(("row-of-another-writer",)))


async def test_group_commit_with_foreign_conflicts_pauses_and_ends():
    # A store that names a row outside the group used to be asked without pause or end.
    clock = ManualClock()
    table = ForeignConflictTable()
    writes = GroupCommit(table, clock, Metrics(), timeout_s=1.0)
    commit = asyncio.create_task(
        writes.commit(checks=(Check("a", 0),), puts=(Put("a", "new"),))
    )
    for _ in range(20):
        await clock.advance(RETRY_DELAY_S)
    assert commit.done()
    assert isinstance(commit.result().unwrap_err(), Unavailable)
    assert table.sends <= 1.0 / RETRY_DELAY_S + 2


class LateTable:
    """Table whose first transaction gets no reply, and conflicts follow."""

    def __init__(self):
        self.sends = 0

    async def transact(self, transaction):
        self.sends += 1
        if self.sends == 1:
            return Err(Unsettled("no reply"))
        return Err(Conflict(("row-of-another-writer",)))

    async def read(self, key):
        return Ok(None)


async def test_group_commit_does_not_call_a_lost_send_without_effect():
    # A conflict on a row of another writer was taken to settle the lost send.
    clock = ManualClock()
    writes = GroupCommit(LateTable(), clock, Metrics(), timeout_s=1.0)
    commit = asyncio.create_task(
        writes.commit(checks=(Check("a", 0),), puts=(Put("a", "new"),))
    )
    for _ in range(20):
        await clock.advance(RETRY_DELAY_S)
    assert isinstance(commit.result().unwrap_err(), Unsettled)


async def test_rejected_write_fails_no_other_write_of_its_group():
    # A row that is too long failed all writes that happened to share its transaction.
    clock = ManualClock()
    table = MemoryTable(clock)
    table.max_value_chars = 10
    writes = GroupCommit(table, clock, Metrics(), timeout_s=1.0, linger_s=0.01)
    commits = [
        asyncio.create_task(
            writes.commit(checks=(Check(key, 0),), puts=(Put(key, value),))
        )
        for key, value in (("a", "new"), ("long", "x" * 11), ("b", "new"))
    ]
    await clock.advance(0.5)
    first, long, last = (commit.result() for commit in commits)
    assert first.is_ok() and last.is_ok()
    assert isinstance(long.unwrap_err(), Rejected)
    assert [row.key for row in table.find_all("")] == ["a", "b"]
