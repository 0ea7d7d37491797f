"""Entry point of a process: ``python3 -m chiveledge.platform``."""

from __future__ import annotations

import sys

from chiveledge.platform._node import main

if __name__ == "__main__":
    sys.exit(main())
