"""Tests of `chiveledge.placement`."""

from __future__ import annotations
