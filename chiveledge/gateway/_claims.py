"""Claims of non-idempotent requests.

A claim is committed before the first byte of its request is sent, so that a request
with the same key runs at most once.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from result import Err, Ok

from chiveledge.clock import Clock
from chiveledge.logs import PartLogger
from chiveledge.metrics import Metrics
from chiveledge.outcomes import Answered
from chiveledge.services import (
    Check,
    Conflict,
    GroupCommit,
    ObjectStore,
    Put,
    Row,
    TableService,
    Unavailable,
)
from chiveledge.types import RequestId, WorkspaceName

CLAIM_LINGER_S = 0.003
CLAIM_TIMEOUT_S = 2.0
INLINE_ANSWER_BYTES = 8192
CLAIM_TTL = timedelta(hours=24)
MAX_WRITE_ATTEMPTS = 20
WRITE_RETRY_S = 0.5

log = PartLogger("claims")


class ClaimState(StrEnum):
    """Whether the answer of a claimed request is stored."""

    CLAIMED = "claimed"
    ANSWERED = "answered"


class ClaimRecord(NamedTuple):
    """Content of a claim row.

    Attributes
    ----------
    fingerprint : str
        Hash of kind and body; detects a key that is reused for another request.
    expires_at : str
        Time after which the row may be deleted, ISO 8601.
    body : str
        The stored answer, base64; empty if `object_name` names an object with it.
    """

    state: ClaimState
    request_id: RequestId
    fingerprint: str
    expires_at: str
    status: int = 0
    content_type: str = ""
    body: str = ""
    object_name: str = ""


@dataclass(frozen=True)
class Claimed:
    """The claim is committed; the caller may run the request."""

    key: str
    record: ClaimRecord
    version: int


@dataclass(frozen=True)
class StoredAnswer:
    """An earlier request with this key was run and answered."""

    answer: Answered


@dataclass(frozen=True)
class ClaimHeld:
    """Another request holds the claim and may have run; its answer is not known."""


@dataclass(frozen=True)
class KeyReused:
    """The key was used for a different request of the workspace."""


@dataclass(frozen=True)
class ClaimUnavailable:
    """The claim could not be committed; the request was not run."""


ClaimOutcome: TypeAlias = (
    Claimed | StoredAnswer | ClaimHeld | KeyReused | ClaimUnavailable
)


def make_fingerprint(kind: str, body: bytes) -> str:
    """Return the hash of a request's kind and body."""
    return hashlib.sha256(kind.encode() + b"\n" + body).hexdigest()[:32]


class ClaimStore:
    """Claims requests, stores their answers and releases unused claims.

    Parameters
    ----------
    table : TableService
        Stores the claims.
    objects : ObjectStore
        Stores answers of more than `INLINE_ANSWER_BYTES`.
    clock : Clock
        Time source.
    metrics : Metrics
        Receives the counters of the group commit.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._writes = GroupCommit(
            table,
            clock,
            metrics,
            timeout_s=CLAIM_TIMEOUT_S,
            linger_s=CLAIM_LINGER_S,
        )
        self._background: set[asyncio.Task[None]] = set()

    @property
    def pending(self) -> int:
        """Number of claim updates that are still being written."""
        return len(self._background)

    async def claim(
        self,
        workspace: WorkspaceName,
        key: str,
        request_id: RequestId,
        fingerprint: str,
    ) -> ClaimOutcome:
        """Claim a request, or return the state of the existing claim.

        Parameters
        ----------
        workspace, key : str
            The caller's workspace and its idempotency key.
        request_id : str
            ID of this call.
        fingerprint : str
            Hash from `make_fingerprint`.
        """
        row_key = f"claim/{workspace}/{key}"
        expires = (self._clock.now() + CLAIM_TTL).isoformat()
        record = ClaimRecord(ClaimState.CLAIMED, request_id, fingerprint, expires)
        result = await self._writes.commit(
            checks=(Check(row_key, 0),), puts=(Put(row_key, _encode(record)),)
        )
        match result:
            case Ok(version):
                return Claimed(row_key, record, version)
            case Err(Conflict()):
                return await self._read_claim(row_key, fingerprint)
            case Err(Unavailable()):
                return ClaimUnavailable()
            case Err(_):
                # The claim may be committed now or later, but nothing was sent and
                # nothing will be, so reporting the request as not run is correct.
                self._spawn(self._release_unsettled(row_key, record))
                return ClaimUnavailable()
        raise AssertionError("unreachable")

    def store_answer(self, claimed: Claimed, answer: Answered) -> None:
        """Store the answer for repeated requests, in the background."""
        self._spawn(self._write_answer(claimed, answer))

    def release(self, claimed: Claimed) -> None:
        """Delete the claim of a request that was not run, in the background."""
        self._spawn(self._delete_claim(claimed))

    async def delete_expired(self) -> int:
        """Delete expired claims and return their number."""
        now = self._clock.now()
        match await self._table.scan("claim/"):
            case Ok(rows):
                old = [row for row in rows if _parse_expiry(row) < now]
            case Err(_):
                return 0
        await asyncio.gather(
            *(
                self._writes.commit(
                    checks=(Check(row.key, row.version),), deletes=(row.key,)
                )
                for row in old
            )
        )
        return len(old)

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _read_claim(self, row_key: str, fingerprint: str) -> ClaimOutcome:
        match await self._table.read(row_key):
            case Ok(row) if row is not None:
                return await self._classify(_decode(row.value), fingerprint)
            case _:
                return ClaimHeld()

    async def _classify(self, record: ClaimRecord, fingerprint: str) -> ClaimOutcome:
        if record.fingerprint != fingerprint:
            return KeyReused()
        if record.state is ClaimState.CLAIMED:
            return ClaimHeld()
        body = record.body
        if record.object_name:
            match await self._objects.read(record.object_name):
                case Ok(str() as text):
                    body = text
                case _:
                    return ClaimHeld()
        answer = Answered(
            record.status, base64.b64decode(body), record.content_type, replayed=True
        )
        return StoredAnswer(answer)

    async def _write_answer(self, claimed: Claimed, answer: Answered) -> None:
        body = base64.b64encode(answer.body).decode()
        record = claimed.record._replace(
            state=ClaimState.ANSWERED,
            status=answer.status,
            content_type=answer.content_type,
        )
        if len(answer.body) > INLINE_ANSWER_BYTES:
            name = f"answers/{claimed.record.request_id}"
            if (await self._objects.write(name, body)).is_err():
                log.warning("Answer could not be stored.", request=record.request_id)
                return
            record = record._replace(object_name=name)
        else:
            record = record._replace(body=body)
        await self._commit_with_retries(
            claimed, puts=(Put(claimed.key, _encode(record)),)
        )

    async def _delete_claim(self, claimed: Claimed) -> None:
        await self._commit_with_retries(claimed, deletes=(claimed.key,))

    async def _commit_with_retries(self, claimed: Claimed, **writes) -> None:
        check = Check(claimed.key, claimed.version)
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = await self._writes.commit(checks=(check,), **writes)
            if result.is_ok() or isinstance(result.err(), Conflict):
                return
            await self._clock.sleep(WRITE_RETRY_S)
        log.warning("Claim could not be updated.", key=claimed.key)

    async def _release_unsettled(self, row_key: str, record: ClaimRecord) -> None:
        """Delete the claim of a refused request if its unsettled commit took effect."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            match await self._table.read(row_key):
                case Ok(row) if row is not None:
                    if _decode(row.value).request_id == record.request_id:
                        await self._delete_claim(Claimed(row_key, record, row.version))
                    return
                case _:
                    await self._clock.sleep(WRITE_RETRY_S)


def _encode(record: ClaimRecord) -> str:
    return json.dumps(record._asdict())


def _decode(text: str) -> ClaimRecord:
    record = ClaimRecord(**json.loads(text))
    return record._replace(state=ClaimState(record.state))


def _parse_expiry(row: Row) -> datetime:
    return datetime.fromisoformat(_decode(row.value).expires_at)
