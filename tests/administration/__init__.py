"""Tests of chiveledge.gateway."""

from __future__ import annotations
