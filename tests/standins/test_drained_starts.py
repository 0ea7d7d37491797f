"""Which starts the record of the stand-in workers reports as in a drained domain."""

from __future__ import annotations

import pytest

from chiveledge.services.task_worker import StartOrder
from standins.run_record import FleetRecord, Span

BOUND_S = 3.0


def make_record(started_s, *, is_late=False):
    record = FleetRecord(domains={"w": "a", "v": "b"})
    order = StartOrder("j.0.0.0", 1, "", 0, 1)
    record.start(order, "w", started_s, is_late=is_late)
    return record


@pytest.mark.parametrize(
    "started_s,given_back_s,found",
    [(9.0, 20.0, False), (12.9, 20.0, False), (13.1, 20.0, True), (13.1, 13.0, False)],
)
def test_start_counts_between_the_bound_and_the_end_of_the_drain(
    started_s, given_back_s, found
):
    record = make_record(started_s)
    record.start_drain("a", 10.0)
    record.end_drain("a", given_back_s)
    assert bool(record.list_starts_in_drained(BOUND_S)) is found


def test_domain_that_is_drained_again_has_its_time_anew():
    record = make_record(14.0)
    for start_s, end_s in ((10.0, 11.5), (12.0, 20.0)):
        record.start_drain("a", start_s)
        record.end_drain("a", end_s)
    assert not record.list_starts_in_drained(BOUND_S)


def test_request_that_is_repeated_keeps_its_time():
    record = make_record(14.0)
    record.start_drain("a", 10.0)
    record.start_drain("a", 13.0)
    assert record.list_starts_in_drained(BOUND_S)


@pytest.mark.parametrize("pause,found", [(Span(10, 12), False), (Span(4, 9), True)])
def test_time_of_a_suspended_process_does_not_count(pause, found):
    record = make_record(14.0)
    record.start_drain("a", 10.0)
    record.pauses.append(pause)
    assert bool(record.list_starts_in_drained(BOUND_S)) is found


def test_other_domains_and_late_orders_do_not_count():
    record = make_record(14.0, is_late=True)
    record.start_drain("a", 10.0)
    record.start_drain("b", 1.0)
    assert not record.list_starts_in_drained(BOUND_S)
