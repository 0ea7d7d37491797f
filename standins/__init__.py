"""Small stand-ins for the platform's services, for tests, demo and soak."""

from __future__ import annotations
