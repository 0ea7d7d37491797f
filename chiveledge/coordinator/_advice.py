"""Tickets of the advice service, which permit a step on a worker.

Some queues have a policy that only the advice service knows. The service accepts one
call at a time from each host, and its response time grows with the number of workers
in the call. Tickets are therefore requested in batches before they are needed, for the
workers with most free capacity first, and refusals are cached: they do not change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.decision_log import DecisionLog
from chiveledge.services import CallError
from chiveledge.types import WorkerName

BATCH_WORKERS = 30
"""Most workers in one call; a job's due time allows one such call for each step."""

RENEW_BEFORE_S = 0.3
"""How long before its expiry a ticket is no longer used."""

FETCH_RETRY_S = 0.25
IDLE_WAIT_S = 0.5

MAX_REST_S = 32.0
"""Longest pause of a step about which calls fail while those about others succeed."""


class Advice(NamedTuple):
    """Answer of the advice service about one step.

    Attributes
    ----------
    tickets : dict
        Ticket of each worker that may run the step, by name. Workers of the request
        without a ticket may not run it.
    valid_s : float
        Validity of the tickets in seconds.
    """

    tickets: dict[WorkerName, str]
    valid_s: float


class AdviceService(Protocol):
    """Client of the service that decides which workers may run a step."""

    async def fetch_tickets(
        self, step_name: str, workers: tuple[WorkerName, ...]
    ) -> Result[Advice, CallError]:
        """Return tickets for those of `workers` that may run the step."""


class Ticket(NamedTuple):
    """Permission to run a step on one incarnation of a worker."""

    text: str
    incarnation_ms: int
    expires_s: float


class Candidate(NamedTuple):
    """One incarnation of a worker that may be asked about."""

    name: WorkerName
    incarnation_ms: int


class _FailedStep(NamedTuple):
    """A step about which the last call failed.

    Attributes
    ----------
    failed_s : float
        Monotonic time of that failure.
    own_failures : int
        Consecutive failures, but for those since which no other call has succeeded:
        the service may have failed as a whole.
    """

    failed_s: float
    own_failures: int

    @property
    def rests_until_s(self) -> float:
        """Monotonic time until which the step is not asked about."""
        return self.failed_s + min(FETCH_RETRY_S * 2**self.own_failures, MAX_REST_S)


class TicketCache:
    """Requests tickets for waiting steps, one call at a time, and caches them.

    Parameters
    ----------
    service : AdviceService or None
        None where the deployment has no such service.
    clock : Clock
        Clock of the expiry of tickets.
    log : DecisionLog
        Log of the calls.
    tickets_changed : asyncio.Event
        Set when an answer has arrived.
    """

    def __init__(
        self,
        service: AdviceService | None,
        clock: Clock,
        log: DecisionLog,
        tickets_changed: asyncio.Event,
    ) -> None:
        self._service = service
        self._clock = clock
        self._log = log
        self._tickets_changed = tickets_changed
        self._tickets: dict[str, dict[WorkerName, Ticket]] = {}
        self._refused: dict[str, set[WorkerName]] = {}
        self._failed: dict[str, _FailedStep] = {}
        self._last_success_s = float("-inf")
        self._wanted: dict[str, list[Candidate]] = {}
        self._has_wanted = asyncio.Event()

    def set_wanted(self, wanted: dict[str, list[Candidate]]) -> None:
        """Set the candidates of each waiting step, both in order of priority."""
        self._wanted = wanted
        if wanted:
            self._has_wanted.set()

    def discard_steps(self, step_names: Iterable[str]) -> None:
        """Remove all that is cached of steps that no longer wait."""
        for step_name in step_names:
            self._tickets.pop(step_name, None)
            self._refused.pop(step_name, None)
            self._failed.pop(step_name, None)

    def cached_steps(self) -> list[str]:
        """Return the steps with cached tickets, refusals or failures."""
        return list(self._tickets.keys() | self._refused.keys() | self._failed.keys())

    def find_ticket(
        self, step_name: str, worker: WorkerName, incarnation_ms: int
    ) -> str:
        """Return a valid ticket, or an empty string."""
        ticket = self._tickets.get(step_name, {}).get(worker)
        if ticket is None or ticket.incarnation_ms != incarnation_ms:
            return ""
        if self._clock.monotonic() > ticket.expires_s - RENEW_BEFORE_S:
            return ""
        return ticket.text

    def find_allowed(
        self, step_name: str, candidates: Iterable[Candidate]
    ) -> frozenset[WorkerName]:
        """Return the candidates with a valid ticket."""
        return frozenset(
            candidate.name
            for candidate in candidates
            if self.find_ticket(step_name, candidate.name, candidate.incarnation_ms)
        )

    async def run(self) -> None:
        """Request tickets until cancelled."""
        while True:
            await run_with_timeout(self._clock, self._has_wanted.wait(), IDLE_WAIT_S)
            self._has_wanted.clear()
            while (batch := self._next_batch()) is not None:
                await self._fetch(*batch)

    def _next_batch(self) -> tuple[str, list[Candidate]] | None:
        if self._service is None:
            return None
        for step_name in self._list_due_steps():
            candidates = self._wanted[step_name]
            refused = self._refused.get(step_name, set())
            missing = [
                candidate
                for candidate in candidates
                if candidate.name not in refused
                and not self.find_ticket(
                    step_name, candidate.name, candidate.incarnation_ms
                )
            ]
            if missing:
                return step_name, missing[:BATCH_WORKERS]
        return None

    def _list_due_steps(self) -> list[str]:
        """Return the steps to ask about, those that failed last at the end."""
        now_s = self._clock.monotonic()
        failed = self._failed
        due = [
            step_name
            for step_name in self._wanted
            if step_name not in failed or failed[step_name].rests_until_s <= now_s
        ]
        return sorted(
            due, key=lambda name: failed[name].failed_s if name in failed else 0
        )

    async def _fetch(self, step_name: str, batch: list[Candidate]) -> None:
        names = tuple(candidate.name for candidate in batch)
        sent_s = self._clock.monotonic()
        match await self._service.fetch_tickets(step_name, names):
            case Ok(advice):
                self._record_advice(step_name, batch, advice, sent_s)
                usable_until_s = sent_s + advice.valid_s - RENEW_BEFORE_S
                if advice.tickets and usable_until_s < self._clock.monotonic():
                    self._record_failure(step_name, "the tickets have expired")
                else:
                    self._failed.pop(step_name, None)
                    self._last_success_s = self._clock.monotonic()
            case Err(error):
                self._record_failure(step_name, str(error))
                await self._clock.sleep(FETCH_RETRY_S)

    def _record_failure(self, step_name: str, error: str) -> None:
        now_s = self._clock.monotonic()
        before = self._failed.get(step_name)
        own_failures = before.own_failures if before else 0
        if before is not None and self._last_success_s > before.failed_s:
            own_failures += 1
        self._failed[step_name] = _FailedStep(now_s, own_failures)
        self._log.write("advice", "not_given", step=step_name, error=error)

    def _record_advice(
        self, step_name: str, batch: list[Candidate], advice: Advice, sent_s: float
    ) -> None:
        tickets = self._tickets.setdefault(step_name, {})
        refused = self._refused.setdefault(step_name, set())
        for candidate in batch:
            text = advice.tickets.get(candidate.name)
            if text is None:
                refused.add(candidate.name)
                continue
            tickets[candidate.name] = Ticket(
                text, candidate.incarnation_ms, sent_s + advice.valid_s
            )
        self._log.write(
            "advice",
            "given",
            id=step_name.partition(".")[0],
            step=step_name,
            asked=len(batch),
            good=len(advice.tickets),
            took_s=round(self._clock.monotonic() - sent_s, 3),
        )
        self._tickets_changed.set()
