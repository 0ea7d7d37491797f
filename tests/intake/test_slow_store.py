"""Arriving jobs and the leader's writes while the store is many times slower."""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Err

from chiveledge.clock import ManualClock
from chiveledge.decision_log import SilentLog
from chiveledge.intake import Accepted, JobBoard, JobDesk
from chiveledge.services import Put, Transaction, Unavailable, part_of
from chiveledge.workload import JobRequest, Step
from standins.table import MemoryTable

TRANSACTION_S = 0.36
"""A transaction of 5 ms on a store that is 72 times slower."""

ANSWER_S = 0.29
LONGEST_QUEUE_S = 1.0
SLOW_FOR_S = 4.0
PATIENCE_S = 2.85
JOBS_PER_S = 8.0
LEADER_WRITES_PER_S = 4.0


class QueuedTable(MemoryTable):
    """Does the transactions of a part one after another; refuses a long queue."""

    def __init__(self, clock):
        super().__init__(clock)
        self._free_at_s = {}

    async def transact(self, transaction):
        part = part_of((transaction.checks or transaction.puts)[0].key)
        now_s = self._clock.monotonic()
        begin_s = max(now_s, self._free_at_s.get(part, 0.0))
        if begin_s - now_s > LONGEST_QUEUE_S:
            await self._clock.sleep(ANSWER_S)
            return Err(Unavailable("the part is busy"))
        self._free_at_s[part] = begin_s + TRANSACTION_S
        await self._clock.sleep(begin_s - now_s + TRANSACTION_S)
        result = self.commit(transaction)
        await self._clock.sleep(ANSWER_S)
        return result


async def write_as_leader(table, clock):
    """Renew and save progress without waiting for answers, as a leader does."""
    number = 0
    pending = []
    while clock.monotonic() < SLOW_FOR_S:
        number += 1
        put = Put("progress/x", str(number))
        write = table.transact(Transaction(f"l{number}", puts=(put,)))
        pending.append(asyncio.ensure_future(write))
        await clock.sleep(1 / LEADER_WRITES_PER_S)
    return await asyncio.gather(*pending)


@pytest.mark.parametrize("seed", range(5))
async def test_jobs_are_accepted_beside_the_leaders_writes(seed):
    rng = random.Random(seed)
    clock = ManualClock()
    table = QueuedTable(clock)
    desk = JobDesk(table, JobBoard(), clock, SilentLog())
    leader = asyncio.ensure_future(write_as_leader(table, clock))
    submits = []
    while clock.monotonic() < SLOW_FOR_S:
        job_id = f"{rng.getrandbits(64):016x}"
        request = JobRequest(job_id, "q", "team", "text", (Step(),), 0)
        submits.append(asyncio.ensure_future(desk.submit(request, PATIENCE_S)))
        await clock.advance(1 / JOBS_PER_S)
    while not leader.done() or not all(task.done() for task in submits):
        await clock.advance(0.05)
    accepted = sum(isinstance(task.result(), Accepted) for task in submits)
    assert accepted >= 0.9 * len(submits)
