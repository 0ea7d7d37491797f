"""How long a run may make no progress before it is given up."""

from __future__ import annotations

import pytest

from chiveledge.placement import MIN_STALL_S, find_stall_timeout_s


@pytest.mark.parametrize("expected_s", [0.0, 1.0, 4.0])
def test_short_runs_get_the_shortest_time(expected_s):
    timeout_s = find_stall_timeout_s(expected_s, 0, lone=False, lone_timeout_s=3.0)
    assert timeout_s == MIN_STALL_S


def test_member_that_may_wait_for_others_gets_at_least_the_time_for_that():
    assert find_stall_timeout_s(2.0, 0, lone=True, lone_timeout_s=3.0) == 3.0
    assert find_stall_timeout_s(40.0, 0, lone=True, lone_timeout_s=3.0) == 10.0


@pytest.mark.parametrize("actual_s", [10.0, 300.0, 7200.0])
def test_run_with_a_far_too_short_estimate_is_left_alone_in_the_end(actual_s):
    """Each run that is given up doubles the time, until a percent fits into it."""
    percent_s = actual_s / 100
    stalls = 0
    while find_stall_timeout_s(1.0, stalls, lone=True, lone_timeout_s=3.0) < percent_s:
        stalls += 1
    assert stalls <= 5
