"""Tests of chiveledge.scheduler."""

from __future__ import annotations
