"""What shows that a worker process was lost."""

from __future__ import annotations

from enum import StrEnum

from chiveledge.services import CallError, Refused
from chiveledge.services.task_worker import Declined, DeclineReason


class LossSign(StrEnum):
    """What shows that a worker was lost.

    A worker is silent if it may as well be cut off; it refuses if its host is up and
    its process isn't. It is replaced if another worker process runs on its machine,
    and restarted if it has a later incarnation under the same name.
    """

    SILENT = "silent"
    REFUSED = "refused"
    REPLACED = "replaced"
    RESTARTED = "restarted"


def classify_unanswered(error: CallError | Declined) -> LossSign:
    """Return what the error of a poll shows."""
    match error:
        case Refused():
            return LossSign.REFUSED
        case Declined(DeclineReason.OTHER_LIFE):
            return LossSign.REPLACED
    return LossSign.SILENT
