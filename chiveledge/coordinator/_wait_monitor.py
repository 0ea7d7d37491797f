"""Logs and counts steps that wait for a reason that operators don't expect.

On a full fleet it is normal that work waits. What waits although it would fit, or
although most of the fleet is free, has another reason, which the log and the metrics
name.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from chiveledge.coordinator._context import TermContext
from chiveledge.placement import FleetView, StepDemand, WaitCause, find_wait_cause

WAIT_NOTICE_S = 3.0
"""How long a step waits before its reason is looked for."""

CHECK_PAUSE_S = 0.25
"""Shortest time between two looks. Each is at one step, as hundreds of steps may wait
for hundreds of workers."""

USUAL_CAUSES = frozenset({WaitCause.FULL, WaitCause.RESERVED})
"""Reasons that operators expect unless most of the fleet is free."""


class _Wait(NamedTuple):
    """A step that waits.

    Attributes
    ----------
    checked_s : float
        Monotonic time of the last look at it.
    cause : WaitCause, optional
        The reason that was logged; None if there is none to log.
    """

    checked_s: float
    cause: WaitCause | None


class WaitMonitor:
    """Names the reasons why steps wait.

    Parameters
    ----------
    context : TermContext
        Log and metrics.
    """

    def __init__(self, context: TermContext) -> None:
        self._log = context.log
        self._metrics = context.metrics
        self._waits: dict[str, _Wait] = {}
        self._next_check_s = 0.0

    def check(self, fleet: FleetView, waiting: list[StepDemand], now_s: float) -> None:
        """Look at the step whose reason was looked for longest ago.

        Parameters
        ----------
        fleet : FleetView
            Workers, as a plan has left them.
        waiting : list of StepDemand
            The tasks that this plan did not place.
        now_s : float
            Monotonic time.
        """
        steps = {
            demand.step_name: demand
            for demand in waiting
            if demand.waited_s >= WAIT_NOTICE_S
        }
        self._end_waits(steps.keys())
        if not steps or now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_PAUSE_S
        next_name = min(steps, key=self._find_check_s)
        self._check_step(fleet, steps[next_name], now_s)

    def _find_check_s(self, step_name: str) -> float:
        wait = self._waits.get(step_name)
        return wait.checked_s if wait else float("-inf")

    def _end_waits(self, step_names: Container[str]) -> None:
        for step_name in [name for name in self._waits if name not in step_names]:
            if self._waits.pop(step_name).cause is not None:
                self._write("wait_over", step_name)

    def _check_step(self, fleet: FleetView, demand: StepDemand, now_s: float) -> None:
        cause: WaitCause | None = find_wait_cause(fleet, demand)
        if cause in USUAL_CAUSES and not fleet.is_mostly_free(demand.service):
            cause = None
        before = self._waits.get(demand.step_name)
        self._waits[demand.step_name] = _Wait(now_s, cause)
        if cause is None or before is not None and before.cause is cause:
            return
        self._metrics.count(f"waits_{cause}")
        self._write(
            "waits",
            demand.step_name,
            cause=cause,
            tasks=len(demand.indices),
            gang=demand.step.gang,
            data_rack=demand.step.data_rack,
            label=demand.step.required_label,
            workers=len(fleet.accepting(demand.service)),
            candidates=len(fleet.candidates(demand)),
            waited_s=round(demand.waited_s, 3),
        )

    def _write(self, event: str, step_name: str, **fields: object) -> None:
        job_id = step_name.partition(".")[0]
        self._log.write("coordinator", event, id=job_id, step=step_name, **fields)
