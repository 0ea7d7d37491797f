"""Reads the document, and changes it by compare-and-set in the table service."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import TypeAlias

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.configuration._model import Document, VersionedDocument
from chiveledge.services import (
    CallError,
    Check,
    Conflict,
    Put,
    Row,
    TableService,
    Transaction,
    Unavailable,
    Unsettled,
    commit_with_retries,
)
from chiveledge.types import Revision

CURRENT_KEY = "configuration/current"
REVISION_PREFIX = "configuration/revision/"
COMMIT_TIMEOUT_S = 3.0


@dataclass(frozen=True)
class Accepted:
    """The change is committed and will never revert."""

    versioned: VersionedDocument


@dataclass(frozen=True)
class Superseded:
    """Another change was committed first.

    Attributes
    ----------
    winner : VersionedDocument
        The document now in force.
    differing : tuple of str
        Names of the sections in which it differs from the requested document.
    """

    winner: VersionedDocument
    differing: tuple[str, ...]


@dataclass(frozen=True)
class ChangeRefused:
    """The change was not made and will not be."""

    reason: str


@dataclass(frozen=True)
class ChangeUnknown:
    """The change may have been committed.

    Attributes
    ----------
    revision : int
        Revision that the change has if it was committed.
    write_id : str
        Unique name of the change.
    """

    revision: Revision
    write_id: str


ChangeOutcome: TypeAlias = Accepted | Superseded | ChangeRefused | ChangeUnknown


def revision_key(revision: Revision) -> str:
    """Return the key of the row that stores a revision of the document."""
    return f"{REVISION_PREFIX}{revision:010d}"


def encode_versioned(versioned: VersionedDocument) -> str:
    """Encode a document as JSON, for its row or for a push to peers."""
    return json.dumps(
        {
            "revision": versioned.revision,
            "author": versioned.author,
            "document": versioned.document.model_dump(mode="json"),
        },
        sort_keys=True,
    )


def decode_versioned(text: str) -> VersionedDocument:
    """Decode the JSON of a row or of a push from a peer."""
    fields = json.loads(text)
    document = Document.model_validate(fields["document"])
    return make_versioned(fields["revision"], document, fields["author"])


def make_versioned(
    revision: Revision, document: Document, author: str
) -> VersionedDocument:
    """Return a document with its revision, author and digest."""
    text = json.dumps(document.model_dump(mode="json"), sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()[:16]
    return VersionedDocument(revision, document, author, digest)


async def read_revision(table: TableService) -> Result[Revision, CallError]:
    """Return the revision in force, 0 before any was accepted."""
    result = await table.read(CURRENT_KEY)
    return result.map(lambda row: int(row.value) if row else 0)


async def read_configuration(
    table: TableService,
) -> Result[VersionedDocument | None, CallError]:
    """Return the document in force, or None before any was accepted."""
    match await read_revision(table):
        case Ok(0):
            return Ok(None)
        case Ok(revision):
            document = await table.read(revision_key(revision))
            return document.map(lambda row: decode_versioned(row.value))
        case Err(error):
            return Err(error)
    raise AssertionError("unreachable")


async def change_configuration(
    table: TableService,
    clock: Clock,
    *,
    expected: Revision,
    document: Document,
    author: str,
    write_id: str,
) -> ChangeOutcome:
    """Replace the document if its revision is still the expected one.

    Parameters
    ----------
    table : TableService
        Stores the document.
    clock : Clock
        Source of time.
    expected : int
        Revision that the operator changed; 0 if there was no document.
    document : Document
        The new document, already validated.
    author : str
        Name of the operator, stored for the audit.
    write_id : str
        Unique name of this change.
    """
    match await table.read(CURRENT_KEY):
        case Err(error):
            return ChangeRefused(f"the table service is not available: {error}")
        case Ok(row):
            revision = int(row.value) if row else 0
    if revision != expected:
        return await _resolve_conflict(table, document, expected, author)
    versioned = make_versioned(expected + 1, document, author)
    transaction = _build_transaction(row, versioned, write_id)
    result = await commit_with_retries(
        table, transaction, clock, timeout_s=COMMIT_TIMEOUT_S
    )
    match result:
        case Ok(_):
            return Accepted(versioned)
        case Err(Conflict()):
            return await _resolve_conflict(table, document, expected, author)
        case Err(Unavailable(reason)):
            return ChangeRefused(reason)
        case Err(Unsettled()):
            return ChangeUnknown(versioned.revision, write_id)
    raise AssertionError("unreachable")


def _build_transaction(
    row: Row | None, versioned: VersionedDocument, write_id: str
) -> Transaction:
    text = encode_versioned(versioned)
    key = revision_key(versioned.revision)
    return Transaction(
        write_id=write_id,
        checks=(Check(CURRENT_KEY, row.version if row else 0), Check(key, 0)),
        puts=(Put(key, text), Put(CURRENT_KEY, str(versioned.revision))),
    )


async def _resolve_conflict(
    table: TableService, document: Document, expected: Revision, author: str
) -> ChangeOutcome:
    match await read_configuration(table):
        case Ok(winner):
            return _compare_with_winner(winner, document, expected, author)
        case Err(error):
            return ChangeRefused(
                f"another change was committed first; it could not be read: {error}"
            )
    raise AssertionError("unreachable")


def _compare_with_winner(
    winner: VersionedDocument | None,
    document: Document,
    expected: Revision,
    author: str,
) -> ChangeOutcome:
    if winner is None:
        return ChangeRefused(
            f"revision {expected} was expected, but there is no configuration yet; "
            "expect revision 0"
        )
    if (winner.revision, winner.document, winner.author) == (
        expected + 1,
        document,
        author,
    ):
        # The operator repeated a change that was committed, since its reply was lost.
        return Accepted(winner)
    winning = winner.document.model_dump(mode="json")
    requested = document.model_dump(mode="json")
    differing = tuple(name for name in requested if requested[name] != winning[name])
    return Superseded(winner, differing)
