"""Compares transcripts of HTTP sessions with golden files.

IDs, times and ports are masked. Run the tests with ``CHIVELEDGE_WRITE_GOLDEN=1`` to
overwrite the files.
"""

from __future__ import annotations

import os
import re
from pathlib import Path

FOLDER = Path(__file__).parent / "golden"
WRITE_VARIABLE = "CHIVELEDGE_WRITE_GOLDEN"

MASKS = [
    (r"\d{4}-\d\d-\d\dT[\d:.]+(\+00:00)?", "TIME"),
    (r"\b[0-9a-f]{32}\b", "ID"),
    (r"\b[0-9a-f]{16}\b", "DIGEST"),
    (r"\.[0-9a-f]{20}\b", ".JOB"),
    (r"127\.0\.0\.1:\d+", "ADDRESS"),
    (r"minion-\d+", "MINION"),
    (r"worker-\d+", "WORKER"),
]


def mask_varying_values(text: str) -> str:
    """Replace values that differ between runs by placeholders."""
    for pattern, replacement in MASKS:
        text = re.sub(pattern, replacement, text)
    return text


def check_golden(name: str, text: str) -> None:
    """Check that a transcript equals its golden file, after masking."""
    path = FOLDER / f"{name}.txt"
    actual = mask_varying_values(text)
    if os.environ.get(WRITE_VARIABLE):
        path.write_text(actual, encoding="utf-8")
    assert actual == path.read_text(encoding="utf-8"), (
        f"{name} differs from its golden file"
    )
