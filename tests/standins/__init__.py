"""Tests of `soak`."""

from __future__ import annotations
