"""Drains of failure domains through real processes, by HTTP and by command line.

Guards against a drain that only the process knows that was asked, that its next leader
forgets, or that an operator can't see.
"""

from __future__ import annotations

import asyncio

import pytest

from chiveledge.cli import main
from tests.process.conftest import OPERATOR_TOKEN

JOB = {"region": "gyeonggi", "members": 1, "accelerators": 8}


async def submit(deployment, name, key):
    _, _, body = await deployment.ask(
        name, "POST", "/v1/jobs", JOB, Idempotency_Key=key
    )
    return body["job_id"]


async def knows_drain(deployment, name, domain):
    _, _, body = await deployment.operate(name, "GET", "/v1/admin/drains")
    leaders = body.get("leaders", ())
    return any(leader["starts"] and domain in leader["running"] for leader in leaders)


async def is_explained(deployment, name, job_id, text):
    _, _, body = await deployment.operate(name, "GET", f"/v1/admin/explain/{job_id}")
    return text in body.get("why", "")


async def is_in_state(deployment, name, job_id, *states):
    _, _, body = await deployment.ask(name, "GET", f"/v1/jobs/{job_id}")
    return body["state"] in states


async def run_command(deployment, name, *argv):
    """Run the command line in a thread, as it has an event loop of its own."""
    options = ("--url", deployment.url(name), "--token", OPERATOR_TOKEN)
    with pytest.raises(SystemExit) as exited:
        await asyncio.to_thread(main, [*argv, *options])
    return exited.value.code


async def test_drain_outlasts_the_leader_and_ends_when_it_is_given_back(
    deployment, capsys
):
    await deployment.start("a")
    await deployment.configure("a")
    assert await run_command(deployment, "a", "drain-domain", "a") == 0
    await deployment.wait_until(lambda: knows_drain(deployment, "a", "a"))
    await deployment.start("b")
    await deployment.operate("a", "POST", "/v1/admin/drain")
    await deployment.wait_stopped("a")
    await deployment.wait_until(lambda: knows_drain(deployment, "b", "a"))
    job_id = await submit(deployment, "b", "k1")
    await deployment.wait_until(
        lambda: is_explained(deployment, "b", job_id, "drained failure domains a")
    )
    capsys.readouterr()
    assert await run_command(deployment, "b", "drains") == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[1].split()[:2] == ["a", "operator"]
    assert lines[1].split()[-2:] == ["2", "0"]
    assert await run_command(deployment, "b", "undrain-domain", "a") == 0
    await deployment.wait_until(
        lambda: is_in_state(deployment, "b", job_id, "running", "finished")
    )


async def test_replies_say_what_holds(deployment):
    await deployment.start("a")
    path = "/v1/admin/drains/a"
    status, _, body = await deployment.operate(
        "a", "PUT", path, Chiveledge_Operator="ann"
    )
    assert (status, body["changed"], body["author"]) == (200, True, "ann")
    status, _, again = await deployment.operate(
        "a", "PUT", path, Chiveledge_Operator="bob"
    )
    assert (status, again) == (200, body | {"changed": False})
    status, _, body = await deployment.operate("a", "DELETE", path)
    assert (status, body["changed"], body["drained"]) == (200, True, False)
    status, _, body = await deployment.operate("a", "DELETE", path)
    assert (status, body["changed"]) == (200, False)


@pytest.mark.parametrize("name", ["nowhere", "흥덕 2", "a%2Fb"])
async def test_domain_without_workers_is_drained_and_said_to_have_none(
    deployment, name
):
    await deployment.start("a")
    status, _, body = await deployment.operate("a", "PUT", f"/v1/admin/drains/{name}")
    assert (status, body["workers"]) == (200, 0)
    assert "no listed worker" in body["note"]
    _, _, listed = await deployment.operate("a", "GET", "/v1/admin/drains")
    assert [row["domain"] for row in listed["drains"]] == [name.replace("%2F", "/")]


async def test_refusals_name_field_and_remedy(deployment):
    await deployment.start("a")
    path = "/v1/admin/drains/" + "x" * 101
    status, _, body = await deployment.operate("a", "PUT", path)
    assert (status, body["reason"]) == (400, "bad_input")
    assert body["detail"].startswith("domain: got") and "give" in body["detail"]
    status, _, _ = await deployment.call("a", "PUT", "/v1/admin/drains/a")
    assert status == 401
    deployment.table.faults.set({"down": True})
    for method, path in (("PUT", "/v1/admin/drains/a"), ("GET", "/v1/admin/drains")):
        status, headers, body = await deployment.operate("a", method, path)
        assert (status, body["outcome"]) == (503, "refused")
        assert headers["Retry-After"] == "1"
    deployment.table.faults.set({})
    assert not deployment.table.find_all("drains/")


@pytest.mark.parametrize(
    "lost,expected", [(1, (200, None)), (10_000, (504, "unknown"))]
)
async def test_change_whose_answers_are_lost_is_read_back_or_unknown(
    deployment, lost, expected
):
    await deployment.start("a")
    deployment.table.faults.set({"lose_replies": lost})
    path = "/v1/admin/drains/a"
    status, _, body = await deployment.operate("a", "PUT", path)
    assert (status, body.get("outcome")) == expected
    if status != 200:
        assert "check with 'chiveledge drains', or send it again" in body["detail"]
    deployment.table.faults.set({})
    status, _, body = await deployment.operate("a", "PUT", path)
    assert (status, body["changed"]) == (200, False)
