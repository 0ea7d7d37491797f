"""Guarantees of cells, their use, and the cells allocated to gangs."""

from __future__ import annotations

from typing import NamedTuple

from chiveledge.cells._packing import CellShape
from chiveledge.cells._topology import Cell
from chiveledge.types import Accelerators, AttemptId, WorkspaceName


class CellGuarantee(NamedTuple):
    """Equal cells that a workspace is guaranteed in one region."""

    workspace: WorkspaceName
    shape: CellShape
    count: int


class GangAllocation(NamedTuple):
    """Cells that are allocated to one gang.

    Attributes
    ----------
    attempt : str
        ID of the gang's attempt.
    workspace : str
        Workspace that owns the gang's job.
    cells : tuple of Cell
        One cell for an adjacent gang, otherwise one for each member.
    bound : tuple of CellShape
        For each cell, the shape of the guaranteed cell that contains it; empty for a
        borrower.
    victims : tuple of str
        Attempts of borrowers that must stop before the cells are free.
    """

    attempt: AttemptId
    workspace: WorkspaceName
    cells: tuple[Cell, ...]
    bound: tuple[CellShape, ...] = ()
    victims: tuple[AttemptId, ...] = ()

    @property
    def borrowed(self) -> bool:
        """Whether the gang may be preempted when a guarantee is claimed."""
        return not self.bound


class GuaranteeRisk(NamedTuple):
    """Number of guaranteed cells that no longer fit into the healthy workers."""

    workspace: WorkspaceName
    shape: CellShape
    missing: int


class GuaranteeUse(NamedTuple):
    """Guaranteed, bound and borrowed accelerators of one workspace."""

    workspace: WorkspaceName
    promised: Accelerators
    bound: Accelerators
    borrowed: Accelerators
