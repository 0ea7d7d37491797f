"""Handlers of the caller API that run requests and submit or cancel jobs."""

from __future__ import annotations

from aiohttp import web
from result import Err, Ok

from chiveledge.configuration import ConfigurationReplica
from chiveledge.decoding import DECODE_ERRORS, parse_json
from chiveledge.gateway._admission import (
    check_key,
    check_request,
    check_workspace,
    read_body,
)
from chiveledge.gateway._dispatch import Dispatcher
from chiveledge.gateway._jobs import (
    JobAccepted,
    JobRefused,
    JobService,
    JobUnknown,
    describe_job,
)
from chiveledge.http_errors import make_refusal, make_unknown
from chiveledge.jobs import JobSpec
from chiveledge.outcomes import Answered, Outcome, Reason, Refused, UnknownOutcome
from chiveledge.settings import check_model
from chiveledge.types import RequestId

MAX_CANCELLATIONS = 5000
ACCEPTED_STATUS = 202

TOO_MANY_RETRY_S = 60.0
"""Delay after which a caller may cancel unknown jobs again; some rows end by then."""


class CallerCommands:
    """Handlers that change state.

    Parameters
    ----------
    configuration : ConfigurationReplica
        Provides the configuration in force.
    dispatcher : Dispatcher
        Runs requests on minions.
    jobs : JobService
        Submits and cancels jobs.
    """

    def __init__(
        self,
        configuration: ConfigurationReplica,
        dispatcher: Dispatcher,
        jobs: JobService,
    ) -> None:
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._jobs = jobs

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_post("/v1/requests/{kind}", self.run_request)
        app.router.add_post("/v1/jobs", self.submit_job)
        app.router.add_delete("/v1/jobs/{job_id}", self.cancel_job)
        app.router.add_post("/v1/cancellations", self.cancel_jobs)

    async def run_request(self, request: web.Request) -> web.Response:
        """Run a request on a minion and return its answer or outcome."""
        match await check_request(request, self._configuration):
            case Ok(envelope):
                outcome = await self._dispatcher.dispatch(envelope)
                return _reply(outcome, envelope.request_id)
            case Err(refusal):
                return refusal
        raise AssertionError("unreachable")

    async def submit_job(self, request: web.Request) -> web.Response:
        """Submit a job and reply once its row is committed."""
        match check_workspace(request, self._configuration):
            case Ok(workspace):
                pass
            case Err(refusal):
                return refusal
        match check_key(request):
            case Ok(key):
                pass
            case Err(refusal):
                return refusal
        match await _read_json(request, self._configuration):
            case Ok(value):
                checked = check_model(JobSpec, "job", value)
            case Err(refusal):
                return refusal
        match checked:
            case Err(problem):
                return make_refusal(Reason.BAD_INPUT, str(problem))
            case Ok(spec):
                outcome = await self._jobs.submit(workspace, key, spec)
        match outcome:
            case JobAccepted(job, _):
                return web.json_response(describe_job(job), status=ACCEPTED_STATUS)
            case JobRefused(detail, 0.0):
                return make_refusal(Reason.BAD_INPUT, detail, status=422)
            case JobRefused(detail, retry_after_s):
                return make_refusal(
                    Reason.STORE_UNAVAILABLE, detail, retry_after_s=retry_after_s
                )
            case JobUnknown(job_id):
                detail = f"the job may be accepted; query {job_id} or submit it again"
                return make_unknown(Reason.STORE_UNAVAILABLE, detail)
        raise AssertionError(f"unknown outcome {outcome!r}")

    async def cancel_job(self, request: web.Request) -> web.Response:
        """Request the cancellation of a job."""
        job_id = request.match_info["job_id"]
        match check_workspace(request, self._configuration):
            case Ok(workspace):
                answers = await self._jobs.cancel(workspace, [job_id])
                return _reply_cancellation(job_id, answers[job_id])
            case Err(refusal):
                return refusal
        raise AssertionError("unreachable")

    async def cancel_jobs(self, request: web.Request) -> web.Response:
        """Request the cancellation of several jobs, with their writes grouped."""
        match check_workspace(request, self._configuration):
            case Ok(workspace):
                pass
            case Err(refusal):
                return refusal
        match await _read_json(request, self._configuration):
            case Ok({"jobs": [*job_ids]}) if len(job_ids) <= MAX_CANCELLATIONS:
                answers = await self._jobs.cancel(workspace, [str(j) for j in job_ids])
                return web.json_response({"jobs": answers}, status=ACCEPTED_STATUS)
            case Ok(_):
                detail = f'send {{"jobs": [ID, ...]}} with {MAX_CANCELLATIONS} at most'
                return make_refusal(Reason.BAD_INPUT, detail)
            case Err(refusal):
                return refusal
        raise AssertionError("unreachable")


async def _read_json(request: web.Request, configuration: ConfigurationReplica):
    """Return the decoded JSON body of an authenticated caller, or a refusal."""
    match await read_body(request, configuration):
        case Ok(raw):
            try:
                return Ok(parse_json(raw))
            except DECODE_ERRORS as error:
                detail = f"the body is not valid JSON: {error}"
                return Err(make_refusal(Reason.BAD_INPUT, detail))
        case Err(refusal):
            return Err(refusal)
    raise AssertionError("unreachable")


def _reply(outcome: Outcome, request_id: RequestId) -> web.Response:
    match outcome:
        case Answered(status, body, content_type, replayed):
            headers = {
                "Chiveledge-Outcome": "answered",
                "Chiveledge-Request-Id": request_id,
                "Chiveledge-Replayed": str(replayed).lower(),
            }
            return web.Response(
                body=body, status=status, headers=headers, content_type=content_type
            )
        case Refused(reason, _, detail, retry_after_s):
            return make_refusal(
                reason, detail, request_id=request_id, retry_after_s=retry_after_s
            )
        case UnknownOutcome(reason, detail):
            return make_unknown(reason, detail, request_id=request_id)
    raise AssertionError(f"unknown outcome {outcome!r}")


def _reply_cancellation(job_id: str, answer: str) -> web.Response:
    match answer:
        case "requested" | "ended":
            body = {"job_id": job_id, "cancellation": answer}
            return web.json_response(body, status=ACCEPTED_STATUS)
        case "not_found":
            detail = f"no job {job_id!r} in this workspace"
            return make_refusal(Reason.BAD_INPUT, detail, status=404)
        case "refused":
            return make_refusal(
                Reason.STORE_UNAVAILABLE,
                "cancellation not requested; retry",
                retry_after_s=1.0,
            )
        case "too_many":
            return make_refusal(
                Reason.QUEUE_FULL,
                "too many cancellations of unknown jobs; send fewer",
                retry_after_s=TOO_MANY_RETRY_S,
            )
    return make_unknown(
        Reason.STORE_UNAVAILABLE, "the cancellation may be requested; repeat it"
    )
