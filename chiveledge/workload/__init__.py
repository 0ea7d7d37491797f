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
from chiveledge.workload._model import (
    ZERO_VALUE_FACTOR,
    JobRequest,
    JobState,
    Step,
    TaskName,
    Usage,
)
from chiveledge.workload._occurrences import OccurrenceSet
from chiveledge.workload._progress import (
    JobProgress,
    OpenRun,
    RunEnd,
    RunState,
    StepProgress,
    TaskProgress,
)
from chiveledge.workload._progress_codec import (
    EncodedProgress,
    can_store_checkpoint,
    decode_progress,
    encode_progress,
)
from chiveledge.workload._request_codec import decode_request, encode_request

__all__ = [
    "ZERO_VALUE_FACTOR",
    "AdvicePolicy",
    "Catalogue",
    "EncodedProgress",
    "JobProgress",
    "JobRequest",
    "JobState",
    "OccurrenceSet",
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
    "can_store_checkpoint",
    "decode_progress",
    "decode_request",
    "encode_progress",
    "encode_request",
]
