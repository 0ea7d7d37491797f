"""Measurements; each prints ``name value unit baseline_value ratio seed`` lines."""

from __future__ import annotations
