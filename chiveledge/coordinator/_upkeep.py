"""Runs waves of upkeep: empties machines in turn and orders their upkeep.

An upkeep order without an answer may be executed late. Each order is therefore stored
before it is sent, and its machine counts as down until an answer arrives. A new leader
sends no order while orders of a former leader may still be in flight.
"""

from __future__ import annotations

import json
import uuid
from dataclasses import dataclass, field

from result import Err, Ok

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._fleet_view import find_protected_tasks, view_run
from chiveledge.coordinator._orders import OrderDispatcher
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.decoding import DECODE_ERRORS, describe_error
from chiveledge.leadership import Leadership
from chiveledge.placement import choose_next_machines, find_drain_timeout_s
from chiveledge.services import Check, Conflict, Put, Row, Transaction
from chiveledge.services.machines import (
    Machine,
    MachineName,
    MachineState,
    UpkeepOrder,
    UpkeepRefusal,
    UpkeepRefused,
    Wave,
)
from chiveledge.workload import JobProgress

PROGRESS_PREFIX = "upkeep/"
STATUS_PREFIX = "status/wave/"
POLL_INTERVAL_S = 0.5
"""Interval at which the machines are polled while a wave is open."""


@dataclass
class WaveProgress:
    """Progress of one wave.

    Attributes
    ----------
    version : int
        Version of the stored row, 0 if none is stored.
    completed : bool
        Whether no machine of the wave is left.
    sent : set of str
        Machines whose order may be in flight.
    begun : set of str
        Machines whose upkeep has begun or ended, or that do not belong to the wave.
    """

    version: int = 0
    completed: bool = False
    sent: set[MachineName] = field(default_factory=set)
    begun: set[MachineName] = field(default_factory=set)


class UpkeepController:
    """Runs the waves of upkeep during one leader term.

    Parameters
    ----------
    context : TermContext
        Stores, clients, clock and timing.
    leadership : Leadership
        Provides holder and fence; no upkeep is ordered while it is not valid.
    links, jobs : dict
        State of each worker by name, and all jobs by ID.
    orders : OrderDispatcher
        Stops runs that do not end in time.
    """

    def __init__(
        self,
        context: TermContext,
        leadership: Leadership,
        links: dict[str, WorkerLink],
        jobs: dict[str, JobProgress],
        orders: OrderDispatcher,
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._timing = context.timing
        self._leadership = leadership
        self._links = links
        self._jobs = jobs
        self._orders = orders
        self._progress: dict[int, WaveProgress] = {}
        self._unreadable: set[int] = set()
        self._emptying_since_s: dict[tuple[int, MachineName], float] = {}
        self._ordered_s: dict[MachineName, float] = {}
        self._missing: dict[int, frozenset[MachineName]] = {}

    async def run(self) -> None:
        """Run waves until cancelled."""
        await self._clock.sleep(self._timing.machine_lease_s)
        loaded = False
        while True:
            waves = list(self._context.waves())
            loaded = loaded or (bool(waves) and await self._load())
            waves = [wave for wave in waves if loaded and self._is_open(wave)]
            if waves:
                await self._advance_waves(waves)
            self._release_machines(waves)
            await self._clock.sleep(POLL_INTERVAL_S)

    def _is_open(self, wave: Wave) -> bool:
        if wave.number in self._unreadable:
            return False
        progress = self._progress.get(wave.number)
        return progress is None or not progress.completed

    async def _load(self) -> bool:
        match await self._context.table.snapshot(PROGRESS_PREFIX):
            case Ok(snapshot):
                for row in snapshot.rows:
                    self._load_wave(row)
                return True
            case Err(error):
                self._log.write("upkeep", "not_loaded", error=str(error))
                return False
        raise AssertionError("unreachable")

    def _load_wave(self, row: Row) -> None:
        """Load the progress of a wave; one that can't be read is not advanced.

        It may have orders in flight, whose machines count as down.
        """
        name = row.key.removeprefix(PROGRESS_PREFIX)
        try:
            self._progress[int(name)] = _decode(row)
        except DECODE_ERRORS as error:
            if name.isdecimal():
                self._unreadable.add(int(name))
            reason = describe_error(error)
            self._log.write("upkeep", "unreadable", key=row.key, reason=reason)

    async def _advance_waves(self, waves: list[Wave]) -> None:
        polled_s = self._clock.monotonic()
        match await self._context.machines.list_machines():
            case Ok(machines):
                known = {machine.name: machine for machine in machines}
            case Err(error):
                self._log.write("upkeep", "machines_unknown", error=str(error))
                return
        for wave in waves:
            await self._advance_wave(wave, known, polled_s)

    async def _advance_wave(
        self, wave: Wave, known: dict[MachineName, Machine], polled_s: float
    ) -> None:
        progress = self._progress.setdefault(wave.number, WaveProgress())
        if progress.version == 0 and not await self._save(wave, progress):
            return
        machines = [known[name] for name in wave.machines if name in known]
        left = [machine for machine in machines if machine.name not in progress.begun]
        if not left and self._are_gone(wave, progress, known):
            progress.completed = True
            if not await self._save(wave, progress):
                progress.completed = False
            return
        self._choose_machines(wave, progress, machines, left, polled_s)
        for machine in left:
            if (wave.number, machine.name) in self._emptying_since_s:
                await self._empty_machine(wave, progress, machine)

    def _are_gone(
        self, wave: Wave, progress: WaveProgress, known: dict[MachineName, Machine]
    ) -> bool:
        """Return whether the machines that the list lacks are surely gone.

        The list comes in pages, and one that changes meanwhile may leave a machine out.
        A machine is gone if it was missing before, too, and its worker is neither
        listed nor answers.
        """
        missing = frozenset(name for name in wave.machines if name not in known)
        before = self._missing.get(wave.number, frozenset())
        self._missing[wave.number] = missing
        present = {
            link.entry.machine
            for link in self._links.values()
            if link.listed
            or (link.last_answer_s is not None and link.unresponsive_since_s is None)
        }
        return missing <= before and not (missing - progress.begun) & present

    def _choose_machines(
        self,
        wave: Wave,
        progress: WaveProgress,
        machines: list[Machine],
        left: list[Machine],
        polled_s: float,
    ) -> None:
        """Choose further machines to empty, within the bound on machines down."""
        now_s = self._clock.monotonic()
        for name in progress.sent:
            # A former leader's order may not have been executed.
            self._emptying_since_s.setdefault((wave.number, name), now_s)
        down = {m.name for m in machines if self._may_be_down(m, polled_s)}
        down |= progress.sent
        emptying = {name for number, name in self._emptying_since_s}
        unavailable = down | {m.name for m in left if m.name in emptying}
        losses = {
            machine.name: self._stop_loss(machine)
            for machine in left
            if machine.name not in unavailable and machine.state is MachineState.UP
        }
        for name in choose_next_machines(losses, wave.max_down - len(unavailable)):
            self._emptying_since_s[wave.number, name] = now_s
            self._log.write(
                "upkeep",
                "emptying",
                wave=wave.number,
                machine=name,
                loss=round(losses[name], 1),
                down=sorted(down),
            )

    def _may_be_down(self, machine: Machine, polled_s: float) -> bool:
        ordered_s = self._ordered_s.get(machine.name, float("-inf"))
        if polled_s < ordered_s + self._timing.upkeep_s:
            return True
        return machine.state is MachineState.UPKEEP

    def _stop_loss(self, machine: Machine) -> float:
        link = self._links.get(machine.worker)
        if link is None:
            return 0.0
        catalogue = self._context.catalogue()
        stop_s = self._context.timing.stop_s
        now_s = self._clock.monotonic()
        return sum(
            view_run(link, tracked, self._jobs, catalogue, True, stop_s, now_s).loss
            for tracked in link.runs.values()
        )

    async def _empty_machine(
        self, wave: Wave, progress: WaveProgress, machine: Machine
    ) -> None:
        """Keep new runs off a machine, stop its runs in time, then order its upkeep."""
        link = self._links.get(machine.worker)
        if link is not None:
            link.emptying = True
            if link.runs:
                self._stop_remaining_runs(wave, machine, link)
                return
        if machine.name not in progress.sent:
            progress.sent.add(machine.name)
            if not await self._save(wave, progress):
                # The write may have succeeded; the next attempt stores it again.
                progress.sent.discard(machine.name)
                return
            link = self._links.get(machine.worker)
            if link is not None and link.runs:
                # A worker that restarted or was listed meanwhile may have got runs.
                return
        await self._order_upkeep(wave, progress, machine)

    def _stop_remaining_runs(
        self, wave: Wave, machine: Machine, link: WorkerLink
    ) -> None:
        """Stop runs that would not end in time, except protected ones."""
        timing = self._timing
        timeout_s = find_drain_timeout_s(wave, timing.upkeep_s, timing.stop_s)
        waited_s = (
            self._clock.monotonic() - self._emptying_since_s[wave.number, machine.name]
        )
        protected = find_protected_tasks(list(self._links.values()), self._jobs)
        for tracked in list(link.runs.values()):
            if tracked.name in protected:
                continue
            if tracked.step.lasting or waited_s >= timeout_s:
                self._orders.stop(link, tracked, f"upkeep of {machine.name} is due")

    async def _order_upkeep(
        self, wave: Wave, progress: WaveProgress, machine: Machine
    ) -> None:
        """Order the upkeep of a machine; repeated at each poll until it is answered."""
        if not self._leadership.valid:
            return
        order = UpkeepOrder(
            machine.name, wave.number, self._leadership.process, self._leadership.epoch
        )
        self._ordered_s[machine.name] = self._clock.monotonic()
        result = await self._context.machines.begin_upkeep(order)
        self._log.write(
            "upkeep",
            "ordered",
            wave=wave.number,
            machine=machine.name,
            fence=order.fence,
            outcome="begun" if result.is_ok() else str(result.err()),
        )
        match result:
            case Ok(_):
                self._ordered_s[machine.name] = self._clock.monotonic()
                progress.begun.add(machine.name)
            case Err(UpkeepRefused(UpkeepRefusal.BUSY)):
                pass
            case Err(UpkeepRefused(UpkeepRefusal.FENCE)):
                return
            case Err(UpkeepRefused()):
                progress.begun.add(machine.name)
            case Err(_):
                return
        progress.sent.discard(machine.name)
        self._emptying_since_s.pop((wave.number, machine.name), None)
        await self._save(wave, progress)

    async def _save(self, wave: Wave, progress: WaveProgress) -> bool:
        """Store the progress and the public status; return whether they are stored."""
        key = f"{PROGRESS_PREFIX}{wave.number}"
        state = "completed" if progress.completed else "running"
        status = json.dumps({"state": state})
        transaction = Transaction(
            uuid.uuid4().hex,
            (self._leadership.fence, Check(key, progress.version)),
            (
                Put(key, _encode(progress)),
                Put(STATUS_PREFIX + str(wave.number), status),
            ),
        )
        match await self._context.table.transact(transaction):
            case Ok(version):
                progress.version = version
                return True
            case Err(error):
                self._log.write(
                    "upkeep", "not_stored", wave=wave.number, error=str(error)
                )
                if isinstance(error, Conflict):
                    await self._refresh_version(key, progress)
                return False
        raise AssertionError("unreachable")

    async def _refresh_version(self, key: str, progress: WaveProgress) -> None:
        """Read the version that an unanswered write of our own may have made."""
        match await self._context.table.read(key):
            case Ok(row):
                progress.version = row.version if row else 0
            case Err(error):
                self._log.write("upkeep", "not_read", key=key, error=str(error))

    def _release_machines(self, waves: list[Wave]) -> None:
        """Allow runs on machines that are in no open wave any more."""
        open_keys = {(wave.number, name) for wave in waves for name in wave.machines}
        for key in self._emptying_since_s.keys() - open_keys:
            del self._emptying_since_s[key]
        if not self._emptying_since_s and not waves:
            for link in self._links.values():
                link.emptying = False


def _encode(progress: WaveProgress) -> str:
    return json.dumps(
        {
            "completed": progress.completed,
            "sent": sorted(progress.sent),
            "begun": sorted(progress.begun),
        },
        separators=(",", ":"),
    )


def _decode(row: Row) -> WaveProgress:
    fields = json.loads(row.value)
    return WaveProgress(
        row.version, fields["completed"], set(fields["sent"]), set(fields["begun"])
    )
