"""Type aliases that the whole package uses."""

from __future__ import annotations

from typing import Any, TypeAlias

HostName: TypeAlias = str
"""Name of the host of a chiveledge process, from the settings of the process."""

ProcessName: TypeAlias = str
"""Name of a process, ``HOST/PROCESS``, unique in the deployment."""

RegionName: TypeAlias = str
DomainName: TypeAlias = str
WorkspaceName: TypeAlias = str
WorkerName: TypeAlias = str
MinionName: TypeAlias = str
PresetName: TypeAlias = str
KindName: TypeAlias = str
QueueName: TypeAlias = str
JobId: TypeAlias = str
AttemptId: TypeAlias = str
RequestId: TypeAlias = str
Revision: TypeAlias = int
Epoch: TypeAlias = int
Accelerators: TypeAlias = int

JsonObject: TypeAlias = dict[str, Any]
"""A decoded JSON object that has not been validated."""
