"""Tests of cells and guarantees."""

from __future__ import annotations
