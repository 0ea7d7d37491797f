"""Encodes and decodes peer messages in the packed form of Cap'n Proto."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple, TypeAlias

import capnp
from result import Err, Ok, Result

from chiveledge.types import MinionName, ProcessName, RegionName, Revision

MS_PER_S = 1000
NEVER_CONFIRMED_MS = 2**40
"""Largest age of a confirmation in a report; also stands for an infinite age."""

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("_schema.capnp")))


class MinionLoad(NamedTuple):
    """Number of requests that one gateway has in flight at one minion."""

    name: MinionName
    in_flight: int


@dataclass(frozen=True)
class PeerReport:
    """State of the sender; a newer report replaces an older one.

    Attributes
    ----------
    revision : int
        Configuration revision in force in the sender.
    confirmation_age_s : float
        Seconds since the store last confirmed it, as far as the sender knows.
    ready : bool
        Whether the sender accepts requests.
    loads : tuple of MinionLoad
        The sender's requests in flight at each minion.
    leaving : tuple of str
        Names of targets that the sender knows to be leaving.
    sent_stamp : int
        Stamp of the sender's clock when it made the report.
    echoed_stamp : int
        Newest `sent_stamp` that the sender had received from the peer to which the
        report goes; 0 if none.
    """

    revision: Revision
    confirmation_age_s: float
    ready: bool
    loads: tuple[MinionLoad, ...] = ()
    leaving: tuple[str, ...] = ()
    sent_stamp: int = 0
    echoed_stamp: int = 0


@dataclass(frozen=True)
class ConfigurationPush:
    """A newly accepted configuration document, encoded as in its row."""

    text: str


@dataclass(frozen=True)
class JobNotice:
    """A hint to the leader of a region that its inbox has new rows."""

    region: RegionName


PeerBody: TypeAlias = PeerReport | ConfigurationPush | JobNotice


class PeerEnvelope(NamedTuple):
    """A message with the name of the process that sent it.

    Attributes
    ----------
    report_age_s : float
        Longest time that a received report can have been on its way; infinite if
        nothing bounds it.
    """

    sender: ProcessName
    body: PeerBody
    report_age_s: float = float("inf")


def encode_message(envelope: PeerEnvelope) -> bytes:
    """Encode a message in its packed form."""
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
    """Decode a packed message, or return why it is malformed."""
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
    builder.sentStamp = report.sent_stamp
    builder.echoedStamp = report.echoed_stamp


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
        sent_stamp=reader.sentStamp,
        echoed_stamp=reader.echoedStamp,
    )
