"""HTTP handlers of the read-only queries: state, jobs, drains, timeline, metrics."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web
from result import Err, Ok

from chiveledge.configuration import ConfigurationReplica
from chiveledge.drain_store import read_drains
from chiveledge.drains import Drain
from chiveledge.events import Timeline
from chiveledge.gateway import GatewayServer
from chiveledge.http_errors import make_refusal
from chiveledge.jobs import JobState
from chiveledge.membership import Membership
from chiveledge.metrics import Metrics
from chiveledge.outcomes import Reason
from chiveledge.scheduler import Scheduler
from chiveledge.services import TableService
from chiveledge.settings import ProcessSettings

UNAVAILABLE_STATUS = 503


class OperatorQueries:
    """HTTP handlers of the operators' queries and of the health checks.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    table : TableService
        Store of the drains.
    configuration : ConfigurationReplica
        This process's copy of the document in force.
    membership : Membership
        Known processes, minions and workers.
    timeline : Timeline
        Recent events of this process.
    metrics : Metrics
        Counters and histograms of this process.
    gateway : GatewayServer or None
        Gateway of this process, None if it lacks the role.
    scheduler : Scheduler or None
        Scheduler of this process, None if it lacks the role.
    is_ready : callable
        Returns whether the load balancer may route requests to this process.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        table: TableService,
        configuration: ConfigurationReplica,
        membership: Membership,
        timeline: Timeline,
        metrics: Metrics,
        gateway: GatewayServer | None,
        scheduler: Scheduler | None,
        is_ready: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._table = table
        self._configuration = configuration
        self._membership = membership
        self._timeline = timeline
        self._metrics = metrics
        self._gateway = gateway
        self._scheduler = scheduler
        self._is_ready = is_ready

    def add_routes(self, app: web.Application) -> None:
        """Register the handlers with an application."""
        app.router.add_get("/healthz", self.show_health)
        app.router.add_get("/readyz", self.show_ready)
        app.router.add_get("/v1/admin/configuration", self.show_configuration)
        app.router.add_get("/v1/admin/status", self.show_status)
        app.router.add_get("/v1/admin/explain/{job_id}", self.explain_job)
        app.router.add_get("/v1/admin/drains", self.show_drains)
        app.router.add_get("/v1/admin/timeline", self.show_timeline)
        app.router.add_get("/v1/admin/metrics", self.show_metrics)

    async def show_health(self, _: web.Request) -> web.Response:
        """Return the name of the process; any reply means that it is alive."""
        return web.json_response({"process": self._settings.name})

    async def show_ready(self, _: web.Request) -> web.Response:
        """Return status 200 if the load balancer may route requests here, else 503."""
        ready = self._is_ready()
        body = {"ready": ready, "revision": self._configuration.revision}
        return web.json_response(body, status=200 if ready else UNAVAILABLE_STATUS)

    async def show_configuration(self, _: web.Request) -> web.Response:
        """Return the document in force.

        Reads the store first; if the read fails, returns this process's copy.
        """
        await self._configuration.refresh()
        current = self._configuration.current
        if current is None:
            return make_refusal(
                Reason.BAD_INPUT, "no configuration is in force", status=404
            )
        body = {
            "revision": current.revision,
            "author": current.author,
            "digest": current.digest,
            "document": current.document.model_dump(mode="json"),
        }
        return web.json_response(body, headers={"ETag": f'"{current.revision}"'})

    async def show_status(self, _: web.Request) -> web.Response:
        """Return the state of this process, known hosts and the regions it leads."""
        current = self._configuration.current
        body = {
            "process": self._settings.name,
            "roles": list(self._settings.roles),
            "ready": self._is_ready(),
            "revision": self._configuration.revision,
            "preset": current.document.preset if current else "",
            "hosts": [
                {"name": e.name, "role": e.role, "region": e.region, "state": e.state}
                for e in self._membership.entries
            ],
            "leads": [
                self._describe_region(region) for region in self._list_led_regions()
            ],
        }
        if self._gateway is not None:
            body["queued_requests"] = self._gateway.queued
            body["in_progress"] = self._gateway.in_progress
            body["ejected_minions"] = self._gateway.pool.list_ejected()
        return web.json_response(body)

    async def explain_job(self, request: web.Request) -> web.Response:
        """Return why a queued job waits, or the reason recorded for any other state.

        Only the process that leads the job's region can answer; others return 404.
        """
        job_id = request.match_info["job_id"]
        for region in self._list_led_regions():
            leader = self._scheduler.leaders[region]
            job = leader.jobs.get(job_id)
            if job is not None:
                is_queued = job.state is JobState.QUEUED
                why = leader.explain_waiting(job) if is_queued else job.reason
                return web.json_response(
                    {"job_id": job_id, "state": str(job.state), "why": why}
                )
        detail = f"this process does not lead the region of job {job_id!r}"
        return make_refusal(Reason.BAD_INPUT, detail, status=404)

    async def show_drains(self, _: web.Request) -> web.Response:
        """Return the drains in the store, and what this process's leaders know."""
        match await read_drains(self._table):
            case Ok(drains):
                rows = [self._describe_drain(drain) for drain in drains.values()]
                leaders = [self._describe_known(r) for r in self._list_led_regions()]
                return web.json_response({"drains": rows, "leaders": leaders})
            case Err(error):
                detail = f"the table service is not available: {error}"
                return make_refusal(Reason.STORE_UNAVAILABLE, detail, retry_after_s=1)
        raise AssertionError("unreachable")

    async def show_timeline(self, request: web.Request) -> web.Response:
        """Return this process's retained events, filtered by subject and sequence."""
        after = request.query.get("after", "0")
        if not after.isdecimal():
            return make_refusal(
                Reason.BAD_INPUT, f"after: got {after!r}; send a number"
            )
        subject = request.query.get("subject", "")
        records = self._timeline.records(subject=subject, after=int(after))
        return web.json_response({"events": records})

    async def show_metrics(self, _: web.Request) -> web.Response:
        """Return the counters and percentiles of this process."""
        return web.json_response(self._metrics.to_record())

    def _list_led_regions(self) -> list[str]:
        return list(self._scheduler.leaders) if self._scheduler else []

    def _describe_drain(self, drain: Drain) -> dict[str, object]:
        """Return the fields of a drain, and how many workers its domain has."""
        count = self._membership.count_workers_in(drain.domain)
        return drain._asdict() | {"workers": count}

    def _describe_known(self, region: str) -> dict[str, object]:
        """Return what this process knows of drains as the leader of a region."""
        leader = self._scheduler.leaders[region]
        known = leader.drains
        return {
            "region": region,
            "age_s": round(known.age_s, 3) if leader.has_loaded else None,
            "starts": leader.has_loaded and known.is_current,
            "running": leader.count_running_by_domain(),
        }

    def _describe_region(self, region: str) -> dict[str, object]:
        leader = self._scheduler.leaders[region]
        jobs = leader.jobs.values()
        queued = [job for job in jobs if job.state is JobState.QUEUED]
        return {
            "region": region,
            "epoch": self._scheduler.leaderships[region].epoch,
            "queued": len(queued),
            "running": sum(1 for job in jobs if job.state is JobState.RUNNING),
            "fragmentation": round(leader.planner.fragmentation(queued), 3),
            "free_accelerators": leader.planner.cells.free_accelerators(),
            "guarantees": [use._asdict() for use in leader.planner.guarantee_use()],
            "at_risk": [
                {"workspace": r.workspace, "cell": r.shape.size, "missing": r.missing}
                for r in leader.guarantees_at_risk
            ],
        }
