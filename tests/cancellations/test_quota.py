"""How many cancellations of unknown jobs a process stores."""

from __future__ import annotations

import pytest

from chiveledge.cancellations import RETENTION_S, CancellationQuota
from chiveledge.cancellations._quota import (
    MAX_STORED_ROWS,
    MIN_HOST_ROWS,
    WORKSPACE_SHARE,
)
from chiveledge.clock import ManualClock


def make_quota(hosts=MAX_STORED_ROWS):
    clock = ManualClock()
    return clock, CancellationQuota(clock, RETENTION_S, count_hosts=lambda: hosts)


def fill(quota, workspace, count):
    """Return how many of a workspace's cancellations are allowed."""
    return sum(quota.reserve(f"{n}", workspace) == 0 for n in range(count))


@pytest.mark.parametrize("hosts", [0, 1, 6, 97, 10**6])
def test_hosts_share_the_rows(hosts):
    _, quota = make_quota(hosts)
    rows = max(MAX_STORED_ROWS // max(hosts, 1), MIN_HOST_ROWS)
    for workspace in ("a", "b"):
        assert fill(quota, workspace, rows) == int(rows * WORKSPACE_SHARE)
    assert fill(quota, "c", 2) == rows % 2


def test_row_is_free_again_when_it_has_ended():
    clock, quota = make_quota()
    own_rows = int(MIN_HOST_ROWS * WORKSPACE_SHARE)
    assert fill(quota, "b", 1) == 1
    clock.jump(20.0)
    assert fill(quota, "a", own_rows) == own_rows
    clock.jump(50.0)
    assert quota.reserve("x", "a") == RETENTION_S - 50.0
    clock.jump(RETENTION_S - 50.0)
    assert quota.reserve("x", "a") == 0


def test_repeated_cancellation_takes_one_row_and_keeps_it_longer():
    clock, quota = make_quota()
    own_rows = int(MIN_HOST_ROWS * WORKSPACE_SHARE)
    assert fill(quota, "a", own_rows) == own_rows
    clock.jump(RETENTION_S / 2)
    assert fill(quota, "a", own_rows) == own_rows
    clock.jump(RETENTION_S / 2)
    assert quota.reserve("x", "a") == RETENTION_S / 2


def test_released_row_is_free():
    _, quota = make_quota()
    own_rows = int(MIN_HOST_ROWS * WORKSPACE_SHARE)
    assert fill(quota, "a", own_rows + 1) == own_rows
    quota.release("0", "a")
    quota.release("0", "a")
    assert quota.reserve("x", "a") == 0
    assert quota.reserve("y", "a") > 0
