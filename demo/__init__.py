"""Demo: three hosts against stand-ins of the platform, with injected failures."""

from __future__ import annotations
