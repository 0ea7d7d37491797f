"""Command line entry point: ``python -m chiveledge``."""

from __future__ import annotations

from chiveledge.cli import main

if __name__ == "__main__":
    main()
