"""Tests of `chiveledge.coordinator`."""

from __future__ import annotations
