"""Outcomes of a request, and the proof that a refusal requires.

The outcome of a request is an answer, a refusal (no target ran it) or unknown (a
target may have run it). `Refused` requires a proof that no target ran the request.
Only `SendRecord`, which records every send of the request, creates proofs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from result import Err, Ok, Result

from chiveledge.types import MinionName


class Reason(StrEnum):
    """Reason for which a request has no answer, as reported to the caller."""

    BAD_INPUT = "bad_input"
    UNAUTHORISED = "unauthorised"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NOT_ADMITTED = "not_admitted_by_preset"
    NO_TARGET = "no_target"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    HOST_LIST_UNAVAILABLE = "host_list_unavailable"
    STALE_CONFIGURATION = "stale_configuration"
    KEY_IN_USE = "key_in_use"
    LOST_REPLY = "lost_reply"
    CROSSED_REPLY = "crossed_reply"
    TRUNCATED_REPLY = "truncated_reply"


@dataclass(frozen=True)
class NotRunProof:
    """Proof that no target ran the request.

    Attributes
    ----------
    sends : int
        Number of sends. Each was declined by its target without running the request,
        or failed before any byte was sent.
    """

    sends: int


@dataclass(frozen=True)
class MayHaveRun:
    """A send whose target may have run the request.

    Attributes
    ----------
    minion : str
        Target of the first such send.
    """

    minion: MinionName


@dataclass(frozen=True)
class Answered:
    """The complete answer of a target to the request.

    Attributes
    ----------
    replayed : bool
        Whether it is the stored answer to an earlier request with the same key.
    """

    status: int
    body: bytes
    content_type: str
    replayed: bool = False


@dataclass(frozen=True)
class Refused:
    """The request was not run.

    Attributes
    ----------
    reason : Reason
        Reason for the refusal.
    proof : NotRunProof
        Returned by `SendRecord.prove_not_run`.
    detail : str
        What the caller can do about it.
    retry_after_s : float
        Time after which a retry may succeed; 0 if a retry can't help.
    """

    reason: Reason
    proof: NotRunProof
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class UnknownOutcome:
    """The request may have run, and its answer is not known."""

    reason: Reason
    detail: str = ""


Outcome: TypeAlias = Answered | Refused | UnknownOutcome


class SendRecord:
    """Records the sends of one request, to prove that no target ran it."""

    def __init__(self) -> None:
        self._sends = 0
        self._unresolved: list[MinionName] = []

    @property
    def sends(self) -> int:
        """Number of sends so far."""
        return self._sends

    def record_send(self, minion: MinionName) -> None:
        """Record a send to `minion`, before the first byte is sent."""
        self._sends += 1
        self._unresolved.append(minion)

    def record_not_sent(self, minion: MinionName) -> None:
        """Record that a send to `minion` failed before any byte was sent."""
        self._unresolved.remove(minion)

    def record_decline(self, minion: MinionName) -> None:
        """Record that `minion` declined the request without running it."""
        self._unresolved.remove(minion)

    def prove_not_run(self) -> Result[NotRunProof, MayHaveRun]:
        """Return proof that no target ran the request, or a target that may have."""
        if self._unresolved:
            return Err(MayHaveRun(self._unresolved[0]))
        return Ok(NotRunProof(self._sends))

    def refuse(
        self, reason: Reason, *, detail: str = "", retry_after_s: float = 0.0
    ) -> Refused | UnknownOutcome:
        """Return `Refused` if no target ran the request, else `UnknownOutcome`."""
        match self.prove_not_run():
            case Ok(proof):
                return Refused(reason, proof, detail, retry_after_s)
            case Err(MayHaveRun(minion)):
                return UnknownOutcome(
                    reason,
                    f"minion {minion} may have run the request. {detail}".strip(),
                )
        raise AssertionError("unreachable")
