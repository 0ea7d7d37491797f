"""Joins independent writes into few transactions, each with its own outcome."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass, field

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.metrics import Metrics
from chiveledge.services.errors import CallError, Conflict, Unavailable, Unsettled
from chiveledge.services.table import (
    MAX_OPERATIONS,
    SETTLE_PAUSE_S,
    Check,
    Put,
    TableService,
    Transaction,
)

MAX_UNITS = MAX_OPERATIONS // 5


@dataclass(eq=False)
class _Unit:
    """A write that succeeds or fails on its own."""

    checks: tuple[Check, ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...]
    done: asyncio.Future[Result[int, CallError]] = field(repr=False)

    @property
    def keys(self) -> set[str]:
        return {check.key for check in self.checks}


class GroupCommit:
    """Commits writes in groups: while one group is on its way the next one fills.

    A unit must check the version of a row that it also puts. A lost reply is
    settled by sending the same group again.

    Parameters
    ----------
    table : TableService
        Where rows last.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts ``store_transactions`` and ``store_units``.
    patience_s : float
        How long a group is tried while the table service is not available.
    linger_s : float, optional
        How long a group waits for more units before it leaves.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        metrics: Metrics,
        *,
        patience_s: float,
        linger_s: float = 0.0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._patience_s = patience_s
        self._linger_s = linger_s
        self._waiting: list[_Unit] = []
        self._sender: asyncio.Task[None] | None = None

    async def commit(
        self,
        *,
        checks: tuple[Check, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[int, CallError]:
        """Commit one unit and return the version of its rows."""
        done = asyncio.get_running_loop().create_future()
        self._waiting.append(_Unit(checks, puts, deletes, done))
        if self._sender is None or self._sender.done():
            self._sender = asyncio.create_task(self._send_waiting())
        return await done

    async def _send_waiting(self) -> None:
        if self._linger_s:
            await self._clock.sleep(self._linger_s)
        while self._waiting:
            group = self._waiting[:MAX_UNITS]
            del self._waiting[:MAX_UNITS]
            await self._send_group(group)

    async def _send_group(self, group: list[_Unit]) -> None:
        deadline = self._clock.monotonic() + self._patience_s
        transaction = _join(group)
        may_have_committed = False
        while group:
            result = await self._table.transact(transaction)
            self._metrics.count("store_transactions")
            match result:
                case Ok(_):
                    self._metrics.count("store_units", len(group))
                    _finish(group, result)
                    return
                case Err(Conflict(keys)):
                    if may_have_committed:
                        version = await self._find_version(transaction)
                        if version is not None:
                            _finish(group, Ok(version))
                            return
                    group = _fail_conflicting(group, set(keys))
                    transaction = _join(group)
                    may_have_committed = False
                    continue
                case Err(Unsettled()):
                    may_have_committed = True
                case Err(Unavailable()):
                    pass
            if self._clock.monotonic() >= deadline:
                _finish(group, _give_up(may_have_committed))
                return
            await self._clock.sleep(SETTLE_PAUSE_S)

    async def _find_version(self, transaction: Transaction) -> int | None:
        """Return the version that an earlier send of the transaction wrote, if any.

        All rows of a transaction are written together, so one row with its write
        ID shows that it was committed. The store is asked until it answers.
        """
        index = 0
        while index < len(transaction.puts):
            match await self._table.read(transaction.puts[index].key):
                case Ok(row):
                    if row is not None and row.write_id == transaction.write_id:
                        return row.version
                    index += 1
                case Err(_):
                    await self._clock.sleep(SETTLE_PAUSE_S)
        return None


def _join(group: list[_Unit]) -> Transaction:
    checks = {check: None for unit in group for check in unit.checks}
    return Transaction(
        write_id=uuid.uuid4().hex,
        checks=tuple(checks),
        puts=tuple(put for unit in group for put in unit.puts),
        deletes=tuple(key for unit in group for key in unit.deletes),
    )


def _fail_conflicting(group: list[_Unit], keys: set[str]) -> list[_Unit]:
    failed = [unit for unit in group if unit.keys & keys]
    _finish(failed, Err(Conflict(tuple(sorted(keys)))))
    return [unit for unit in group if unit not in failed]


def _give_up(may_have_committed: bool) -> Err[CallError]:
    if may_have_committed:
        return Err(Unsettled("the commit is not settled yet"))
    return Err(Unavailable("the table service did not take the write"))


def _finish(group: list[_Unit], result: Result[int, CallError]) -> None:
    for unit in group:
        if not unit.done.done():
            unit.done.set_result(result)
