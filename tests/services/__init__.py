"""Contract tests of the platform's interfaces."""

from __future__ import annotations
