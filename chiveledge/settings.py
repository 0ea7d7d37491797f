"""Settings of one process: JSON with comments, validated before the process starts."""

from __future__ import annotations

import ipaddress
from enum import StrEnum
from pathlib import Path
from typing import Annotated, NamedTuple

import pyjson5
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from chiveledge.types import DomainName, HostName, RegionName


class Role(StrEnum):
    """Role of a process in the deployment."""

    GATEWAY = "gateway"
    SCHEDULER = "scheduler"


class SettingsError(NamedTuple):
    """Problems of a file, one for each wrong field, each with its remedy."""

    path: str
    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.path}: {problem}" for problem in self.problems)


class StrictModel(BaseModel):
    """Base of all validated models: frozen, and unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def _check_address(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _check_base_url(value: str) -> str:
    scheme, _, rest = value.partition("://")
    if scheme != "http" or not rest:
        raise ValueError("write http://IP:PORT")
    host, _, port = rest.rpartition(":")
    ipaddress.ip_address(host)
    if not port.isdigit():
        raise ValueError("write http://IP:PORT")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
BaseUrl = Annotated[str, AfterValidator(_check_base_url)]
Port = Annotated[int, Field(ge=1, le=65535)]


class Endpoint(StrictModel):
    """An IP address and a port to listen on."""

    address: Address
    port: Port

    @property
    def text(self) -> str:
        """``IP:PORT``."""
        return f"{self.address}:{self.port}"


class PlatformSettings(StrictModel):
    """URLs of the platform's services, and the timeout of calls to them."""

    table: BaseUrl
    objects: BaseUrl
    hosts: BaseUrl
    timeout_s: float = Field(default=1.0, gt=0, le=30)


class TimingSettings(StrictModel):
    """Periods, leases and time limits, in seconds."""

    peer_report_s: float = Field(default=1.0, gt=0)
    configuration_poll_s: float = Field(default=1.0, gt=0)
    configuration_stale_s: float = Field(default=4.0, gt=0)
    host_poll_s: float = Field(default=1.0, gt=0)
    leader_lease_s: float = Field(default=1.2, gt=0)
    leader_renew_s: float = Field(default=0.4, gt=0)
    task_lease_s: float = Field(default=6.0, gt=0)
    worker_sync_s: float = Field(default=2.0, gt=0)
    checkpoint_s: float = Field(default=2.0, gt=0)
    inbox_poll_s: float = Field(default=1.0, gt=0)
    drains_poll_s: float = Field(default=1.0, gt=0)
    drains_stale_s: float = Field(default=4.0, gt=0)
    drain_s: float = Field(default=30.0, gt=0)


class LimitSettings(StrictModel):
    """Limits of one process on memory, requests, connections and minion slots."""

    body_bytes: int = Field(default=1 << 20, gt=0)
    queued_requests: int = Field(default=512, gt=0)
    gateways_at_most: int = Field(default=9, gt=0)
    connections_per_minion: int = Field(default=64, gt=0)
    slots_per_minion: int = Field(default=8, gt=0)
    memory_mb: int = Field(default=256, gt=0)
    max_fds: int = Field(default=4096, gt=0)


class ProcessSettings(StrictModel):
    """All settings of one process, as in its settings file."""

    host: HostName
    process: str
    roles: tuple[Role, ...] = Field(min_length=1)
    region: RegionName
    domain: DomainName
    http: Endpoint
    peer: Endpoint
    platform: PlatformSettings
    operator_token: str = Field(min_length=8)
    regions: tuple[RegionName, ...] = Field(min_length=1)
    timing: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()

    @property
    def name(self) -> str:
        """``HOST/PROCESS``, a name that is unique in the deployment."""
        return f"{self.host}/{self.process}"


def parse_json5(path: str, text: str) -> Result[object, SettingsError]:
    """Decode JSON with comments; `path` names the text in errors."""
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5DecoderException as error:
        return Err(SettingsError(path, (f"not JSON with comments: {error}",)))


def check_model(
    model: type[BaseModel], path: str, value: object
) -> Result[BaseModel, SettingsError]:
    """Validate a decoded value; an error describes each wrong field."""
    try:
        return Ok(model.model_validate(value))
    except ValidationError as error:
        problems = tuple(_describe_problem(detail) for detail in error.errors())
        return Err(SettingsError(path, problems))


def load_settings(path: Path) -> Result[ProcessSettings, SettingsError]:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        File of JSON with comments.

    Returns
    -------
    Result
        The settings, or an error that names file, field, value and remedy.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Err(SettingsError(str(path), (f"can't be read: {error.strerror}",)))
    match parse_json5(str(path), text):
        case Ok(value):
            return check_model(ProcessSettings, str(path), value)
        case Err(problem):
            return Err(problem)
    raise AssertionError("unreachable")


def _describe_problem(detail: dict[str, object]) -> str:
    field = ".".join(str(part) for part in detail["loc"]) or "the document"
    if detail["type"] == "extra_forbidden":
        return f"{field}: no such field; remove it or correct its name"
    if detail["type"] == "missing":
        return f"{field}: is missing; add it"
    return f"{field}: got {detail['input']!r}: {detail['msg']}"
