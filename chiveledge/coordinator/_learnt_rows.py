"""The rows that hold what leaders learn of speeds and run times, as text.

Each row holds entries of one kind, as many as fit. A row or an entry that can't be
decoded is left out, as the figures only make decisions better.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeVar

from chiveledge.coordinator._run_times import LearntAverage, LearntRunTimes
from chiveledge.decoding import (
    DECODE_ERRORS,
    check_number,
    check_type,
    check_whole_number,
    parse_json,
)
from chiveledge.placement import MachineSpeed
from chiveledge.services import Row
from chiveledge.services.machines import MachineName
from chiveledge.types import JsonObject, QueueName

LEARNT_PREFIX = "learnt/"
SPEED_KEY = f"{LEARNT_PREFIX}speeds"
RUN_TIME_KEY = f"{LEARNT_PREFIX}run-times"
ROW_SEPARATOR = "~"
"""Separates the kind of a row from its number in a key."""

MAX_ROWS = 40
"""Maximum number of rows of one kind; the oldest entries beyond are left out."""

DECIMALS = 3
"""Decimals of stored logarithms; a thousandth is far below `MIN_CHANGE`."""

MAX_LOG = 25.0
"""Largest plausible logarithm of a ratio or of a time in seconds."""

MAX_STORED_SAMPLES = 10**6
"""Largest plausible number of comparisons of a machine."""

BRACKET_CHARS = 2
COMMA_CHARS = 1

T = TypeVar("T")


class LearntFigures(NamedTuple):
    """What leaders learnt of the speeds of machines and of the run times of queues.

    The entries with the newest evidence come last.
    """

    speeds: dict[MachineName, MachineSpeed]
    run_times: dict[QueueName, LearntRunTimes]


class DecodedFigures(NamedTuple):
    """Figures that were read, and how many rows and entries were left out."""

    figures: LearntFigures
    unreadable: int


def is_known_key(key: str) -> bool:
    """Return whether a row is of a kind that this version writes."""
    return key.partition(ROW_SEPARATOR)[0] in (SPEED_KEY, RUN_TIME_KEY)


def encode_rows(figures: LearntFigures, max_row_chars: int) -> dict[str, str]:
    """Return the texts of the rows by key.

    Parameters
    ----------
    figures : LearntFigures
        What the rows are to hold.
    max_row_chars : int
        Longest text of a row, in characters. An entry that is longer is left out.
    """
    speeds = {name: _encode_speed(speed) for name, speed in figures.speeds.items()}
    times = {name: _encode_times(times) for name, times in figures.run_times.items()}
    return {
        f"{key}{ROW_SEPARATOR}{number}": text
        for key, entries in ((SPEED_KEY, speeds), (RUN_TIME_KEY, times))
        for number, text in enumerate(_split_entries(entries, max_row_chars))
    }


def decode_rows(rows: Iterable[Row]) -> DecodedFigures:
    """Return the figures in rows; rows of kinds that are unknown here are ignored."""
    speeds: dict[MachineName, MachineSpeed] = {}
    run_times: dict[QueueName, LearntRunTimes] = {}
    unreadable = 0
    for row in rows:
        match row.key.partition(ROW_SEPARATOR)[0]:
            case key if key == SPEED_KEY:
                unreadable += _decode_entries(row.value, _decode_speed, speeds)
            case key if key == RUN_TIME_KEY:
                unreadable += _decode_entries(row.value, _decode_times, run_times)
    return DecodedFigures(LearntFigures(speeds, run_times), unreadable)


def _split_entries(entries: dict[str, object], max_row_chars: int) -> list[str]:
    """Return the texts of the rows for entries, the newest first."""
    rows: list[list[str]] = []
    free_chars = 0
    for name in reversed(entries):
        text = f"{json.dumps(name)}:{_to_text(entries[name])}"
        needed = len(text) + COMMA_CHARS
        if needed > max_row_chars - BRACKET_CHARS:
            continue
        if needed > free_chars:
            if len(rows) == MAX_ROWS:
                break
            rows.append([])
            free_chars = max_row_chars - BRACKET_CHARS
        rows[-1].append(text)
        free_chars -= needed
    # Sorted, so that a row whose entries haven't changed has the same text.
    return ["{" + ",".join(sorted(texts)) + "}" for texts in rows]


def _to_text(value: object) -> str:
    return json.dumps(value, separators=(",", ":"))


def _encode_speed(speed: MachineSpeed) -> list[float]:
    return [round(speed.log_speed, DECIMALS), speed.samples]


def _encode_times(times: LearntRunTimes) -> list[list[float]]:
    averages = [times.run_time] if times.ratio is None else list(times)
    return [[round(value, DECIMALS) for value in average] for average in averages]


def _decode_entries(text: str, decode: Callable[[list], T], found: dict[str, T]) -> int:
    """Add the entries of a row; return how many were left out, 1 for a whole row."""
    unreadable = 0
    try:
        entries: JsonObject = check_type(parse_json(text), dict)
    except DECODE_ERRORS:
        return 1
    for name, value in entries.items():
        try:
            found[name] = decode(check_type(value, list))
        except DECODE_ERRORS:
            unreadable += 1
    return unreadable


def _decode_speed(value: list) -> MachineSpeed:
    """Decode an entry; raises one of `DECODE_ERRORS`, as the functions below do."""
    log_speed, samples = value
    count = check_whole_number(samples, at_most=MAX_STORED_SAMPLES)
    if count == 0:
        raise ValueError("a speed without a comparison")
    return MachineSpeed(_check_log(log_speed), count)


def _decode_times(value: list) -> LearntRunTimes:
    run_time, *others = value
    ratio = None
    if others:
        (row,) = others
        ratio = _decode_average(row)
    return LearntRunTimes(_decode_average(run_time), ratio)


def _decode_average(value: object) -> LearntAverage:
    mean, deviation, steps = check_type(value, list)
    average = LearntAverage(
        _check_log(mean), _check_log(deviation), float(check_number(steps))
    )
    if average.deviation < 0 or average.steps <= 0:
        raise ValueError("a negative deviation or an average without a value")
    return average


def _check_log(value: object) -> float:
    number = float(check_number(value))
    if abs(number) > MAX_LOG:
        raise ValueError(f"{number} is no logarithm of a ratio or a time")
    return number
