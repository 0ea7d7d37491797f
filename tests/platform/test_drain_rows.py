"""Drain requests of operators: which rows count, and how long they are relied on.

Guards against a drain that is missed, since its value can't be read or since it was
set and lifted within a moment, and against one that outlasts its row.
"""

from __future__ import annotations

import pytest

from chiveledge.platform._drain_rows import DRAIN_PREFIX
from chiveledge.platform._node import Node
from chiveledge.platform._operator_rows import OperatorRows
from chiveledge.services import Row
from tests.coordinator.cluster import RecordingLog
from tests.platform.test_settings import GOOD, load


def row(domain: str, value: str = "{}", version: int = 1) -> Row:
    return Row(DRAIN_PREFIX + domain, version, value, "")


@pytest.fixture
def log() -> RecordingLog:
    return RecordingLog()


@pytest.fixture
def rows(log) -> OperatorRows:
    return OperatorRows(log)


def list_events(log: RecordingLog) -> list[tuple[str, object]]:
    return [
        (event, fields.get("failure_domain", fields.get("key")))
        for part, event, fields in log.lines
        if part == "drains"
    ]


def test_rows_set_and_lift_drains(rows, log):
    rows.apply_changes([row("a"), row("b")], (), True)
    assert rows.drains.keys() == {"a", "b"}
    rows.apply_changes([row("b", version=2)], (), False)
    rows.apply_changes([], [DRAIN_PREFIX + "a", DRAIN_PREFIX + "c"], False)
    assert rows.drains.keys() == {"b"}
    assert list_events(log) == [("set", "a"), ("set", "b"), ("lifted", "a")]


def test_snapshot_replaces_drains(rows, log):
    """After a lost history, a lifted drain shows only in its absence."""
    rows.apply_changes([row("a"), row("b")], (), True)
    rows.apply_changes([row("b"), row("c")], (), True)
    assert rows.drains.keys() == {"b", "c"}
    assert list_events(log)[2:] == [("lifted", "a"), ("set", "c")]


@pytest.mark.parametrize("value", ["", "[", "null", "9" * 5000, '{"zone": "other"}'])
def test_key_names_the_domain_of_an_odd_row(rows, log, value):
    rows.apply_changes([row("a", value)], (), False)
    assert rows.drains.keys() == {"a"}
    rows.apply_changes([], [DRAIN_PREFIX + "a"], False)
    assert not rows.drains


def test_row_without_a_domain_drains_nothing(rows):
    """Workers of an unknown domain have an empty one."""
    rows.apply_changes([row("")], (), True)
    assert not rows.drains


def test_drain_that_is_lifted_and_set_again_at_once(rows, log):
    rows.apply_changes([row("a")], (), False)
    rows.apply_changes([row("a", version=3)], [DRAIN_PREFIX + "a"], False)
    assert rows.drains.keys() == {"a"}
    assert list_events(log) == [("set", "a"), ("lifted", "a"), ("set", "a")]


def test_other_rows_are_not_touched(rows, log):
    rows.apply_changes([row("a"), Row("op/wave/1", 1, "{", "")], (), True)
    assert log.find("upkeep", "unreadable")
    assert rows.drains.keys() == {"a"}


async def test_bound_of_a_drain_limits_the_age(tmp_path):
    bounds = GOOD["bounds"] | {"evac_ms": 5000}
    node = Node(load(tmp_path, GOOD | {"bounds": bounds}).unwrap(), None)
    node._make_followers(None)
    known = node._get_drains()
    assert known.max_age_s == 3.5
    assert not known.is_current, "nothing was read yet"
    assert not known.may_start_in("a")


async def test_without_a_bound_the_age_is_not_limited(tmp_path):
    settings = load(tmp_path, GOOD).unwrap()
    assert settings.bounds.drain_apply_s is None
    node = Node(settings, None)
    node._make_followers(None)
    assert node._get_drains().may_start_in("a")


def test_odd_bound_is_an_error_that_names_it(tmp_path):
    bounds = GOOD["bounds"] | {"evac_ms": "soon"}
    error = load(tmp_path, GOOD | {"bounds": bounds}).unwrap_err()
    assert error.field == "bounds.evac_ms"
