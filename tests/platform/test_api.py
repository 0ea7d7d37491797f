"""HTTP API of the callers, on a table in memory."""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import AsyncIterator
from dataclasses import replace

import aiohttp
import pytest
from aiohttp import web

from chiveledge.cancellations import RETENTION_S, CancellationQuota
from chiveledge.clock import SystemClock
from chiveledge.decision_log import NullLog
from chiveledge.intake import (
    JobStatusCache,
    JobStore,
    PeerDirectory,
    PeerHost,
    Relay,
    TableFollower,
    cancel_key,
    job_key,
    make_host_put,
)
from chiveledge.metrics import Metrics
from chiveledge.platform._api import ApiHandler
from chiveledge.platform._catalogue import decode_catalogue
from chiveledge.services import Row
from chiveledge.workload import Catalogue
from standins.table import MemoryTable

ID = "5c0e7a21d94b36f8"
AUTH = {"Host": "h.example", "Authorization": "Bearer k1"}
JOB = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900},
        {"count": 20, "cpu": 2000, "gpu": 1, "after": [0], "checkpoint": True},
    ],
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path_prefix": "/q/",
            "service": "pool",
            "max_attempts": 2,
            "stretch": 3.0,
            "target_runtime_ms": 500,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/q/open/",
            "service": "pool",
            "no_auth": True,
        },
    ],
    "services": [{"name": "pool", "enforces_capacity": True}],
    "tenants": [
        {"name": "t1", "api_keys": ["k1", "k2"], "guaranteed": {"gpu": 8}},
        {"name": "t2", "api_keys": ["k3"]},
    ],
}


class Api:
    """Handler with its configuration, table and peers, served on a loopback port."""

    def __init__(self) -> None:
        self.catalogue = decode_catalogue(json.dumps(CONFIGURATION)).unwrap()
        self.age_s = 0.0
        self.max_age_s = 2.0
        self.infeasible = ""
        clock = SystemClock()
        self.table = MemoryTable(clock)
        self.status_cache = JobStatusCache(NullLog())
        self.follower = TableFollower(
            self.table,
            "board/",
            clock,
            NullLog(),
            self.status_cache.apply_changes,
            wait_s=0.0,
        )
        self.handler = ApiHandler(
            lambda: self.catalogue,
            lambda: self.age_s,
            lambda: self.max_age_s,
            lambda: False,
            JobStore(
                self.table,
                self.status_cache,
                clock,
                NullLog(),
                65_536,
                explain_infeasible=lambda _: self.infeasible,
            ),
            self.status_cache,
            self._make_relay(clock),
            clock,
            NullLog(),
            Metrics(),
        )

    def _make_relay(self, clock) -> Relay:
        self.peers = PeerDirectory(PeerHost("n1", "east", ""), NullLog())
        return Relay(self.peers, "n1", clock, NullLog(), random.Random(1))

    def add_peer(self, name: str, url: str) -> None:
        """Register a host to which requests may be forwarded."""
        put = make_host_put(PeerHost(name, "east", url.removeprefix("http://")))
        self.peers.apply_changes([Row(put.key, 1, put.value, "w")], (), False)

    async def call(self, method, path, body=None, headers=AUTH):
        data = json.dumps(body) if isinstance(body, dict) else body
        async with self.session.request(
            method, self.url + path, data=data, headers=headers
        ) as response:
            return response.status, await response.json(), response.headers


@contextlib.asynccontextmanager
async def serve(handle) -> AsyncIterator[str]:
    """Serve on a free port within the context; yield the URL."""
    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    yield f"http://127.0.0.1:{port}"
    await runner.cleanup()


@pytest.fixture
async def api():
    api = Api()
    async with serve(api.handler.handle) as api.url:
        async with aiohttp.ClientSession() as api.session:
            yield api


async def test_job_that_no_set_of_workers_holds_is_refused_unless_it_is_stored(api):
    """A repeated submission of an accepted job gets the first answer."""
    api.infeasible = "steps[0]: ask for fewer"
    status, body, _ = await api.call("POST", f"/q/{ID}", JOB)
    assert (status, body) == (422, {"error": api.infeasible})
    assert (await api.call("GET", f"/q/{ID}"))[0] == 410
    api.infeasible = ""
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200
    api.infeasible = "steps[0]: ask for fewer"
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200


async def test_job_is_accepted_read_and_counted(api):
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200
    assert (await api.call("GET", f"/q/{ID}"))[1] == {"state": "queued"}
    await api.follower.step()
    assert (await api.call("GET", "/q/"))[1] == {"waiting": 1}
    assert (await api.call("DELETE", f"/q/{ID}"))[0] == 200


@pytest.mark.parametrize(
    "method,path,headers,status",
    [
        ("GET", "/nowhere/", AUTH, 404),
        ("GET", "/q/", AUTH | {"Host": "other.example"}, 404),
        ("GET", "/q/", {"Host": "h.example"}, 401),
        ("GET", "/q/", AUTH | {"Authorization": "Bearer no"}, 401),
        ("GET", "/q/open/", {"Host": "h.example"}, 200),
        ("GET", f"/q/{ID}", AUTH, 410),
        ("DELETE", f"/q/{ID}", AUTH, 410),
        ("POST", "/q/short", AUTH, 404),
        ("PUT", f"/q/{ID}", AUTH, 405),
    ],
)
async def test_status(api, method, path, headers, status):
    assert (await api.call(method, path, JOB, headers))[0] == status


async def test_job_of_another_workspace_is_not_found(api):
    await api.call("POST", f"/q/{ID}", JOB)
    other = AUTH | {"Authorization": "Bearer k3"}
    assert (await api.call("GET", f"/q/{ID}", headers=other))[0] == 410


async def test_job_of_another_workspace_is_not_cancelled(api):
    """Any valid key used to cancel any job whose ID was known."""
    await api.call("POST", f"/q/{ID}", JOB)
    other = AUTH | {"Authorization": "Bearer k3"}
    assert (await api.call("DELETE", f"/q/{ID}", headers=other))[0] == 410
    assert api.table.find(cancel_key(ID, "t1")) is None
    assert (await api.call("DELETE", f"/q/{ID}"))[0] == 200
    assert api.table.find(cancel_key(ID, "t1")) is not None


async def test_submission_that_was_cancelled_before_it_arrived_is_refused_for_good(api):
    """Its process was frozen; the job used to be accepted after the cancel's 410."""
    assert (await api.call("DELETE", f"/q/{ID}"))[0] == 410
    status, body, headers = await api.call("POST", f"/q/{ID}", JOB)
    assert (status, "Retry-After" in headers) == (410, False)
    assert "choose a new ID" in body["error"]
    assert (await api.call("GET", f"/q/{ID}"))[0] == 410
    other = AUTH | {"Authorization": "Bearer k3"}
    assert (await api.call("POST", f"/q/{ID}", JOB, other))[0] == 200


async def test_too_many_cancels_of_unknown_jobs_are_refused_with_a_time(
    api, monkeypatch
):
    monkeypatch.setattr(CancellationQuota, "max_rows", 4)
    statuses = [
        (await api.call("DELETE", f"/q/{number:016x}"))[0] for number in range(3)
    ]
    status, _, headers = await api.call("DELETE", f"/q/{ID}")
    assert (statuses, status) == ([410, 410, 429], 429)
    assert 0 < int(headers["Retry-After"]) <= RETENTION_S


async def test_job_id_of_another_workspace_is_not_accepted_again(api):
    """The other workspace was told that its job is stored, which was not true."""
    await api.call("POST", f"/q/{ID}", JOB)
    other = AUTH | {"Authorization": "Bearer k3"}
    assert (await api.call("POST", f"/q/{ID}", JOB, other))[0] == 409
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200


@pytest.mark.parametrize(
    "body,field",
    [
        ("{", "body"),
        ("[]", "body"),
        ("[" * 4000, "body"),
        ({"spec": "\ud800", "steps": [{"count": 1}]}, "spec"),
        ({"spec": "x", "steps": [{"count": 1, "cpu": 10**400}]}, "steps.0"),
        ({"spec": "x", "steps": [{"count": 1, "estimate_ms": 10**400}]}, "steps.0"),
        ({"spec": "x", "steps": [{"count": 1, "estimate_ms": -1}]}, "steps.0"),
        ('{"spec":"x","steps":[{"count":1,"estimate_ms":NaN}]}', "body"),
        ('{"spec":"x","steps":[{"count":1,"estimate_ms":1e999}]}', "steps.0"),
        ({"spec": "x", "steps": [{"count": 1}], "first_ms": 10**400}, "first_ms"),
        ({"spec": 3, "steps": [{"count": 1}]}, "spec"),
        ({"spec": "x" * 4001, "steps": [{"count": 1}]}, "spec"),
        ({"spec": "x"}, "steps"),
        ({"spec": "x", "steps": []}, "steps"),
        ({"spec": "x", "steps": [{"count": 0}]}, "steps.0"),
        ({"spec": "x", "steps": [{"count": 1, "cpu": -1}]}, "steps.0"),
        ({"spec": "x", "steps": [{"count": 1, "after": [0]}]}, "steps.0"),
        ({"spec": "x", "steps": [{"count": 1}], "repeat_count": -1}, "repeat_count"),
        ({"spec": "x", "steps": [{"count": 1}], "repeat_count": 2**40}, "repeat_count"),
    ],
)
async def test_error_names_field_of_invalid_job(api, body, field):
    status, answer, _ = await api.call("POST", f"/q/{ID}", body)
    assert status == 400
    assert answer["error"].startswith(f"{field}: ")
    assert not api.table.rows


async def test_job_too_large_for_a_row_is_refused_for_good(api):
    """The caller was told to come back with the same job, again and again."""
    job = {"spec": "x", "steps": [{"count": 1, "requires": "a" * 70_000}]}
    status, answer, headers = await api.call("POST", f"/q/{ID}", job)
    assert (status, "Retry-After" in headers) == (413, False)
    assert answer["error"].startswith("send a smaller job")
    assert not api.table.rows


async def test_refused_job_is_not_stored_and_has_retry_after(api):
    api.table.faults.down = True
    status, _, headers = await api.call("POST", f"/q/{ID}", JOB)
    assert (status, headers["Retry-After"]) == (503, "1")
    assert not api.table.rows


async def test_write_with_lost_reply_is_never_refused(api):
    api.table.faults.lose_replies = 1
    status, _, _ = await api.call("POST", f"/q/{ID}", JOB)
    assert status == 200
    api.table.faults.lose_replies = 1000
    deadline = AUTH | {"X-Deadline-Ms": "400"}
    status, _, _ = await api.call("DELETE", f"/q/{ID}", headers=deadline)
    assert status == 504


async def test_job_is_refused_without_configuration(api):
    api.catalogue = Catalogue()
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 503


async def test_job_is_refused_under_stale_configuration(api):
    api.age_s = 2.5
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 503
    assert not api.table.rows


async def test_body_over_the_limit_is_refused(api):
    api.catalogue = replace(
        api.catalogue, limits=api.catalogue.limits._replace(body_bytes=100)
    )
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 413


@pytest.mark.parametrize("age_s,retry_after", [(0.1, "1"), (3.4, "3"), (60.0, "5")])
async def test_retry_after_grows_with_outage(api, age_s, retry_after):
    api.age_s = age_s
    api.table.faults.down = True
    status, _, headers = await api.call("POST", f"/q/{ID}", JOB)
    assert (status, headers["Retry-After"]) == (503, retry_after)


@pytest.mark.parametrize("age_s,expected,closes", [(0.1, 200, False), (3.0, 503, True)])
async def test_stale_host_closes_connections(api, age_s, expected, closes):
    await api.call("POST", f"/q/{ID}", JOB)
    await api.follower.step()
    api.age_s = age_s
    status, _, headers = await api.call("GET", f"/q/{ID}")
    assert status == expected
    assert (headers.get("Connection") == "close") is closes


STALE_AGE_S = 9.0


async def test_stale_host_forwards_requests_to_peer(api):
    peer = Api()
    async with serve(peer.handler.handle) as url:
        api.age_s = STALE_AGE_S
        api.add_peer("n2", url)
        assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200
        assert peer.table.find(job_key(ID)) is not None
        assert api.table.find(job_key(ID)) is None
        assert (await api.call("GET", f"/q/{ID}"))[1] == {"state": "queued"}
        assert (await api.call("DELETE", f"/q/{ID}"))[0] == 200


async def test_request_is_forwarded_once(api):
    """Two hosts with a stale configuration must not forward a request in a loop."""
    peer = Api()
    async with serve(peer.handler.handle) as url:
        api.age_s = peer.age_s = STALE_AGE_S
        api.add_peer("n2", url)
        peer.add_peer("n1", api.url)
        status, _, headers = await api.call("POST", f"/q/{ID}", JOB)
    assert status == 503
    assert headers["Retry-After"] == "5"


async def lose_reply(request: web.BaseRequest) -> web.Response:
    """Read a request, then close the connection without a response."""
    await request.read()
    request.transport.close()
    return web.Response()


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
async def test_request_that_breaks_each_host_reaches_few_of_them(api, method):
    """It must not be handed on from host to host until none is left."""
    served = []

    async def break_off(request: web.BaseRequest) -> web.Response:
        served.append(request.path)
        return await lose_reply(request)

    api.age_s = STALE_AGE_S
    async with contextlib.AsyncExitStack() as stack:
        for number in range(8):
            url = await stack.enter_async_context(serve(break_off))
            api.add_peer(f"p{number}", url)
        body = JOB if method == "POST" else None
        await api.call(method, f"/q/{ID}", body)
    assert 0 < len(served) <= 3


@pytest.mark.parametrize(
    "method,status", [("POST", 504), ("DELETE", 504), ("GET", 503)]
)
async def test_lost_reply_of_peer_is_not_refused(api, method, status):
    """Only a read, which has no effect, may be refused."""
    await api.call("POST", f"/q/{ID}", JOB)
    await api.follower.step()
    async with serve(lose_reply) as url:
        api.age_s = STALE_AGE_S
        api.add_peer("n2", url)
        assert (await api.call(method, f"/q/{ID}", JOB))[0] == status


async def test_unreachable_peer_is_skipped(api):
    peer = Api()
    async with serve(peer.handler.handle) as url:
        api.age_s = STALE_AGE_S
        api.add_peer("n3", "http://127.0.0.1:9")
        api.add_peer("n2", url)
        assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200


async def test_older_configuration_is_refused_after_newer_one(api):
    """Revision 7 must not be served after a peer answered under revision 9."""
    peer = Api()
    peer.catalogue = replace(peer.catalogue, revision=9)
    api.age_s = STALE_AGE_S
    async with serve(peer.handler.handle) as url:
        api.add_peer("n2", url)
        assert (await api.call("GET", "/q/"))[0] == 200
    assert (await api.call("GET", "/q/"))[0] == 503
    api.age_s = 0.0
    assert (await api.call("GET", "/q/"))[0] == 503
    api.catalogue = replace(api.catalogue, revision=9)
    assert (await api.call("GET", "/q/"))[0] == 200


async def test_peer_with_older_configuration_refuses(api):
    peer = Api()
    peer.catalogue = replace(peer.catalogue, revision=6)
    api.age_s = STALE_AGE_S
    async with serve(peer.handler.handle) as url:
        api.add_peer("n2", url)
        assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 503
    assert peer.table.find(job_key(ID)) is None


async def test_job_with_expired_deadline_is_refused_and_not_stored(api):
    headers = AUTH | {"X-Deadline-Ms": "100"}
    assert (await api.call("POST", f"/q/{ID}", JOB, headers))[0] == 503
    assert api.table.find(job_key(ID)) is None


@pytest.mark.parametrize("age_s", [0.0, STALE_AGE_S])
async def test_body_over_the_limit_is_refused_without_content_length(api, age_s):
    api.age_s = age_s
    limits = api.catalogue.limits._replace(body_bytes=1000)
    api.catalogue = replace(api.catalogue, limits=limits)

    async def pieces():
        for _ in range(20):
            yield b"x" * 100

    assert (await api.call("POST", f"/q/{ID}", pieces()))[0] == 413


async def test_submission_that_the_store_refuses_to_one_host_goes_to_a_peer(api):
    """Callers of a host that the store turned away came back a second later."""
    peer = Api()
    api.table.faults.down = True
    async with serve(peer.handler.handle) as url:
        api.add_peer("n2", url)
        assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200
    assert peer.table.find(job_key(ID)) is not None
    assert not api.table.rows


async def test_submission_that_no_host_can_store_is_refused_once(api):
    peer = Api()
    api.table.faults.down = peer.table.faults.down = True
    async with serve(peer.handler.handle) as url:
        api.add_peer("n2", url)
        peer.add_peer("n1", api.url)
        status, _, headers = await api.call("POST", f"/q/{ID}", JOB)
    assert (status, headers["Retry-After"]) == (503, "1")


async def test_lost_reply_of_a_peer_that_may_have_stored_a_job_is_not_refused(api):
    api.table.faults.down = True
    async with serve(lose_reply) as url:
        api.add_peer("n2", url)
        assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 504


async def test_refusal_of_one_peer_does_not_hide_that_another_may_have_stored_a_job(
    api,
):
    # The answer of the second peer was taken to hold for the first one, too.
    peers = [Api(), Api()]
    peers[1].catalogue = replace(peers[1].catalogue, queues={})

    async def lose_reply_of_peer(request):
        await peers[0].handler.handle(request)
        request.transport.close()
        return web.Response()

    async with (
        serve(lose_reply_of_peer) as first,
        serve(peers[1].handler.handle) as second,
    ):
        api.age_s = STALE_AGE_S
        api.add_peer("n2", first)
        api.add_peer("n3", second)
        # Peers of one region are tried in random order.
        api.peers.list_peers = lambda avoided, rng: [
            api.peers._hosts["n2"],
            api.peers._hosts["n3"],
        ]
        status, _, _ = await api.call("POST", f"/q/{ID}", JOB)
    assert peers[0].table.find(job_key(ID)) is not None
    assert status == 504
