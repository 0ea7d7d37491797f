"""A request that a target may have run can't be refused."""

from __future__ import annotations

import pytest

from chiveledge.outcomes import Reason, Refused, SendRecord, UnknownOutcome

HISTORIES = [
    ([], Refused),
    ([("begin", "m1")], UnknownOutcome),
    ([("begin", "m1"), ("declined", "m1")], Refused),
    ([("begin", "m1"), ("not_sent", "m1")], Refused),
    ([("begin", "m1"), ("declined", "m1"), ("begin", "m2")], UnknownOutcome),
    ([("begin", "m1"), ("begin", "m2"), ("declined", "m2")], UnknownOutcome),
    ([("begin", "m1"), ("begin", "m1"), ("declined", "m1")], UnknownOutcome),
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
