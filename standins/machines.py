"""Stand-in for the machines that host the workers, in process and over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from aiohttp import web
from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.services import CallError, Unsettled
from chiveledge.services.machines import (
    Machine,
    MachineState,
    UpkeepOrder,
    UpkeepRefusal,
    UpkeepRefused,
)
from chiveledge.services.task_worker import WorkerEntry
from standins.task_worker import MemoryTaskWorker

REPLY_TIMEOUT_S = 0.5
PAGE_MACHINES = 2


class Upkeep(NamedTuple):
    """An upkeep that was carried out.

    Attributes
    ----------
    killed : int
        Number of runs that it killed.
    others_down : int
        Number of machines that were already down.
    """

    at_s: float
    order: UpkeepOrder
    killed: int
    others_down: int


class MemoryMachines:
    """Machines that host one worker each and are named after it.

    Parameters
    ----------
    list_worker : callable
        Writes the row of a worker that has restarted.

    Attributes
    ----------
    lose_replies : int
        Number of orders that are carried out but get no reply.
    upkeeps : list of Upkeep
        The upkeeps that were carried out, in order.
    """

    def __init__(
        self,
        workers: list[MemoryTaskWorker],
        clock: Clock,
        upkeep_s: float = 2.0,
        list_worker: Callable[[WorkerEntry], None] = lambda entry: None,
    ) -> None:
        self.lose_replies = 0
        self.upkeeps: list[Upkeep] = []
        self._workers = {f"m-{worker.entry.name}": worker for worker in workers}
        self._clock = clock
        self._upkeep_s = upkeep_s
        self._list_worker = list_worker
        self._down: set[str] = set()
        self._done: set[tuple[str, int]] = set()

    def replace_worker(
        self, earlier: MemoryTaskWorker, worker: MemoryTaskWorker
    ) -> None:
        """Let a machine host a worker of another name than before."""
        for machine, present in self._workers.items():
            if present is earlier:
                self._workers[machine] = worker

    async def list_machines(self) -> Result[tuple[Machine, ...], CallError]:
        """Return all machines."""
        return Ok(
            tuple(
                Machine(
                    name,
                    MachineState.UPKEEP if name in self._down else MachineState.UP,
                    "" if name in self._down else worker.entry.name,
                )
                for name, worker in self._workers.items()
            )
        )

    async def begin_upkeep(
        self, order: UpkeepOrder
    ) -> Result[None, UpkeepRefused | CallError]:
        """Take a machine down for the upkeep, after which its worker restarts.

        An order that repeats an earlier one has no further effect.
        """
        if order.machine not in self._workers:
            return Err(UpkeepRefused(UpkeepRefusal.UNKNOWN_MACHINE))
        if (order.machine, order.wave) not in self._done:
            if order.machine in self._down:
                return Err(UpkeepRefused(UpkeepRefusal.BUSY))
            self._take_down(order)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            await self._clock.sleep(REPLY_TIMEOUT_S)
            return Err(Unsettled("no reply"))
        return Ok(None)

    def _take_down(self, order: UpkeepOrder) -> None:
        worker = self._workers[order.machine]
        now_s = self._clock.monotonic()
        self.upkeeps.append(Upkeep(now_s, order, len(worker.runs), len(self._down)))
        self._done.add((order.machine, order.wave))
        self._down.add(order.machine)
        worker.runs.clear()
        worker.faults.unresponsive = True
        asyncio.ensure_future(self._finish_upkeep(order.machine, worker))

    async def _finish_upkeep(self, machine: str, worker: MemoryTaskWorker) -> None:
        await self._clock.sleep(self._upkeep_s)
        worker.crash(worker.entry.incarnation_ms + 1)
        worker.faults.unresponsive = False
        self._list_worker(worker.entry)
        self._down.discard(machine)


def make_machines_app(machines: MemoryMachines) -> web.Application:
    """Return the HTTP application, which lists machines in pages of two."""

    async def list_page(request: web.Request) -> web.Response:
        rows = (await machines.list_machines()).unwrap()
        start = int(request.query.get("page_token", 0))
        more = start + PAGE_MACHINES < len(rows)
        return web.json_response(
            {
                "machines": [
                    {"machine": row.name, "state": row.state, "id": row.worker}
                    for row in rows[start : start + PAGE_MACHINES]
                ],
                "next_token": str(start + PAGE_MACHINES) if more else None,
            }
        )

    async def begin(request: web.Request) -> web.Response:
        fields = await request.json()
        order = UpkeepOrder(
            fields["machine"],
            fields["wave"],
            request.headers["X-Lease-Holder"],
            int(request.headers["X-Fencing-Token"]),
        )
        match await machines.begin_upkeep(order):
            case Ok(_):
                return web.json_response({})
            case Err(UpkeepRefused(UpkeepRefusal.UNKNOWN_MACHINE)):
                return web.json_response({}, status=400)
            case Err(UpkeepRefused(reason)):
                return web.json_response({"reason": reason}, status=409)
        request.transport.close()
        return web.Response()

    app = web.Application()
    app.router.add_get("/machines", list_page)
    app.router.add_post("/machine-upkeep", begin)
    return app
