"""Peer messages survive a round trip, and malformed bytes raise no exception."""

from __future__ import annotations

import random

import pytest

from chiveledge.peers import (
    ConfigurationPush,
    JobNotice,
    MinionLoad,
    PeerEnvelope,
    PeerReport,
    decode_message,
    encode_message,
)

MESSAGES = [
    PeerReport(7, 0.25, True, (MinionLoad("minion-1", 3),), ("minion-9",)),
    PeerReport(0, float("inf"), False),
    ConfigurationPush('{"revision": 3}'),
    JobNotice("honam"),
]
GARBAGE_SEEDS = range(200)


@pytest.mark.parametrize("body", MESSAGES, ids=lambda body: type(body).__name__)
def test_round_trip(body):
    decoded = decode_message(encode_message(PeerEnvelope("a/main", body))).unwrap()
    assert decoded.sender == "a/main"
    if body == MESSAGES[1]:
        assert decoded.body.confirmation_age_s > 1e6
        return
    assert decoded.body == body


@pytest.mark.parametrize("seed", GARBAGE_SEEDS)
def test_malformed_message_does_not_raise(seed):
    generator = random.Random(seed)
    packed = bytearray(encode_message(PeerEnvelope("a", MESSAGES[seed % 4])))
    for _ in range(generator.randint(1, 6)):
        packed[generator.randrange(len(packed))] = generator.randrange(256)
    decode_message(bytes(packed))
    decode_message(generator.randbytes(generator.randint(0, 60)))
