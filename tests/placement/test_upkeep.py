"""Tests of the order of machines in a wave and of their drain timeout."""

from __future__ import annotations

import pytest

from chiveledge.placement import choose_next_machines, find_drain_timeout_s
from chiveledge.services.machines import Wave


@pytest.mark.parametrize("slots,chosen", [(-1, []), (0, []), (2, ["c", "a"])])
def test_machines_with_least_loss_come_first(slots, chosen):
    assert choose_next_machines({"a": 2.0, "b": 9.0, "c": 0.0}, slots) == chosen


@pytest.mark.parametrize("most_down,timeout_s", [(1, 1.1), (2, 6.1), (4, 16.1)])
def test_time_of_wave_is_divided_evenly_between_rounds(most_down, timeout_s):
    wave = Wave(1, ("a", "b", "c", "d"), 20.0, most_down)
    assert find_drain_timeout_s(wave, upkeep_s=2.0, stop_s=0.9) == timeout_s


def test_drain_timeout_is_zero_if_wave_has_too_little_time():
    assert find_drain_timeout_s(Wave(1, ("a", "b"), 1.0, 1), 2.0, 0.9) == 0.0
