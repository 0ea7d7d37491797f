"""The demo: three hosts, stand-ins for the platform, and failures in the middle."""

from __future__ import annotations
