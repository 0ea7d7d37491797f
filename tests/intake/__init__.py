"""Tests of `chiveledge.intake`."""

from __future__ import annotations
