"""Ports for processes that a test starts, kills and starts again."""

from __future__ import annotations

import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 32_767
"""Highest port drawn; the system gives higher ones to outgoing connections."""

_rng = random.SystemRandom()


def find_free_port() -> int:
    """Return an unused TCP port that no outgoing connection takes meanwhile.

    Tests that run at the same time, each in a process of its own, draw different ones.
    """
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
