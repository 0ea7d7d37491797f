"""Which reported ends of runs a worker may forget.

A worker numbers its ends and forgets all up to the number that a poll acknowledges.
What it has forgotten can't be learned again, by this leader or by the next one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from chiveledge.services.task_worker import EndedTask


class EndSequence:
    """Ends that one incarnation of a worker has reported to this leader.

    A number is acknowledged only if all ends up to it are stored, whichever jobs they
    belong to, and only until an answered poll has carried it: a poll that arrives after
    a restart of the worker would acknowledge ends of the next incarnation, whose
    numbers begin anew.
    """

    def __init__(self) -> None:
        self._received = 0
        self._stored = 0
        self._confirmed = 0
        self._withheld: int | None = None
        self._batches: dict[int, bool] = {}
        self._all_stored = asyncio.Event()
        self._all_stored.set()

    @property
    def stored(self) -> int:
        """Number of the last end up to which all ends are stored."""
        return self._limit(self._stored)

    @property
    def is_withheld(self) -> bool:
        """Whether there is an end that this leader can't store."""
        return self._withheld is not None

    @property
    def unconfirmed(self) -> int:
        """Number to acknowledge; 0 if an answered poll has carried it already."""
        return self.stored if self.stored > self._confirmed else 0

    @property
    def is_storing(self) -> bool:
        """Whether any reported end is not stored yet."""
        return self._stored < self._received

    @property
    def has_unacknowledged(self) -> bool:
        """Whether a reported end is to be acknowledged and is not yet."""
        return self._confirmed < self._limit(self._received)

    async def wait_until_stored(self) -> None:
        """Wait until all reported ends are stored."""
        await self._all_stored.wait()

    def receive(self, ends: Iterable[EndedTask]) -> list[EndedTask]:
        """Return the ends that were not reported before.

        They form a batch, which `record_stored` names by its last number.
        """
        new_ends = [end for end in ends if end.number > self._received]
        if new_ends:
            self._received = max(end.number for end in new_ends)
            self._batches[self._received] = False
            self._all_stored.clear()
        return new_ends

    def withhold(self, number: int) -> None:
        """Leave an end unacknowledged, and so all after it."""
        if self._withheld is None or number < self._withheld:
            self._withheld = number

    def release(self) -> None:
        """Acknowledge withheld ends with the others."""
        self._withheld = None

    def record_stored(self, last_number: int) -> None:
        """Record that all ends of a batch are stored."""
        self._batches[last_number] = True
        for number, is_stored in list(self._batches.items()):
            if not is_stored:
                return
            self._stored = number
            del self._batches[number]
        self._all_stored.set()

    def record_answered(self, acknowledged: int) -> None:
        """Record that a poll which carried this number was answered."""
        self._confirmed = max(self._confirmed, acknowledged)

    def _limit(self, number: int) -> int:
        """Return the highest number up to `number` that may be acknowledged."""
        return number if self._withheld is None else min(number, self._withheld - 1)
