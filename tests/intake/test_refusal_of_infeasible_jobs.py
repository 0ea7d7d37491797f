"""A repeated submission that is refused, while the first one is still on its way.

The caller was told that the job is not stored, and it was stored a little later.
"""

from __future__ import annotations

import pytest

from chiveledge.intake import (
    Accepted,
    Infeasible,
    JobStore,
    NotFound,
    NotStored,
    UnknownOutcome,
    Withdrawn,
)
from tests.intake.test_cancel_before_submission import JOB_ID, REQUEST, Fate, Service

REASON = "steps[0]: ask for fewer"
LATE = (Fate.LATE, Fate.NEVER, Fate.NEVER, Fate.NEVER)


def make_service(*fates: Fate) -> Service:
    """Return a service whose second process holds the job to be infeasible."""
    service = Service(*fates)
    service.second._explain_infeasible = lambda _: REASON
    return service


async def test_submission_performed_after_a_repeated_one_was_refused_is_not_stored():
    service = make_service(*LATE)
    assert isinstance(await service.submit(service.first), UnknownOutcome)
    assert await service.submit(service.second) == Infeasible(REASON)
    service.table.perform_late()
    assert not service.has_job


async def test_refused_job_is_accepted_once_it_is_feasible():
    """Its ID is not used up, and what was sent before the refusal changes nothing."""
    service = make_service(*LATE)
    assert isinstance(await service.submit(service.first), UnknownOutcome)
    service.table.fates.clear()
    assert await service.submit(service.second) == Infeasible(REASON)
    assert await service.submit(service.second) == Infeasible(REASON)
    assert await service.submit(service.first) == Accepted()
    assert not service.has_cancel
    service.table.perform_late()
    assert await service.submit(service.first) == Accepted(repeated=True)
    assert await service.submit(service.second) == Accepted(repeated=True)


async def test_job_stored_between_the_reads_of_a_refusal_and_its_write_is_accepted():
    service = make_service(*LATE)
    assert isinstance(await service.submit(service.first), UnknownOutcome)
    service.table.fates.clear()
    service.table.performs_late_before_cancel = True
    assert await service.submit(service.second) == Accepted(repeated=True)


@pytest.mark.parametrize("refused_first", [False, True])
async def test_cancel_holds_whether_the_job_was_refused_before_or_after(refused_first):
    service = make_service()
    if refused_first:
        assert await service.submit(service.second) == Infeasible(REASON)
    assert await service.cancel(service.first) == NotFound()
    assert isinstance(await service.submit(service.second), Withdrawn)
    assert isinstance(await service.submit(service.first), Withdrawn)


async def test_refusal_whose_answer_was_lost_is_answered():
    service = make_service()
    perform = service.table.transact
    sends = []

    async def lose_first(transaction):
        sends.append(transaction)
        result = await perform(transaction)
        if len(sends) == 1:
            await service.clock.sleep(60.0)
        return result

    service.table.transact = lose_first
    assert await service.submit(service.second) == Infeasible(REASON)
    assert len(sends) == 2


async def test_job_is_not_called_infeasible_before_that_is_stored():
    service = make_service()
    service.table.faults.down = True
    assert isinstance(await service.submit(service.second), NotStored)
    assert await read(service.first, service) == UnknownOutcome(
        "Unavailable(reason='down')"
    )


async def read(store: JobStore, service: Service):
    return await service.call(store.read(JOB_ID))


async def test_infeasible_job_is_refused_beyond_the_bound_of_stored_rows(monkeypatch):
    service = make_service()
    monkeypatch.setattr(service.second._quota, "reserve", lambda *_: 1.0)
    assert await service.submit(service.second) == Infeasible(REASON)
    assert not service.has_cancel
    assert await service.submit(service.first) == Accepted()
    repeated = REQUEST._replace(payload="other")
    assert await service.submit(service.second, repeated) == Accepted(repeated=True)
