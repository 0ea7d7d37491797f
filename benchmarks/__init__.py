"""Benchmarks, which print ``name value unit baseline_value ratio seed`` lines."""

from __future__ import annotations
