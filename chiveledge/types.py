"""Type aliases shared by all parts of the package."""

from __future__ import annotations

from typing import Any, TypeAlias

HostName: TypeAlias = str
"""Name of one of the project's own processes' hosts, from its settings."""

ProcessName: TypeAlias = str
"""Name of one process, unique in the deployment (host name and process name)."""

RegionName: TypeAlias = str
DomainName: TypeAlias = str
WorkspaceName: TypeAlias = str
WorkerName: TypeAlias = str
MinionName: TypeAlias = str
PresetName: TypeAlias = str
KindName: TypeAlias = str
JobId: TypeAlias = str
AttemptId: TypeAlias = str
RequestId: TypeAlias = str
Revision: TypeAlias = int
Epoch: TypeAlias = int
Accelerators: TypeAlias = int

JsonObject: TypeAlias = dict[str, Any]
"""A decoded JSON object at the edge of the process, before validation."""
