"""Group commit: combines independent writes into few transactions."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass, field

from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.metrics import Metrics
from chiveledge.services.errors import (
    CallError,
    Conflict,
    Rejected,
    Unavailable,
    Unsettled,
)
from chiveledge.services.table import (
    MAX_TRANSACTION_OPERATIONS,
    RETRY_DELAY_S,
    Check,
    Put,
    TableService,
    Transaction,
)

MAX_GROUP_WRITES = MAX_TRANSACTION_OPERATIONS // 5
"""Maximum number of writes in a group, at up to 5 operations each."""


@dataclass(eq=False)
class _PendingWrite:
    """Checks and changes of one caller, which succeed or fail on their own."""

    checks: tuple[Check, ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...]
    outcome: asyncio.Future[Result[int, CallError]] = field(repr=False)

    @property
    def checked_keys(self) -> set[str]:
        return {check.key for check in self.checks}


class GroupCommit:
    """Commits independent writes in groups, each write with its own outcome.

    While one group is being committed, further writes collect for the next. A write
    must check the version of a row that it also puts, so that a group takes effect at
    most once and can be sent again after a lost reply.

    Parameters
    ----------
    table : TableService
        Table to write to.
    clock : Clock
        Time source.
    metrics : Metrics
        Counts ``store_transactions`` and ``store_units`` (committed writes).
    timeout_s : float
        How long a group is retried while it gets no definite outcome, in seconds.
    linger_s : float, optional
        How long the first write after an idle time waits for further writes to join
        its group, in seconds.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        metrics: Metrics,
        *,
        timeout_s: float,
        linger_s: float = 0.0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._linger_s = linger_s
        self._pending: list[_PendingWrite] = []
        self._sender: asyncio.Task[None] | None = None

    async def commit(
        self,
        *,
        checks: tuple[Check, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[int, CallError]:
        """Commit one write and return the version of its rows."""
        outcome = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingWrite(checks, puts, deletes, outcome))
        if self._sender is None or self._sender.done():
            self._sender = asyncio.create_task(self._send_pending())
        return await outcome

    async def _send_pending(self) -> None:
        if self._linger_s:
            await self._clock.sleep(self._linger_s)
        while self._pending:
            group = self._pending[:MAX_GROUP_WRITES]
            del self._pending[:MAX_GROUP_WRITES]
            await self._send_group(group)

    async def _send_group(self, group: list[_PendingWrite]) -> None:
        deadline_s = self._clock.monotonic() + self._timeout_s
        transaction = _make_transaction(group)
        may_have_committed = False
        while group:
            result = await self._table.transact(transaction)
            self._metrics.count("store_transactions")
            match result:
                case Ok(_):
                    self._metrics.count("store_units", len(group))
                    _resolve(group, result)
                    return
                case Err(Conflict(keys)):
                    if may_have_committed:
                        version = await self._find_version(transaction)
                        if version is not None:
                            _resolve(group, Ok(version))
                            return
                    remaining = _fail_conflicting(group, set(keys))
                    if len(remaining) < len(group):
                        # The lost sends check the conflicting row as well.
                        may_have_committed = False
                        group = remaining
                        transaction = _make_transaction(group)
                        continue
                    # The conflict names no row of the group, so another send may pass,
                    # and a lost one may have passed.
                case Err(Unsettled()):
                    may_have_committed = True
                case Err(Rejected()) if len(group) > 1:
                    for write in group:
                        await self._send_group([write])
                    return
                case Err(Rejected()):
                    _resolve(group, result)
                    return
                case Err(Unavailable()):
                    pass
            if self._clock.monotonic() >= deadline_s:
                _resolve(group, _make_timeout_error(may_have_committed))
                return
            await self._clock.sleep(RETRY_DELAY_S)

    async def _find_version(self, transaction: Transaction) -> int | None:
        """Return the version that an earlier send of the transaction wrote, if any.

        All rows of a transaction are written together, so one row with its write
        ID proves that it was committed. Failed reads are retried without limit.
        """
        index = 0
        while index < len(transaction.puts):
            match await self._table.read(transaction.puts[index].key):
                case Ok(row):
                    if row is not None and row.write_id == transaction.write_id:
                        return row.version
                    index += 1
                case Err(_):
                    await self._clock.sleep(RETRY_DELAY_S)
        return None


def _make_transaction(group: list[_PendingWrite]) -> Transaction:
    checks = {check: None for write in group for check in write.checks}
    return Transaction(
        write_id=uuid.uuid4().hex,
        checks=tuple(checks),
        puts=tuple(put for write in group for put in write.puts),
        deletes=tuple(key for write in group for key in write.deletes),
    )


def _fail_conflicting(
    group: list[_PendingWrite], keys: set[str]
) -> list[_PendingWrite]:
    failed = [write for write in group if write.checked_keys & keys]
    _resolve(failed, Err(Conflict(tuple(sorted(keys)))))
    return [write for write in group if write not in failed]


def _make_timeout_error(may_have_committed: bool) -> Err[CallError]:
    if may_have_committed:
        return Err(Unsettled("the outcome of the commit is not known yet"))
    return Err(Unavailable("the table service did not accept the transaction"))


def _resolve(group: list[_PendingWrite], result: Result[int, CallError]) -> None:
    for write in group:
        if not write.outcome.done():
            write.outcome.set_result(result)
