"""Tests of chiveledge.peers."""

from __future__ import annotations
