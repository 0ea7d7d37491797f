"""Reports what drains of failure domains hold up: the whole fleet, or single steps.

Load pattern: while operators have taken failure domains out, work that only their
workers can take piles up, and the operator has to see that it waits for the drain.
"""

from __future__ import annotations

from collections.abc import Iterable

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.drains import KnownDrains
from chiveledge.placement import StepDemand, charged_usage
from chiveledge.types import DomainName, WorkerName
from chiveledge.workload import Usage


class DrainMonitor:
    """Logs when starts are held up by drains, and when they no longer are.

    Parameters
    ----------
    context : TermContext
        Log and drains.
    links : dict
        State of each worker by name.
    """

    def __init__(
        self, context: TermContext, links: dict[WorkerName, WorkerLink]
    ) -> None:
        self._log = context.log
        self._drains = context.drains
        self._links = links
        self._unknown_since_s: float | None = None
        self._waiting_since_s: dict[str, float] = {}

    def check_age(self, now_s: float) -> None:
        """Log when the drains become too old to start anything, and when they are read.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        """
        known = self._drains()
        if not known.is_current and self._unknown_since_s is None:
            self._unknown_since_s = now_s
            self._log.write(
                "drains",
                "unknown",
                age_s=round(known.age_s, 3),
                max_age_s=round(known.max_age_s, 3),
            )
        elif known.is_current and self._unknown_since_s is not None:
            self._log.write(
                "drains",
                "known_again",
                age_s=round(known.age_s, 3),
                without_s=round(now_s - self._unknown_since_s, 3),
            )
            self._unknown_since_s = None

    def check_waits(self, demands: Iterable[StepDemand], now_s: float) -> None:
        """Log which steps begin and cease to wait for a drain.

        Parameters
        ----------
        demands : iterable of StepDemand
            All steps with tasks to start.
        now_s : float
            Monotonic time.
        """
        known = self._drains()
        if not known.drains and not self._waiting_since_s:
            return
        waiting = _find_waiting(demands, self._links.values(), known)
        for step_name in [n for n in self._waiting_since_s if n not in waiting]:
            waited_s = now_s - self._waiting_since_s.pop(step_name)
            self._log.write(
                "coordinator",
                "drain_wait_over",
                id=step_name.partition(".")[0],
                step=step_name,
                waited_s=round(waited_s, 3),
            )
        for step_name, (demand, domains) in waiting.items():
            if step_name in self._waiting_since_s:
                continue
            self._waiting_since_s[step_name] = now_s
            self._log.write(
                "coordinator",
                "waits_for_drain",
                id=demand.job_id,
                step=step_name,
                label=demand.step.required_label,
                failure_domains=sorted(domains),
            )


def _find_waiting(
    demands: Iterable[StepDemand], links: Iterable[WorkerLink], known: KnownDrains
) -> dict[str, tuple[StepDemand, set[DomainName]]]:
    """Return the steps that only workers in drained domains can take, by name.

    Steps of one shape are looked up once, since hundreds may wait.
    """
    usable = [
        link
        for link in links
        if link.listed and link.is_described and not link.entry.draining
    ]
    found: dict[tuple[str, str, Usage], set[DomainName]] = {}
    waiting = {}
    for demand in demands:
        shape = demand.service, demand.step.required_label, charged_usage(demand.step)
        if shape not in found:
            domains = _find_domains(usable, *shape)
            found[shape] = domains if domains <= known.drains.keys() else set()
        if found[shape]:
            waiting[demand.step_name] = demand, found[shape]
    return waiting


def _find_domains(
    links: Iterable[WorkerLink], service: str, label: str, usage: Usage
) -> set[DomainName]:
    """Return the failure domains of all workers that can take a task when empty."""
    return {
        link.entry.domain
        for link in links
        if link.entry.service == service
        and (not label or label in link.entry.labels)
        and usage.fits(link.entry.capacity)
    }
