"""The closed set of outcomes of a request, and the proof that a refusal needs.

A request is answered, refused (surely not run) or unknown (it may have run).
`Refused` takes a proof value, and the only source of proofs is `SendRecord`,
which follows each send of the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from result import Err, Ok, Result

from chiveledge.types import MinionName


class Reason(StrEnum):
    """Why a request has no answer, as callers see it."""

    BAD_INPUT = "bad_input"
    UNAUTHORISED = "unauthorised"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NOT_ADMITTED = "not_admitted_by_preset"
    NO_TARGET = "no_target"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    STALE_CONFIGURATION = "stale_configuration"
    KEY_IN_USE = "key_in_use"
    LOST_REPLY = "lost_reply"
    CROSSED_REPLY = "crossed_reply"
    TRUNCATED_REPLY = "truncated_reply"


@dataclass(frozen=True)
class NotRunProof:
    """Evidence that no target ran the request.

    Attributes
    ----------
    sends : int
        Sends that were made; each was declined by its target as not run, or
        failed before a byte left.
    """

    sends: int


@dataclass(frozen=True)
class MayHaveRun:
    """At least one send has no proof that its target did not run it."""

    minion: MinionName


@dataclass(frozen=True)
class Answered:
    """The whole answer of the target to this request."""

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
        Why it was refused.
    proof : NotRunProof
        From `SendRecord.not_run_proof`.
    detail : str
        What the caller can do.
    retry_after_s : float
        When a retry may succeed; zero where a retry cannot help.
    """

    reason: Reason
    proof: NotRunProof
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class UnknownOutcome:
    """The request may have run; the answer is not known."""

    reason: Reason
    detail: str = ""


Outcome: TypeAlias = Answered | Refused | UnknownOutcome


class SendRecord:
    """Follows the sends of one request and tells whether it surely did not run."""

    def __init__(self) -> None:
        self._sends = 0
        self._open: list[MinionName] = []

    @property
    def sends(self) -> int:
        """Number of sends so far."""
        return self._sends

    def begin(self, minion: MinionName) -> None:
        """Record that bytes may leave for `minion` from now on."""
        self._sends += 1
        self._open.append(minion)

    def not_sent(self, minion: MinionName) -> None:
        """Record that no byte left for `minion`."""
        self._open.remove(minion)

    def declined(self, minion: MinionName) -> None:
        """Record that `minion` said that it did not run the request."""
        self._open.remove(minion)

    def not_run_proof(self) -> Result[NotRunProof, MayHaveRun]:
        """Return the proof for a refusal, or the target that may have run it."""
        if self._open:
            return Err(MayHaveRun(self._open[0]))
        return Ok(NotRunProof(self._sends))

    def refuse(
        self, reason: Reason, *, detail: str = "", retry_after_s: float = 0.0
    ) -> Refused | UnknownOutcome:
        """Return `Refused` where that is proved, else `UnknownOutcome`."""
        match self.not_run_proof():
            case Ok(proof):
                return Refused(reason, proof, detail, retry_after_s)
            case Err(MayHaveRun(minion)):
                return UnknownOutcome(
                    reason, f"minion {minion} may have run it. {detail}".strip()
                )
        raise AssertionError("unreachable")
