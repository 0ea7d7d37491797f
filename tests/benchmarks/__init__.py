"""Tests of `benchmarks`."""

from __future__ import annotations
