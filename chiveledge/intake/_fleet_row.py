"""The row that tells every process what the fleet can hold, and its copy.

The leader writes it beside the public status of jobs, which all processes watch anyway.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.decision_log import DecisionLog
from chiveledge.decoding import (
    DECODE_ERRORS,
    check_type,
    check_whole_number,
    describe_error,
    parse_json,
)
from chiveledge.intake._status_cache import FLEET_KEY
from chiveledge.placement import WorkerKind, explain_infeasible
from chiveledge.services import Row
from chiveledge.workload import JobRequest, Usage

SETTLED_S = 60.0
"""How long a service must not have grown before a job is refused as too large: workers
of a fleet that starts are listed one after another."""

FleetCapacity = Mapping[str, Mapping[WorkerKind, int]]
"""Number of workers of each kind, by service."""


def encode_fleet(fleet: FleetCapacity) -> str:
    """Encode the numbers of workers as the value of their row."""
    rows = {
        service: sorted(
            [sorted(kind.labels), *kind.capacity, count]
            for kind, count in kinds.items()
        )
        for service, kinds in fleet.items()
    }
    return json.dumps(rows, separators=(",", ":"), sort_keys=True)


def decode_fleet(text: str) -> Result[dict[str, dict[WorkerKind, int]], str]:
    """Decode the numbers of workers, or return why the row is invalid."""
    try:
        services = check_type(parse_json(text), dict)
        return Ok({name: _decode_kinds(rows) for name, rows in services.items()})
    except DECODE_ERRORS as error:
        return Err(f"can't decode the fleet: {describe_error(error)}")


def _decode_kinds(rows: object) -> dict[WorkerKind, int]:
    kinds = {}
    for row in check_type(rows, list):
        labels, *amounts, count = check_type(row, list)
        names = frozenset(check_type(label, str) for label in check_type(labels, list))
        millicores, memory_mb, accelerators = map(check_whole_number, amounts)
        kind = WorkerKind(names, Usage(millicores, memory_mb, accelerators))
        kinds[kind] = check_whole_number(count)
    return kinds


class FleetCapacityCopy:
    """A process's copy of the row.

    Parameters
    ----------
    clock : Clock
        Tells since when a service has not grown.
    log : DecisionLog
        Receives a line if the row can't be decoded.
    """

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        self._fleet: FleetCapacity = {}
        self._grown_s: dict[str, float] = {}

    def apply_changes(
        self, rows: Iterable[Row], deleted: Iterable[str], is_snapshot: bool
    ) -> None:
        """Apply the row if it is among those that changed."""
        present = next((row for row in rows if row.key == FLEET_KEY), None)
        if present is not None:
            self._set(decode_fleet(present.value))
        elif is_snapshot or FLEET_KEY in deleted:
            self._fleet = {}

    def _set(self, decoded: Result[dict[str, dict[WorkerKind, int]], str]) -> None:
        match decoded:
            case Ok(fleet):
                for service, kinds in fleet.items():
                    known = self._fleet.get(service, {})
                    if any(count > known.get(kind, 0) for kind, count in kinds.items()):
                        self._grown_s[service] = self._clock.monotonic()
                self._fleet = fleet
            case Err(reason):
                self._log.write("intake", "bad_fleet", key=FLEET_KEY, reason=reason)
                self._fleet = {}

    def explain_infeasible(self, request: JobRequest) -> str:
        """Return why a job can never start, or "" if it may or if that isn't known."""
        service = request.service
        kinds = self._fleet.get(service)
        if not kinds:
            return ""
        grown_s = self._grown_s.get(service, float("inf"))
        if self._clock.monotonic() - grown_s < SETTLED_S:
            return ""
        return explain_infeasible(kinds, request.steps)
