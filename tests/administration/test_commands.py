"""Changes of the document through a process whose copy of it is old."""

from __future__ import annotations

import json

import pytest
from aiohttp.test_utils import make_mocked_request

from chiveledge.administration import OperatorCommands
from chiveledge.clock import ManualClock
from chiveledge.configuration import (
    ConfigurationReplica,
    change_configuration,
    read_configuration,
)
from chiveledge.configuration._change import make_versioned
from chiveledge.events import Timeline
from standins.table import MemoryTable
from tests.support import make_document


class FoundHosts:
    was_read = True


@pytest.fixture
async def table():
    """Return a store with two revisions; the second one added the workspace `new`."""
    clock = ManualClock()
    table = MemoryTable(clock)
    documents = (make_document(), make_document({"cafes": [], "new": []}))
    for expected, document in enumerate(documents):
        await change_configuration(
            table,
            clock,
            expected=expected,
            document=document,
            author="ann",
            write_id=f"w{expected}",
        )
    return table


def make_commands(table) -> OperatorCommands:
    """Return commands of a process whose reads of the store fail, at revision 1."""
    clock = ManualClock()
    unreadable = MemoryTable(clock)
    unreadable.faults.set({"down": True})
    timeline = Timeline("a", clock)
    replica = ConfigurationReplica(unreadable, clock, timeline, poll_s=1.0, stale_s=4.0)
    replica.apply(make_versioned(1, make_document(), "ann"))
    return OperatorCommands(
        table,
        replica,
        FoundHosts(),
        clock,
        timeline,
        lambda versioned: None,
        lambda document: [],
        lambda: None,
    )


def make_preset_request(preset: str, expected: int):
    return make_mocked_request(
        "PUT",
        f"/v1/admin/preset/{preset}",
        {"If-Match": f'"{expected}"'},
        match_info={"preset": preset},
    )


@pytest.mark.parametrize("expected", [1, 2])
async def test_change_of_preset_reverts_no_change_that_the_process_missed(
    table, expected
):
    commands = make_commands(table)
    response = await commands.put_preset(make_preset_request("peak", expected))
    assert response.status == (409 if expected == 1 else 503)
    current = (await read_configuration(table)).unwrap()
    assert current.revision == 2
    assert "new" in current.document.workspaces


async def test_preset_is_not_changed_from_a_document_older_than_expected(table):
    """The read is answered before the revision is committed that the operator sees."""
    commands = make_commands(table)
    commands._configuration._table = MemoryTable(ManualClock())
    response = await commands.put_preset(make_preset_request("peak", 2))
    assert response.status == 503
    assert (await read_configuration(table)).unwrap().revision == 2


async def test_unknown_preset_is_not_refused_by_old_document(table):
    commands = make_commands(table)
    response = await commands.put_preset(make_preset_request("new", 2))
    assert response.status == 503
    assert json.loads(response.text)["reason"] == "stale_configuration"
