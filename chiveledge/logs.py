"""Structured logs: a prefix that names the part, a sentence and key=value fields."""

from __future__ import annotations

import json

from absl import logging


def _format_value(value: object) -> str:
    text = str(value)
    if text and not any(c in text for c in ' "=\n'):
        return text
    return json.dumps(text)


class PartLogger:
    """Logger of one part of the system.

    Parameters
    ----------
    part : str
        Prefix of all its lines, for example ``"gateway"``.

    Examples
    --------
    >>> PartLogger("gateway").info("Started.", port=7101)
    """

    def __init__(self, part: str) -> None:
        self._part = part

    def info(self, sentence: str, **fields: object) -> None:
        """Log a normal event."""
        logging.info("%s", self._format_line(sentence, fields))

    def warning(self, sentence: str, **fields: object) -> None:
        """Log an event that may need an operator's attention."""
        logging.warning("%s", self._format_line(sentence, fields))

    def error(self, sentence: str, **fields: object) -> None:
        """Log a violated invariant or an event that an operator must handle."""
        logging.error("%s", self._format_line(sentence, fields))

    def _format_line(self, sentence: str, fields: dict[str, object]) -> str:
        parts = [f"{self._part}: {sentence}"]
        parts += [f"{key}={_format_value(value)}" for key, value in fields.items()]
        return " ".join(parts)
