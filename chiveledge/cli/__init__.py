"""The command line: ``chiveledge COMMAND``; commands and queries apart."""

from __future__ import annotations

from chiveledge.cli._main import main

__all__ = ["main"]
