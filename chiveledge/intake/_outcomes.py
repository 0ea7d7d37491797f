"""Outcomes of submitting, reading and cancelling a job."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from chiveledge.intake._status_cache import JobStatus


class Accepted(NamedTuple):
    """The operation is stored.

    Attributes
    ----------
    repeated : bool
        Whether the job was already stored, or had already ended when cancelled.
    """

    repeated: bool = False


class NotStored(NamedTuple):
    """The operation is not stored and no pending write of it can take effect."""

    reason: str


class UnknownOutcome(NamedTuple):
    """The operation may have taken effect, or may still do so."""

    reason: str


class Refused(NamedTuple):
    """The job is not stored, and can't be, whenever it is submitted."""

    reason: str


class Infeasible(NamedTuple):
    """The job is not stored, since no set of the workers could ever hold it."""

    reason: str


class Withdrawn(NamedTuple):
    """The job is not stored and can't be: it was cancelled before it was stored."""


class NotFound(NamedTuple):
    """No job of the caller's workspace has this ID.

    To a cancellation, this also says that no submission of the workspace which is still
    on its way can store such a job any more.
    """


class TooManyCancellations(NamedTuple):
    """The cancellation of an unknown job is not stored, since too many are.

    Attributes
    ----------
    retry_after_s : float
        Time until one of them has ended, in seconds.
    """

    retry_after_s: float


class JobIdInUse(NamedTuple):
    """A job of another workspace has this ID; nothing was stored."""


SubmitOutcome: TypeAlias = (
    Accepted
    | NotStored
    | Refused
    | Infeasible
    | Withdrawn
    | JobIdInUse
    | UnknownOutcome
)
CancelOutcome: TypeAlias = Accepted | NotFound | TooManyCancellations | UnknownOutcome
ReadOutcome: TypeAlias = JobStatus | NotFound | UnknownOutcome
