"""Checks of values that other systems wrote, so that a malformed one becomes an error.

A decoder catches `DECODE_ERRORS` around the parsing and the checks, and returns an
error value or skips the record that it can't decode.
"""

from __future__ import annotations

import json
import reprlib
from typing import TypeVar

T = TypeVar("T")

DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions that decoding a malformed value may raise.

The parser raises RecursionError for deeply nested text, and arithmetic on a whole
number with hundreds of digits raises OverflowError.
"""

MAX_NUMBER = 2**53
"""Largest number that is accepted; all smaller whole numbers are exact as floats."""

MAX_ERROR_CHARS = 200
"""Longest description of an error, since its text may quote the malformed value."""


def parse_json(text: str | bytes) -> object:
    """Return the value of a JSON text, without the constants for infinity and NaN.

    Raises
    ------
    ValueError or RecursionError
        If the text is not valid JSON, or too deeply nested.
    """
    return json.loads(text, parse_constant=_refuse_constant)


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number in JSON")


def check_type(value: object, kind: type[T]) -> T:
    """Return `value` if it is an instance of `kind`; a bool does not count as an int.

    Raises
    ------
    TypeError
        If the value has another type.
    """
    if isinstance(value, bool) and kind is not bool or not isinstance(value, kind):
        raise TypeError(f"{reprlib.repr(value)} is not of type {kind.__name__}")
    return value


def check_whole_number(value: object, *, at_most: int = MAX_NUMBER) -> int:
    """Return `value` if it is an int from 0 to `at_most`.

    Raises
    ------
    TypeError or ValueError
        If the value has another type or is out of range.
    """
    number = check_type(value, int)
    if not 0 <= number <= at_most:
        raise ValueError(f"{reprlib.repr(number)} is not between 0 and {at_most}")
    return number


def check_number(value: object) -> float:
    """Return `value` if it is a finite int or float of at most `MAX_NUMBER`.

    Raises
    ------
    TypeError or ValueError
        If the value has another type or is out of range.
    """
    number = value if isinstance(value, float) else check_type(value, int)
    if not abs(number) <= MAX_NUMBER:  # Also true of NaN.
        raise ValueError(f"{reprlib.repr(number)} is out of range")
    return number


def describe_error(error: Exception) -> str:
    """Return the type and a bounded text of an error that a decoder caught."""
    return f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS]
