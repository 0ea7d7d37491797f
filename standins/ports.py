"""Ports for processes that a test starts, kills and starts again."""

from __future__ import annotations

import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 32_767
"""Highest port drawn; the system gives higher ones to outgoing connections."""

_rng = random.SystemRandom()
_drawn: set[int] = set()


def find_free_port() -> int:
    """Return an unused TCP port that no outgoing connection takes meanwhile.

    No port is drawn twice by one process; tests that run at the same time in processes
    of their own rarely draw the same one.
    """
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        if port in _drawn:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _drawn.add(port)
        return port
