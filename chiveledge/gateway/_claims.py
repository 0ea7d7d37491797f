"""Claims of non-idempotent requests: created before the first byte leaves."""

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
CLAIM_PATIENCE_S = 2.0
INLINE_ANSWER_BYTES = 8192
KEEP_CLAIMS = timedelta(hours=24)
KEEP_TRIES = 20
KEEP_PAUSE_S = 0.5

log = PartLogger("claims")


class ClaimState(StrEnum):
    """What is known of a claimed request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"


class ClaimRecord(NamedTuple):
    """Content of a claim row.

    Attributes
    ----------
    fingerprint : str
        Hash of kind and body: a key must not be used for another request.
    expires_at : str
        When the row may be deleted, ISO 8601.
    body : str
        The kept answer, base64; empty where an object holds it.
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
    """The request is ours to run."""

    key: str
    record: ClaimRecord
    version: int


@dataclass(frozen=True)
class KeptAnswer:
    """The request was run before, and this was its answer."""

    answer: Answered


@dataclass(frozen=True)
class ClaimedElsewhere:
    """The request may be running or may have run; its answer is not known."""


@dataclass(frozen=True)
class KeyReused:
    """The key belongs to another request of the workspace."""


@dataclass(frozen=True)
class ClaimUnavailable:
    """The table service did not take the claim; the request was not run."""


ClaimOutcome: TypeAlias = (
    Claimed | KeptAnswer | ClaimedElsewhere | KeyReused | ClaimUnavailable
)


def make_fingerprint(kind: str, body: bytes) -> str:
    """Return the hash that ties a key to one request."""
    return hashlib.sha256(kind.encode() + b"\n" + body).hexdigest()[:32]


class ClaimStore:
    """Claims requests, keeps their answers and gives refused claims back.

    Parameters
    ----------
    table, objects : TableService, ObjectStore
        Where claims and large answers last.
    clock, metrics
        Time and counters.
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
            patience_s=CLAIM_PATIENCE_S,
            linger_s=CLAIM_LINGER_S,
        )
        self._background: set[asyncio.Task[None]] = set()

    @property
    def pending(self) -> int:
        """Answers and refusals that are not kept yet."""
        return len(self._background)

    async def claim(
        self,
        workspace: WorkspaceName,
        key: str,
        request_id: RequestId,
        fingerprint: str,
    ) -> ClaimOutcome:
        """Claim a request, or learn what became of it.

        Parameters
        ----------
        workspace, key : str
            The caller's workspace and its idempotency key.
        request_id : str
            ID of this call.
        fingerprint : str
            From `make_fingerprint`.
        """
        row_key = f"claim/{workspace}/{key}"
        expires = (self._clock.now() + KEEP_CLAIMS).isoformat()
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
                # The claim may be committed, now or later. Nothing was sent, and
                # without the claim nothing will be: so the request was not run.
                self._spawn(self._withdraw_unsettled(row_key, record))
                return ClaimUnavailable()
        raise AssertionError("unreachable")

    def keep_answer(self, claimed: Claimed, answer: Answered) -> None:
        """Keep an answer for repeats, in the background."""
        self._spawn(self._keep(claimed, answer))

    def withdraw(self, claimed: Claimed) -> None:
        """Give back the claim of a request that was surely not run."""
        self._spawn(self._delete(claimed))

    async def delete_expired(self) -> int:
        """Delete claims older than their term; return their number."""
        now = self._clock.now()
        match await self._table.scan("claim/"):
            case Ok(rows):
                old = [row for row in rows if _expiry(row) < now]
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
                return await self._judge(_decode(row.value), fingerprint)
            case _:
                return ClaimedElsewhere()

    async def _judge(self, record: ClaimRecord, fingerprint: str) -> ClaimOutcome:
        if record.fingerprint != fingerprint:
            return KeyReused()
        if record.state is ClaimState.CLAIMED:
            return ClaimedElsewhere()
        body = record.body
        if record.object_name:
            match await self._objects.read(record.object_name):
                case Ok(str() as text):
                    body = text
                case _:
                    return ClaimedElsewhere()
        answer = Answered(
            record.status, base64.b64decode(body), record.content_type, replayed=True
        )
        return KeptAnswer(answer)

    async def _keep(self, claimed: Claimed, answer: Answered) -> None:
        body = base64.b64encode(answer.body).decode()
        record = claimed.record._replace(
            state=ClaimState.ANSWERED,
            status=answer.status,
            content_type=answer.content_type,
        )
        if len(answer.body) > INLINE_ANSWER_BYTES:
            name = f"answers/{claimed.record.request_id}"
            if (await self._objects.write(name, body)).is_err():
                log.warning("An answer was not kept.", request=record.request_id)
                return
            record = record._replace(object_name=name)
        else:
            record = record._replace(body=body)
        await self._retry(claimed, puts=(Put(claimed.key, _encode(record)),))

    async def _delete(self, claimed: Claimed) -> None:
        await self._retry(claimed, deletes=(claimed.key,))

    async def _retry(self, claimed: Claimed, **writes) -> None:
        check = Check(claimed.key, claimed.version)
        for _ in range(KEEP_TRIES):
            result = await self._writes.commit(checks=(check,), **writes)
            if result.is_ok() or isinstance(result.err(), Conflict):
                return
            await self._clock.sleep(KEEP_PAUSE_S)
        log.warning("A claim stays as it was.", key=claimed.key)

    async def _withdraw_unsettled(self, row_key: str, record: ClaimRecord) -> None:
        """Delete the claim of a request that was refused while it was unsettled."""
        for _ in range(KEEP_TRIES):
            match await self._table.read(row_key):
                case Ok(row) if row is not None:
                    if _decode(row.value).request_id == record.request_id:
                        await self._delete(Claimed(row_key, record, row.version))
                    return
                case _:
                    await self._clock.sleep(KEEP_PAUSE_S)


def _encode(record: ClaimRecord) -> str:
    return json.dumps(record._asdict())


def _decode(text: str) -> ClaimRecord:
    record = ClaimRecord(**json.loads(text))
    return record._replace(state=ClaimState(record.state))


def _expiry(row: Row) -> datetime:
    return datetime.fromisoformat(_decode(row.value).expires_at)
