"""Randomized soak test: real processes, injected faults and checked invariants."""

from __future__ import annotations
