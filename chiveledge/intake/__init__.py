"""Job intake: any process accepts, reads, counts and cancels jobs of callers."""

from __future__ import annotations

from chiveledge.intake._backoff import choose_retry_after_s
from chiveledge.intake._fleet_row import (
    FleetCapacityCopy,
    decode_fleet,
    encode_fleet,
)
from chiveledge.intake._follower import TableFollower
from chiveledge.intake._inbox_rows import (
    INBOX_PREFIX,
    cancel_key,
    job_key,
    parse_cancel_key,
)
from chiveledge.intake._job_store import JobStore
from chiveledge.intake._outcomes import (
    Accepted,
    CancelOutcome,
    Infeasible,
    JobIdInUse,
    NotFound,
    NotStored,
    ReadOutcome,
    Refused,
    SubmitOutcome,
    TooManyCancellations,
    UnknownOutcome,
    Withdrawn,
)
from chiveledge.intake._peers import (
    PeerDirectory,
    PeerHost,
    join_peers,
    make_host_put,
)
from chiveledge.intake._relay import (
    RELAYED_HEADER,
    REVISION_HEADER,
    MaybeDone,
    NotTaken,
    Relay,
    Relayed,
)
from chiveledge.intake._status_cache import (
    FLEET_KEY,
    JOB_STATUS_PREFIX,
    JobStatus,
    JobStatusCache,
    decode_status,
    encode_status,
    initial_job_status_key,
    job_status_key,
)

__all__ = [
    "FLEET_KEY",
    "INBOX_PREFIX",
    "JOB_STATUS_PREFIX",
    "RELAYED_HEADER",
    "REVISION_HEADER",
    "Accepted",
    "CancelOutcome",
    "FleetCapacityCopy",
    "Infeasible",
    "JobIdInUse",
    "JobStatus",
    "JobStatusCache",
    "JobStore",
    "MaybeDone",
    "NotFound",
    "NotStored",
    "NotTaken",
    "PeerDirectory",
    "PeerHost",
    "ReadOutcome",
    "Refused",
    "Relay",
    "Relayed",
    "SubmitOutcome",
    "TableFollower",
    "TooManyCancellations",
    "UnknownOutcome",
    "Withdrawn",
    "cancel_key",
    "choose_retry_after_s",
    "decode_fleet",
    "decode_status",
    "encode_fleet",
    "encode_status",
    "initial_job_status_key",
    "job_key",
    "job_status_key",
    "join_peers",
    "make_host_put",
    "parse_cancel_key",
]
