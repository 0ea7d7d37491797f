"""What callers are told while the store fails."""

from __future__ import annotations

import asyncio

from chiveledge.clock import ManualClock
from chiveledge.decision_log import SilentLog
from chiveledge.intake import (
    Accepted,
    BoardEntry,
    JobBoard,
    JobDesk,
    NotStored,
    UnknownOutcome,
    board_key,
    encode_entry,
)
from chiveledge.services import Put, Transaction
from chiveledge.services.health import ServiceHealth
from chiveledge.workload import JobRequest, JobState, Step
from standins.table import MemoryTable

REQUEST = JobRequest("j", "q", "team", "text", (Step(),), 0)


class Desk:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.silent = False
        self.board = JobBoard()
        self.desk = JobDesk(
            self.table, self.board, self.clock, SilentLog(), lambda: self.silent
        )

    async def submit(self, patience_s=3.0):
        began_s = self.clock.monotonic()
        task = asyncio.ensure_future(self.desk.submit(REQUEST, patience_s))
        while not task.done():
            await self.clock.advance(0.05)
        return task.result(), self.clock.monotonic() - began_s


def put_entry(table, state):
    entry = BoardEntry("q", "team", state)
    put = Put(board_key("j"), encode_entry(entry))
    table.commit(Transaction("w", puts=(put,)))
    return entry


async def test_open_job_is_read_from_the_store_as_the_copy_lags():
    desk = Desk()
    put_entry(desk.table, JobState.RUNNING)
    desk.board.on_rows(desk.table.find_all("board/"), (), True)
    ended = put_entry(desk.table, JobState.COMPLETED)
    assert await desk.desk.read("j") == ended


async def test_copy_answers_for_ended_jobs_and_while_the_store_does_not():
    desk = Desk()
    running = put_entry(desk.table, JobState.RUNNING)
    desk.board.on_rows(desk.table.find_all("board/"), (), True)
    desk.table.faults.down = True
    assert await desk.desk.read("j") == running
    assert isinstance(await desk.desk.read("unknown"), UnknownOutcome)
    desk.silent = True
    assert await desk.desk.read("j") == running
    ended = put_entry(desk.table, JobState.COMPLETED)
    desk.board.on_rows(desk.table.find_all("board/"), (), True)
    desk.silent = False
    desk.table.read = None
    assert await desk.desk.read("j") == ended


async def test_silent_store_is_sent_nothing():
    desk = Desk()
    desk.silent = True
    outcome, _ = await desk.submit()
    assert isinstance(outcome, NotStored)
    assert not desk.table.rows


async def test_caller_is_told_within_its_patience_that_nothing_is_known():
    desk = Desk()
    desk.table.faults.set({"lose_replies": 100, "delay_s": 0.8})
    outcome, took_s = await desk.submit(patience_s=1.0)
    assert isinstance(outcome, UnknownOutcome)
    assert took_s <= 1.1


async def test_caller_is_told_soon_that_the_store_fell_silent():
    desk = Desk()
    desk.table.faults.set({"lose_replies": 100, "delay_s": 0.8})
    outcome, took_s = await desk.submit(patience_s=3.0)
    assert isinstance(outcome, UnknownOutcome)
    assert took_s < 2.0


async def test_lost_answer_costs_no_timeout():
    desk = Desk()
    transact = desk.table.transact
    sends = []

    async def lose_first(transaction):
        sends.append(transaction)
        if len(sends) == 1:
            await desk.clock.sleep(60.0)
        return await transact(transaction)

    desk.table.transact = lose_first
    outcome, took_s = await desk.submit()
    assert isinstance(outcome, Accepted)
    assert took_s <= 0.5


async def test_slow_store_is_not_sent_copies():
    desk = Desk()
    desk.table.faults.delay_s = 0.25
    transact = desk.table.transact
    sends = []

    async def count(transaction):
        sends.append(transaction)
        return await transact(transaction)

    desk.table.transact = count
    await desk.submit()
    await desk.submit()
    desk.table.faults.delay_s = 0.6
    sends.clear()
    for _ in range(4):
        await desk.submit()
    assert len(sends) <= 5


async def test_job_that_is_stored_already_is_accepted():
    desk = Desk()
    assert (await desk.submit())[0] == Accepted()
    assert (await desk.submit())[0] == Accepted(repeated=True)


async def test_down_store_refuses_truly_and_lost_replies_do_not():
    desk = Desk()
    desk.table.faults.down = True
    assert isinstance((await desk.submit())[0], NotStored)
    desk.table.faults.set({"lose_replies": 2})
    outcome, _ = await desk.submit()
    assert outcome == Accepted(repeated=True)


def test_service_is_silent_only_while_nothing_answers():
    clock = ManualClock()
    health = ServiceHealth(clock)
    assert not health.silent
    clock.jump(1.0)
    health.note_silence(sent_s=0.0)
    assert health.silent
    clock.jump(0.5)
    health.note_answer()
    assert not health.silent
    health.note_silence(sent_s=1.0)
    assert not health.silent
    clock.jump(0.1)
    health.note_silence(sent_s=1.55)
    assert health.silent
    clock.jump(1.6)
    assert not health.silent
