"""Contract of a minion: only complete replies are returned as answers."""

from __future__ import annotations

import json

import pytest

from chiveledge.services import (
    HttpMinion,
    MinionAnswer,
    MinionDeclined,
    MinionLost,
    MinionNotReached,
    MinionRequest,
)
from standins.minion import SLOTS

REQUEST = MinionRequest("r1", "quote", b'{"order": "o1"}', 2.0)


async def test_answer_is_complete_and_matches_the_request(minion):
    reply = await minion.client.run(REQUEST)
    assert isinstance(reply, MinionAnswer)
    assert json.loads(reply.body)["echo"] == REQUEST.body.decode()
    assert minion.fake.runs["o1"] == 1


@pytest.mark.parametrize("size", [0, 1000, 300_000])
async def test_answer_of_any_size_is_complete(minion, size):
    body = json.dumps({"answer_bytes": size}).encode()
    reply = await minion.client.run(REQUEST._replace(body=body))
    assert len(json.loads(reply.body)["filling"]) == size


@pytest.mark.parametrize(
    ("mode", "kind"),
    [("cut", {"truncated", "reset"}), ("crossed", {"crossed"}), ("hang", {"timeout"})],
)
async def test_incomplete_or_foreign_reply_is_lost(minion, mode, kind):
    minion.faults.set({"mode": mode})
    reply = await minion.client.run(REQUEST._replace(deadline_s=0.3))
    assert isinstance(reply, MinionLost) and reply.kind in kind


async def test_minion_without_free_slot_declines(minion):
    minion.fake.running = SLOTS
    assert isinstance(await minion.client.run(REQUEST), MinionDeclined)
    assert not minion.fake.runs


async def test_leaving_minion_declines(minion):
    minion.faults.set({"mode": "leaving"})
    assert isinstance(await minion.client.run(REQUEST), MinionDeclined)


async def test_refused_connection_is_not_reached(minion):
    if not isinstance(minion.client, HttpMinion):
        minion.faults.set({"down": True})
        assert isinstance(await minion.client.run(REQUEST), MinionNotReached)
        return
    unreachable = HttpMinion(minion.client._session, "http://127.0.0.1:1")
    assert isinstance(await unreachable.run(REQUEST), MinionNotReached)
