"""Decoded configuration: queues, services and workspaces."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple

from chiveledge.types import Accelerators, Revision, WorkspaceName


class AdvicePolicy(NamedTuple):
    """Properties of the advice service of a queue.

    Only this service knows which workers may run the steps of the queue's jobs. It
    issues tickets for workers.

    Attributes
    ----------
    call_s, worker_s : float
        Time that the service takes for a call, and for each worker named in it.
    valid_s : float
        How long a ticket is valid.
    """

    call_s: float
    worker_s: float
    valid_s: float


class Queue(NamedTuple):
    """A queue to which callers submit jobs.

    Attributes
    ----------
    key : str
        Host and path prefix.
    service : str
        Service whose workers run the jobs.
    stretch, target_s : float
        Objective of the jobs; see `JobRequest`.
    is_public : bool
        Whether requests need no API key.
    advice : AdvicePolicy, optional
        Advice service to ask for workers; None if any worker may run the jobs.
    """

    key: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    is_public: bool = False
    advice: AdvicePolicy | None = None


class Service(NamedTuple):
    """A set of workers that run the jobs of some queues.

    Attributes
    ----------
    checks_capacity : bool
        Whether its workers reject tasks that don't fit.
    standby : bool
        Whether its workers are switched off.
    """

    name: str
    checks_capacity: bool = True
    standby: bool = False


class Workspace(NamedTuple):
    """A workspace with its API keys and guaranteed accelerators."""

    name: WorkspaceName
    keys: tuple[str, ...]
    guaranteed: Accelerators = 0


class RequestLimits(NamedTuple):
    """Limits on requests from untrusted clients.

    Attributes
    ----------
    header_s : float
        Time in which the header must arrive.
    idle_s : float
        How long a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3.0
    idle_s: float = 15.0


class RouteMatch(NamedTuple):
    """The queue to which a request is routed.

    Attributes
    ----------
    queue : Queue
        Queue of the host with the longest matching path prefix.
    shorter : tuple of str
        Keys of the queues with shorter matching prefixes, the longest first.
    """

    queue: Queue
    shorter: tuple[str, ...]


@dataclass(frozen=True)
class Catalogue:
    """One revision of the configuration.

    Attributes
    ----------
    revision : int
        Increases with each change; 0 before a configuration has been read.
    owners : dict
        Workspace name of each API key.
    """

    revision: Revision = 0
    queues: dict[str, Queue] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[WorkspaceName, Workspace] = field(default_factory=dict)
    owners: dict[str, WorkspaceName] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    @cached_property
    def _by_host(self) -> dict[str, list[Queue]]:
        """Queues of each host, the longest prefix first."""
        found: dict[str, list[Queue]] = defaultdict(list)
        for queue in self.queues.values():
            found[queue.host].append(queue)
        for queues in found.values():
            queues.sort(key=lambda queue: len(queue.path_prefix), reverse=True)
        return dict(found)

    def find_route(self, host: str, path: str) -> RouteMatch | None:
        """Return the queue of `host` with the longest prefix of `path`, or None.

        Examples
        --------
        >>> short = Queue("h/a/", "h", "/a/", "s")
        >>> long = Queue("h/a/b/", "h", "/a/b/", "s")
        >>> catalogue = Catalogue(queues={queue.key: queue for queue in (short, long)})
        >>> match = catalogue.find_route("h", "/a/b/c")
        >>> match.queue.key, match.shorter
        ('h/a/b/', ('h/a/',))
        """
        found = [
            queue
            for queue in self._by_host.get(host, ())
            if path.startswith(queue.path_prefix)
        ]
        if not found:
            return None
        return RouteMatch(found[0], tuple(queue.key for queue in found[1:]))
