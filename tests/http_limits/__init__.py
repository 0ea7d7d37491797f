"""Tests of `chiveledge.http_limits`."""

from __future__ import annotations
