"""Leadership races: at most one leader has effects, and takeover is bounded."""

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


class Race:
    """Challengers for one region on one table."""

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
        """Challenge and renew for ever, as a process does."""
        while True:
            if name not in self.paused:
                if leadership.epoch:
                    await leadership.renew()
                else:
                    await leadership.challenge()
            await self.clock.sleep(self.timing.leader_renew_s)

    async def clock_advance(self, work):
        task = asyncio.ensure_future(work)
        await self.clock.advance(STEP_S)
        return task.result()

    async def step_until(self, done, within_s):
        started_s = self.clock.monotonic()
        while not done():
            assert self.clock.monotonic() - started_s <= within_s
            await self.clock.advance(STEP_S)
        return self.clock.monotonic() - started_s


def run_race(work):
    async def run():
        race = Race()
        tasks = []

        def start(name, **options):
            leadership = race.make(name, **options)
            tasks.append(asyncio.ensure_future(race.run(name, leadership)))
            return leadership

        try:
            await work(race, start)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


async def commit_fenced(race, leadership, key):
    """Commit a row under the fence of a leader."""
    transaction = Transaction(
        f"w-{key}", checks=(leadership.fence,), puts=(Put(key, "x"),)
    )
    return await race.table.transact(transaction)


@pytest.mark.parametrize("challengers", [1, 2, 5])
def test_one_leader_of_many_challengers(challengers):
    async def work(race, start):
        all_of = [start(str(n), rank=min(n, 2)) for n in range(challengers)]
        for _ in range(100):
            await race.clock.advance(STEP_S)
            assert sum(leadership.valid for leadership in all_of) <= 1
        assert sum(leadership.valid for leadership in all_of) == 1

    run_race(work)


@pytest.mark.parametrize("rank", [0, 1])
@pytest.mark.parametrize("phase", range(9))
def test_takeover_is_bounded(rank, phase):
    async def work(race, start):
        first = start("a")
        await race.step_until(lambda: first.valid, 1.0)
        await race.clock.advance(phase * STEP_S)
        second = start("b", rank=rank)
        await race.clock.advance(3.0 + phase * STEP_S)
        race.paused.add("a")
        await race.step_until(lambda: second.valid, TAKEOVER_BOUND_S)
        assert not first.valid
        assert second.epoch == first.epoch + 1

    run_race(work)


def test_paused_leader_loses_before_another_leads_and_is_fenced():
    async def work(race, start):
        first, second = start("a"), start("b")
        await race.step_until(lambda: first.valid or second.valid, 1.0)
        old, new = (first, second) if first.valid else (second, first)
        race.paused.add("a" if old is first else "b")
        fence = old.fence
        await race.step_until(lambda: new.valid, TAKEOVER_BOUND_S)
        assert not old.valid
        late = Transaction("late", checks=(fence,), puts=(Put("job", "late"),))
        assert isinstance((await race.table.transact(late)).unwrap_err(), Conflict)
        race.paused.clear()
        await race.clock.advance(1.0)
        assert not old.epoch and new.valid

    run_race(work)


@pytest.mark.parametrize("outage_s", [0.5, 3.0, 30.0])
def test_store_outage_lets_nobody_act_and_heals(outage_s):
    async def work(race, start):
        all_of = [start("a"), start("b", rank=1)]
        await race.step_until(lambda: any(x.valid for x in all_of), 1.0)
        race.table.faults.set({"down": True})
        await race.clock.advance(outage_s)
        if outage_s > race.timing.leader_lease_s:
            assert not any(leadership.valid for leadership in all_of)
        race.table.faults.set({})
        await race.step_until(lambda: any(x.valid for x in all_of), TAKEOVER_BOUND_S)
        for _ in range(40):
            await race.clock.advance(STEP_S)
            assert sum(leadership.valid for leadership in all_of) <= 1

    run_race(work)


def test_leader_cut_off_from_the_store_is_replaced():
    async def work(race, start):
        class Cut:
            def __init__(self):
                self.cut = False

            def __getattr__(self, name):
                async def call(*arguments):
                    if self.cut:
                        return Err(Unsettled("cut"))
                    return await getattr(race.table, name)(*arguments)

                return call

        wire = Cut()
        first = start("a", table=wire)
        await race.step_until(lambda: first.valid, 1.0)
        second = start("b")
        await race.clock.advance(1.0)
        wire.cut = True
        await race.step_until(lambda: second.valid, TAKEOVER_BOUND_S)
        assert not first.valid
        wire.cut = False
        await race.clock.advance(1.0)
        assert second.valid and not first.epoch

    run_race(work)


def test_lost_reply_of_the_takeover_is_settled():
    async def work(race, start):
        race.table.faults.set({"lose_replies": 1})
        first = start("a")
        await race.step_until(lambda: first.valid, 1.0)
        assert first.epoch == 1
        assert (await commit_fenced(race, first, "job")).is_ok()

    run_race(work)


def test_holder_that_starts_again_takes_over_without_waiting():
    async def work(race, start):
        first = race.make("a")
        assert await race.clock_advance(first.challenge())
        again = race.make("a", rank=3)
        assert await race.clock_advance(again.challenge())
        assert again.epoch == first.epoch + 1
        other = race.make("b")
        assert not await race.clock_advance(other.challenge())

    run_race(work)


def test_strong_hosts_near_the_store_come_first():
    near, far = 0.006, 0.045
    ranks = [
        rank_candidate(near, 1.07, 100.0),
        rank_candidate(far, 1.07, 100.0),
        rank_candidate(near, 0.52, 100.0),
        rank_candidate(near, 0.52, 5.0),
    ]
    assert ranks == sorted(set(ranks))
