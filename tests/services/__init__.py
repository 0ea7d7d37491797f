"""Contract tests of the platform's services, for fakes and HTTP clients alike."""

from __future__ import annotations
