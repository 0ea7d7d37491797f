"""Tests of chiveledge.administration."""

from __future__ import annotations
