"""Jobs with their steps, tasks and progress, and the configuration of their queues."""

from __future__ import annotations

from chiveledge.workload._catalogue import (
    AdvicePolicy,
    Catalogue,
    Queue,
    RequestLimits,
    RouteMatch,
    Service,
    Workspace,
)
from chiveledge.workload._codec import (
    decode_progress,
    decode_request,
    encode_progress,
    encode_request,
)
from chiveledge.workload._model import (
    JobRequest,
    JobState,
    Step,
    TaskName,
    Usage,
)
from chiveledge.workload._progress import (
    JobProgress,
    OpenRun,
    RunEnd,
    RunState,
    StepProgress,
    TaskProgress,
)

__all__ = [
    "AdvicePolicy",
    "Catalogue",
    "JobProgress",
    "JobRequest",
    "JobState",
    "OpenRun",
    "Queue",
    "RequestLimits",
    "RouteMatch",
    "RunEnd",
    "RunState",
    "Service",
    "Step",
    "StepProgress",
    "TaskName",
    "TaskProgress",
    "Usage",
    "Workspace",
    "decode_progress",
    "decode_request",
    "encode_progress",
    "encode_request",
]
