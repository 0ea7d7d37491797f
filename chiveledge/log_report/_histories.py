"""Histories of jobs, leader terms and store outages, gathered from log lines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import NamedTuple

from chiveledge.log_trace import LogLine, parse_line

LEADER_PARTS = frozenset({"coordinator", "settlement", "orders"})
"""Parts that only a leader writes."""

DONE = "done"
"""How a run ended that completed its task."""


class RunRecord(NamedTuple):
    """A run of a task.

    Attributes
    ----------
    step : int
        Number of the task's step.
    began_s, ended_s : float
        Unix times.
    how : str
        How it ended; `DONE` if it completed its task.
    why : str
        Why it was stopped; empty if it was not.
    cores : float
        Cores that it took, accelerators included.
    kept_s : float
        Work that a checkpoint preserved, in seconds.
    """

    task: str
    step: int
    began_s: float
    ended_s: float
    how: str
    why: str
    cores: float
    kept_s: float

    @property
    def lost_core_s(self) -> float:
        """Core-seconds of work that has to be done again."""
        if self.how == DONE:
            return 0.0
        return self.cores * max(0.0, self.ended_s - self.began_s - self.kept_s)


class Placed(NamedTuple):
    """A placement of tasks of a step.

    Attributes
    ----------
    expected_s : float
        Run time that was expected of each task; 0 if the line does not tell.
    """

    time_s: float
    step: int
    tasks: tuple[int, ...]
    cores: float
    expected_s: float
    checkpoints: bool


@dataclass
class JobHistory:
    """What the logs tell of one job.

    Attributes
    ----------
    first_attempt_s, stored_s, admitted_s, completed_s : float, optional
        Unix times of the first attempt to hand the job in, of its acceptance, of its
        first admission by a leader and of its completion.
    after : tuple of tuple of int
        For each step the steps that must be done before it.
    deferred : list of tuple
        Unix time and step of each decision to stop other runs for it.
    waits_for_drain : dict
        Unix time since when a step waits for the drain of a failure domain.
    drain_wait_s : float
        Seconds that its steps have waited for drains, without waits that go on.
    """

    job_id: str
    priority: int = 0
    workspace: str = ""
    stretch: float = 0.0
    target_s: float = 0.0
    after: tuple[tuple[int, ...], ...] = ()
    first_attempt_s: float | None = None
    stored_s: float | None = None
    admitted_s: float | None = None
    completed_s: float | None = None
    cancelled: bool = False
    failed: bool = False
    runs: list[RunRecord] = field(default_factory=list)
    placed: list[Placed] = field(default_factory=list)
    deferred: list[tuple[float, int]] = field(default_factory=list)
    waits_for_drain: dict[int, float] = field(default_factory=dict)
    drain_wait_s: float = 0.0

    @property
    def chain_s(self) -> float:
        """Run time of the longest chain of steps, by the runs that were done."""
        step_times_s: dict[int, float] = {}
        for run in self.runs:
            if run.how == DONE:
                ran_s = run.ended_s - run.began_s
                step_times_s[run.step] = max(step_times_s.get(run.step, 0.0), ran_s)
        chains_s: list[float] = []
        for number, earlier in enumerate(self.after or ((),)):
            before_s = max((chains_s[e] for e in earlier if e < number), default=0.0)
            chains_s.append(before_s + step_times_s.get(number, 0.0))
        return max(chains_s, default=0.0)

    @property
    def objective_s(self) -> float:
        """Time within which the job was to be completed."""
        return self.stretch * self.chain_s + self.target_s


@dataclass
class Period:
    """All that the logs tell of a period.

    Attributes
    ----------
    leaderless : list of tuple
        Unix times from the last line of a leader to the load of its successor.
    store_outages : list of tuple
        Process, and Unix times from which and until which it lacked the store.
    dropped_lines : int
        Lines that processes did not write because of their rate limit.
    unreadable : int
        Lines that are no lines of a decision log.
    """

    jobs: dict[str, JobHistory] = field(default_factory=dict)
    leaderless: list[tuple[float, float]] = field(default_factory=list)
    store_outages: list[tuple[str, float, float]] = field(default_factory=list)
    dropped_lines: int = 0
    unreadable: int = 0
    end_s: float = 0.0


def read_histories(texts: Iterable[str]) -> Period:
    """Gather the histories of all jobs from lines of logs, in any order."""
    lines: list[tuple[float, LogLine]] = []
    unreadable = 0
    for text in texts:
        line = parse_line(text)
        time_s = _parse_time(line.time) if line else None
        if line is None or time_s is None:
            unreadable += bool(text.strip())
        else:
            lines.append((time_s, line))
    lines.sort(key=lambda row: row[0])
    return _PeriodReader(unreadable).read(lines)


def _parse_time(text: str) -> float | None:
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None


class _PeriodReader:
    """Applies log lines, in order of time, to the histories of a period."""

    def __init__(self, unreadable: int) -> None:
        self._period = Period(unreadable=unreadable)
        self._stop_reasons: dict[tuple[str, object], str] = {}
        self._store_lost_s: dict[tuple[str, str], float] = {}
        self._leader = ""
        self._leader_line_s = 0.0

    def read(self, lines: list[tuple[float, LogLine]]) -> Period:
        for time_s, line in lines:
            self._apply(time_s, line)
        if lines:
            self._period.end_s = lines[-1][0]
        for (node, _), lost_s in self._store_lost_s.items():
            outage = (node, lost_s, self._period.end_s)
            self._period.store_outages.append(outage)
        for job in self._period.jobs.values():
            for step in list(job.waits_for_drain):
                _end_drain_wait(job, step, self._period.end_s)
        return self._period

    def _apply(self, time_s: float, line: LogLine) -> None:
        fields = line.fields
        if line.part in LEADER_PARTS and line.node == self._leader:
            self._leader_line_s = time_s
        match line.kind:
            case (_, "lines_dropped"):
                self._period.dropped_lines += int(fields.get("count", 0))
            case ("coordinator", "loaded"):
                self._change_leader(time_s, line.node)
            case ("follower", "store_lost"):
                key = line.node, str(fields.get("table"))
                self._store_lost_s.setdefault(key, time_s)
            case ("follower", "store_regained"):
                key = line.node, str(fields.get("table"))
                lost_s = self._store_lost_s.pop(key, time_s)
                self._period.store_outages.append((line.node, lost_s, time_s))
            case _ if fields.get("id"):
                self._apply_to_job(time_s, line)

    def _change_leader(self, time_s: float, node: str) -> None:
        if self._leader:
            self._period.leaderless.append((self._leader_line_s, time_s))
        self._leader = node
        self._leader_line_s = time_s

    def _apply_to_job(self, time_s: float, line: LogLine) -> None:
        fields = line.fields
        job_id = str(fields["id"])
        match line.kind:
            case ("front", "routed"):
                job = self._find(job_id)
                if job.first_attempt_s is None:
                    job.first_attempt_s = time_s
                job.priority = int(fields.get("priority", 0))
                job.workspace = str(fields.get("workspace", ""))
            case ("intake", "submit") if fields.get("outcome") == "Accepted":
                job = self._find(job_id)
                if job.stored_s is None:
                    job.stored_s = time_s
            case ("coordinator", "admitted"):
                self._record_admission(time_s, fields, self._find(job_id))
            case ("coordinator", "placed"):
                self._record_placement(time_s, fields, self._find(job_id))
            case ("coordinator", "deferred"):
                step = _parse_step(str(fields.get("step")))
                self._find(job_id).deferred.append((time_s, step))
            case ("coordinator", "waits_for_drain"):
                step = _parse_step(str(fields.get("step")))
                self._find(job_id).waits_for_drain.setdefault(step, time_s)
            case ("coordinator", "drain_wait_over"):
                step = _parse_step(str(fields.get("step")))
                _end_drain_wait(self._find(job_id), step, time_s)
            case ("orders", "stop"):
                key = str(fields.get("task")), fields.get("run")
                self._stop_reasons[key] = str(fields.get("why"))
            case ("settlement", "ended" | "closed"):
                self._record_end(time_s, fields, self._find(job_id))
            case ("settlement", "job_completed"):
                self._find(job_id).completed_s = time_s
            case ("settlement", "job_failed"):
                self._find(job_id).failed = True
            case ("coordinator", "cancelled"):
                self._find(job_id).cancelled = True

    def _find(self, job_id: str) -> JobHistory:
        return self._period.jobs.setdefault(job_id, JobHistory(job_id))

    def _record_admission(
        self, time_s: float, fields: dict[str, object], job: JobHistory
    ) -> None:
        if job.admitted_s is None:
            job.admitted_s = time_s
        job.stretch = float(fields.get("stretch", job.stretch))
        job.target_s = float(fields.get("target_s", job.target_s))
        job.after = tuple(tuple(earlier) for earlier in fields.get("after", ()))

    def _record_placement(
        self, time_s: float, fields: dict[str, object], job: JobHistory
    ) -> None:
        workers = fields.get("workers", ())
        placed = Placed(
            time_s,
            _parse_step(str(fields.get("step"))),
            tuple(fields.get("tasks", range(len(workers)))),
            float(fields.get("cores", 1.0)),
            float(fields.get("expected_s", 0.0)),
            bool(fields.get("checkpoints", False)),
        )
        job.placed.append(placed)
        # A later leader that finds no drain doesn't log that the wait is over.
        _end_drain_wait(job, placed.step, time_s)

    def _record_end(
        self, time_s: float, fields: dict[str, object], job: JobHistory
    ) -> None:
        task = str(fields.get("task"))
        step_name, _, index = task.rpartition(".")
        step = _parse_step(step_name)
        placed = next(
            (
                row
                for row in reversed(job.placed)
                if row.step == step and int(index) in row.tasks
            ),
            None,
        )
        ran_s = fields.get("ran_s")
        if ran_s is None:
            # The run was started by an earlier leader, or its worker was lost.
            ran_s = time_s - placed.time_s if placed else 0.0
        saved = bool(placed and placed.checkpoints and fields.get("saved"))
        key = task, fields.get("run")
        job.runs.append(
            RunRecord(
                task,
                step,
                time_s - float(ran_s),
                time_s,
                str(fields.get("how")),
                self._stop_reasons.pop(key, str(fields.get("why", ""))),
                placed.cores if placed else 1.0,
                float(ran_s) if saved else 0.0,
            )
        )


def _end_drain_wait(job: JobHistory, step: int, time_s: float) -> None:
    """Add the wait of a step that ends at a Unix time, if it waits for a drain."""
    since_s = job.waits_for_drain.pop(step, time_s)
    job.drain_wait_s += time_s - since_s


def _parse_step(step_name: str) -> int:
    number = step_name.rpartition(".")[2]
    return int(number) if number.isdecimal() else 0


def count_stops(job: JobHistory) -> Counter[str]:
    """Return how many runs of a job came to nothing, by how they ended."""
    return Counter(run.how for run in job.runs if run.how != DONE)
