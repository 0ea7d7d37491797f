"""HTTP handlers of the state-changing commands: configuration, preset and drains."""

from __future__ import annotations

import uuid
from collections.abc import Callable

from aiohttp import web
from result import Err, Ok, Result

from chiveledge.clock import Clock
from chiveledge.configuration import (
    Accepted,
    ChangeOutcome,
    ChangeRefused,
    ChangeUnknown,
    ConfigurationReplica,
    Document,
    Superseded,
    VersionedDocument,
    change_configuration,
    describe_change,
    parse_document,
)
from chiveledge.drain_store import (
    DrainChange,
    DrainCommitted,
    DrainOutcome,
    DrainRefused,
    DrainUnknown,
    change_drain,
    find_domain_problem,
)
from chiveledge.events import Timeline
from chiveledge.http_errors import make_refusal, make_unknown
from chiveledge.logs import PartLogger
from chiveledge.membership import Membership
from chiveledge.outcomes import Reason
from chiveledge.services import HostRole, TableService
from chiveledge.types import DomainName

CONFLICT_STATUS = 409
UNPROCESSABLE_STATUS = 422
PRECONDITION_REQUIRED_STATUS = 428

log = PartLogger("administration")


class OperatorCommands:
    """HTTP handlers of the operators' commands.

    Parameters
    ----------
    table : TableService
        Store to which changes of the configuration and of drains are committed.
    configuration : ConfigurationReplica
        This process's copy of the document in force.
    membership : Membership
        Hosts of the deployment; without their list no document is checked.
    clock : Clock
        Source of time for the timeout of a commit.
    timeline : Timeline
        Receives the changes of drains.
    publish : callable
        Broadcasts an accepted document to all peers.
    find_unsatisfiable_guarantees : callable
        Returns a message for each guarantee of a document that the listed workers
        cannot satisfy.
    drain : callable
        Starts the graceful shutdown of this process.
    """

    def __init__(
        self,
        table: TableService,
        configuration: ConfigurationReplica,
        membership: Membership,
        clock: Clock,
        timeline: Timeline,
        publish: Callable[[VersionedDocument], None],
        find_unsatisfiable_guarantees: Callable[[Document], list[str]],
        drain: Callable[[], None],
    ) -> None:
        self._table = table
        self._configuration = configuration
        self._membership = membership
        self._clock = clock
        self._timeline = timeline
        self._publish = publish
        self._find_unsatisfiable_guarantees = find_unsatisfiable_guarantees
        self._drain = drain

    def add_routes(self, app: web.Application) -> None:
        """Register the handlers with an application."""
        app.router.add_put("/v1/admin/configuration", self.put_configuration)
        app.router.add_put("/v1/admin/preset/{preset}", self.put_preset)
        app.router.add_post("/v1/admin/drain", self.drain)
        app.router.add_put("/v1/admin/drains/{domain}", self.put_drain)
        app.router.add_delete("/v1/admin/drains/{domain}", self.delete_drain)

    async def put_configuration(self, request: web.Request) -> web.Response:
        """Replace the whole document by the one in the request body."""
        match parse_document("configuration", await request.text()):
            case Ok(document):
                return await self._change(request, document)
            case Err(problem):
                return make_refusal(Reason.BAD_INPUT, str(problem))
        raise AssertionError("unreachable")

    async def put_preset(self, request: web.Request) -> web.Response:
        """Switch to another preset of the document in force.

        A process that has not read the revision that the operator saw refuses: a change
        of its older document would revert what that one lacks.
        """
        match _parse_expected_revision(request):
            case Ok(expected):
                pass
            case Err(refusal):
                return refusal
        await self._configuration.refresh()
        revision = self._configuration.revision
        if revision < expected:
            detail = (
                f"If-Match: got {expected}, this process has read revision {revision}; "
                "look which one is in force, and send it again"
            )
            return make_refusal(Reason.STALE_CONFIGURATION, detail, retry_after_s=1)
        if self._configuration.current is None:
            return make_refusal(
                Reason.BAD_INPUT, "no configuration is in force; set one first"
            )
        current = self._configuration.current.document
        preset = request.match_info["preset"]
        if preset not in current.presets:
            known = ", ".join(sorted(current.presets))
            detail = f"preset: got {preset!r}; use one of {known}"
            return make_refusal(Reason.BAD_INPUT, detail)
        return await self._change(
            request, current.model_copy(update={"preset": preset})
        )

    async def drain(self, _: web.Request) -> web.Response:
        """Start the graceful shutdown of this process."""
        self._drain()
        return web.json_response({"draining": True}, status=202)

    async def put_drain(self, request: web.Request) -> web.Response:
        """Drain a failure domain: no more gangs start there."""
        return await self._change_drain(request, drained=True)

    async def delete_drain(self, request: web.Request) -> web.Response:
        """Give a drained failure domain back."""
        return await self._change_drain(request, drained=False)

    async def _change_drain(
        self, request: web.Request, *, drained: bool
    ) -> web.Response:
        domain = request.match_info["domain"]
        problem = find_domain_problem(domain)
        if problem:
            return make_refusal(Reason.BAD_INPUT, problem)
        change = DrainChange(domain, drained, _read_operator(request))
        outcome = await change_drain(
            self._table, self._clock, change, write_id=uuid.uuid4().hex
        )
        log.info(
            "Change of a drain.",
            domain=domain,
            drained=drained,
            author=change.author,
            outcome=repr(outcome),
        )
        return self._respond_to_drain(change, outcome)

    def _respond_to_drain(
        self, change: DrainChange, outcome: DrainOutcome
    ) -> web.Response:
        """Return the response, after an entry in the timeline if a drain changed."""
        match outcome:
            case DrainCommitted(drain, changed):
                if changed:
                    name = "domain_drained" if change.drained else "domain_given_back"
                    self._timeline.add(
                        "administration", name, change.domain, detail=change.author
                    )
                body = {
                    "domain": change.domain,
                    "drained": change.drained,
                    "changed": changed,
                    "author": drain.author,
                    "since_ms": drain.since_ms,
                }
                return web.json_response(body | self._count_workers(change.domain))
            case DrainRefused(reason):
                return make_refusal(Reason.STORE_UNAVAILABLE, reason, retry_after_s=1)
            case DrainUnknown(write_id):
                detail = (
                    f"the change may have been committed (write {write_id}); check "
                    "with 'chiveledge drains', or send it again"
                )
                return make_unknown(Reason.STORE_UNAVAILABLE, detail)
        raise AssertionError(f"unknown outcome {outcome!r}")

    def _count_workers(self, domain: DomainName) -> dict[str, object]:
        """Return the number of a domain's workers, with a note if it has none."""
        count = self._membership.count_workers_in(domain)
        if count:
            return {"workers": count}
        workers = self._membership.find_by_role(HostRole.WORKER)
        known = ", ".join(sorted({worker.domain for worker in workers})) or "none"
        note = f"no listed worker is in {domain!r}; domains with workers: {known}"
        return {"workers": 0, "note": note}

    async def _change(self, request: web.Request, document: Document) -> web.Response:
        match _parse_expected_revision(request):
            case Ok(expected):
                pass
            case Err(refusal):
                return refusal
        if not self._membership.was_read and not await self._membership.refresh():
            detail = "the host list could not be read yet; send the change again"
            return make_refusal(Reason.HOST_LIST_UNAVAILABLE, detail, retry_after_s=1)
        violations = self._find_unsatisfiable_guarantees(document)
        if violations:
            return make_refusal(
                Reason.BAD_INPUT, "; ".join(violations), status=UNPROCESSABLE_STATUS
            )
        if "dry_run" in request.query:
            before = (
                self._configuration.current.document
                if self._configuration.current
                else None
            )
            return web.json_response(describe_change(before, document)._asdict())
        outcome = await change_configuration(
            self._table,
            self._clock,
            expected=expected,
            document=document,
            author=_read_operator(request),
            write_id=uuid.uuid4().hex,
        )
        return self._respond(outcome)

    def _respond(self, outcome: ChangeOutcome) -> web.Response:
        match outcome:
            case Accepted(versioned):
                self._configuration.apply(versioned)
                self._publish(versioned)
                body = {
                    "revision": versioned.revision,
                    "preset": versioned.document.preset,
                }
                return web.json_response(body, headers=_make_etag_header(versioned))
            case Superseded(winner, differing):
                body = {
                    "outcome": "refused",
                    "reason": "superseded",
                    "revision": winner.revision,
                    "author": winner.author,
                    "differing": list(differing),
                    "detail": f"{winner.author} made revision {winner.revision} "
                    "first; read it, and send your change with that revision",
                }
                return web.json_response(body, status=CONFLICT_STATUS)
            case ChangeRefused(reason):
                return make_refusal(Reason.STORE_UNAVAILABLE, reason, retry_after_s=1)
            case ChangeUnknown(revision, write_id):
                detail = (
                    f"the change may have been committed as revision {revision} "
                    f"(write {write_id}); check with 'chiveledge configuration'"
                )
                return make_unknown(Reason.STORE_UNAVAILABLE, detail)
        raise AssertionError(f"unknown outcome {outcome!r}")


def _read_operator(request: web.Request) -> str:
    """Return the name that an operator gave, or ``operator``."""
    return request.headers.get("Chiveledge-Operator", "operator")


def _parse_expected_revision(request: web.Request) -> Result[int, web.Response]:
    text = request.headers.get("If-Match", "").strip('"')
    if text.isdecimal():
        return Ok(int(text))
    detail = (
        f"If-Match: got {text!r}; send the revision that you saw, 0 for the first one"
    )
    return Err(
        make_refusal(Reason.BAD_INPUT, detail, status=PRECONDITION_REQUIRED_STATUS)
    )


def _make_etag_header(versioned: VersionedDocument) -> dict[str, str]:
    return {"ETag": f'"{versioned.revision}"'}
