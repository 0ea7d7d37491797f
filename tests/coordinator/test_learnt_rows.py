"""Rows with what leaders learnt: sizes, and rows that others wrote or that are bad."""

from __future__ import annotations

import json

import pytest

from chiveledge.coordinator._learnt_rows import (
    LearntFigures,
    decode_rows,
    encode_rows,
)
from chiveledge.coordinator._run_times import LearntAverage, LearntRunTimes
from chiveledge.placement import MachineSpeed
from chiveledge.services import Row

AVERAGE = LearntAverage(1.5, 0.25, 12.0)
SPEED = MachineSpeed(-0.25, 12)


def make_figures(machines, queues):
    return LearntFigures(
        {f"machine-{n}": SPEED for n in range(machines)},
        {f"queue-{n}": LearntRunTimes(AVERAGE, AVERAGE) for n in range(queues)},
    )


def make_rows(texts):
    return [Row(key, 1, text, "") for key, text in texts.items()]


@pytest.mark.parametrize("max_row_chars", [65_000, 2_000])
def test_largest_fleet_and_hundreds_of_queues_fit_into_rows(max_row_chars):
    figures = make_figures(810, 400)
    texts = encode_rows(figures, max_row_chars)
    assert max(len(text) for text in texts.values()) <= max_row_chars
    assert len(texts) < 60
    found = decode_rows(make_rows(texts))
    assert found.figures == figures
    assert found.unreadable == 0


def test_newest_entries_are_kept_if_not_all_fit():
    figures = make_figures(810, 0)
    found = decode_rows(make_rows(encode_rows(figures, 100))).figures.speeds
    assert 0 < len(found) < 810
    assert "machine-809" in found and "machine-0" not in found


def test_entry_longer_than_a_row_is_left_out():
    figures = LearntFigures({"m" * 200: SPEED, "a": SPEED}, {})
    assert decode_rows(make_rows(encode_rows(figures, 100))).figures.speeds == {
        "a": SPEED
    }


def test_queue_without_declared_times():
    figures = LearntFigures({}, {"q": LearntRunTimes(AVERAGE, None)})
    assert decode_rows(make_rows(encode_rows(figures, 100))).figures == figures


@pytest.mark.parametrize(
    "value",
    [
        "",
        "{",
        "[]",
        "null",
        "[" * 100_000,
        '{"a":NaN}',
        '{"a":' + "9" * 5000 + "}",
    ],
)
def test_row_that_cannot_be_decoded_is_left_out(value):
    rows = make_rows({"learnt/speeds~0": value, "learnt/run-times~0": value})
    found = decode_rows(rows)
    assert found.figures == LearntFigures({}, {})
    assert found.unreadable == 2


@pytest.mark.parametrize(
    "value",
    [
        None,
        {},
        [],
        [1],
        ["x", 1],
        [0.1, 0],
        [0.1, -1],
        [0.1, 1.5],
        [0.1, True],
        [1e300, 1],
        [0.1, 1, 1],
        [[0.1, 0.1, 0]],
        [[0.1, -0.1, 1]],
        [[900.0, 0.1, 1]],
        [[0.1, 0.1, 1], [0.1]],
        [[0.1, 0.1, 1], [0.1, 0.1, 1], [0.1, 0.1, 1]],
    ],
)
def test_bad_entry_does_not_hide_the_others(value):
    texts = encode_rows(make_figures(1, 1), 1000)
    entries = {key: json.loads(text) | {"x": value} for key, text in texts.items()}
    rows = make_rows({key: json.dumps(value) for key, value in entries.items()})
    found = decode_rows(rows)
    assert found.figures == make_figures(1, 1)
    assert found.unreadable == 2


def test_rows_of_later_versions_are_ignored():
    found = decode_rows(make_rows({"learnt/prices~0": "?", "learnt/other": "{}"}))
    assert found == (LearntFigures({}, {}), 0)
