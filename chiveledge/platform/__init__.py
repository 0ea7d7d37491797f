"""The platform's services: one protocol class each, and an HTTP client for each.

The HTTP clients keep the URL layout and the field names of the platform in
`chiveledge.platform._wire`.
"""

from __future__ import annotations

from chiveledge.platform._http import HttpCaller
from chiveledge.platform.errors import CallError, Conflict, Unavailable, Unsettled
from chiveledge.platform.group_commit import GroupCommit
from chiveledge.platform.hosts import (
    HostEntry,
    HostList,
    HostRole,
    HostState,
    HttpHostList,
)
from chiveledge.platform.minion import (
    HttpMinion,
    Minion,
    MinionAnswer,
    MinionDeclined,
    MinionLost,
    MinionNotReached,
    MinionReply,
    MinionRequest,
)
from chiveledge.platform.objects import HttpObjectStore, ObjectStore
from chiveledge.platform.table import (
    Check,
    HttpTable,
    Put,
    Row,
    TableService,
    Transaction,
    commit_settled,
)
from chiveledge.platform.worker import (
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
    "Check",
    "Conflict",
    "GroupCommit",
    "HostEntry",
    "HostList",
    "HostRole",
    "HostState",
    "HttpCaller",
    "HttpHostList",
    "HttpMinion",
    "HttpObjectStore",
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
    "Reservation",
    "Row",
    "SyncRequest",
    "TableService",
    "TaskReport",
    "TaskState",
    "Transaction",
    "Unavailable",
    "Unsettled",
    "Worker",
    "WorkerReport",
    "commit_settled",
]
