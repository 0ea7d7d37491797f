"""How much losses of workers point to a job, by what is known of them."""

from __future__ import annotations

from datetime import datetime, timedelta

from chiveledge.scheduler._lost_attempts import LOSS_WINDOW, LossSign, add_loss

NOW = datetime(2026, 1, 1)


def lose(times, sign, *, alone):
    record = None
    for number in range(times):
        record = add_loss(
            record, sign, alone=alone, now=NOW + timedelta(minutes=number)
        )
    return record


def test_restarts_of_workers_that_ran_nothing_else_end_the_job_at_the_fourth():
    assert not lose(3, LossSign.RESTARTED, alone=True).is_exhausted
    assert lose(4, LossSign.RESTARTED, alone=True).is_exhausted


def test_job_beside_one_that_crashes_its_workers_outlives_it():
    assert not lose(4, LossSign.RESTARTED, alone=False).is_exhausted


def test_silent_workers_and_lost_regions_count_less():
    assert not lose(7, LossSign.SILENT, alone=True).is_exhausted
    assert lose(50, LossSign.WIDESPREAD, alone=True).blame == 0


def test_losses_long_ago_are_forgotten():
    record = lose(3, LossSign.RESTARTED, alone=True)
    late = record.last_at + LOSS_WINDOW
    assert add_loss(record, LossSign.RESTARTED, alone=True, now=late).blame == 2
