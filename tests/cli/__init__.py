"""Tests of chiveledge.cli."""

from __future__ import annotations
