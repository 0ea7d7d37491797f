"""A host decides nothing by a configuration that may have been replaced since.

The store turned hosts away and served the operator and the others. A host that was
turned away refused requests as its old configuration said, or asked a peer that was
turned away as well and did the same.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import replace

import pytest
from aiohttp import web

from chiveledge.platform._catalogue import decode_catalogue
from tests.platform.test_api import (
    AUTH,
    CONFIGURATION,
    ID,
    JOB,
    STALE_AGE_S,
    Api,
    serve,
)
from tests.platform.test_api import api as api

UNKNOWN_KEY = AUTH | {"Authorization": "Bearer added"}
REQUESTS = [
    pytest.param("GET", "/added/", AUTH, id="count of an added queue"),
    pytest.param("POST", f"/added/{ID}", AUTH, id="job for an added queue"),
    pytest.param("GET", "/q/", UNKNOWN_KEY, id="count with an added key"),
    pytest.param("POST", f"/q/{ID}", UNKNOWN_KEY, id="job with an added key"),
    pytest.param("GET", "/q/", AUTH, id="count of a removed queue"),
    pytest.param("GET", f"/q/{ID}", AUTH, id="job read with a revoked key"),
    pytest.param("DELETE", f"/q/{ID}", AUTH, id="job cancelled with a revoked key"),
    pytest.param("GET", "/q/open/", AUTH, id="count of a removed public queue"),
]


def make_catalogue(revision: int):
    """Return the usual configuration with one queue more."""
    added = CONFIGURATION["routes"][0] | {"name": "r3", "path_prefix": "/added/"}
    changed = CONFIGURATION | {
        "version": revision,
        "routes": [*CONFIGURATION["routes"], added],
    }
    return decode_catalogue(json.dumps(changed)).unwrap()


async def submit_job(api: Api) -> None:
    assert (await api.call("POST", f"/q/{ID}", JOB))[0] == 200
    await api.follower.step()


@pytest.mark.parametrize("method,path,headers", REQUESTS)
async def test_stale_host_without_peers_decides_nothing(api, method, path, headers):
    await submit_job(api)
    api.age_s = STALE_AGE_S
    status, _, answered = await api.call(method, path, JOB, headers)
    assert (status, answered["Retry-After"]) == (503, "5")


@pytest.mark.parametrize("method,path,headers", REQUESTS)
async def test_stale_peer_decides_nothing(api, method, path, headers):
    """Both hosts are turned away by the store and have the same old configuration."""
    peer = Api()
    await submit_job(api)
    api.age_s = peer.age_s = STALE_AGE_S
    async with serve(peer.handler.handle) as url:
        api.add_peer("n2", url)
        status, _, answered = await api.call(method, path, JOB, headers)
    assert (status, answered["Retry-After"]) == (503, "5")


async def test_fresh_peer_answers_after_stale_ones(api):
    stale = [Api(), Api()]
    fresh = Api()
    fresh.catalogue = make_catalogue(8)
    api.age_s = stale[0].age_s = stale[1].age_s = STALE_AGE_S
    async with (
        serve(stale[0].handler.handle) as first,
        serve(stale[1].handler.handle) as second,
        serve(fresh.handler.handle) as third,
    ):
        for name, url in (("n2", first), ("n3", second), ("n4", third)):
            api.add_peer(name, url)
        assert (await api.call("POST", f"/added/{ID}", JOB))[0] == 200
        assert (await api.call("GET", "/added/"))[0] == 200


@pytest.mark.parametrize("stale_peers", [3, 5])
async def test_peers_that_refused_are_asked_last(api, monkeypatch, stale_peers):
    """Most hosts are turned away; a caller that comes back must not meet them again."""
    monkeypatch.setattr("chiveledge.intake._relay.REFUSED_PENALTY_S", 60.0)
    api.age_s = STALE_AGE_S
    async with contextlib.AsyncExitStack() as stack:
        for number in range(stale_peers + 1):
            peer = Api()
            peer.age_s = STALE_AGE_S if number < stale_peers else 0.0
            url = await stack.enter_async_context(serve(peer.handler.handle))
            api.add_peer(f"p{number}", url)
        statuses = [(await api.call("GET", "/q/"))[0] for _ in range(8)]
    assert set(statuses) <= {200, 503}
    assert statuses.count(503) <= 1


@pytest.mark.parametrize("method", ["POST", "GET"])
async def test_configuration_read_while_peers_are_asked_decides(api, method):
    """The store answers again while the request waits for an unresponsive peer."""
    asked = asyncio.Event()

    async def refuse(request: web.BaseRequest) -> web.Response:
        asked.set()
        api.catalogue = make_catalogue(8)
        api.age_s = 0.0
        return web.Response(status=503, headers={"X-Revision": "7"})

    api.age_s = STALE_AGE_S
    path = f"/added/{ID}" if method == "POST" else "/added/"
    async with serve(refuse) as url:
        api.add_peer("n2", url)
        assert (await api.call(method, path, JOB))[0] == 200
    assert asked.is_set()


@pytest.mark.parametrize(
    "changed,status",
    [
        pytest.param({"tenants": CONFIGURATION["tenants"][1:]}, 401, id="revoked key"),
        pytest.param({"routes": CONFIGURATION["routes"][1:]}, 404, id="removed queue"),
    ],
)
async def test_job_is_decided_by_configuration_at_end_of_its_body(api, changed, status):
    """A caller that had sent all but the end of a job's body kept a revoked key."""

    async def pieces():
        yield b" "
        while not api.handler.in_progress:
            await asyncio.sleep(0.01)
        newer = CONFIGURATION | {"version": 8} | changed
        api.catalogue = decode_catalogue(json.dumps(newer)).unwrap()
        yield json.dumps(JOB).encode()

    assert (await api.call("POST", f"/q/{ID}", pieces()))[0] == status
    assert not api.table.rows


async def test_shorter_bound_of_reloaded_settings_holds_at_once(api):
    api.age_s = 1.5
    assert (await api.call("GET", "/q/"))[0] == 200
    api.max_age_s = 1.0
    assert (await api.call("GET", "/q/"))[0] == 503


async def test_added_queue_is_served_as_soon_as_it_is_confirmed(api):
    api.age_s = STALE_AGE_S
    assert (await api.call("GET", "/added/"))[0] == 503
    api.catalogue = make_catalogue(8)
    assert (await api.call("GET", "/added/"))[0] == 503
    api.age_s = 0.0
    assert (await api.call("GET", "/added/"))[0] == 200


async def test_fresh_host_still_refuses_unknown_queue_and_key(api):
    api.catalogue = replace(api.catalogue, revision=9)
    assert (await api.call("GET", "/added/"))[0] == 404
    assert (await api.call("GET", "/q/", headers=UNKNOWN_KEY))[0] == 401
