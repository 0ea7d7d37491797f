"""Tickets of the advice service: which workers may run a step, asked ahead in batches.

Load answered: queues whose policy only the advice service knows. It takes one call at
a time from each host, and its time grows with the workers named, so those with most
room are asked about first and refusals are remembered: they do not change.
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
"""Workers named in one call; a job's due time allows for one such call a step."""

RENEW_BEFORE_S = 0.3
"""A ticket is used up to this time before its end."""

RETRY_S = 0.25
IDLE_S = 0.5


class Advice(NamedTuple):
    """Answer of the advice service.

    Attributes
    ----------
    tickets : dict
        Ticket of each worker that may run the step; the others may not.
    valid_s : float
        How long the tickets hold.
    """

    tickets: dict[WorkerName, str]
    valid_s: float


class AdviceService(Protocol):
    """Knows which workers may run a step."""

    async def ask(
        self, step_name: str, workers: tuple[WorkerName, ...]
    ) -> Result[Advice, CallError]:
        """Return tickets for those of `workers` that may run the step."""


class Ticket(NamedTuple):
    """Permission for a step on one life of a worker."""

    text: str
    born_ms: int
    expires_s: float


class Candidate(NamedTuple):
    """A worker that may be asked about, those with most room first."""

    name: WorkerName
    born_ms: int


class AdviceBook:
    """Asks for what waits, one call at a time, and keeps the tickets.

    Parameters
    ----------
    service : AdviceService or None
        None where the deployment has no such service.
    clock, log
        Time and lines.
    on_news : asyncio.Event
        Set when tickets have come.
    """

    def __init__(
        self,
        service: AdviceService | None,
        clock: Clock,
        log: DecisionLog,
        on_news: asyncio.Event,
    ) -> None:
        self._service = service
        self._clock = clock
        self._log = log
        self._on_news = on_news
        self._tickets: dict[str, dict[WorkerName, Ticket]] = {}
        self._refused: dict[str, set[WorkerName]] = {}
        self._wanted: dict[str, list[Candidate]] = {}
        self._wake = asyncio.Event()

    def want(self, wanted: dict[str, list[Candidate]]) -> None:
        """Replace what is asked for: candidates of each step, in order of need."""
        self._wanted = wanted
        if wanted:
            self._wake.set()

    def forget(self, gone: Iterable[str]) -> None:
        """Drop what is kept for steps that will not start any more."""
        for step_name in gone:
            self._tickets.pop(step_name, None)
            self._refused.pop(step_name, None)

    def known_steps(self) -> list[str]:
        """Return the steps for which anything is kept."""
        return list(self._tickets.keys() | self._refused.keys())

    def find(self, step_name: str, worker: WorkerName, born_ms: int) -> str:
        """Return a ticket that holds now, or an empty text."""
        ticket = self._tickets.get(step_name, {}).get(worker)
        if ticket is None or ticket.born_ms != born_ms:
            return ""
        if self._clock.monotonic() > ticket.expires_s - RENEW_BEFORE_S:
            return ""
        return ticket.text

    def allowed(
        self, step_name: str, candidates: Iterable[Candidate]
    ) -> frozenset[WorkerName]:
        """Return the workers for which a ticket holds now."""
        return frozenset(
            candidate.name
            for candidate in candidates
            if self.find(step_name, candidate.name, candidate.born_ms)
        )

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await run_with_timeout(self._clock, self._wake.wait(), IDLE_S)
            self._wake.clear()
            while (batch := self._next_batch()) is not None:
                await self._ask(*batch)

    def _next_batch(self) -> tuple[str, list[Candidate]] | None:
        if self._service is None:
            return None
        for step_name, candidates in self._wanted.items():
            refused = self._refused.get(step_name, set())
            unknown = [
                candidate
                for candidate in candidates
                if candidate.name not in refused
                and not self.find(step_name, candidate.name, candidate.born_ms)
            ]
            if unknown:
                return step_name, unknown[:BATCH_WORKERS]
        return None

    async def _ask(self, step_name: str, batch: list[Candidate]) -> None:
        names = tuple(candidate.name for candidate in batch)
        sent_s = self._clock.monotonic()
        match await self._service.ask(step_name, names):
            case Ok(advice):
                self._note(step_name, batch, advice, sent_s)
            case Err(error):
                self._log.write("advice", "not_given", step=step_name, error=str(error))
                await self._clock.sleep(RETRY_S)

    def _note(
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
                text, candidate.born_ms, sent_s + advice.valid_s
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
        self._on_news.set()
