"""Submissions and leader writes while the table service is 72 times slower.

Transactions of one part are serialized and a long queue is refused, so submissions in
the part of the leader's writes would time out.
"""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Err

from chiveledge.clock import ManualClock
from chiveledge.decision_log import NullLog
from chiveledge.intake import Accepted, JobStatusCache, JobStore
from chiveledge.services import Put, Transaction, Unavailable, parse_part
from chiveledge.workload import JobRequest, Step
from standins.table import MemoryTable

TRANSACTION_S = 0.36
"""Duration of a transaction that usually takes 5 ms."""

REPLY_DELAY_S = 0.29
MAX_QUEUE_S = 1.0
DURATION_S = 4.0
SUBMIT_TIMEOUT_S = 2.85
JOBS_PER_S = 8.0
LEADER_WRITES_PER_S = 4.0


class QueuedTable(MemoryTable):
    """Serializes the transactions of a part and refuses them if its queue is long."""

    def __init__(self, clock):
        super().__init__(clock)
        self._free_at_s = {}

    async def transact(self, transaction):
        part = parse_part((transaction.checks or transaction.puts)[0].key)
        now_s = self._clock.monotonic()
        start_s = max(now_s, self._free_at_s.get(part, 0.0))
        if start_s - now_s > MAX_QUEUE_S:
            await self._clock.sleep(REPLY_DELAY_S)
            return Err(Unavailable("the part is busy"))
        self._free_at_s[part] = start_s + TRANSACTION_S
        await self._clock.sleep(start_s - now_s + TRANSACTION_S)
        result = self.commit(transaction)
        await self._clock.sleep(REPLY_DELAY_S)
        return result


async def write_as_leader(table, clock):
    """Write progress rows at a constant rate without waiting for replies."""
    number = 0
    pending = []
    while clock.monotonic() < DURATION_S:
        number += 1
        put = Put("progress/x", str(number))
        write = table.transact(Transaction(f"l{number}", puts=(put,)))
        pending.append(asyncio.ensure_future(write))
        await clock.sleep(1 / LEADER_WRITES_PER_S)
    return await asyncio.gather(*pending)


@pytest.mark.parametrize("seed", range(5))
async def test_submissions_are_accepted_despite_leader_writes(seed):
    rng = random.Random(seed)
    clock = ManualClock()
    table = QueuedTable(clock)
    jobs = JobStore(table, JobStatusCache(NullLog()), clock, NullLog(), 65_536)
    leader = asyncio.ensure_future(write_as_leader(table, clock))
    submits = []
    while clock.monotonic() < DURATION_S:
        job_id = f"{rng.getrandbits(64):016x}"
        request = JobRequest(job_id, "q", "team", "text", (Step(),), 0)
        submits.append(asyncio.ensure_future(jobs.submit(request, SUBMIT_TIMEOUT_S)))
        await clock.advance(1 / JOBS_PER_S)
    while not leader.done() or not all(task.done() for task in submits):
        await clock.advance(0.05)
    accepted = sum(isinstance(task.result(), Accepted) for task in submits)
    assert accepted >= 0.9 * len(submits)
