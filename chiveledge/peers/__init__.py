"""Messages between chiveledge processes, and the connections that carry them."""

from __future__ import annotations

from chiveledge.peers._codec import (
    ConfigurationPush,
    JobNotice,
    MinionLoad,
    PeerEnvelope,
    PeerReport,
    decode_message,
    encode_message,
)
from chiveledge.peers._network import PeerNetwork

__all__ = [
    "ConfigurationPush",
    "JobNotice",
    "MinionLoad",
    "PeerEnvelope",
    "PeerNetwork",
    "PeerReport",
    "decode_message",
    "encode_message",
]
