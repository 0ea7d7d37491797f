"""Tests of which runs are stopped on a leaving worker, and when."""

from __future__ import annotations

import pytest

from chiveledge.placement import should_evacuate


@pytest.mark.parametrize(
    "leaves_s,remaining_s,saved,leave",
    [
        (5.0, 4.0, False, False),
        (5.0, 6.0, False, False),
        (5.0, 9.0, False, True),
        (5.0, 9.0, True, False),
        (1.4, 9.0, True, True),
        (1.4, 1.0, True, False),
        (0.0, 0.5, True, True),
    ],
)
def test_run_is_stopped_only_if_it_cannot_finish_before_worker_leaves(
    leaves_s, remaining_s, saved, leave
):
    assert should_evacuate(leaves_s, remaining_s, saved=saved, stop_s=0.9) is leave
