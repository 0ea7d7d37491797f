"""The platform's list of hosts, which lags behind their actual state."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from chiveledge.decoding import DECODE_ERRORS, check_type, describe_error
from chiveledge.logs import PartLogger
from chiveledge.services import _wire
from chiveledge.services._http import HttpCaller, decode_reply
from chiveledge.services.errors import CallError, Unavailable
from chiveledge.types import DomainName, RegionName

HTTP_OK = 200

log = PartLogger("hosts")


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
                return decode_reply(self._update, answer.body, "the list of hosts")
            case Ok(answer):
                return Err(Unavailable(f"the list of hosts returned {answer.status}"))
            case Err(error):
                return Err(error)
        raise AssertionError("unreachable")

    def _update(self, body: dict) -> list[HostEntry]:
        # A reply with the known version has no entries.
        if body["version"] != self._version:
            self._entries = _decode_entries(body["hosts"])
            self._version = check_type(body["version"], str)
        return self._entries


def _decode_entries(rows: list[dict[str, object]]) -> list[HostEntry]:
    """Return the entries that can be decoded; the others are logged."""
    entries = []
    for row in rows:
        try:
            entries.append(_decode_entry(row))
        except DECODE_ERRORS as error:
            log.warning("Skipped an entry.", reason=describe_error(error))
    return entries


def _decode_entry(fields: dict[str, object]) -> HostEntry:
    entry = HostEntry(**fields)
    return entry._replace(role=HostRole(entry.role), state=HostState(entry.state))
