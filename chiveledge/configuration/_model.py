"""Model of the configuration document."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import Annotated, NamedTuple

from pydantic import AfterValidator, Field, model_validator
from result import Result

from chiveledge.settings import SettingsError, StrictModel, check_model, parse_json5
from chiveledge.types import (
    KindName,
    PresetName,
    RegionName,
    Revision,
    WorkspaceName,
)


class RequestClass(StrEnum):
    """Urgency of a request or job, the most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """Position in the order of urgency, 0 for the most urgent."""
        return _RANKS[self]


_RANKS = {request_class: rank for rank, request_class in enumerate(RequestClass)}


def _check_cell_size(value: int) -> int:
    if value < 1 or value & (value - 1):
        raise ValueError("a cell holds 1, 2, 4, 8, 16, 32 or 64 accelerators")
    return value


CellSize = Annotated[int, AfterValidator(_check_cell_size)]


class Guarantee(StrictModel):
    """A number of cells of one size that a workspace can always reclaim in a region.

    Attributes
    ----------
    region : str
        Region of the cells.
    cell : int
        Accelerators in one cell, a power of two.
    count : int
        Number of cells.
    per_worker : int
        Least number of accelerators that each worker of the cell has; 0 stands for
        the smaller of `cell` and 8.
    """

    region: RegionName
    cell: CellSize
    count: int = Field(ge=1)
    per_worker: int = Field(default=0, ge=0)

    @property
    def unit(self) -> int:
        """Least number of accelerators that each worker of the cell has."""
        return self.per_worker or min(self.cell, 8)


class Workspace(StrictModel):
    """A workspace: its weight, its guarantees and the hash of its callers' token."""

    weight: int = Field(ge=1, le=1000)
    token_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    guarantees: tuple[Guarantee, ...] = ()


class Kind(StrictModel):
    """A kind of request: the service that runs it, its urgency and its deadline."""

    service: str
    request_class: RequestClass
    idempotent: bool
    deadline_ms: int = Field(ge=1, le=3_600_000)


class Preset(StrictModel):
    """Scheduling policy of an ordinary day, a peak or a maintenance period."""

    admit: tuple[RequestClass, ...]
    borrowing: bool = True
    start_jobs: bool = True
    class_shares: dict[RequestClass, int]

    @model_validator(mode="after")
    def _check_shares(self) -> Preset:
        for request_class in self.admit:
            if self.class_shares.get(request_class, 0) < 1:
                raise ValueError(
                    f"class_shares.{request_class} must be 1 or more, "
                    "since the preset admits this class"
                )
        return self


class Document(StrictModel):
    """The whole configuration; one preset of it is in force."""

    preset: PresetName
    presets: dict[PresetName, Preset]
    workspaces: dict[WorkspaceName, Workspace]
    kinds: dict[KindName, Kind]

    @model_validator(mode="after")
    def _check_preset(self) -> Document:
        if self.preset not in self.presets:
            known = ", ".join(sorted(self.presets))
            raise ValueError(f"preset {self.preset!r} is not one of: {known}")
        return self

    @property
    def policy(self) -> Preset:
        """The preset in force."""
        return self.presets[self.preset]


class VersionedDocument(NamedTuple):
    """A document with its revision, its author and a digest of its content."""

    revision: Revision
    document: Document
    author: str
    digest: str


def parse_document(path: str, text: str) -> Result[Document, SettingsError]:
    """Decode and validate a document written as JSON with comments.

    Parameters
    ----------
    path : str
        Name of the document in error messages.
    text : str
        Content of the document.
    """
    return parse_json5(path, text).and_then(
        lambda value: check_model(Document, path, value)
    )


def hash_token(token: str) -> str:
    """Return the hash that the document stores instead of a token."""
    return hashlib.sha256(token.encode()).hexdigest()
