"""Protocols and data types of the platform's services, and clients over HTTP.

The paths and headers that the clients use are in `chiveledge.services._wire`. The
fields of their JSON bodies have the names of the data types' fields.
"""

from __future__ import annotations

from chiveledge.services._http import (
    ConnectionPool,
    HttpCaller,
    HttpReply,
    classify_error_status,
    decode_reply,
)
from chiveledge.services.errors import (
    CallError,
    Conflict,
    HistoryGone,
    Refused,
    Rejected,
    Unavailable,
    Unsettled,
)
from chiveledge.services.group_commit import GroupCommit
from chiveledge.services.hedging import HedgeDelay, transact_hedged
from chiveledge.services.hosts import (
    HostEntry,
    HostList,
    HostRole,
    HostState,
    HttpHostList,
)
from chiveledge.services.minion import (
    HttpMinion,
    Minion,
    MinionAnswer,
    MinionDeclined,
    MinionLost,
    MinionNotReached,
    MinionReply,
    MinionRequest,
)
from chiveledge.services.objects import HttpObjectStore, ObjectStore
from chiveledge.services.table import (
    Changes,
    Check,
    HttpTable,
    Put,
    Row,
    Snapshot,
    TableService,
    Transaction,
    WatchedTable,
    commit_with_retries,
    make_row_key,
    parse_part,
    parse_row_name,
)
from chiveledge.services.worker import (
    AttemptOrder,
    HttpWorker,
    MemberPlacement,
    Reservation,
    SyncRequest,
    TaskReport,
    TaskState,
    Worker,
    WorkerReport,
)

__all__ = [
    "AttemptOrder",
    "CallError",
    "Changes",
    "Check",
    "Conflict",
    "ConnectionPool",
    "GroupCommit",
    "HedgeDelay",
    "HistoryGone",
    "HostEntry",
    "HostList",
    "HostRole",
    "HostState",
    "HttpCaller",
    "HttpHostList",
    "HttpMinion",
    "HttpObjectStore",
    "HttpReply",
    "HttpTable",
    "HttpWorker",
    "MemberPlacement",
    "Minion",
    "MinionAnswer",
    "MinionDeclined",
    "MinionLost",
    "MinionNotReached",
    "MinionReply",
    "MinionRequest",
    "ObjectStore",
    "Put",
    "Refused",
    "Rejected",
    "Reservation",
    "Row",
    "Snapshot",
    "SyncRequest",
    "TableService",
    "TaskReport",
    "TaskState",
    "Transaction",
    "Unavailable",
    "Unsettled",
    "WatchedTable",
    "Worker",
    "WorkerReport",
    "classify_error_status",
    "commit_with_retries",
    "decode_reply",
    "make_row_key",
    "parse_part",
    "parse_row_name",
    "transact_hedged",
]
