"""A process whose document is stale refuses nobody by it, and lets nobody in.

Revoked tokens worked, and new workspaces and kinds were refused as unknown, for as long
as a process had lost contact with the store and the other processes.
"""

from __future__ import annotations

import json

import pytest
from aiohttp.test_utils import make_mocked_request

from chiveledge.clock import ManualClock
from chiveledge.configuration import ConfigurationReplica
from chiveledge.configuration._change import make_versioned
from chiveledge.events import Timeline
from chiveledge.gateway._admission import check_request, check_workspace
from standins.table import MemoryTable
from tests.support import make_document

STALE_S = 4.0
WORKSPACE = "cafes"
CALLER = {
    "Chiveledge-Workspace": WORKSPACE,
    "Authorization": f"Bearer {WORKSPACE}-token",
}


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
async def replica(clock):
    replica = ConfigurationReplica(
        MemoryTable(clock), clock, Timeline("a", clock), poll_s=1.0, stale_s=STALE_S
    )
    replica.set_process_count(5)
    replica.apply(make_versioned(1, make_document(), "ann"))
    replica.record_peer_revision("peer", 1, 0.0)
    return replica


def make_request(headers, kind="order"):
    return make_mocked_request(
        "POST", f"/v1/requests/{kind}", headers, match_info={"kind": kind}
    )


def find_refusal(result) -> tuple[int, str]:
    refusal = result.unwrap_err()
    return refusal.status, json.loads(refusal.text)["reason"]


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param(CALLER, id="known token"),
        pytest.param(CALLER | {"Authorization": "Bearer new"}, id="unknown token"),
        pytest.param(CALLER | {"Chiveledge-Workspace": "new"}, id="unknown workspace"),
    ],
)
async def test_stale_process_decides_nothing_by_its_workspaces(replica, clock, headers):
    clock.jump(STALE_S + 1)
    result = check_workspace(make_request(headers), replica)
    assert find_refusal(result) == (503, "stale_configuration")
    assert "Retry-After" in result.unwrap_err().headers


async def test_stale_process_refuses_no_kind_as_unknown(replica, clock):
    clock.jump(STALE_S + 1)
    result = await check_request(make_request(CALLER, "new"), replica)
    assert find_refusal(result) == (503, "stale_configuration")


async def test_fresh_process_decides_by_its_document(replica):
    assert check_workspace(make_request(CALLER), replica).unwrap() == WORKSPACE
    unknown = CALLER | {"Authorization": "Bearer new"}
    assert find_refusal(check_workspace(make_request(unknown), replica))[0] == 401
    result = await check_request(make_request(CALLER, "new"), replica)
    assert find_refusal(result)[0] == 404
