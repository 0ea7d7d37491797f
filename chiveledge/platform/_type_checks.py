"""Type checks of decoded fields, so that a malformed answer becomes an error value."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")

DECODE_ERRORS = (ValueError, TypeError, KeyError, IndexError, AttributeError)
"""Exceptions that decoding a malformed answer may raise."""


def check_type(value: object, kind: type[T]) -> T:
    """Return `value` if it is an instance of `kind`; a bool does not count as an int.

    Raises
    ------
    TypeError
        If the value has another type.
    """
    if isinstance(value, bool) and kind is not bool or not isinstance(value, kind):
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


def check_number(value: object) -> float:
    """Return `value` if it is an int or a float, and raise TypeError otherwise."""
    return value if isinstance(value, int) else check_type(value, float)
