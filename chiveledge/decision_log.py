"""Decision log: one JSON object per line, rate limited, written without blocking.

Every line has the fields ``t`` (wall time), ``node``, ``domain`` (the failure domain
of the process), ``part`` and ``event``, and ``id`` if it concerns one job. The other
fields are the inputs and the outcome of the decision. `chiveledge.log_trace` reads the
lines.
"""

from __future__ import annotations

import json
import os
import sys
from collections import Counter
from typing import Protocol

from chiveledge.clock import Clock

LINES_PER_SECOND = 200
"""Lines per second of one event of one part; further lines are dropped and counted.
The limit is per event, so that events logged for every task do not displace the end
of a job."""


class DecisionLog(Protocol):
    """Log of the decisions of one process."""

    def write(self, part: str, event: str, **fields: object) -> None:
        """Write one line for a decision."""


class JsonLog:
    """Writes lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    node : str
        Name of this process, written in all lines.
    clock : Clock
        Source of the time of lines and of the rate limit.
    domain : str, optional
        Failure domain of this process, written in all lines.
    descriptor : int, optional
        File descriptor to write to, by default that of standard output.
    lines_per_second : int, optional
        Limit for each event of each part.
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
        self._last_line_cut = False

    def write(self, part: str, event: str, **fields: object) -> None:
        """Write a line, or drop and count it if over the limit or if it would block."""
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
        data = (("\n" if self._last_line_cut else "") + text + "\n").encode()
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # The pipe is full or has no reader; the caller counts the line as dropped.
            return False
        self._last_line_cut = written < len(data)
        return not self._last_line_cut


class NullLog:
    """Discards all lines, for tests and benchmarks."""

    def write(self, part: str, event: str, **fields: object) -> None:
        """Discard the line."""
