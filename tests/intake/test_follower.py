"""The rows of a table follower stay complete through history gaps and outages."""

from __future__ import annotations

import asyncio

from chiveledge.clock import ManualClock
from chiveledge.decision_log import NullLog
from chiveledge.intake import TableFollower
from chiveledge.intake._follower import RETRY_S
from chiveledge.services import Put, Transaction
from standins.table import UNRESPONSIVE_WATCHES, WATCH_TIMEOUT_S, MemoryTable


class Replica:
    """The rows of an in-memory table as a follower reports them."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.rows: dict[str, str] = {}
        self.follower = TableFollower(
            self.table, "a/", self.clock, NullLog(), self.apply, wait_s=0.0
        )

    def apply(self, rows, deleted, is_snapshot) -> None:
        if is_snapshot:
            self.rows.clear()
        self.rows |= {row.key: row.value for row in rows}
        for key in deleted:
            self.rows.pop(key, None)

    def write(self, key: str, value: str) -> None:
        self.table.commit(Transaction("w", puts=(Put(key, value),)))


async def test_changes_and_deletions_arrive():
    replica = Replica()
    replica.write("a/1", "x")
    await replica.follower.step()
    replica.write("a/2", "y")
    replica.table.commit(Transaction("w", deletes=("a/1",)))
    await replica.follower.step()
    assert replica.rows == {"a/2": "y"}


async def test_snapshot_is_read_after_history_is_truncated():
    replica = Replica()
    replica.write("a/1", "x")
    replica.write("a/2", "y")
    await replica.follower.step()
    replica.table.commit(Transaction("w", deletes=("a/1",)))
    replica.write("a/3", "z")
    replica.table.forget_history()
    assert await replica.follower.step()
    assert replica.rows == {"a/2": "y", "a/3": "z"}


async def test_age_counts_from_last_confirmation():
    replica = Replica()
    assert replica.follower.age_s == float("inf")
    await replica.follower.step()
    replica.table.faults.down = True
    replica.clock.jump(3.0)
    assert not await replica.follower.step()
    assert replica.follower.age_s == 3.0
    replica.table.faults.down = False
    assert await replica.follower.step()
    assert replica.follower.age_s == 0.0


async def test_replica_is_confirmed_immediately_after_outage():
    replica = Replica()
    replica.follower._wait_s = 1.0
    await replica.follower.step()
    replica.table.faults.down = True
    await replica.follower.step()
    replica.table.faults.down = False
    task = asyncio.ensure_future(replica.follower.step())
    await replica.clock.advance(0.01)
    assert task.done()


async def test_snapshot_is_read_after_unanswered_watch():
    replica = Replica()
    await replica.follower.step()
    replica.table.faults.mode = UNRESPONSIVE_WATCHES
    replica.write("a/1", "x")
    task = asyncio.ensure_future(replica.follower.run())
    await replica.clock.advance(WATCH_TIMEOUT_S + RETRY_S + 0.1)
    assert replica.rows == {"a/1": "x"}
    task.cancel()
