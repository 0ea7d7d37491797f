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
from chiveledge.gateway._admission import check_request, check_workspace, read_body
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
    replica.record_peer_revision("peer", 1, 0.0, 0.0)
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


class SlowBody:
    """Body of a request that ends after the document in force has been replaced."""

    def __init__(self, replica, document) -> None:
        self._replica = replica
        self._document = document
        self._blocks = [b"{}"]

    def is_eof(self) -> bool:
        return False

    async def readany(self) -> bytes:
        self._replica.apply(make_versioned(2, self._document, "ann"))
        return self._blocks.pop() if self._blocks else b""


def remove(field: str, name: str):
    """Return a document without one workspace or kind."""
    document = make_document()
    kept = {k: v for k, v in getattr(document, field).items() if k != name}
    return document.model_copy(update={field: kept})


@pytest.mark.parametrize(
    "document,status",
    [
        pytest.param(remove("workspaces", WORKSPACE), 401, id="removed workspace"),
        pytest.param(remove("kinds", "order"), 404, id="removed kind"),
    ],
)
async def test_request_is_decided_by_document_at_end_of_its_body(
    replica, document, status
):
    """A caller that had sent all but the end of its body kept a revoked token."""
    request = make_mocked_request(
        "POST",
        "/v1/requests/order",
        CALLER | {"Idempotency-Key": "k"},
        match_info={"kind": "order"},
        payload=SlowBody(replica, document),
    )
    assert find_refusal(await check_request(request, replica))[0] == status


async def test_job_is_decided_by_document_at_end_of_its_body(replica):
    body = SlowBody(replica, remove("workspaces", WORKSPACE))
    request = make_mocked_request("POST", "/v1/jobs", CALLER, payload=body)
    assert find_refusal(await read_body(request, replica))[0] == 401


async def test_fresh_process_decides_by_its_document(replica):
    assert check_workspace(make_request(CALLER), replica).unwrap() == WORKSPACE
    unknown = CALLER | {"Authorization": "Bearer new"}
    assert find_refusal(check_workspace(make_request(unknown), replica))[0] == 401
    result = await check_request(make_request(CALLER, "new"), replica)
    assert find_refusal(result)[0] == 404
