"""Keeps what leaders learn in the store, so that it outlasts them.

Learnt are the speeds of machines and the run times of queues.

Load pattern: the leader is lost during a burst of urgent gangs. Until the next one had
learnt the same again, it would start them on slow machines and rely on declared run
times.

Loading never delays a term, and storing never delays a start or an end: both are done
by an asyncio task of their own, and without the rows a term learns anew.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._learnt_rows import (
    LEARNT_PREFIX,
    LearntFigures,
    decode_rows,
    encode_rows,
    is_known_key,
)
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.leadership import Leadership
from chiveledge.placement import LearntSpeeds
from chiveledge.services import Conflict, Put, Rejected, Transaction

STORE_INTERVAL_S = 3.0
"""Shortest time between two writes: bursts last longer, and each write is a call."""

LOAD_RETRY_S = 0.5
"""Pause after a read that failed."""

REJECTED_PAUSE_S = 60.0
"""Pause after the store rejected a write, as it would probably reject the next one."""

MIN_CHANGE = 0.05
"""Change of a logarithm that is worth a write: half of the slowdown from which a worker
counts as slower (`MIN_SLOWDOWN`)."""


class _StoredState(NamedTuple):
    """What is known to be in the store.

    Attributes
    ----------
    figures : LearntFigures
        The figures of the last write.
    texts : dict
        Texts of the rows by key, those that couldn't be decoded included.
    """

    figures: LearntFigures
    texts: dict[str, str]


NOTHING_STORED = _StoredState(LearntFigures({}, {}), {})


class LearntFigureKeeper:
    """Loads what earlier leaders learnt, and stores what this one learns.

    Parameters
    ----------
    context : TermContext
        Store, clock, log and metrics.
    leadership : Leadership
        Provides the fence that every write checks; nothing is stored while it is not
        valid.
    speeds : LearntSpeeds
        Speeds of machines.
    estimator : RunTimeEstimator
        Run times of queues.
    on_lost : callable
        Called with a reason when the fence shows that another process took over.
    """

    def __init__(
        self,
        context: TermContext,
        leadership: Leadership,
        speeds: LearntSpeeds,
        estimator: RunTimeEstimator,
        on_lost: Callable[[str], None],
    ) -> None:
        self._table = context.table
        self._clock = context.clock
        self._log = context.log
        self._metrics = context.metrics
        self._max_row_chars = context.max_row_chars
        self._leadership = leadership
        self._speeds = speeds
        self._estimator = estimator
        self._on_lost = on_lost
        self._stored = NOTHING_STORED

    async def run(self) -> None:
        """Load the rows, then store what changed, until cancelled.

        Nothing is stored before the rows were read, since that would replace what
        earlier leaders learnt by what this one has learnt so far.
        """
        began_s = self._clock.monotonic()
        while not await self._load(began_s):
            await self._clock.sleep(LOAD_RETRY_S)
        pause_s = STORE_INTERVAL_S
        while True:
            await self._clock.sleep(pause_s)
            pause_s = STORE_INTERVAL_S
            figures = LearntFigures(
                self._speeds.list_known(), self._estimator.list_known()
            )
            if self._leadership.valid and has_changed(self._stored.figures, figures):
                pause_s = await self._store(figures)

    async def _load(self, began_s: float) -> bool:
        """Read the rows and use what they show of machines and queues unknown here.

        Returns whether they could be read. `began_s` is the monotonic time at which the
        first read began, for the log.
        """
        match await self._table.snapshot(LEARNT_PREFIX):
            case Ok(snapshot):
                figures, unreadable = decode_rows(snapshot.rows)
            case Err(_):
                return False
        self._speeds.restore(figures.speeds)
        self._estimator.restore(figures.run_times)
        self._stored = _StoredState(
            figures,
            {row.key: row.value for row in snapshot.rows if is_known_key(row.key)},
        )
        self._log.write(
            "learnt",
            "loaded",
            machines=len(figures.speeds),
            queues=len(figures.run_times),
            unreadable=unreadable,
            took_s=round(self._clock.monotonic() - began_s, 3),
        )
        return True

    async def _store(self, figures: LearntFigures) -> float:
        """Store the rows that changed; return the pause in seconds until the next one.

        A write that was delayed and takes effect after a later one restores figures
        that are some seconds older, if this process still leads.
        """
        texts = encode_rows(figures, self._max_row_chars)
        stored = self._stored.texts
        transaction = Transaction(
            uuid.uuid4().hex,
            (self._leadership.fence,),
            tuple(Put(k, text) for k, text in texts.items() if stored.get(k) != text),
            tuple(key for key in stored if key not in texts),
        )
        self._metrics.count("learnt_writes")
        match await self._table.transact(transaction):
            case Ok(_):
                self._stored = _StoredState(figures, texts)
                self._log.write(
                    "learnt",
                    "stored",
                    machines=len(figures.speeds),
                    slower=len(self._speeds.find_slowdowns()),
                    queues=len(figures.run_times),
                    rows=len(transaction.puts),
                    chars=sum(len(put.value) for put in transaction.puts),
                )
                return STORE_INTERVAL_S
            case Err(error):
                pass
        if isinstance(error, Conflict):
            self._on_lost("the leadership row changed")
            return STORE_INTERVAL_S
        # Whether the write takes effect isn't known, so the next one writes all rows.
        unknown = dict.fromkeys([*stored, *texts], "")
        self._stored = self._stored._replace(texts=unknown)
        self._metrics.count("learnt_writes_failed")
        self._log.write("learnt", "not_stored", reason=error.reason)
        return REJECTED_PAUSE_S if isinstance(error, Rejected) else STORE_INTERVAL_S


def has_changed(stored: LearntFigures, present: LearntFigures) -> bool:
    """Return whether figures differ from the stored ones by enough for a write.

    A machine or queue that isn't stored yet is enough; ratios to declared times don't
    count.
    """
    speeds = {name: speed.log_speed for name, speed in stored.speeds.items()}
    if any(
        abs(speeds.get(name, float("inf")) - speed.log_speed) >= MIN_CHANGE
        for name, speed in present.speeds.items()
    ):
        return True
    means = {name: times.run_time.mean for name, times in stored.run_times.items()}
    return any(
        abs(means.get(name, float("inf")) - times.run_time.mean) >= MIN_CHANGE
        for name, times in present.run_times.items()
    )
