"""The platform's lagging list of hosts."""

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
    """What the list says of an entry."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(StrEnum):
    """What runs at an entry's address."""

    CHIVELEDGE = "chiveledge"
    MINION = "minion"
    WORKER = "worker"


class HostEntry(NamedTuple):
    """One entry of the list.

    Attributes
    ----------
    name : str
        Name of the process, minion or worker.
    role : HostRole
        What it is.
    url : str
        ``http://IP:PORT`` of a minion or worker; ``IP:PORT`` of a peer.
    region, domain : str
        Place and failure domain.
    service : str
        Service of a minion, rack of a worker.
    state : HostState
        Live or leaving.
    accelerators, cores, memory_mb : int
        Size of a worker.
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
    """Tells which hosts are live and which are leaving, with a lag."""

    async def read(self) -> Result[list[HostEntry], CallError]:
        """Return the whole list."""


class HttpHostList:
    """Client of the host list over HTTP.

    Parameters
    ----------
    caller : HttpCaller
        Connection to the service.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller
        self._version = ""
        self._entries: list[HostEntry] = []

    async def read(self) -> Result[list[HostEntry], CallError]:
        params = {"known": self._version}
        match await self._caller.call("GET", _wire.HOSTS, params=params):
            case Ok(answer) if answer.status == HTTP_OK:
                if answer.body["version"] != self._version:
                    self._entries = [_decode(entry) for entry in answer.body["hosts"]]
                    self._version = answer.body["version"]
                return Ok(self._entries)
            case Ok(answer):
                return Err(Unavailable(f"the host list answered {answer.status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")


def _decode(fields: dict[str, object]) -> HostEntry:
    entry = HostEntry(**fields)
    return entry._replace(role=HostRole(entry.role), state=HostState(entry.state))
