"""Tests of what a poll without an answer shows of its worker."""

from __future__ import annotations

import pytest

from chiveledge.coordinator._loss_sign import LossSign, classify_unanswered
from chiveledge.services import Refused, Unavailable, Unsettled
from chiveledge.services.task_worker import Declined, DeclineReason


@pytest.mark.parametrize(
    ("error", "sign"),
    [
        (Refused("no listener"), LossSign.REFUSED),
        (Declined(DeclineReason.OTHER_LIFE), LossSign.REPLACED),
        (Unavailable("the worker returned status 503"), LossSign.SILENT),
        (Unsettled("the call timed out"), LossSign.SILENT),
        (Declined(DeclineReason.UNHEALTHY), LossSign.SILENT),
    ],
)
def test_sign_of_an_error(error, sign):
    """An unhealthy worker, or one that is cut off, was not told from a crashed one."""
    assert classify_unanswered(error) is sign
