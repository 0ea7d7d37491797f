"""Entry point of a process: ``python3 -m chiveledge.platform``."""

from __future__ import annotations

import signal
import sys

# The default action would end the process during the imports. The settings are read
# after them, so a change that the signal announces is not missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)


def run() -> int:
    """Import and run the process; return its exit code."""
    from chiveledge.platform._node import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
