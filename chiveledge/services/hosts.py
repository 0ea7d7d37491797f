"""The platform's list of hosts, which lags behind their actual state."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from chiveledge.services import _wire
from chiveledge.services._http import HttpCaller
from chiveledge.services.errors import CallError, Unavailable
from chiveledge.types import DomainName, RegionName

HTTP_OK = 200


class HostState(StrEnum):
    """State of an entry in the list of hosts."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(StrEnum):
    """Kind of process at an entry's address."""

    CHIVELEDGE = "chiveledge"
    MINION = "minion"
    WORKER = "worker"


class HostEntry(NamedTuple):
    """One entry of the list of hosts.

    Attributes
    ----------
    name : str
        Name of the process, minion or worker.
    role : HostRole
        Kind of process at `url`.
    url : str
        ``http://IP:PORT`` of a minion or worker; ``IP:PORT`` of a chiveledge process.
    region, domain : str
        Region and failure domain.
    service : str
        Service of a minion, rack of a worker.
    state : HostState
        Whether the process is live or about to leave.
    accelerators, cores, memory_mb : int
        Capacity of a worker.
    """

    name: str
    role: HostRole
    url: str
    region: RegionName
    domain: DomainName
    service: str = ""
    state: HostState = HostState.LIVE
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0


class HostList(Protocol):
    """Lists live and leaving hosts; changes appear with a delay."""

    async def read(self) -> Result[list[HostEntry], CallError]:
        """Return all entries."""


class HttpHostList:
    """Client of the host list over HTTP.

    Parameters
    ----------
    caller : HttpCaller
        Connections to the service.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller
        self._version = ""
        self._entries: list[HostEntry] = []

    async def read(self) -> Result[list[HostEntry], CallError]:
        params = {"known": self._version}
        match await self._caller.call("GET", _wire.HOSTS, params=params):
            case Ok(answer) if answer.status == HTTP_OK:
                # A reply with the known version has no entries.
                if answer.body["version"] != self._version:
                    self._entries = [
                        _decode_entry(entry) for entry in answer.body["hosts"]
                    ]
                    self._version = answer.body["version"]
                return Ok(self._entries)
            case Ok(answer):
                return Err(Unavailable(f"the list of hosts returned {answer.status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode_entry(fields: dict[str, object]) -> HostEntry:
    entry = HostEntry(**fields)
    return entry._replace(role=HostRole(entry.role), state=HostState(entry.state))
