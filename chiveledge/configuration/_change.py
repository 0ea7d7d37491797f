"""Changes the document by compare-and-set in the table service."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import TypeAlias

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.configuration._model import Document, Versioned
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
    commit_settled,
)
from chiveledge.types import Revision

CURRENT_KEY = "configuration/current"
REVISION_PREFIX = "configuration/revision/"
SETTLE_PATIENCE_S = 3.0


@dataclass(frozen=True)
class Accepted:
    """The change is committed and will never revert."""

    versioned: Versioned


@dataclass(frozen=True)
class Superseded:
    """Another change came first; `differing` names the sections that differ."""

    winner: Versioned
    differing: tuple[str, ...]


@dataclass(frozen=True)
class ChangeRefused:
    """The change was surely not made."""

    reason: str


@dataclass(frozen=True)
class ChangeUnknown:
    """The change may be committed; `revision` is the one to look up."""

    revision: Revision
    write_id: str


ChangeOutcome: TypeAlias = Accepted | Superseded | ChangeRefused | ChangeUnknown


def revision_key(revision: Revision) -> str:
    """Return the key of the row that keeps one revision."""
    return f"{REVISION_PREFIX}{revision:010d}"


def encode_versioned(versioned: Versioned) -> str:
    """Return the text form of a row or push."""
    return json.dumps(
        {
            "revision": versioned.revision,
            "author": versioned.author,
            "document": versioned.document.model_dump(mode="json"),
        },
        sort_keys=True,
    )


def decode_versioned(text: str) -> Versioned:
    """Return the document of a row or push."""
    fields = json.loads(text)
    document = Document.model_validate(fields["document"])
    return make_versioned(fields["revision"], document, fields["author"])


def make_versioned(revision: Revision, document: Document, author: str) -> Versioned:
    """Return a document with its revision and digest."""
    text = json.dumps(document.model_dump(mode="json"), sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()[:16]
    return Versioned(revision, document, author, digest)


async def read_revision(table: TableService) -> Result[Revision, CallError]:
    """Return the revision in force, 0 where none was ever accepted."""
    result = await table.read(CURRENT_KEY)
    return result.map(lambda row: int(row.value) if row else 0)


async def read_configuration(
    table: TableService,
) -> Result[Versioned | None, CallError]:
    """Return the document in force, or None where none was ever accepted."""
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
        Where the document lasts.
    clock : Clock
        Source of time.
    expected : int
        Revision that the operator saw; 0 where there is none yet.
    document : Document
        The checked new document.
    author : str
        Operator, for the audit.
    write_id : str
        Unique name of this change.
    """
    match await table.read(CURRENT_KEY):
        case Err(error):
            return ChangeRefused(f"the table service is not available: {error}")
        case Ok(row):
            revision = int(row.value) if row else 0
    if revision != expected:
        return await _find_winner(table, document, expected, author)
    versioned = make_versioned(expected + 1, document, author)
    transaction = _build_transaction(row, versioned, write_id)
    result = await commit_settled(
        table, transaction, clock, patience_s=SETTLE_PATIENCE_S
    )
    match result:
        case Ok(_):
            return Accepted(versioned)
        case Err(Conflict()):
            return await _find_winner(table, document, expected, author)
        case Err(Unavailable(reason)):
            return ChangeRefused(reason)
        case Err(Unsettled()):
            return ChangeUnknown(versioned.revision, write_id)
    raise AssertionError("unreachable")


def _build_transaction(
    row: Row | None, versioned: Versioned, write_id: str
) -> Transaction:
    text = encode_versioned(versioned)
    key = revision_key(versioned.revision)
    return Transaction(
        write_id=write_id,
        checks=(Check(CURRENT_KEY, row.version if row else 0), Check(key, 0)),
        puts=(Put(key, text), Put(CURRENT_KEY, str(versioned.revision))),
    )


async def _find_winner(
    table: TableService, document: Document, expected: Revision, author: str
) -> ChangeOutcome:
    match await read_configuration(table):
        case Ok(winner):
            return _judge_winner(winner, document, expected, author)
        case Err(error):
            return ChangeRefused(f"another change came first; who is unknown: {error}")
    raise AssertionError("unreachable")


def _judge_winner(
    winner: Versioned | None, document: Document, expected: Revision, author: str
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
        # The same operator's same change: its reply was lost, and it was repeated.
        return Accepted(winner)
    theirs = winner.document.model_dump(mode="json")
    ours = document.model_dump(mode="json")
    differing = tuple(name for name in ours if ours[name] != theirs[name])
    return Superseded(winner, differing)
