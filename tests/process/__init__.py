"""Tests of whole processes over real connections."""

from __future__ import annotations
