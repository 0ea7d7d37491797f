"""Execution of one attempt, from the reservation until all members have stopped."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from enum import Enum, auto
from typing import Protocol

from result import Err, Ok, Result

from chiveledge.clock import Clock, run_with_timeout
from chiveledge.events import Timeline
from chiveledge.jobs import Attempt, Job
from chiveledge.leadership import Leadership
from chiveledge.scheduler._attempt_outcomes import (
    AllFinished,
    AttemptOutcome,
    MembersFailed,
    MembersLost,
    NeverStarted,
    Reclaimed,
    StartRejected,
)
from chiveledge.scheduler._drain_follower import DrainFollower
from chiveledge.scheduler._lost_attempts import LossSign
from chiveledge.scheduler._planner import PlannedStart
from chiveledge.scheduler._worker_session import WorkerSession
from chiveledge.services import (
    CallError,
    Conflict,
    Rejected,
    Reservation,
    TaskState,
)
from chiveledge.settings import TimingSettings
from chiveledge.types import AttemptId, WorkerName

MAX_RESERVE_TRIES = 3
RETRY_S = 0.1
START_TIMEOUT_S = 3.0
"""Time for all workers to start their reserved members."""


class AttemptCommitter(Protocol):
    """Commits the start and the outcome of an attempt to its job's row."""

    async def commit_start(self, job: Job, attempt: Attempt) -> Result[Job, CallError]:
        """Commit that an attempt runs."""

    async def commit_outcome(
        self, job: Job, outcome: AttemptOutcome
    ) -> Result[Job, CallError]:
        """Commit the outcome of an attempt."""


class _StartAnswer(Enum):
    """Outcome of the orders to start the members on one worker."""

    STARTED = auto()
    FAILED = auto()
    WITHHELD = auto()
    """The worker's failure domain was drained before the next order."""


class AttemptRunner:
    """Runs the members of one attempt, either all or none.

    Parameters
    ----------
    job : Job
        The job that the attempt belongs to.
    attempt : Attempt
        Placement of the members.
    sessions : mapping of str to WorkerSession
        Sessions with the region's workers, by name.
    drains : DrainFollower
        Drains of failure domains, looked at before each order to start.
    leadership : Leadership
        Its lease must be valid before each call to a worker and each commit.
    committer : AttemptCommitter
        Commits the job's row.
    clock : Clock
        Source of time.
    timeline : Timeline
        Receives the events of the attempt.
    timing : TimingSettings
        Length of task leases and bound on checkpoints.
    """

    def __init__(
        self,
        job: Job,
        attempt: Attempt,
        sessions: Mapping[WorkerName, WorkerSession],
        drains: DrainFollower,
        leadership: Leadership,
        committer: AttemptCommitter,
        clock: Clock,
        timeline: Timeline,
        timing: TimingSettings,
    ) -> None:
        self.job = job
        self.attempt = attempt
        self._sessions = sessions
        self._drains = drains
        self._leadership = leadership
        self._committer = committer
        self._clock = clock
        self._timeline = timeline
        self._timing = timing
        self._requested_outcome: AttemptOutcome | None = None
        self._started_s = clock.monotonic()
        self._adopted_s: float | None = None
        self._changed = asyncio.Event()
        self._ended = asyncio.Event()

    @property
    def attempt_id(self) -> AttemptId:
        """ID of the attempt."""
        return self.attempt.attempt_id

    def notify(self) -> None:
        """Make the runner check the members after a worker reported or was lost."""
        self._changed.set()

    def request_end(self, outcome: AttemptOutcome) -> None:
        """Request that the attempt end; only the first request counts."""
        if self._requested_outcome is None:
            self._requested_outcome = outcome
        self._changed.set()

    async def wait_ended(self) -> None:
        """Wait until the attempt has ended."""
        await self._ended.wait()

    async def run_planned(
        self, start: PlannedStart, stop_victims: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a new attempt, from stopping its victims to committing its outcome."""
        try:
            if start.victims:
                await stop_victims()
            outcome = await self._reserve_and_start()
            if outcome is None:
                outcome = await self._monitor()
            await self._end(outcome)
        finally:
            self._ended.set()

    async def run_adopted(self) -> None:
        """Run an attempt of an earlier leader until its outcome is committed."""
        self._adopted_s = self._clock.monotonic()
        try:
            for worker in self.attempt.workers:
                self._session(worker).start_renewal(self.attempt_id)
            await self._wait_for_first_reports()
            self._record_event("gang_adopted")
            outcome = None
            if self._states_include(TaskState.RESERVED):
                outcome = await self._start_members()
            if outcome is None:
                outcome = await self._monitor()
            await self._end(outcome)
        finally:
            self._ended.set()

    async def _reserve_and_start(self) -> AttemptOutcome | None:
        if self._requested_outcome is not None:
            return self._requested_outcome
        await self._wait_until_starts_allowed()
        withheld = self._withhold_if_drained(self.attempt.workers)
        if withheld is not None:
            return withheld
        reason = await self._reserve_all()
        if reason:
            return NeverStarted(reason)
        await self._wait_until_starts_allowed()
        withheld = self._withhold_if_drained(self.attempt.workers)
        if withheld is not None:
            return withheld
        match await self._committer.commit_start(self.job, self.attempt):
            case Ok(job):
                self.job = job
            case Err(Rejected(reason)):
                return StartRejected(reason)
            case Err(error):
                return NeverStarted(f"the commit failed: {error}")
        self._record_event("gang_committed")
        return await self._start_members()

    async def _reserve_all(self) -> str:
        """Reserve every member; return the first error, or an empty text."""
        for worker in self.attempt.workers:
            self._session(worker).start_renewal(self.attempt_id)
        results = await asyncio.gather(
            *(self._reserve_on(worker) for worker in self.attempt.workers)
        )
        return next((reason for reason in results if reason), "")

    async def _reserve_on(self, worker: WorkerName) -> str:
        session = self._session(worker)
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
        reason = ""
        for _ in range(MAX_RESERVE_TRIES):
            await self._wait_for_valid_lease()
            match await session.reserve(reservation):
                case Ok(_):
                    return ""
                case Err(error):
                    reason = f"worker {worker}: {error}"
            await self._clock.sleep(RETRY_S)
        return reason

    async def _start_members(self) -> AttemptOutcome | None:
        deadline_s = self._clock.monotonic() + START_TIMEOUT_S
        await self._wait_until_starts_allowed()
        workers = self._list_workers_to_start()
        withheld = self._withhold_if_drained(workers)
        if withheld is not None:
            return withheld
        answers = await asyncio.gather(
            *(self._start_on(worker, deadline_s) for worker in workers)
        )
        by_worker = dict(zip(workers, answers, strict=True))
        drained = [w for w, a in by_worker.items() if a is _StartAnswer.WITHHELD]
        if drained:
            return self._withhold(drained)
        failed = tuple(w for w, a in by_worker.items() if a is _StartAnswer.FAILED)
        if failed:
            return MembersLost(failed)
        self._started_s = self._clock.monotonic()
        self._record_event("gang_started")
        return None

    async def _start_on(self, worker: WorkerName, deadline_s: float) -> _StartAnswer:
        session = self._session(worker)
        while self._clock.monotonic() < deadline_s:
            await self._wait_until_starts_allowed()
            if self._list_drained([worker]):
                return _StartAnswer.WITHHELD
            match await session.start(self.attempt_id):
                case Ok(_):
                    return _StartAnswer.STARTED
                case Err(Conflict()):
                    return _StartAnswer.FAILED
                case Err(_):
                    await self._clock.sleep(RETRY_S)
        return _StartAnswer.FAILED

    def _list_workers_to_start(self) -> tuple[WorkerName, ...]:
        """Return the workers, without those that reported all members as started."""
        waiting = {
            member.worker
            for index, member in enumerate(self.attempt.members)
            if self._member_state(index) in (None, TaskState.RESERVED)
        }
        return tuple(w for w in self.attempt.workers if w in waiting)

    def _list_drained(self, workers: Iterable[WorkerName]) -> list[WorkerName]:
        """Return the workers on which nothing may start by the drains known now."""
        known = self._drains.known
        return [w for w in workers if not known.may_start_in(self._session(w).domain)]

    def _withhold_if_drained(
        self, workers: Iterable[WorkerName]
    ) -> NeverStarted | None:
        """Withhold the attempt if one of these workers is in a drained domain.

        Returns the outcome of a withheld attempt, else None.
        """
        drained = self._list_drained(workers)
        return self._withhold(drained) if drained else None

    def _withhold(self, drained: Sequence[WorkerName]) -> NeverStarted:
        """Log that drains withhold the attempt, and return its outcome."""
        domains = {self._session(worker).domain for worker in drained}
        self._drains.record_withheld(self.attempt_id, domains)
        return NeverStarted(f"drained failure domains: {', '.join(sorted(domains))}")

    async def _monitor(self) -> AttemptOutcome:
        """Wait until the attempt must end, and return its outcome."""
        while True:
            outcome = self._find_outcome()
            if outcome is not None:
                return outcome
            self._changed.clear()
            await self._changed.wait()

    def _find_outcome(self) -> AttemptOutcome | None:
        states = [self._member_state(index) for index in range(self._member_count)]
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
                and self._is_absence_certain(member.worker)
            )
        )
        if lost:
            return MembersLost(lost, self._find_loss_sign(lost))
        return self._requested_outcome

    def _find_loss_sign(self, workers: Sequence[WorkerName]) -> LossSign:
        """Return what is known of workers whose members are gone."""
        sessions = self._sessions.values()
        lost_count = sum(session.lost for session in sessions)
        if lost_count > 1 and 2 * lost_count >= len(sessions):
            return LossSign.WIDESPREAD
        if any(self._session(worker).lost for worker in workers):
            return LossSign.SILENT
        return LossSign.RESTARTED

    async def _end(self, outcome: AttemptOutcome) -> None:
        """Stop all members, commit the outcome, and make the workers forget them."""
        if isinstance(outcome, Reclaimed):
            await self._checkpoint_all()
        await asyncio.gather(
            *(self._stop_on(worker) for worker in self.attempt.workers)
        )
        await self._wait_for_valid_lease()
        match await self._committer.commit_outcome(self.job, outcome):
            case Ok(job):
                self.job = job
            case Err(error):
                self._leadership.step_down(
                    f"a job's outcome was not committed: {error}"
                )
                return
        self._record_event("gang_ended", outcome=type(outcome).__name__)
        await asyncio.gather(
            *(self._forget_on(worker) for worker in self.attempt.workers)
        )

    async def _checkpoint_all(self) -> None:
        """Checkpoint all members, and take over the work saved of the whole gang.

        Skipped if a worker is lost, and bounded in time.
        """
        sessions = [self._session(w) for w in self.attempt.workers]
        if any(session.lost for session in sessions):
            return
        saving = asyncio.gather(
            *(session.checkpoint(self.attempt_id) for session in sessions)
        )
        saved = await run_with_timeout(self._clock, saving, self._timing.checkpoint_s)
        saved_s: dict[int, float] = {}
        for result in saved.unwrap_or(()):
            saved_s |= result.unwrap_or({})
        if len(saved_s) == self._member_count:
            gang_saved_s = max(self.job.saved_s, min(saved_s.values()))
            self.job = self.job._replace(saved_s=gang_saved_s)

    async def _stop_on(self, worker: WorkerName) -> None:
        """Stop the members on a worker, until it confirms or its lease lapses."""
        self._session(worker).stop_renewal(self.attempt_id)
        while True:
            await self._wait_for_valid_lease()
            # The session is replaced when its worker returns to the host list.
            session = self._session(worker)
            if not session.lost:
                match await session.worker.stop(session.make_order(self.attempt_id)):
                    case Ok(_):
                        return
                    case Err(Conflict(_, reason)):
                        self._leadership.step_down(f"worker {worker}: {reason}")
                        return
            if self._clock.monotonic() >= self._leases_end_s(session):
                return
            await self._clock.sleep(RETRY_S)

    async def _forget_on(self, worker: WorkerName) -> None:
        session = self._session(worker)
        if not session.lost:
            await session.worker.forget(session.make_order(self.attempt_id))

    async def _wait_for_first_reports(self) -> None:
        while not all(
            self._session(worker).has_reported or self._session(worker).lost
            for worker in self.attempt.workers
        ):
            self._changed.clear()
            await self._changed.wait()

    async def _wait_for_valid_lease(self) -> None:
        """Wait while the leader's lease does not allow calls and commits."""
        while not self._leadership.valid:
            await self._clock.sleep(RETRY_S)

    async def _wait_until_starts_allowed(self) -> None:
        """Wait while the leader's lease is not valid or the drains are not known."""
        while not (self._leadership.valid and self._drains.known.is_current):
            await self._clock.sleep(RETRY_S)

    @property
    def _member_count(self) -> int:
        return len(self.attempt.members)

    def _session(self, worker: WorkerName) -> WorkerSession:
        return self._sessions[worker]

    def _leases_end_s(self, session: WorkerSession) -> float:
        if self._adopted_s is None:
            return session.leases_end_s
        return session.adopted_leases_end_s(self._adopted_s)

    def _is_absence_certain(self, worker: WorkerName) -> bool:
        """Whether a member that a worker does not report certainly does not run.

        A report requested before the members started may miss them.
        """
        session = self._session(worker)
        return session.lost or session.reported_since(self._started_s)

    def _member_state(self, index: int) -> TaskState | None:
        member = self.attempt.members[index]
        return self._session(member.worker).member_state(self.attempt_id, member.member)

    def _states_include(self, state: TaskState) -> bool:
        return any(
            self._member_state(index) is state for index in range(self._member_count)
        )

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
            self._session(m.worker).tasks[(self.attempt_id, m.member)].result
            for m in self.attempt.members
        )

    def _record_event(self, name: str, *, outcome: str = "") -> None:
        self._timeline.add(
            "scheduler",
            name,
            self.job.job_id,
            epoch=self._leadership.epoch,
            outcome=outcome,
            detail=f"attempt {self.attempt_id} on {','.join(self.attempt.workers)}",
        )
