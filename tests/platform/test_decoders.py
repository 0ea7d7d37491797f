"""No decoder raises, whatever another system writes in place of a valid value."""

from __future__ import annotations

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok, OkErr

from chiveledge.clock import ManualClock
from chiveledge.decision_log import NullLog
from chiveledge.decoding import parse_json
from chiveledge.intake import JobStatus, decode_status, encode_status
from chiveledge.platform import _advice, _machines, _store, _workers
from chiveledge.platform._catalogue import decode_catalogue, decode_job
from chiveledge.services import HttpReply, Row, decode_reply
from chiveledge.services.task_worker import WorkerEntry
from chiveledge.workload import JobRequest, JobState, decode_request, encode_request
from standins.platform import describe_worker
from standins.simulated_task import StandInTask
from standins.task_worker import MemoryTaskWorker
from tests.platform.test_api import CONFIGURATION, JOB
from tests.platform.test_workers import ENTRY

WORKER = describe_worker(
    MemoryTaskWorker(ENTRY, ManualClock(), lambda _: StandInTask()), ENTRY.address
)
QUEUE = next(iter(decode_catalogue(json.dumps(CONFIGURATION)).unwrap().queues.values()))
PAGE = {"rows": [{"table": "t", "key": "k", "value": "e30=", "ver": 3}], "ver": 4}
REPORT = {
    "clock_ms": 5,
    "born": 3,
    "running": [["j.0.0.1", 1, "s", 50, 7]],
    "ended": [[1, "j.0.0.2", 1, "done", ""]],
}

DECODERS = {
    "worker": (
        WORKER | {"remaining_ms": 9},
        lambda text: _workers.WorkerDecoder(NullLog()).decode(Row("s/w", 1, text, "")),
    ),
    "report": (
        REPORT,
        lambda text: _workers._decode(_workers._decode_report, parse_json(text)),
    ),
    "order": (
        {"clock_ms": 5},
        lambda text: _workers._decode(_workers._decode_accepted, parse_json(text)),
    ),
    "refusal": (
        {"clock_ms": 5, "reason": "old"},
        lambda text: _workers._decode_decline(HttpReply(409, parse_json(text))),
    ),
    "page": (PAGE, lambda text: _store._decode(_store._decode_page, parse_json(text))),
    "feed": (
        PAGE,
        lambda text: _store._decode(_store._decode_changes, parse_json(text)),
    ),
    "parts": (
        {"parts": ["", "1"]},
        lambda text: _store._decode(_store._decode_parts, parse_json(text)),
    ),
    "advice": (
        {"good": [["w1", "t1"]], "valid_ms": 100},
        lambda text: decode_reply(_advice._decode, parse_json(text), "advice"),
    ),
    "machines": (
        {"machines": [{"machine": "m1", "state": "up", "id": "w1"}]},
        lambda text: decode_reply(_machines._decode_page, parse_json(text), "list"),
    ),
    "wave": (
        {"wave": 1, "machines": ["m1"], "within_s": 5, "cap": 1},
        _machines.decode_wave,
    ),
    "configuration": (CONFIGURATION, decode_catalogue),
    "job": (JOB, lambda text: decode_job(text.encode(), "0" * 16, QUEUE, "t1", 5)),
    "status": (
        json.loads(encode_status(JobStatus("q", "w", JobState.QUEUED))),
        decode_status,
    ),
}

ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, -1, 2**53, 2**63, 10**400, 1e308, -0.5]),
    st.sampled_from(["", "x", "10.0.0.1:99999", "\x00\n", "9" * 5000, "\ud800", "é"]),
    st.sampled_from([[], {}, [[]], {"a": 1}, [1, 2, 3, 4, 5], "[" * 50]),
)


def replace_one(value: object, draw) -> object:
    """Return a copy of a JSON value with an odd one in one place."""
    if not isinstance(value, dict | list) or not value or draw(st.integers(0, 4)) == 0:
        return draw(ODD_VALUES)
    value = copy.copy(value)
    keys = sorted(value) if isinstance(value, dict) else range(len(value))
    key = draw(st.sampled_from(list(keys)))
    if isinstance(value, dict) and draw(st.integers(0, 9)) == 0:
        del value[key]
    else:
        value[key] = replace_one(value[key], draw)
    return value


@pytest.mark.parametrize("name", DECODERS)
@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_odd_value_in_one_place_is_no_exception(name, data):
    valid, decode = DECODERS[name]
    found = decode(json.dumps(replace_one(valid, data.draw)))
    match found:
        case Ok(JobRequest() as job):
            assert decode_request(encode_request(job)) == job
        case WorkerEntry():
            assert found.capacity.core_equivalents >= 0


@pytest.mark.parametrize("name", DECODERS)
def test_valid_value_is_decoded(name):
    valid, decode = DECODERS[name]
    found = decode(json.dumps(valid))
    assert found is not None
    assert not isinstance(found, OkErr) or found.is_ok()
