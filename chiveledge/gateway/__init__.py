"""Gateway role: accepts requests and jobs of callers, routes requests to minions."""

from __future__ import annotations

from chiveledge.gateway._dispatch import Dispatcher, RequestEnvelope
from chiveledge.gateway._router import MinionPool, RouterPolicy
from chiveledge.gateway._server import GatewayServer

__all__ = [
    "Dispatcher",
    "GatewayServer",
    "MinionPool",
    "RequestEnvelope",
    "RouterPolicy",
]
