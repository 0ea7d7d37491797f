"""A copy that is kept by watching stays whole through gaps and outages."""

from __future__ import annotations

import asyncio

from chiveledge.clock import ManualClock
from chiveledge.decision_log import SilentLog
from chiveledge.intake import TableFollower
from chiveledge.intake._follower import RETRY_S
from chiveledge.services import Put, Transaction
from standins.table import MUTE_S, MUTE_WATCHES, MemoryTable


class Copy:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.rows: dict[str, str] = {}
        self.follower = TableFollower(
            self.table, "a/", self.clock, SilentLog(), self.take, wait_s=0.0
        )

    def take(self, rows, deleted, whole) -> None:
        if whole:
            self.rows.clear()
        self.rows |= {row.key: row.value for row in rows}
        for key in deleted:
            self.rows.pop(key, None)

    def write(self, key: str, value: str) -> None:
        self.table.commit(Transaction("w", puts=(Put(key, value),)))


async def test_changes_and_deletions_arrive():
    copy = Copy()
    copy.write("a/1", "x")
    await copy.follower.step()
    copy.write("a/2", "y")
    copy.table.commit(Transaction("w", deletes=("a/1",)))
    await copy.follower.step()
    assert copy.rows == {"a/2": "y"}


async def test_forgotten_history_is_read_anew():
    copy = Copy()
    copy.write("a/1", "x")
    copy.write("a/2", "y")
    await copy.follower.step()
    copy.table.commit(Transaction("w", deletes=("a/1",)))
    copy.write("a/3", "z")
    copy.table.forget_history()
    assert await copy.follower.step()
    assert copy.rows == {"a/2": "y", "a/3": "z"}


async def test_age_counts_from_the_last_confirmation():
    copy = Copy()
    assert copy.follower.age_s == float("inf")
    await copy.follower.step()
    copy.table.faults.down = True
    copy.clock.jump(3.0)
    assert not await copy.follower.step()
    assert copy.follower.age_s == 3.0
    copy.table.faults.down = False
    assert await copy.follower.step()
    assert copy.follower.age_s == 0.0


async def test_copy_is_confirmed_at_once_when_the_store_is_back():
    copy = Copy()
    copy.follower._wait_s = 1.0
    await copy.follower.step()
    copy.table.faults.down = True
    await copy.follower.step()
    copy.table.faults.down = False
    task = asyncio.ensure_future(copy.follower.step())
    await copy.clock.advance(0.01)
    assert task.done()


async def test_rows_are_read_when_watches_go_mute():
    copy = Copy()
    await copy.follower.step()
    copy.table.faults.mode = MUTE_WATCHES
    copy.write("a/1", "x")
    task = asyncio.ensure_future(copy.follower.run())
    await copy.clock.advance(MUTE_S + RETRY_S + 0.1)
    assert copy.rows == {"a/1": "x"}
    task.cancel()
