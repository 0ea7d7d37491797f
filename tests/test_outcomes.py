"""A request that a target may have run can't be refused."""

from __future__ import annotations

import pytest

from chiveledge.outcomes import Reason, Refused, SendRecord, UnknownOutcome

HISTORIES = [
    ([], Refused),
    ([("record_send", "m1")], UnknownOutcome),
    ([("record_send", "m1"), ("record_decline", "m1")], Refused),
    ([("record_send", "m1"), ("record_not_sent", "m1")], Refused),
    (
        [("record_send", "m1"), ("record_decline", "m1"), ("record_send", "m2")],
        UnknownOutcome,
    ),
    (
        [("record_send", "m1"), ("record_send", "m2"), ("record_decline", "m2")],
        UnknownOutcome,
    ),
    (
        [("record_send", "m1"), ("record_send", "m1"), ("record_decline", "m1")],
        UnknownOutcome,
    ),
]


@pytest.mark.parametrize(("history", "expected"), HISTORIES)
def test_refusal_needs_proof_of_every_send(history, expected):
    sends = SendRecord()
    for method, minion in history:
        getattr(sends, method)(minion)
    outcome = sends.refuse(Reason.DEADLINE)
    assert isinstance(outcome, expected)
    if expected is Refused:
        assert outcome.proof.sends == sends.sends
