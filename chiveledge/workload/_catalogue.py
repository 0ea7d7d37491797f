"""The configuration in force: queues, services and workspaces."""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.types import Accelerators, Revision, WorkspaceName


class AdvicePolicy(NamedTuple):
    """Which workers may run a step is known only to the advice service.

    Attributes
    ----------
    call_s, worker_s : float
        Time that the service takes for a call, and for each worker named in it.
    valid_s : float
        How long its tickets hold.
    """

    call_s: float
    worker_s: float
    valid_s: float


class Queue(NamedTuple):
    """Where callers submit jobs.

    Attributes
    ----------
    key : str
        Host and path prefix.
    open : bool
        Whether calls need no key.
    """

    key: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    open: bool = False
    advice: AdvicePolicy | None = None


class Service(NamedTuple):
    """A pool of workers.

    Attributes
    ----------
    guarded : bool
        Whether its workers reject what does not fit.
    standby : bool
        Whether its workers are switched off.
    """

    name: str
    guarded: bool = True
    standby: bool = False


class Workspace(NamedTuple):
    """A team, its keys and its guaranteed accelerators."""

    name: WorkspaceName
    keys: tuple[str, ...]
    guaranteed: Accelerators = 0


class EntryLimits(NamedTuple):
    """Bounds on what strangers may send."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3.0
    idle_s: float = 15.0


class Catalogue(NamedTuple):
    """One version of the configuration, decoded once.

    Attributes
    ----------
    revision : int
        Rises with each change; 0 before any was read.
    owners : dict
        Workspace of each key.
    """

    revision: Revision = 0
    queues: dict[str, Queue] = {}
    services: dict[str, Service] = {}
    workspaces: dict[WorkspaceName, Workspace] = {}
    owners: dict[str, WorkspaceName] = {}
    limits: EntryLimits = EntryLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of `path` at `host`."""
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best
