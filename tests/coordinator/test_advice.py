"""Tests of requesting and caching tickets of the advice service."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from chiveledge.clock import ManualClock
from chiveledge.coordinator import Advice
from chiveledge.coordinator._advice import (
    BATCH_WORKERS,
    Candidate,
    TicketCache,
)
from chiveledge.decision_log import NullLog
from chiveledge.services import Unavailable


class AdviceStub:
    """An advice service that allows workers with even numbers."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.calls: list[tuple[str, tuple[str, ...]]] = []
        self.busy = False
        self.tickets = TicketCache(self, self.clock, NullLog(), asyncio.Event())

    async def fetch_tickets(self, step_name, workers):
        self.calls.append((step_name, workers))
        await self.clock.sleep(0.1)
        if self.busy:
            return Err(Unavailable("429"))
        good = {name: f"t-{name}" for name in workers if int(name[1:]) % 2 == 0}
        return Ok(Advice(good, 3.0))


def candidates(count: int, incarnation_ms: int = 1) -> list[Candidate]:
    return [Candidate(f"w{number}", incarnation_ms) for number in range(count)]


async def run_for(stub: AdviceStub, seconds: float) -> None:
    task = asyncio.ensure_future(stub.tickets.run())
    await stub.clock.advance(seconds)
    task.cancel()


async def test_tickets_are_requested_in_batches_and_once():
    stub = AdviceStub()
    stub.tickets.set_wanted({"j.0.0": candidates(50)})
    await run_for(stub, 1.0)
    assert [len(workers) for _, workers in stub.calls] == [BATCH_WORKERS, 20]
    assert len(stub.tickets.find_allowed("j.0.0", candidates(50))) == 25
    assert stub.tickets.find_ticket("j.0.0", "w2", 1) == "t-w2"
    assert stub.tickets.find_ticket("j.0.0", "w3", 1) == ""


async def test_ticket_expires_and_is_void_for_a_restarted_worker():
    stub = AdviceStub()
    stub.tickets.set_wanted({"j.0.0": candidates(2)})
    await run_for(stub, 0.5)
    assert stub.tickets.find_ticket("j.0.0", "w0", incarnation_ms=2) == ""
    stub.clock.jump(3.0)
    assert stub.tickets.find_ticket("j.0.0", "w0", 1) == ""
    await run_for(stub, 0.6)
    assert stub.calls[-1] == ("j.0.0", ("w0",))
    assert stub.tickets.find_ticket("j.0.0", "w0", 1) == "t-w0"


async def test_busy_service_is_called_again_after_a_pause():
    stub = AdviceStub()
    stub.busy = True
    stub.tickets.set_wanted({"j.0.0": candidates(2)})
    await run_for(stub, 3.0)
    assert 3 < len(stub.calls) < 12
    assert stub.tickets.find_allowed("j.0.0", candidates(2)) == frozenset()


async def test_discarded_steps_are_not_cached():
    stub = AdviceStub()
    stub.tickets.set_wanted({"j.0.0": candidates(2)})
    await run_for(stub, 0.5)
    stub.tickets.discard_steps(["j.0.0"])
    assert stub.tickets.cached_steps() == []


class StubThatFailsOn(AdviceStub):
    """An advice service that fails on each call about one step."""

    def __init__(self, step_name: str) -> None:
        super().__init__()
        self.failing_step = step_name

    async def fetch_tickets(self, step_name, workers):
        self.busy = step_name == self.failing_step
        return await super().fetch_tickets(step_name, workers)


async def test_step_on_which_the_service_fails_does_not_hold_up_the_others():
    # Its call was repeated for ever before that of any step behind it.
    stub = StubThatFailsOn("j1.0.0")
    stub.tickets.set_wanted({"j1.0.0": candidates(2), "j2.0.0": candidates(2)})
    await run_for(stub, 2.0)
    assert stub.tickets.find_allowed("j2.0.0", candidates(2)) == {"w0"}


async def test_step_on_which_the_service_fails_is_asked_about_less_and_less_often():
    # A service that breaks on one step was called about it 4 times a second.
    stub = StubThatFailsOn("j1.0.0")
    stub.tickets.set_wanted({"j1.0.0": candidates(2), "j2.0.0": candidates(2)})
    await run_for(stub, 60.0)
    stub.calls.clear()
    await run_for(stub, 64.0)  # twice the longest pause
    assert 0 < [step for step, _ in stub.calls].count("j1.0.0") <= 3


async def test_outage_of_the_service_makes_no_step_wait_longer():
    stub = AdviceStub()
    stub.busy = True
    wanted = {f"j{number}.0.0": candidates(2) for number in range(3)}
    stub.tickets.set_wanted(wanted)
    await run_for(stub, 30.0)
    stub.busy = False
    await run_for(stub, 3.0)
    for step_name in wanted:
        assert stub.tickets.find_allowed(step_name, candidates(2)) == {"w0"}


async def test_tickets_that_have_expired_on_arrival_do_not_hold_up_other_steps():
    # They were requested again at once, without a pause, for ever.
    class ExpiringStub(AdviceStub):
        async def fetch_tickets(self, step_name, workers):
            answer = await super().fetch_tickets(step_name, workers)
            if step_name != "j1.0.0":
                return answer
            return Ok(answer.unwrap()._replace(valid_s=0.2))

    stub = ExpiringStub()
    stub.tickets.set_wanted({"j1.0.0": candidates(2), "j2.0.0": candidates(2)})
    await run_for(stub, 2.0)
    assert stub.tickets.find_allowed("j2.0.0", candidates(2)) == {"w0"}
    assert len(stub.calls) < 12
