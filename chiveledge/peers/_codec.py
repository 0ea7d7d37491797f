"""Encodes and decodes peer messages with Cap'n Proto, packed."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple, TypeAlias

import capnp
from result import Err, Ok, Result

from chiveledge.types import MinionName, ProcessName, RegionName, Revision

MS_PER_S = 1000
NEVER_CONFIRMED_MS = 2**40

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("_schema.capnp")))


class MinionLoad(NamedTuple):
    """Requests that one gateway has in flight at one minion."""

    name: MinionName
    in_flight: int


@dataclass(frozen=True)
class PeerReport:
    """State of a process that newer reports replace.

    Attributes
    ----------
    revision : int
        Configuration revision in force in the sender.
    confirmation_age_s : float
        Seconds since the store is known to have confirmed it.
    ready : bool
        Whether the sender serves.
    loads : tuple of MinionLoad
        Minions with requests of the sender in flight.
    leaving : tuple of str
        Targets that the sender knows to be leaving.
    """

    revision: Revision
    confirmation_age_s: float
    ready: bool
    loads: tuple[MinionLoad, ...] = ()
    leaving: tuple[str, ...] = ()


@dataclass(frozen=True)
class ConfigurationPush:
    """A newly accepted document, as in its row."""

    text: str


@dataclass(frozen=True)
class JobNotice:
    """A hint that a region's inbox has new rows."""

    region: RegionName


PeerBody: TypeAlias = PeerReport | ConfigurationPush | JobNotice


class PeerEnvelope(NamedTuple):
    """A message and the process that sent it."""

    sender: ProcessName
    body: PeerBody


def encode_message(envelope: PeerEnvelope) -> bytes:
    """Return the packed form of a message."""
    message = _schema.PeerMessage.new_message(sender=envelope.sender)
    match envelope.body:
        case PeerReport() as report:
            _write_report(message.init("report"), report)
        case ConfigurationPush(text):
            message.init("configuration").text = text
        case JobNotice(region):
            message.init("job").region = region
    return message.to_bytes_packed()


def decode_message(packed: bytes) -> Result[PeerEnvelope, str]:
    """Return the message of a packed form, or why it is none."""
    try:
        message = _schema.PeerMessage.from_bytes_packed(packed)
        return Ok(PeerEnvelope(message.sender, _read_body(message)))
    except (capnp.KjException, ValueError) as error:
        return Err(f"not a peer message: {error}")


def _write_report(builder: object, report: PeerReport) -> None:
    builder.revision = report.revision
    age_ms = report.confirmation_age_s * MS_PER_S
    builder.confirmationAgeMs = int(min(age_ms, NEVER_CONFIRMED_MS))
    builder.ready = report.ready
    loads = builder.init("loads", len(report.loads))
    for index, load in enumerate(report.loads):
        loads[index].name = load.name
        loads[index].inFlight = load.in_flight
    builder.leaving = list(report.leaving)


def _read_body(message: object) -> PeerBody:
    match str(message.which()):
        case "report":
            return _read_report(message.report)
        case "configuration":
            return ConfigurationPush(message.configuration.text)
        case "job":
            return JobNotice(message.job.region)
        case other:
            raise ValueError(f"unknown message {other!r}")


def _read_report(reader: object) -> PeerReport:
    return PeerReport(
        revision=reader.revision,
        confirmation_age_s=reader.confirmationAgeMs / MS_PER_S,
        ready=reader.ready,
        loads=tuple(MinionLoad(load.name, load.inFlight) for load in reader.loads),
        leaving=tuple(reader.leaving),
    )
