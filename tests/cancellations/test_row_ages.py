"""How long a leader knows a row."""

from __future__ import annotations

from chiveledge.cancellations import Cancellation, RowAges, digest_owner
from chiveledge.clock import ManualClock


def test_another_version_of_a_row_starts_its_age_anew():
    clock = ManualClock()
    ages = RowAges(clock)
    ages.record("a", 1)
    clock.jump(5.0)
    ages.record("a", 1)
    ages.record("b", 2)
    assert ages.list_older(5.0) == [("a", 1)]
    ages.record("a", 3)
    assert ages.list_older(5.0) == []
    assert ages.has("a", 3)
    assert not ages.has("a", 1)


def test_rows_that_are_gone_are_forgotten():
    ages = RowAges(ManualClock())
    for key in "abc":
        ages.record(key, 1)
    ages.discard(["a", "x"])
    ages.retain(["b"])
    assert ages.list_older(0.0) == [("b", 1)]


def test_cancellation_applies_to_the_jobs_of_its_owner():
    cancellation = Cancellation("j", digest_owner("cafes"))
    assert cancellation.applies_to("cafes")
    assert not cancellation.applies_to("roasters")
    assert not cancellation.applies_to("")
    assert Cancellation("j", "").applies_to("roasters")
