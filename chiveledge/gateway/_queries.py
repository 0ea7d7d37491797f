"""Handlers of the caller API that read the state and results of jobs."""

from __future__ import annotations

from aiohttp import web
from result import Err, Ok, Result

from chiveledge.configuration import ConfigurationReplica
from chiveledge.gateway._admission import check_workspace
from chiveledge.gateway._jobs import JobService, describe_job
from chiveledge.http_errors import make_refusal
from chiveledge.jobs import Job
from chiveledge.outcomes import Reason

NOT_FINISHED_STATUS = 409


class CallerQueries:
    """Handlers that only read.

    Parameters
    ----------
    configuration : ConfigurationReplica
        Provides the configuration in force.
    jobs : JobService
        Reads jobs and their results.
    """

    def __init__(self, configuration: ConfigurationReplica, jobs: JobService) -> None:
        self._configuration = configuration
        self._jobs = jobs

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get("/v1/jobs/{job_id}", self.show_job)
        app.router.add_get("/v1/jobs/{job_id}/result", self.show_result)

    async def show_job(self, request: web.Request) -> web.Response:
        """Return the state of a job."""
        match await self._find(request):
            case Ok(job):
                return web.json_response(describe_job(job))
            case Err(refusal):
                return refusal
        raise AssertionError("unreachable")

    async def show_result(self, request: web.Request) -> web.Response:
        """Return the results of a finished job."""
        match await self._find(request):
            case Ok(job):
                return await self._show_result(job)
            case Err(refusal):
                return refusal
        raise AssertionError("unreachable")

    async def _show_result(self, job: Job) -> web.Response:
        body = describe_job(job)
        if not job.state.ended:
            return web.json_response(body, status=NOT_FINISHED_STATUS)
        match await self._jobs.read_results(job):
            case Ok(results):
                return web.json_response(body | {"results": list(results)})
            case Err(error):
                return make_refusal(
                    Reason.STORE_UNAVAILABLE, str(error), retry_after_s=1.0
                )
        raise AssertionError("unreachable")

    async def _find(self, request: web.Request) -> Result[Job, web.Response]:
        match check_workspace(request, self._configuration):
            case Ok(workspace):
                pass
            case Err(refusal):
                return Err(refusal)
        job_id = request.match_info["job_id"]
        match await self._jobs.find(workspace, job_id):
            case Ok(None):
                detail = f"no job {job_id!r} in this workspace"
                return Err(make_refusal(Reason.BAD_INPUT, detail, status=404))
            case Ok(job):
                return Ok(job)
            case Err(error):
                return Err(
                    make_refusal(
                        Reason.STORE_UNAVAILABLE, str(error), retry_after_s=1.0
                    )
                )
        raise AssertionError("unreachable")
