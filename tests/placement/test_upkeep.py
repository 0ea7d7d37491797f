"""Which machines come first in a wave, and how long their work may go on."""

from __future__ import annotations

import pytest

from chiveledge.placement import choose_next, find_patience_s
from chiveledge.services.machines import Wave


@pytest.mark.parametrize("slots,chosen", [(-1, []), (0, []), (2, ["c", "a"])])
def test_machines_with_least_to_lose_come_first(slots, chosen):
    assert choose_next({"a": 2.0, "b": 9.0, "c": 0.0}, slots) == chosen


@pytest.mark.parametrize("most_down,patience_s", [(1, 1.1), (2, 6.1), (4, 16.1)])
def test_each_round_has_an_even_part_of_the_time(most_down, patience_s):
    wave = Wave(1, ("a", "b", "c", "d"), 20.0, most_down)
    assert find_patience_s(wave, upkeep_s=2.0, stop_s=0.9) == patience_s


def test_a_wave_without_time_stops_at_once():
    assert find_patience_s(Wave(1, ("a", "b"), 1.0, 1), 2.0, 0.9) == 0.0
