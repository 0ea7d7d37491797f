"""The life of one attempt, from reservation to the last freed accelerator."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Protocol

from result import Err, Ok, Result

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.events import Timeline
from chiveledge.jobs import Attempt, Job
from chiveledge.leadership import Leadership
from chiveledge.scheduler._endings import (
    AllFinished,
    Ending,
    MembersFailed,
    MembersLost,
    NeverStarted,
    Reclaimed,
)
from chiveledge.scheduler._planner import PlannedStart
from chiveledge.scheduler._worker_link import WorkerLink
from chiveledge.services import CallError, Conflict, Reservation, TaskState
from chiveledge.settings import TimingSettings
from chiveledge.types import AttemptId, WorkerName

RESERVE_TRIES = 3
RETRY_S = 0.1
START_BOUND_S = 3.0


class JobBook(Protocol):
    """Where a gang commits what becomes of its job."""

    async def commit_start(self, job: Job, attempt: Attempt) -> Result[Job, CallError]:
        """Commit that an attempt runs."""

    async def commit_ending(self, job: Job, ending: Ending) -> Result[Job, CallError]:
        """Commit how an attempt ended."""


class GangRun:
    """Runs one attempt: all members, or none.

    Parameters
    ----------
    job : Job
        The job.
    attempt : Attempt
        The placement to run.
    links : mapping
        Links to the workers of the region.
    leadership : Leadership
        Must be valid before each outward effect.
    book : JobBook
        Commits the job's row.
    clock, timeline, timing
        Time, events and bounds.
    """

    def __init__(
        self,
        job: Job,
        attempt: Attempt,
        links: Mapping[WorkerName, WorkerLink],
        leadership: Leadership,
        book: JobBook,
        clock: Clock,
        timeline: Timeline,
        timing: TimingSettings,
    ) -> None:
        self.job = job
        self.attempt = attempt
        self._links = links
        self._leadership = leadership
        self._book = book
        self._clock = clock
        self._timeline = timeline
        self._timing = timing
        self._wanted_ending: Ending | None = None
        self._started_s = clock.monotonic()
        self._news = asyncio.Event()
        self._ended = asyncio.Event()

    @property
    def attempt_id(self) -> AttemptId:
        """ID of the attempt."""
        return self.attempt.attempt_id

    def notify(self) -> None:
        """Wake the gang, since a worker of its reported."""
        self._news.set()

    def request_end(self, ending: Ending) -> None:
        """Ask for an end; the first one asked for holds."""
        if self._wanted_ending is None:
            self._wanted_ending = ending
        self._news.set()

    async def wait_ended(self) -> None:
        """Wait until no member runs any more."""
        await self._ended.wait()

    async def run_planned(
        self, start: PlannedStart, stop_victims: Callable[[], Awaitable[None]]
    ) -> None:
        """Clear the place, reserve, commit, start, follow and end a new attempt."""
        try:
            if start.victims:
                await stop_victims()
            ending = await self._begin()
            if ending is None:
                ending = await self._watch()
            await self._end(ending)
        finally:
            self._ended.set()

    async def run_adopted(self) -> None:
        """Follow and end an attempt that an earlier leader started."""
        try:
            for worker in self.attempt.workers:
                self._link(worker).hold(self.attempt_id)
            await self._wait_first_reports()
            self._event("gang_adopted")
            ending = None
            if self._states_include(TaskState.RESERVED):
                ending = await self._start_members()
            if ending is None:
                ending = await self._watch()
            await self._end(ending)
        finally:
            self._ended.set()

    async def _begin(self) -> Ending | None:
        if self._wanted_ending is not None:
            return self._wanted_ending
        refusal = await self._reserve_all()
        if refusal:
            return NeverStarted(refusal)
        await self._wait_valid()
        match await self._book.commit_start(self.job, self.attempt):
            case Ok(job):
                self.job = job
            case Err(error):
                return NeverStarted(f"the commit failed: {error}")
        self._event("gang_committed")
        return await self._start_members()

    async def _reserve_all(self) -> str:
        """Reserve every member; return why not, or an empty text."""
        for worker in self.attempt.workers:
            self._link(worker).hold(self.attempt_id)
        results = await asyncio.gather(
            *(self._reserve_on(worker) for worker in self.attempt.workers)
        )
        return next((why for why in results if why), "")

    async def _reserve_on(self, worker: WorkerName) -> str:
        link = self._link(worker)
        members = tuple(m for m in self.attempt.members if m.worker == worker)
        reservation = Reservation(
            region=self.job.spec.region,
            epoch=self._leadership.epoch,
            job=self.job.job_id,
            attempt=self.attempt_id,
            lease_s=self._timing.task_lease_s,
            payload=self.job.spec.payload,
            resume_s=self.job.saved_s,
            members=members,
        )
        why = ""
        for _ in range(RESERVE_TRIES):
            await self._wait_valid()
            match await link.worker.reserve(reservation):
                case Ok(_):
                    return ""
                case Err(error):
                    why = f"worker {worker}: {error}"
            await self._clock.sleep(RETRY_S)
        return why

    async def _start_members(self) -> Ending | None:
        deadline = self._clock.monotonic() + START_BOUND_S
        results = await asyncio.gather(
            *(self._start_on(worker, deadline) for worker in self.attempt.workers)
        )
        missed = tuple(
            worker
            for worker, started in zip(self.attempt.workers, results, strict=True)
            if not started
        )
        if missed:
            return MembersLost(missed)
        self._started_s = self._clock.monotonic()
        self._event("gang_started")
        return None

    async def _start_on(self, worker: WorkerName, deadline: float) -> bool:
        link = self._link(worker)
        while self._clock.monotonic() < deadline:
            await self._wait_valid()
            match await link.worker.start(link.make_order(self.attempt_id)):
                case Ok(_):
                    return True
                case Err(Conflict()):
                    return False
                case Err(_):
                    await self._clock.sleep(RETRY_S)
        return False

    async def _watch(self) -> Ending:
        """Wait until the attempt must end, and return how."""
        while True:
            ending = self._find_ending()
            if ending is not None:
                return ending
            self._news.clear()
            await self._news.wait()

    def _find_ending(self) -> Ending | None:
        states = [self._member_state(index) for index in range(self._size)]
        failed = self._workers_in(states, TaskState.FAILED)
        if failed:
            return MembersFailed(failed)
        if all(state is TaskState.FINISHED for state in states):
            return AllFinished(self._results())
        lost = tuple(
            dict.fromkeys(
                member.worker
                for member, state in zip(self.attempt.members, states, strict=True)
                if state in (None, TaskState.STOPPED)
                and self._is_certain(member.worker)
            )
        )
        if lost:
            return MembersLost(lost)
        return self._wanted_ending

    async def _end(self, ending: Ending) -> None:
        """Stop what runs, commit the ending, and free the place."""
        if isinstance(ending, Reclaimed):
            await self._checkpoint_all()
        await asyncio.gather(
            *(self._stop_on(worker) for worker in self.attempt.workers)
        )
        await self._wait_valid()
        match await self._book.commit_ending(self.job, ending):
            case Ok(job):
                self.job = job
            case Err(error):
                self._leadership.step_down(f"a job's ending was not committed: {error}")
                return
        self._event("gang_ended", outcome=type(ending).__name__)
        await asyncio.gather(
            *(self._forget_on(worker) for worker in self.attempt.workers)
        )

    async def _checkpoint_all(self) -> None:
        """Save the work of all members, within a bound."""
        links = [self._link(w) for w in self.attempt.workers]
        if any(link.lost for link in links):
            return
        saving = asyncio.gather(
            *(
                link.worker.checkpoint(link.make_order(self.attempt_id))
                for link in links
            )
        )
        saved = await run_with_timeout(self._clock, saving, self._timing.checkpoint_s)
        if all(result.is_ok() for result in saved.unwrap_or([saved])):
            ran = self._clock.now() - self.attempt.started_at
            saved_s = self.job.saved_s + max(ran.total_seconds(), 0.0)
            self.job = self.job._replace(saved_s=saved_s)

    async def _stop_on(self, worker: WorkerName) -> None:
        """Return once no member runs on a worker: it said so, or its lease lapsed."""
        link = self._link(worker)
        link.release(self.attempt_id)
        while True:
            await self._wait_valid()
            if not link.lost:
                match await link.worker.stop(link.make_order(self.attempt_id)):
                    case Ok(_):
                        return
                    case Err(Conflict(_, reason)):
                        self._leadership.step_down(f"worker {worker}: {reason}")
                        return
            if self._clock.monotonic() >= link.leases_end_s:
                return
            await self._clock.sleep(RETRY_S)

    async def _forget_on(self, worker: WorkerName) -> None:
        link = self._link(worker)
        if not link.lost:
            await link.worker.forget(link.make_order(self.attempt_id))

    async def _wait_first_reports(self) -> None:
        while not all(
            self._link(worker).synced or self._link(worker).lost
            for worker in self.attempt.workers
        ):
            self._news.clear()
            await self._news.wait()

    async def _wait_valid(self) -> None:
        """Hold back while the lease does not allow outward effects."""
        while not self._leadership.valid:
            await self._clock.sleep(RETRY_S)

    @property
    def _size(self) -> int:
        return len(self.attempt.members)

    def _link(self, worker: WorkerName) -> WorkerLink:
        return self._links[worker]

    def _is_certain(self, worker: WorkerName) -> bool:
        """Whether a member that a worker does not show is surely gone."""
        link = self._link(worker)
        return link.lost or link.reported_since(self._started_s)

    def _member_state(self, index: int) -> TaskState | None:
        member = self.attempt.members[index]
        return self._link(member.worker).state_of(self.attempt_id, member.member)

    def _states_include(self, state: TaskState) -> bool:
        return any(self._member_state(index) is state for index in range(self._size))

    def _workers_in(
        self, states: Sequence[TaskState | None], state: TaskState
    ) -> tuple[WorkerName, ...]:
        return tuple(
            dict.fromkeys(
                member.worker
                for member, found in zip(self.attempt.members, states, strict=True)
                if found is state
            )
        )

    def _results(self) -> tuple[str, ...]:
        return tuple(
            self._link(m.worker).tasks[(self.attempt_id, m.member)].result
            for m in self.attempt.members
        )

    def _event(self, name: str, *, outcome: str = "") -> None:
        self._timeline.add(
            "scheduler",
            name,
            self.job.job_id,
            epoch=self._leadership.epoch,
            outcome=outcome,
            detail=f"attempt {self.attempt_id} on {','.join(self.attempt.workers)}",
        )
