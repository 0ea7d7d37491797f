"""What a region's leader knows of the drains of failure domains, and its age."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.drain_store import read_drains
from chiveledge.drains import Drain, KnownDrains
from chiveledge.logs import PartLogger
from chiveledge.metrics import Metrics
from chiveledge.services import TableService
from chiveledge.types import AttemptId, DomainName, RegionName

log = PartLogger("scheduler")


class DrainFollower:
    """Reads the drains when asked to; without a recent read nothing may start.

    Parameters
    ----------
    table : TableService
        Stores the drains.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts ``drain_changes``, ``drains_unknown`` (times at which the drains were no
        longer known) and ``starts_withheld``.
    region : str
        Region whose leader follows, for the log.
    max_age_s : float
        Age of the last read beyond which nothing starts, in seconds.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        metrics: Metrics,
        region: RegionName,
        *,
        max_age_s: float,
    ) -> None:
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._region = region
        self._max_age_s = max_age_s
        self._drains: Mapping[DomainName, Drain] = {}
        self._confirmed_s = float("-inf")
        self._was_current = True

    @property
    def known(self) -> KnownDrains:
        """The drains as they were last read, with the age of that read."""
        age_s = self._clock.monotonic() - self._confirmed_s
        return KnownDrains(self._drains, age_s, self._max_age_s)

    @property
    def was_read(self) -> bool:
        """Whether the drains have been read at all."""
        return self._confirmed_s > float("-inf")

    async def refresh(self) -> bool:
        """Read the drains once; return whether other ones are in force than before.

        After a read that failed, the drains of the last one stay, with their age.
        """
        sent_s = self._clock.monotonic()
        has_changed = False
        match await read_drains(self._table):
            case Ok(drains):
                self._confirmed_s = sent_s
                has_changed = self._apply(drains)
            case Err(_):
                pass
        self._log_age()
        return has_changed

    def record_withheld(
        self, attempt: AttemptId, domains: Iterable[DomainName]
    ) -> None:
        """Log and count an attempt that is withdrawn because of drained domains."""
        self._metrics.count("starts_withheld")
        log.info(
            "Withdrew an attempt for a drain.",
            region=self._region,
            attempt=attempt,
            domains=sorted(domains),
            age_s=round(self.known.age_s, 3),
        )

    def _apply(self, drains: Mapping[DomainName, Drain]) -> bool:
        """Replace the drains; return whether they differ from those before."""
        before, self._drains = self._drains, drains
        if before == drains:
            return False
        self._metrics.count("drain_changes")
        log.info(
            "Drains of failure domains changed.",
            region=self._region,
            drained=[f"{d.domain} by {d.author or '?'}" for d in drains.values()],
            given_back=sorted(before.keys() - drains.keys()),
        )
        return True

    def _log_age(self) -> None:
        """Log when the drains become too old to be relied on, and when not any more."""
        known = self.known
        if known.is_current == self._was_current:
            return
        self._was_current = known.is_current
        if known.is_current:
            log.info("Drains are known again.", region=self._region)
            return
        self._metrics.count("drains_unknown")
        log.warning(
            "Nothing starts: the drains of failure domains can't be read.",
            region=self._region,
            age_s=round(known.age_s, 3),
            max_age_s=known.max_age_s,
        )
