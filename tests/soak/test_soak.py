"""Tests of `soak`: a short soak with a fixed seed, the proxy and the checks."""

from __future__ import annotations

import random

import aiohttp
import pytest
from aiohttp import web

from soak.__main__ import run_seed
from soak.callers import JobRecord
from soak.checks import InvariantChecker
from soak.configurations import Operator, Version
from soak.faults import draw_fault
from soak.proxy import LinkMode, LinkProxy
from standins.deployment import Deployment, serve

SHORT_TIMEOUT = aiohttp.ClientTimeout(total=0.3)


@pytest.mark.parametrize("seed,nodes,callers", [(1, 2, 2), (2, 6, 3)])
async def test_short_soak_violates_no_invariant(seed, nodes, callers):
    assert await run_seed(seed, seconds=6.0, nodes=nodes, callers=callers) == []


async def greet(request: web.Request) -> web.Response:
    """Answer any request."""
    return web.Response(text="hello")


@pytest.mark.parametrize(
    "mode,reached",
    [
        (LinkMode.PASS, True),
        (LinkMode.DELAY, True),
        (LinkMode.RESET, False),
        (LinkMode.SILENT, False),
        (LinkMode.ONE_WAY, False),
    ],
)
async def test_link_mode_decides_whether_reply_arrives(mode, reached):
    app = web.Application()
    app.router.add_get("/", greet)
    runner, address = await serve(app)
    proxy = LinkProxy(address)
    url = f"http://{await proxy.start()}/"
    proxy.set_mode(mode)
    answered = False
    try:
        async with aiohttp.ClientSession(timeout=SHORT_TIMEOUT) as session:
            async with session.get(url) as response:
                answered = await response.text() == "hello"
    except (aiohttp.ClientError, TimeoutError):
        pass
    assert answered is reached
    await proxy.close()
    await runner.cleanup()


def test_same_seed_draws_same_faults():
    def draw(seed: int) -> list:
        rng = random.Random(seed)
        return [draw_fault(rng, ["n1", "n2"], ["l1"], 2) for _ in range(20)]

    assert draw(7) == draw(7)
    assert draw(7) != draw(8)


@pytest.mark.parametrize(
    "record,found",
    [
        (JobRecord("/q/a", 1, accepted=True, states=["running", "completed"]), True),
        (JobRecord("/q/a", 1, accepted=True, states=["failed"]), True),
        (JobRecord("/q/a", 1, accepted=True, states=["410"]), True),
        (JobRecord("/q/a", 1, accepted=True, states=["cancelled"]), True),
        (JobRecord("/q/a", 0, accepted=True, states=["completed"]), False),
        (JobRecord("/q/a", 1, refused=True), False),
        (JobRecord("/q/a", 1, withdrawn=True, accepted=True), True),
        (JobRecord("/q/a", 1, withdrawn=True), False),
    ],
)
def test_checker_reports_violations(tmp_path, record, found):
    """Check the outcome of a job of which no task has started on any worker."""
    checker = InvariantChecker(Deployment(tmp_path))
    checker._check_outcome(record)
    assert bool(checker.violations) is found


@pytest.mark.parametrize(
    "sent_s,status,allowed",
    [
        (0.5, 404, True),
        (0.5, 200, False),
        (3.4, 404, True),
        (3.6, 404, False),
        (3.6, 200, True),
        (9.9, 404, False),
        (10.1, 404, True),
        (12.4, 200, True),
        (12.6, 200, False),
        (12.6, 503, True),
    ],
)
def test_answer_by_replaced_version_is_allowed_for_the_bound(sent_s, status, allowed):
    """The queue is added at 1 s and removed at 10 s; changes apply within 2.5 s."""
    operator = Operator(None, random.Random(1))
    written = (Version(1.0, frozenset({"/p/"})), Version(10.0, frozenset()))
    operator.versions += [v for v in written if v.acknowledged_s <= sent_s]
    assert operator.allows("/p/", status, sent_s) is allowed
