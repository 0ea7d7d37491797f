"""Decoder of the platform's settings file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result

from chiveledge.decoding import (
    DECODE_ERRORS,
    check_number,
    check_whole_number,
    describe_error,
    parse_json,
)

SETTINGS_VARIABLE = "CHIVELEDGE_BOOT"
MAX_PORT = 65_535

ROW_BYTES = 65_536
"""Longest value of a row, if the settings name none."""

T = TypeVar("T")


class Endpoint(NamedTuple):
    """IP address and port."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class PlatformBounds(NamedTuple):
    """Time bounds of the platform, in seconds.

    Attributes
    ----------
    grace_s : float
        Time between the two signals with which the platform stops a process.
    config_apply_s : float
        Time within which a new configuration has to be in force.
    longest_lease_s : float
        Longest lease that a worker grants.
    stop_s : float
        Longest time that stopping a run takes.
    drain_s : float
        Shortest time that a worker stays after it announced draining.
    keep_status_s : float
        How long the state of an ended job can be read.
    machine_lease_s : float
        Shortest time between orders for a machine from different leaders.
    upkeep_s : float
        Downtime of a machine for its upkeep.
    drain_apply_s : float, optional
        Time within which the drain of a failure domain has to be in force; None if
        nothing promises one.
    """

    grace_s: float = 6.0
    config_apply_s: float = 2.5
    longest_lease_s: float = 6.0
    stop_s: float = 0.9
    drain_s: float = 2.5
    keep_status_s: float = 120.0
    machine_lease_s: float = 3.0
    upkeep_s: float = 2.0
    drain_apply_s: float | None = None


class HostLimits(NamedTuple):
    """Resources that the host provides to a process.

    Attributes
    ----------
    cores : float
        Available processor time, in full cores.
    link_mbps : float
        Bandwidth of the host's link, in Mbit/s.
    memory_mb : float
        Memory of the process, in MB.
    max_fds : int
        Number of its descriptors.
    """

    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 256.0
    max_fds: int = 4096


class NodeSettings(NamedTuple):
    """Settings of one process.

    Attributes
    ----------
    node : str
        Name of the process.
    domain : str
        Failure domain of the host.
    region : str
        Region of the host; empty if unknown.
    api, ready, metrics : Endpoint or None
        Where this process serves the callers' API, its readiness and its metrics.
    peers : Endpoint or None
        Where this process accepts the requests that peers forward.
    store : Endpoint
        Where the platform's store is reached.
    row_bytes : int
        Longest value of a row in the store.
    advice, machines : Endpoint or None
        Where the advice service and the machine service are reached, if there are any.
    bounds : PlatformBounds
        Time bounds of the platform.
    limits : HostLimits
        Resources of the host.
    """

    node: str
    domain: str
    region: str
    api: Endpoint | None
    ready: Endpoint | None
    metrics: Endpoint | None
    peers: Endpoint | None
    store: Endpoint
    row_bytes: int
    advice: Endpoint | None
    machines: Endpoint | None
    bounds: PlatformBounds
    limits: HostLimits = HostLimits()


class SettingsError(NamedTuple):
    """Invalid field of the settings file, and how to correct it."""

    field: str
    remedy: str

    def __str__(self) -> str:
        return f"settings: {self.field}: {self.remedy}"


class _FieldError(Exception):
    def __init__(self, field: str, remedy: str) -> None:
        super().__init__(field)
        self.error = SettingsError(field, remedy)


def load_settings(path: str | None) -> Result[NodeSettings, SettingsError]:
    """Read and check the settings file.

    Parameters
    ----------
    path : str or None
        Path of the file: the value of `SETTINGS_VARIABLE`, if it is set.
    """
    if not path:
        return Err(
            SettingsError(SETTINGS_VARIABLE, "set it to the settings file's path")
        )
    try:
        fields = parse_json(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        return Err(SettingsError(path, f"make the file readable ({error.strerror})"))
    except DECODE_ERRORS as error:
        return Err(SettingsError(path, f"write valid JSON ({describe_error(error)})"))
    try:
        return Ok(_decode(_check_object(fields, "(top level)")))
    except _FieldError as error:
        return Err(error.error)


def stat_settings() -> tuple[int, int] | None:
    """Return the modification time in ns and the size of the settings file in bytes.

    Returns None if there is no such file.
    """
    try:
        status = os.stat(os.environ.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def _decode(fields: Mapping[str, Any]) -> NodeSettings:
    orders = fields.get("orders", "call")
    if orders != "call":
        raise _FieldError("orders", f"only 'call' is supported, got {orders!r}")
    listen = _check_object(fields.get("listen", {}), "listen")
    store = _check_object(fields.get("platform"), "platform")
    form = store.get("form", "table")
    if form != "table":
        raise _FieldError("platform.form", f"only 'table' is supported, got {form!r}")
    ip = _get_text(fields, "ip")
    ports = _get_ports(fields)
    return NodeSettings(
        node=_get_text(fields, "node"),
        domain=_get_text(fields, "zone"),
        region=str(fields.get("region", "")),
        api=_get_optional_endpoint(listen, "front", "listen.front"),
        ready=_get_optional_endpoint(listen, "ready", "listen.ready"),
        metrics=Endpoint(ip, ports[-1]) if ports else None,
        peers=Endpoint(ip, ports[0]) if len(ports) > 1 else None,
        store=_parse_endpoint(store.get("address"), "platform.address"),
        row_bytes=int(_get_number(store, "row_bytes", ROW_BYTES, "platform")),
        advice=_get_optional_endpoint(fields, "advice", "advice"),
        machines=_get_optional_endpoint(
            _check_object(fields.get("cloud") or {}, "cloud"),
            "address",
            "cloud.address",
        ),
        bounds=_decode_bounds(_check_object(fields.get("bounds", {}), "bounds")),
        limits=_decode_limits(_check_object(fields.get("limits", {}), "limits")),
    )


def _decode_limits(fields: Mapping[str, Any]) -> HostLimits:
    default = HostLimits()
    share = _get_number(fields, "cpu_share", default.cores, "limits")
    speed = _get_number(fields, "cores", 1.0, "limits")
    return HostLimits(
        cores=share * speed,
        link_mbps=_get_number(fields, "link_mbps", default.link_mbps, "limits"),
        memory_mb=_get_number(fields, "memory_mb", default.memory_mb, "limits"),
        max_fds=int(_get_number(fields, "max_fds", default.max_fds, "limits")),
    )


def _decode_bounds(fields: Mapping[str, Any]) -> PlatformBounds:
    default = PlatformBounds()
    return PlatformBounds(
        grace_s=_get_number(fields, "grace_s", default.grace_s),
        config_apply_s=_get_number(fields, "config_apply_ms", 2500) / 1000,
        longest_lease_s=_get_number(fields, "hold_max_ms", 6000) / 1000,
        stop_s=_get_number(fields, "stop_ms", 900) / 1000,
        drain_s=_get_number(fields, "drain_ms", 2500) / 1000,
        keep_status_s=_get_number(fields, "status_s", default.keep_status_s),
        machine_lease_s=_get_number(fields, "lease_ms", 3000) / 1000,
        upkeep_s=_get_number(fields, "upkeep_s", default.upkeep_s),
        drain_apply_s=_get_drain_apply_s(fields),
    )


def _get_drain_apply_s(fields: Mapping[str, Any]) -> float | None:
    """Return the bound on applying drains, in seconds; None if there is none.

    Raises `_FieldError` for a negative one.
    """
    apply_ms = _get_number(fields, "evac_ms", 0)
    if apply_ms < 0:
        raise _FieldError("bounds.evac_ms", f"set 0 or more, got {apply_ms:g}")
    return apply_ms / 1000 or None


def _check_object(value: object, field: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise _FieldError(field, "set an object")
    return value


def _get_text(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise _FieldError(name, f"set a non-empty string, got {value!r}")
    return value


def _get_number(
    fields: Mapping[str, Any], name: str, default: float, table: str = "bounds"
) -> float:
    try:
        return float(check_number(fields.get(name, default)))
    except DECODE_ERRORS as error:
        raise _FieldError(
            f"{table}.{name}", f"set a number; {describe_error(error)}"
        ) from error


def _get_ports(fields: Mapping[str, Any]) -> list[int]:
    """Return the first and the last port for peers and metrics, if there are any."""
    try:
        return [
            check_whole_number(port, at_most=MAX_PORT)
            for port in fields.get("port_range") or ()
        ]
    except DECODE_ERRORS as error:
        raise _FieldError(
            "port_range", f"set two port numbers; {describe_error(error)}"
        ) from error


def _get_optional_endpoint(
    fields: Mapping[str, Any], name: str, field: str
) -> Endpoint | None:
    value = fields.get(name)
    return _parse_endpoint(value, field) if value else None


def _parse_endpoint(value: object, field: str) -> Endpoint:
    if isinstance(value, str):
        address, _, port = value.rpartition(":")
        if address and port.isdecimal() and int(port) <= MAX_PORT:
            return Endpoint(address, int(port))
    raise _FieldError(field, f"set ADDRESS:PORT, got {value!r}")
