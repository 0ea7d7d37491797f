"""Command-line interface: ``chiveledge COMMAND``."""

from __future__ import annotations

from chiveledge.cli._main import main

__all__ = ["main"]
