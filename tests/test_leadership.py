"""Leader election: at most one valid leader at any time, and bounded takeover."""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from chiveledge.clock import ManualClock
from chiveledge.events import Timeline
from chiveledge.leadership import Leadership, rank_candidate
from chiveledge.services import Conflict, Put, Transaction, Unsettled
from chiveledge.settings import TimingSettings
from standins.table import MemoryTable

REGION = "honam"
TAKEOVER_BOUND_S = 2.0
STEP_S = 0.05


class Election:
    """Candidates for the leadership of one region, on one table."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.timing = TimingSettings()
        self.timeline = Timeline("test", self.clock)
        self.paused = set()

    def make(self, name, rank=0, table=None):
        return Leadership(
            REGION,
            name,
            table or self.table,
            self.clock,
            self.timeline,
            self.timing,
            standby_rank=rank,
        )

    async def run(self, name, leadership):
        """Challenge or renew until cancelled, as a process does."""
        while True:
            if name not in self.paused:
                if leadership.epoch:
                    await leadership.renew()
                else:
                    await leadership.challenge()
            await self.clock.sleep(self.timing.leader_renew_s)

    async def run_one_step(self, awaitable):
        task = asyncio.ensure_future(awaitable)
        await self.clock.advance(STEP_S)
        return task.result()

    async def step_until(self, condition, within_s):
        started_s = self.clock.monotonic()
        while not condition():
            assert self.clock.monotonic() - started_s <= within_s
            await self.clock.advance(STEP_S)
        return self.clock.monotonic() - started_s


def run_election(scenario):
    async def run():
        election = Election()
        tasks = []

        def start(name, **options):
            leadership = election.make(name, **options)
            tasks.append(asyncio.ensure_future(election.run(name, leadership)))
            return leadership

        try:
            await scenario(election, start)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


async def commit_fenced(election, leadership, key):
    """Commit a row with the version check of a leader."""
    transaction = Transaction(
        f"w-{key}", checks=(leadership.fence,), puts=(Put(key, "x"),)
    )
    return await election.table.transact(transaction)


@pytest.mark.parametrize("challengers", [1, 2, 5])
def test_at_most_one_of_many_candidates_leads(challengers):
    async def scenario(election, start):
        candidates = [start(str(n), rank=min(n, 2)) for n in range(challengers)]
        for _ in range(100):
            await election.clock.advance(STEP_S)
            assert sum(leadership.valid for leadership in candidates) <= 1
        assert sum(leadership.valid for leadership in candidates) == 1

    run_election(scenario)


@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("phase", range(9))
def test_takeover_is_bounded(rank, phase):
    async def scenario(election, start):
        first = start("a")
        await election.step_until(lambda: first.valid, 1.0)
        await election.clock.advance(phase * STEP_S)
        second = start("b", rank=rank)
        await election.clock.advance(3.0 + phase * STEP_S)
        election.paused.add("a")
        await election.step_until(lambda: second.valid, TAKEOVER_BOUND_S)
        assert not first.valid
        assert second.epoch == first.epoch + 1

    run_election(scenario)


def test_paused_leader_is_invalid_before_another_leads_and_is_fenced():
    async def scenario(election, start):
        first, second = start("a"), start("b")
        await election.step_until(lambda: first.valid or second.valid, 1.0)
        old, new = (first, second) if first.valid else (second, first)
        election.paused.add("a" if old is first else "b")
        fence = old.fence
        await election.step_until(lambda: new.valid, TAKEOVER_BOUND_S)
        assert not old.valid
        late = Transaction("late", checks=(fence,), puts=(Put("job", "late"),))
        assert isinstance((await election.table.transact(late)).unwrap_err(), Conflict)
        election.paused.clear()
        await election.clock.advance(1.0)
        assert not old.epoch and new.valid

    run_election(scenario)


@pytest.mark.parametrize("outage_s", [0.5, 3.0, 30.0])
def test_lease_lapses_in_a_store_outage_and_one_leads_after_it(outage_s):
    async def scenario(election, start):
        candidates = [start("a"), start("b", rank=1)]
        await election.step_until(lambda: any(x.valid for x in candidates), 1.0)
        election.table.faults.set({"down": True})
        await election.clock.advance(outage_s)
        if outage_s > election.timing.leader_lease_s:
            assert not any(leadership.valid for leadership in candidates)
        election.table.faults.set({})
        await election.step_until(
            lambda: any(x.valid for x in candidates), TAKEOVER_BOUND_S
        )
        for _ in range(40):
            await election.clock.advance(STEP_S)
            assert sum(leadership.valid for leadership in candidates) <= 1

    run_election(scenario)


def test_leader_partitioned_from_the_store_is_replaced():
    async def scenario(election, start):
        class PartitionedTable:
            def __init__(self):
                self.cut = False

            def __getattr__(self, name):
                async def call(*arguments):
                    if self.cut:
                        return Err(Unsettled("cut"))
                    return await getattr(election.table, name)(*arguments)

                return call

        partitioned = PartitionedTable()
        first = start("a", table=partitioned)
        await election.step_until(lambda: first.valid, 1.0)
        second = start("b")
        await election.clock.advance(1.0)
        partitioned.cut = True
        await election.step_until(lambda: second.valid, TAKEOVER_BOUND_S)
        assert not first.valid
        partitioned.cut = False
        await election.clock.advance(1.0)
        assert second.valid and not first.epoch

    run_election(scenario)


def test_takeover_succeeds_although_its_reply_is_lost():
    async def scenario(election, start):
        election.table.faults.set({"lose_replies": 1})
        first = start("a")
        await election.step_until(lambda: first.valid, 1.0)
        assert first.epoch == 1
        assert (await commit_fenced(election, first, "job")).is_ok()

    run_election(scenario)


def test_restarted_holder_takes_over_without_waiting_for_the_lease():
    async def scenario(election, start):
        first = election.make("a")
        assert await election.run_one_step(first.challenge())
        restarted = election.make("a", rank=3)
        assert await election.run_one_step(restarted.challenge())
        assert restarted.epoch == first.epoch + 1
        other = election.make("b")
        assert not await election.run_one_step(other.challenge())

    run_election(scenario)


def test_fast_hosts_near_the_store_rank_first():
    near, far = 0.006, 0.045
    ranks = [
        rank_candidate(near, 1.07, 100.0),
        rank_candidate(far, 1.07, 100.0),
        rank_candidate(near, 0.52, 100.0),
        rank_candidate(near, 0.52, 5.0),
    ]
    assert ranks == sorted(set(ranks))
