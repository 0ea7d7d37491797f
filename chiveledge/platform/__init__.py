"""Adapter between the users' platform and the product; it translates and no more."""

from __future__ import annotations
