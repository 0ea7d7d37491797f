"""Tests of chiveledge.configuration."""

from __future__ import annotations
