"""Orders that workers leave unanswered and carry out late."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from chiveledge.clock import ManualClock
from chiveledge.coordinator._hedged_orders import HEDGE_DELAY_S, send_hedged
from chiveledge.services import Unavailable, Unsettled
from chiveledge.services.task_worker import Declined, DeclineReason, OrderAccepted
from chiveledge.workload import JobState, Step, Usage

ACCEPTED = Ok(OrderAccepted(1))
NO_ANSWER = Err(Unsettled("no reply"))
DECLINED = Err(Declined(DeclineReason.NO_CAPACITY))
REFUSED = Err(Unavailable("refused"))
WHOLE_WORKER = Usage(1000, 1000, 8)


async def send(*answers, may_repeat=lambda: True):
    """Send an order whose copies get these answers after these times."""
    clock = ManualClock()
    copies = iter(answers)
    sent = []

    async def send_copy():
        delay_s, result = next(copies)
        sent.append(clock.monotonic())
        await clock.sleep(delay_s)
        return result

    task = asyncio.create_task(send_hedged(clock, send_copy, may_repeat))
    while not task.done():
        await clock.advance(0.01)
    return task.result(), len(sent), clock.monotonic()


@pytest.mark.parametrize(
    "answers,result,copies,unanswered",
    [
        ([(0.1, ACCEPTED)], ACCEPTED, 1, False),
        ([(0.1, REFUSED)], REFUSED, 1, False),
        ([(0.8, NO_ANSWER), (0.1, ACCEPTED)], ACCEPTED, 2, True),
        ([(0.3, ACCEPTED), (0.8, NO_ANSWER)], ACCEPTED, 2, True),
        ([(0.8, NO_ANSWER), (0.1, DECLINED)], DECLINED, 2, True),
        ([(0.8, NO_ANSWER), (0.1, REFUSED)], NO_ANSWER, 2, True),
        ([(0.8, NO_ANSWER), (0.8, NO_ANSWER)], NO_ANSWER, 2, True),
    ],
)
async def test_first_answer_of_two_copies_counts(answers, result, copies, unanswered):
    answer, sent, _ = await send(*answers)
    assert (answer.result, sent, answer.unanswered) == (result, copies, unanswered)


@pytest.mark.parametrize("result", [ACCEPTED, NO_ANSWER])
async def test_copy_that_may_not_be_sent_any_more_is_not_sent(result):
    """The copy would have been sent after a drain of the worker's domain was known."""
    answer, sent, took_s = await send((0.8, result), may_repeat=lambda: False)
    assert (answer.result, sent, answer.unanswered) == (result, 1, False)
    assert took_s >= 0.8


async def test_answer_of_the_copy_is_not_held_up_by_the_first():
    _, _, took_s = await send((0.8, NO_ANSWER), (0.05, ACCEPTED))
    assert took_s <= HEDGE_DELAY_S + 0.1


async def test_gang_with_a_member_whose_start_is_late_begins_soon(make_cluster):
    """The start was repeated after 0.8 s only, while the other members waited."""
    cluster = make_cluster(workers=4)
    await cluster.advance(0.5)
    cluster.workers["w1"].faults.late_starts = 1
    cluster.workers["w1"].faults.late_start_delay_s = 6.0
    gang = Step(count=4, usage=WHOLE_WORKER, gang=True)
    await cluster.submit("g1", gang, queue="urgent", work_s=1.0)
    began_s = cluster.clock.monotonic()
    while cluster.state("g1") is not JobState.COMPLETED:
        await cluster.advance(0.05)
        assert cluster.clock.monotonic() - began_s < 1.0 + HEDGE_DELAY_S + 0.2
    await cluster.advance(8.0)
    assert not cluster.double_runs
