"""Tests of `chiveledge.platform`."""

from __future__ import annotations
