"""A randomized soak: real processes, faults from outside, promises checked."""

from __future__ import annotations
