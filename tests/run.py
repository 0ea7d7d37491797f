"""Runs all tests except those listed in KNOWN-RED.txt, which it prints."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> list[str]:
    """Return the IDs of the tests listed in KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return [entry.split("|")[0].strip() for entry in entries]


def main() -> int:
    """Run the tests; return the exit code of pytest."""
    known_red = read_known_red()
    for test in known_red:
        print(f"KNOWN RED, passed over: {test}")
    deselect = [f"--deselect={test}" for test in known_red]
    return pytest.main(["-q", "-p", "no:cacheprovider", *deselect, *sys.argv[1:]])


if __name__ == "__main__":
    sys.exit(main())
