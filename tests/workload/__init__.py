"""Tests of `chiveledge.workload`."""

from __future__ import annotations
