"""Decision on which connections are closed, without a network.

A crowd held all that it had sent, without a bound on bytes, connections or time.
"""

from __future__ import annotations

import random

import pytest

from chiveledge.http_limits import (
    HostResources,
    ListenerBudget,
    ReadBudget,
    Reason,
    RequestLimits,
)
from chiveledge.http_limits._budget import (
    BODY_COST,
    BODY_STALL_S,
    CONNECTION_BYTES,
    CONNECTION_MEMORY_SHARE,
    LARGE_MEMORY_SHARE,
    SMALL_BYTES,
)

LARGE = 100_000
MB = 1 << 20


def make_budget(connections=100, large_bytes=10 * LARGE):
    return ListenerBudget(connections, large_bytes, RequestLimits)


def start_request(budget, name, cost, now_s):
    """Open a connection and send it a part of a request."""
    account, _ = budget.open(name, now_s)
    closings = budget.receive(account, cost, now_s)
    budget.record_request(account, is_complete=False)
    return account, closings


def names(closings):
    return [(closing.account.connection, closing.reason) for closing in closings]


def test_stalled_request_is_closed_before_one_that_arrives():
    budget = make_budget()
    start_request(budget, "stalled", 2 * LARGE, 0.0)
    start_request(budget, "small and old", SMALL_BYTES, 0.0)
    start_request(budget, "larger and new", 4 * LARGE, 8.0)
    _, closings = start_request(budget, "arriving", 5 * LARGE, 9.0)
    assert names(closings) == [("stalled", Reason.TOTAL_BYTES)]


def test_small_requests_are_never_closed_for_bytes_of_others():
    budget = make_budget(connections=1000)
    small = [start_request(budget, n, SMALL_BYTES, 0.0)[0] for n in range(500)]
    for n in range(100):
        start_request(budget, f"large {n}", 7 * LARGE, float(n))
        assert not start_request(budget, f"ordinary {n}", SMALL_BYTES, float(n))[1]
    assert not any(account.is_closing for account in small)


def test_complete_requests_are_not_closed_for_others():
    budget = make_budget()
    accounts = []
    for n in range(2):
        account, _ = start_request(budget, n, 5 * LARGE, 0.0)
        budget.record_request(account, is_complete=True)
        accounts.append(account)
    _, closings = start_request(budget, "new", LARGE, 9.0)
    assert names(closings) == [("new", Reason.TOTAL_BYTES)]
    assert not any(account.is_closing for account in accounts)


def test_connection_over_its_share_is_closed():
    budget = make_budget()
    account, _ = start_request(budget, "a", 4 * LARGE, 0.0)
    closings = budget.receive(account, 4 * LARGE, 0.0)
    assert names(closings) == [("a", Reason.CONNECTION_BYTES)]


def test_bytes_of_closed_connections_count_until_they_are_gone():
    """Closing takes some rounds of the event loop, in which others go on to send."""
    budget = make_budget()
    account, _ = start_request(budget, "first", 7 * LARGE, 0.0)
    _, closings = start_request(budget, "second", 6 * LARGE, 0.0)
    assert names(closings) == [("first", Reason.TOTAL_BYTES)]
    _, closings = start_request(budget, "third", 5 * LARGE, 0.0)
    assert len(closings) == 2
    assert budget.connections == 0
    _, closings = start_request(budget, "fourth", LARGE, 0.0)
    assert names(closings) == [("fourth", Reason.TOTAL_BYTES)]
    budget.remove(account)
    assert budget.held_bytes == 12 * LARGE


def test_idle_connection_is_closed_first_and_the_one_idle_longest():
    budget = make_budget(connections=3)
    start_request(budget, "incomplete", 10, 0.0)
    answered, _ = start_request(budget, "answered", 10, 1.0)
    budget.open("idle", 2.0)
    budget.finish(answered, 3.0, is_idle=True)
    account, closings = budget.open("new", 4.0)
    assert names(closings) == [("idle", Reason.CONNECTIONS)]
    _, closings = budget.open("newer", 5.0)
    assert names(closings) == [("answered", Reason.CONNECTIONS)]
    budget.receive(account, 10, 5.0)
    budget.record_request(account, is_complete=False)
    _, closings = budget.open("newest", 5.0)
    assert names(closings) == [("newer", Reason.CONNECTIONS)]


def test_oldest_incomplete_request_makes_room_for_a_connection():
    budget = make_budget(connections=2)
    for n in range(2):
        start_request(budget, n, 10, float(n))
    assert names(budget.open("new", 5.0)[1]) == [(0, Reason.CONNECTIONS)]


def test_new_connection_is_refused_while_all_requests_are_complete():
    budget = make_budget(connections=2)
    for n in range(2):
        account, _ = start_request(budget, n, 10, 0.0)
        budget.record_request(account, is_complete=True)
    _, closings = budget.open("new", 5.0)
    assert names(closings) == [("new", Reason.CONNECTIONS)]
    assert budget.connections == 2


def test_empty_lines_count_as_a_head():
    budget = make_budget()
    limit = RequestLimits().head_bytes
    account, _ = budget.open("a", 0.0)
    assert not budget.record_head(account, limit, 0.0)
    closings = budget.record_head(account, 2, 0.0)
    assert names(closings) == [("a", Reason.HEAD_TOO_LARGE)]


def test_head_must_be_complete_in_time_and_body_must_go_on():
    budget = make_budget()
    head_s = RequestLimits().head_s
    slow_head, _ = budget.open("slow head", 0.0)
    body, _ = start_request(budget, "body", 10, 0.0)
    budget.open("idle", 0.0)
    now_s = 0.0
    while now_s < 2 * head_s:
        assert budget.expire(now_s) == [] or now_s > head_s
        if not slow_head.is_closing:
            budget.receive(slow_head, 1, now_s)
            budget.record_head(slow_head, 1, now_s)
        budget.receive(body, 1, now_s)
        now_s += 1.0
    assert slow_head.is_closing
    assert not body.is_closing
    closings = budget.expire(now_s + BODY_STALL_S)
    assert names(closings) == [("body", Reason.BODY_STALLED)]
    assert budget.connections == 1


def test_head_is_timed_from_its_own_start():
    """A pipelined head in two parts was closed for the age of the request before it."""
    budget = make_budget()
    account, _ = budget.open("a", 0.0)
    budget.receive(account, 10, 0.0)
    budget.record_request(account, is_complete=True)
    head_s = RequestLimits().head_s
    budget.receive(account, 10, head_s)
    budget.record_head(account, 10, head_s)
    assert budget.expire(head_s + 1.0) == []
    budget.receive(account, 10, head_s + 2.0)
    closings = budget.expire(2 * head_s + 1.0)
    assert names(closings) == [("a", Reason.HEAD_TOO_SLOW)]


def test_merged_body_costs_what_the_handler_keeps():
    budget = make_budget()
    account, _ = start_request(budget, "a", 6 * LARGE, 0.0)
    budget.record_merged(account, 1000)
    assert account.held_bytes == SMALL_BYTES + BODY_COST * 1000
    assert budget.receive(account, 6 * LARGE, 0.0) == []


def test_answered_request_costs_nothing_and_a_pipelined_one_its_own_bytes():
    budget = make_budget()
    account, _ = start_request(budget, "a", 5 * LARGE, 0.0)
    budget.finish(account, 1.0, is_idle=False)
    budget.receive(account, LARGE, 1.0)
    budget.finish(account, 2.0, is_idle=False)
    assert account.held_bytes == LARGE
    budget.finish(account, 3.0, is_idle=True)
    assert budget.held_bytes == 0


def test_pipelined_requests_count_until_each_is_answered():
    """The third one counted nothing once the first two were answered."""
    budget = make_budget()
    account, _ = budget.open("a", 0.0)
    for cost in (10, 20, LARGE):
        budget.receive(account, cost, 0.0)
        budget.record_request(account, is_complete=True, head_cost=10)
    held = []
    for is_idle in (False, False, True):
        budget.finish(account, 1.0, is_idle=is_idle)
        held.append(account.held_bytes)
    assert held == [LARGE + 20, LARGE, 0]
    budget.receive(account, 50, 2.0)
    budget.record_request(account, is_complete=True, head_cost=10, count=2)
    budget.receive(account, 7, 2.0)
    budget.record_head(account, 7, 2.0)
    budget.finish(account, 2.0, is_idle=False)
    assert account.held_bytes == 57
    budget.finish(account, 2.0, is_idle=False)
    assert account.held_bytes == 7


def test_connection_that_is_gone_counts_nothing_whatever_its_handler_does():
    """Its bytes would never be given back, and shut others out for good."""
    budget = make_budget()
    account, _ = start_request(budget, "a", 5 * LARGE, 0.0)
    budget.remove(account)
    budget.record_merged(account, 4 * LARGE)
    budget.finish(account, 1.0, is_idle=False)
    assert budget.held_bytes == 0
    assert start_request(budget, "b", 7 * LARGE, 2.0)[1] == []
    assert start_request(budget, "c", 3 * LARGE, 2.0)[1] == []


@pytest.mark.parametrize("memory_mb", [96, 160, 200, 552])
def test_largest_legal_request_fits_in_the_share_of_each_listener(memory_mb):
    resources = HostResources(memory_mb, 4100)
    for share in (2 / 16, 12 / 16):
        budget = ReadBudget(resources).add_listener("a", share, RequestLimits)
        account, _ = budget.open("a", 0.0)
        for _ in range(16):
            assert budget.receive(account, 16_384, 0.0) == []
            budget.record_merged(account, 16_384)


def test_parts_of_a_small_host_fit_in_its_memory():
    resources = HostResources(200, 4100)
    small = resources.connections * (CONNECTION_BYTES + SMALL_BYTES)
    assert small <= 200 * MB * CONNECTION_MEMORY_SHARE
    assert resources.large_bytes == 200 * MB * LARGE_MEMORY_SHARE
    assert 1800 < resources.connections <= (4100 - 200) / 2
    assert HostResources(200, 300).connections == 50


@pytest.mark.parametrize("seed", range(30))
def test_sums_stay_right_and_under_the_limits(seed):
    """A wrong sum would close ordinary connections for ever, or none."""
    rng = random.Random(seed)
    budget = make_budget(connections=30)
    accounts = []
    for step in range(2000):
        now_s = step / 10
        account = rng.choice(accounts) if accounts else None
        match rng.randrange(8 if account else 1):
            case 0:
                accounts.append(budget.open(step, now_s)[0])
            case 1 | 2 if not account.is_closing:
                budget.receive(account, rng.randrange(2 * LARGE), now_s)
                cost = rng.choice((None, LARGE // 10))
                is_complete = rng.random() < 0.5
                budget.record_request(account, is_complete=is_complete, head_cost=cost)
            case 3 if not account.is_closing:
                budget.record_merged(account, rng.randrange(LARGE))
            case 4:
                budget.finish(account, now_s, is_idle=rng.random() < 0.7)
            case 5:
                budget.remove(account)
                accounts.remove(account)
            case 6:
                budget.expire(now_s)
            case 7 if rng.random() < 0.2:
                budget.record_lost(account)
        kept = [a for a in budget._accounts.values() if a.held_bytes > SMALL_BYTES]
        live = sum(a.held_bytes for a in kept if not a.is_closing)
        closing = sum(a.held_bytes for a in kept if a.is_closing)
        assert (live, closing) == (budget._large_bytes, budget._closing_bytes)
        assert budget.connections == sum(
            not a.is_closing for a in budget._accounts.values()
        )
        assert budget.connections <= 30
    for account in accounts:
        budget.remove(account)
    sums = (budget._large_bytes, budget._closing_bytes, budget._closing)
    assert (sums, budget._accounts) == ((0, 0, 0), {})
