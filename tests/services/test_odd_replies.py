"""Replies of outside services that can't be decoded are errors, not exceptions."""

from __future__ import annotations

import contextlib
import json
import socket

import aiohttp
import pytest
from aiohttp import web

from chiveledge.services import (
    AttemptOrder,
    HttpCaller,
    HttpHostList,
    HttpObjectStore,
    HttpTable,
    HttpWorker,
    Refused,
    Rejected,
    SyncRequest,
    Transaction,
    Unavailable,
    Unsettled,
)
from standins.hosts import MemoryHosts, make_hosts_app
from tests.services.conftest import ENTRIES, open_http

CALLS = {
    "read": lambda caller: HttpTable(caller).read("a/b"),
    "scan": lambda caller: HttpTable(caller).scan("a/"),
    "transact": lambda caller: HttpTable(caller).transact(Transaction("w")),
    "object": lambda caller: HttpObjectStore(caller).read("a"),
    "hosts": lambda caller: HttpHostList(caller).read(),
    "sync": lambda caller: HttpWorker(caller).sync(
        SyncRequest("r", 1, (), 1.0, 0, 0.0)
    ),
}


@contextlib.asynccontextmanager
async def open_caller(status: int, body: str):
    """Yield a caller of a service that always sends the same reply."""

    async def handle(request):
        return web.Response(status=status, text=body)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    async with open_http(app, lambda session, url: HttpCaller(session, url)) as caller:
        yield caller


@pytest.mark.parametrize("body", ["", "[]", "5", "{}", "[" * 4000, '{"rows":[[]]}'])
@pytest.mark.parametrize("name", CALLS)
async def test_odd_reply_is_unsettled(name, body):
    async with open_caller(200, body) as caller:
        assert isinstance((await CALLS[name](caller)).err(), Unsettled)


@pytest.mark.parametrize("name", ["transact", "sync"])
async def test_odd_conflict_is_unsettled(name):
    async with open_caller(409, "[]") as caller:
        assert isinstance((await CALLS[name](caller)).err(), Unsettled)


async def test_odd_host_is_skipped():
    """One odd entry stopped all processes from following the list of hosts."""
    fake = MemoryHosts(ENTRIES)
    app = make_hosts_app(fake)

    @web.middleware
    async def add_odd_entries(request, handler):
        response = await handler(request)
        body = json.loads(response.text)
        body["hosts"] = [{}, 5, {"name": []}, *body["hosts"]]
        return web.json_response(body)

    app.middlewares.append(add_odd_entries)
    async with open_http(app, lambda session, url: HttpCaller(session, url)) as caller:
        assert (await HttpHostList(caller).read()).unwrap() == ENTRIES


@pytest.mark.parametrize("status", [500, 502, 504])
async def test_transaction_that_a_server_error_answers_is_unsettled(status):
    # Any status but 200, 409 and 503 was taken to prove that nothing was done.
    async with open_caller(status, "{}") as caller:
        result = await CALLS["transact"](caller)
        assert isinstance(result.err(), Unsettled)


WRITES = {
    "transact": CALLS["transact"],
    "object": lambda caller: HttpObjectStore(caller).write("a", "text"),
    "start": lambda caller: HttpWorker(caller).start(AttemptOrder("r", 1, ("a",))),
}


@pytest.mark.parametrize("name", WRITES)
@pytest.mark.parametrize(
    ("status", "error"),
    [
        (400, Rejected),
        (404, Unsettled),
        (429, Unavailable),
        (500, Unsettled),
        (502, Unsettled),
        (503, Unavailable),
        (504, Unsettled),
    ],
)
async def test_only_statuses_that_prove_it_mean_that_a_write_had_no_effect(
    name, status, error
):
    # A server error was taken to prove that a write or an order had no effect.
    async with open_caller(status, "{}") as caller:
        assert type((await WRITES[name](caller)).err()) is error


async def test_call_without_a_listener_is_refused():
    """A worker whose process is gone looked like one that answers with 503."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
    async with aiohttp.ClientSession() as session:
        caller = HttpCaller(session, f"http://{host}:{port}")
        result = await caller.call("GET", "/")
    assert isinstance(result.err(), Refused)
