"""Checks all runs for stalls, slow workers and workers that leave."""

from __future__ import annotations

from chiveledge.coordinator._context import TermContext
from chiveledge.coordinator._fleet_view import SlowWorkers
from chiveledge.coordinator._orders import OrderDispatcher
from chiveledge.coordinator._reconciliation import Reconciler
from chiveledge.coordinator._run_times import RunTimeEstimator
from chiveledge.coordinator._stragglers import should_restart_elsewhere
from chiveledge.coordinator._tracked_run import TrackedRun
from chiveledge.coordinator._worker_link import WorkerLink
from chiveledge.placement import FleetView, LearntSpeeds, MemberRate, WorkerSpeeds
from chiveledge.types import WorkerName
from chiveledge.workload import JobProgress

SUPERVISION_INTERVAL_S = 0.25
"""Shortest time between two checks of all runs."""


class FleetSupervisor:
    """Watches the runs of a leader term and the speeds of its workers.

    Parameters
    ----------
    context : TermContext
        Clock, log and configuration.
    links, jobs : dict
        State of each worker by name, and all jobs by ID.
    reconciler : Reconciler
        Stops runs that stall or have to leave their worker.
    orders : OrderDispatcher
        Sends stop orders.
    estimator : RunTimeEstimator
        Predicts run times.
    learnt_speeds : LearntSpeeds
        Updated with the progress of gangs.
    """

    def __init__(
        self,
        context: TermContext,
        links: dict[WorkerName, WorkerLink],
        jobs: dict[str, JobProgress],
        reconciler: Reconciler,
        orders: OrderDispatcher,
        estimator: RunTimeEstimator,
        learnt_speeds: LearntSpeeds,
    ) -> None:
        self._clock = context.clock
        self._log = context.log
        self._catalogue = context.catalogue
        self._stop_s = context.timing.stop_s
        self._links = links
        self._jobs = jobs
        self._reconciler = reconciler
        self._orders = orders
        self._estimator = estimator
        self._speeds = WorkerSpeeds()
        self._learnt_speeds = learnt_speeds
        self._slowdowns: dict[WorkerName, float] = {}
        self._next_check_s = 0.0

    def check_runs(self, now_s: float) -> None:
        """Check all runs, unless the last check was just before."""
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + SUPERVISION_INTERVAL_S
        self._reconciler.stop_stalled_runs(self._links, now_s)
        self._reconciler.evacuate_leaving_workers(self._links, now_s)
        run_speeds = self._reconciler.list_run_speeds(self._links)
        for name in self._speeds.update(run_speeds, now_s):
            self._log.write("workers", "slow", worker=name)
        self._learnt_speeds.update(list_member_rates(self._links))
        self._slowdowns = self._find_slowdowns()

    def find_slow_workers(self, now_s: float) -> SlowWorkers:
        """Return the workers that are slow now, and the expected slowdown of each."""
        return SlowWorkers(
            self._speeds.slow_workers(now_s, len(self._links)),
            self._slowdowns,
        )

    def move_off_slow_workers(
        self, fleet: FleetView, slow: set[WorkerName], now_s: float
    ) -> None:
        """Stop runs on slow workers whose jobs meet their due time only elsewhere."""
        for name in slow & self._links.keys():
            link = self._links[name]
            slow_left_s = self._speeds.slow_left_s(name, now_s)
            late = [
                tracked
                for tracked in link.runs.values()
                if self._should_restart_elsewhere(tracked, slow_left_s)
            ]
            for tracked in late:
                members = self._orders.find_gang_runs(tracked)
                service = link.entry.service
                if fleet.has_full_speed_capacity(service, tracked.step, len(members)):
                    for holder, member in members:
                        self._orders.stop(holder, member, f"{name} is slow")

    def _find_slowdowns(self) -> dict[WorkerName, float]:
        """Return how many times as long runs are expected to take on each worker."""
        keys = {name: link.speed_key for name, link in self._links.items()}
        slowdowns = self._learnt_speeds.find_expected_slowdowns(keys.values())
        return {name: slowdowns[key] for name, key in keys.items()}

    def _should_restart_elsewhere(
        self, tracked: TrackedRun, slow_left_s: float
    ) -> bool:
        return should_restart_elsewhere(
            tracked,
            self._jobs[tracked.name.job_id],
            self._catalogue(),
            self._estimator,
            slow_left_s,
            self._stop_s,
            self._clock.now().timestamp() * 1000,
        )


def list_member_rates(links: dict[WorkerName, WorkerLink]) -> list[MemberRate]:
    """Return the rates of the members of gangs on workers that are not disturbed."""
    rates = []
    for link in links.values():
        if not link.is_described:
            # Its entry may still name the machine of an earlier incarnation.
            continue
        for tracked in link.runs.values():
            step = tracked.step
            if not step.gang or step.lasting or step.filler or tracked.stopping:
                continue
            rate = tracked.mean_percent_per_s
            if rate is not None:
                gang = tracked.name.step_name, tracked.run.number
                rates.append(MemberRate(tracked.key, link.speed_key, gang, rate))
    return rates
