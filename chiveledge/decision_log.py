"""Structured log of decisions: one JSON object a line, bounded and never blocking.

Fields that every line has: ``t`` (wall time), ``node``, ``domain`` (its failure
domain), ``part``, ``event`` and, where it concerns one job, ``id``. All others are the
inputs and the outcome. `chiveledge.log_trace` reads them.
"""

from __future__ import annotations

import json
import os
import sys
from collections import Counter
from typing import Protocol

from chiveledge.clock import Clock

LINES_PER_SECOND = 200
"""Lines of one event that one part may write in a second; the rest is counted and
dropped. An event that comes for each task must not crowd out the end of a job."""


class DecisionLog(Protocol):
    """Receives one line for each decision."""

    def write(self, part: str, event: str, **fields: object) -> None:
        """Write one line."""


class JsonLog:
    """Writes lines to standard output without ever waiting for its reader.

    Parameters
    ----------
    node : str
        Name of this process in all lines.
    clock : Clock
        Time of the lines and of the budget.
    domain : str, optional
        Failure domain of this process in all lines.
    descriptor : int, optional
        Where lines go; standard output by default.
    lines_per_second : int, optional
        Budget of each event of each part.
    """

    def __init__(
        self,
        node: str,
        clock: Clock,
        *,
        domain: str = "",
        descriptor: int | None = None,
        lines_per_second: int = LINES_PER_SECOND,
    ) -> None:
        self._node = node
        self._domain = domain
        self._clock = clock
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._limit = lines_per_second
        self._second = 0
        self._written: Counter[tuple[str, str]] = Counter()
        self._dropped: Counter[tuple[str, str]] = Counter()
        self._torn = False

    def write(self, part: str, event: str, **fields: object) -> None:
        """Write one line, or count it as dropped."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
            self._report_dropped()
        if self._written[part, event] >= self._limit:
            self._dropped[part, event] += 1
            return
        self._written[part, event] += 1
        if not self._emit(part, event, fields):
            self._dropped[part, event] += 1

    def _report_dropped(self) -> None:
        for (part, event), count in list(self._dropped.items()):
            if self._emit(part, "lines_dropped", {"of": event, "count": count}):
                del self._dropped[part, event]

    def _emit(self, part: str, event: str, fields: dict[str, object]) -> bool:
        line = {
            "t": self._clock.now().isoformat(timespec="milliseconds"),
            "node": self._node,
            "domain": self._domain,
            "part": part,
            "event": event,
            **fields,
        }
        text = json.dumps(line, separators=(",", ":"), default=str)
        data = (("\n" if self._torn else "") + text + "\n").encode()
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # Nobody reads, or the pipe is full: the caller counts the line.
            return False
        self._torn = written < len(data)
        return not self._torn


class SilentLog:
    """Drops all lines, for tests and benchmarks."""

    def write(self, part: str, event: str, **fields: object) -> None:
        """Do nothing."""
