"""A row that can't be read is passed over, and the rows after it still apply.

An exception in a callback of a table follower ends the process.
"""

from __future__ import annotations

import pytest

from chiveledge.clock import ManualClock
from chiveledge.decision_log import NullLog
from chiveledge.intake import (
    JobStatus,
    JobStatusCache,
    JobStore,
    PeerDirectory,
    PeerHost,
    UnknownOutcome,
    encode_status,
    job_status_key,
    make_host_put,
)
from chiveledge.services import Put, Row, Transaction
from chiveledge.workload import JobState
from standins.table import MemoryTable

ODD_TEXTS = ["", "{", "null", "5", "[1]", '["q","w","melted",false]', "[" * 4000]
STATUS = JobStatus("q", "cafes", JobState.QUEUED)


@pytest.mark.parametrize("text", ODD_TEXTS)
def test_unreadable_status_row_is_passed_over(text):
    cache = JobStatusCache(NullLog())
    rows = [
        Row(job_status_key("odd"), 1, text, "w"),
        Row(job_status_key("sound"), 2, encode_status(STATUS), "w"),
    ]
    cache.apply_changes(rows, (), True)
    assert (cache.find("odd"), cache.find("sound")) == (None, STATUS)


@pytest.mark.parametrize("text", ODD_TEXTS)
def test_unreadable_host_row_is_passed_over(text):
    hosts = PeerDirectory(PeerHost("n1", "east", ""), NullLog())
    sound = make_host_put(PeerHost("n2", "east", "10.0.0.2:7000"))
    rows = [Row("hosts/odd", 1, text, "w"), Row(sound.key, 2, sound.value, "w")]
    hosts.apply_changes(rows, (), False)
    assert len(hosts) == 1


@pytest.mark.parametrize("text", ODD_TEXTS)
async def test_status_that_is_unreadable_is_not_taken_for_a_missing_job(text):
    clock = ManualClock()
    table = MemoryTable(clock)
    table.commit(Transaction("w", puts=(Put(job_status_key("odd"), text),)))
    jobs = JobStore(table, JobStatusCache(NullLog()), clock, NullLog(), 65_536)
    assert isinstance(await jobs.read("odd"), UnknownOutcome)
