"""Logs what drains of failure domains delay: all starts, or those of single steps.

Load pattern: while operators have taken failure domains out, work that only their
workers can take piles up, and the operator has to see that it waits for the drain.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.drains import KnownDrains
from chiveledge.placement import StepDemand, charged_usage
from chiveledge.types import DomainName, WorkerName
from chiveledge.workload import Usage


class DrainMonitor:
    """Logs when starts begin and cease to wait because of drains.

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
        # By the name of the step.
        self._waiting_since_s: dict[str, float] = {}

    def check_age(self, now_s: float) -> None:
        """Log when the drains become too old to be relied on, and when not any more.

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
            The steps with tasks that may start now. A step that isn't among them, as
            when its orders were declined and it rests, waits for no drain.
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


class _WorkerKind(NamedTuple):
    """What workers have in common that can take the same tasks when empty."""

    service: str
    labels: frozenset[str]
    capacity: Usage
    domain: DomainName

    def can_take(self, service: str, label: str, usage: Usage) -> bool:
        """Return whether a task fits that needs a label; an empty one means none."""
        return (
            self.service == service
            and (not label or label in self.labels)
            and usage.fits(self.capacity)
        )


def _find_waiting(
    demands: Iterable[StepDemand], links: Iterable[WorkerLink], known: KnownDrains
) -> dict[str, tuple[StepDemand, set[DomainName]]]:
    """Return the steps that only workers in drained domains can take, by name.

    Each comes with its demand and these domains. Whether capacity is free doesn't
    count. Steps of one shape are looked up once, and workers of one kind too: hundreds
    of steps may wait, and hundreds of workers differ in few ways.
    """
    kinds = _list_kinds(links)
    drained = [kind for kind in kinds if kind.domain in known.drains]
    others = [kind for kind in kinds if kind.domain not in known.drains]
    found: dict[tuple[str, str, Usage], set[DomainName]] = {}
    waiting = {}
    for demand in demands:
        shape = demand.service, demand.step.required_label, charged_usage(demand.step)
        if shape not in found:
            fits_elsewhere = any(kind.can_take(*shape) for kind in others)
            found[shape] = set() if fits_elsewhere else _find_domains(drained, *shape)
        if found[shape]:
            waiting[demand.step_name] = demand, found[shape]
    return waiting


def _list_kinds(links: Iterable[WorkerLink]) -> set[_WorkerKind]:
    """Return the kinds of the workers that the platform leaves in place."""
    return {
        _WorkerKind(
            link.entry.service,
            link.entry.labels,
            link.entry.capacity,
            link.entry.domain,
        )
        for link in links
        if link.listed and link.is_described and not link.entry.draining
    }


def _find_domains(
    kinds: Iterable[_WorkerKind], service: str, label: str, usage: Usage
) -> set[DomainName]:
    """Return the failure domains of all workers that can take a task when empty."""
    return {kind.domain for kind in kinds if kind.can_take(service, label, usage)}
