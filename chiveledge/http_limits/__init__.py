"""Limits on what clients may make a process hold: bytes, connections and time."""

from __future__ import annotations

from chiveledge.http_limits._body import BodyLost, BodyTooLarge, BodyTooLate, read_body
from chiveledge.http_limits._budget import (
    Account,
    Closing,
    HostResources,
    ListenerBudget,
    ReadBudget,
    Reason,
    RequestLimits,
)
from chiveledge.http_limits._handler import READ_BYTES, limit_reads
from chiveledge.http_limits._servers import ClientServers, LimitedServer, Listener

__all__ = [
    "READ_BYTES",
    "Account",
    "BodyLost",
    "BodyTooLarge",
    "BodyTooLate",
    "ClientServers",
    "Closing",
    "HostResources",
    "LimitedServer",
    "Listener",
    "ListenerBudget",
    "ReadBudget",
    "Reason",
    "RequestLimits",
    "limit_reads",
    "read_body",
]
