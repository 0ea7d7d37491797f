"""Checks the types of decoded fields, so that a strange answer is an error value."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")

DECODE_ERRORS = (ValueError, TypeError, KeyError, IndexError, AttributeError)
"""What taking apart an answer of another shape may raise."""


def check_type(value: object, kind: type[T]) -> T:
    """Return a value of a type; a truth value is no number.

    Raises
    ------
    TypeError
        If it is of another type.
    """
    if isinstance(value, bool) and kind is not bool or not isinstance(value, kind):
        raise TypeError(f"{value!r} is no {kind.__name__}")
    return value


def check_number(value: object) -> float:
    """Return a whole or broken number."""
    return value if isinstance(value, int) else check_type(value, float)
