"""What operators write: the configuration, waves of upkeep and drains of domains."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from result import Err, Ok

from chiveledge.decision_log import DecisionLog
from chiveledge.drains import Drain
from chiveledge.platform._catalogue import CONFIGURATION_KEY, decode_catalogue
from chiveledge.platform._drain_rows import DrainRows
from chiveledge.platform._machines import WAVE_PREFIX, decode_wave
from chiveledge.services import Row
from chiveledge.services.machines import Wave
from chiveledge.types import DomainName
from chiveledge.workload import Catalogue


class OperatorRows:
    """Cache of the operators' rows.

    Parameters
    ----------
    log : DecisionLog
        Receives a line for each configuration, wave and drain, also for unreadable
        ones.

    Attributes
    ----------
    catalogue : Catalogue
        The configuration in force. Its revision never decreases.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.catalogue = Catalogue()
        self._log = log
        self._waves: dict[str, Wave] = {}
        self._drain_rows = DrainRows(log)

    @property
    def waves(self) -> list[Wave]:
        """The waves of upkeep that operators requested."""
        return list(self._waves.values())

    @property
    def drains(self) -> Mapping[DomainName, Drain]:
        """The drains of failure domains in force, by domain."""
        return self._drain_rows.drains

    def apply_changes(
        self, rows: Iterable[Row], deleted: Iterable[str], is_snapshot: bool
    ) -> None:
        """Apply changed and deleted rows; a snapshot replaces the waves and drains."""
        rows = list(rows)
        deleted = list(deleted)
        self._drain_rows.apply_changes(rows, deleted, is_snapshot)
        if is_snapshot:
            self._waves.clear()
        for key in deleted:
            self._waves.pop(key, None)
        for row in rows:
            if row.key.startswith(WAVE_PREFIX):
                self._apply_wave(row)
        self._apply_configuration(rows)

    def _apply_wave(self, row: Row) -> None:
        match decode_wave(row.value):
            case Ok(wave):
                self._waves[row.key] = wave
                self._log.write(
                    "upkeep",
                    "wave",
                    wave=wave.number,
                    machines=len(wave.machines),
                    within_s=wave.within_s,
                    most_down=wave.max_down,
                )
            case Err(reason):
                self._log.write("upkeep", "unreadable", key=row.key, reason=reason)

    def _apply_configuration(self, rows: list[Row]) -> None:
        for row in rows:
            if row.key != CONFIGURATION_KEY:
                continue
            match decode_catalogue(row.value):
                case Ok(catalogue):
                    self._apply_catalogue(catalogue)
                case Err(reason):
                    self._log.write("configuration", "unreadable", reason=reason)

    def _apply_catalogue(self, catalogue: Catalogue) -> None:
        if catalogue.revision <= self.catalogue.revision:
            return
        self._log.write(
            "configuration",
            "applied",
            revision=catalogue.revision,
            before=self.catalogue.revision,
            queues=len(catalogue.queues),
            workspaces=len(catalogue.workspaces),
        )
        self.catalogue = catalogue
