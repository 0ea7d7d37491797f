"""HTTP sessions compared with golden files.

Guards against unintended changes of statuses, headers, bodies and error messages.
"""

from __future__ import annotations

import asyncio
import json

from tests.golden_files import check_golden

RECORDED_HEADERS = ("Chiveledge-Outcome", "Chiveledge-Replayed", "ETag", "Retry-After")


class Session:
    """Records the calls to a deployment and their replies."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lines = []

    async def call(self, who, name, method, path, body=None, **headers):
        caller = getattr(self.deployment, who)
        status, reply_headers, reply = await caller(name, method, path, body, **headers)
        self.lines.append(f"> {who} {method} {path} {headers or ''}".rstrip())
        if isinstance(body, dict):
            self.lines.append(f"> {json.dumps(body)}")
        fields = [
            f"{key}={reply_headers[key]}"
            for key in RECORDED_HEADERS
            if key in reply_headers
        ]
        self.lines.append(" ".join(["<", str(status), *fields]))
        self.lines.append(f"< {json.dumps(reply)}")
        return reply

    def check(self, name):
        check_golden(name, "\n".join(self.lines) + "\n")


async def make_session(deployment):
    await deployment.start("a")
    await deployment.configure("a")
    await deployment.wait_until(lambda: deployment.returns_ok("a", "/readyz"))
    await deployment.wait_until(lambda: leads_region(deployment, "a"))
    return Session(deployment)


async def leads_region(deployment, name):
    _, _, body = await deployment.operate(name, "GET", "/v1/admin/status")
    return bool(body["leads"])


async def has_ended(deployment, job_id):
    _, _, body = await deployment.ask("a", "GET", f"/v1/jobs/{job_id}")
    return body["state"] in ("finished", "failed", "cancelled")


async def test_request(deployment):
    session = await make_session(deployment)
    order = {"order": "o1", "pallets": 2}
    key = {"Idempotency_Key": "o1"}
    await session.call("ask", "a", "POST", "/v1/requests/quote", {"order": "q1"})
    await session.call("ask", "a", "POST", "/v1/requests/order", order, **key)
    await deployment.wait_until(lambda: has_stored_answer(deployment))
    await session.call("ask", "a", "POST", "/v1/requests/order", order, **key)
    session.check("request")
    assert sum(minion.runs["o1"] for minion in deployment.minions) == 1


async def has_stored_answer(deployment):
    row = deployment.table.find("claim/cafes/o1")
    return row is not None and json.loads(row.value)["state"] == "answered"


async def test_job(deployment):
    session = await make_session(deployment)
    job = {"region": "gyeonggi", "members": 2, "accelerators": 8, "cores": 2}
    key = {"Idempotency_Key": "j1"}
    reply = await session.call("ask", "a", "POST", "/v1/jobs", job, **key)
    job_id = reply["job_id"]
    await deployment.wait_until(lambda: has_ended(deployment, job_id))
    await session.call("ask", "a", "POST", "/v1/jobs", job, **key)
    await session.call("ask", "a", "GET", f"/v1/jobs/{job_id}/result")
    await session.call("ask", "a", "DELETE", f"/v1/jobs/{job_id}")
    session.check("job")


async def test_preset_change(deployment):
    session = await make_session(deployment)
    path = "/v1/admin/preset/peak"
    await session.call("operate", "a", "PUT", path)
    await session.call("operate", "a", "PUT", path + "?dry_run=1", If_Match="1")
    await session.call("operate", "a", "PUT", path, If_Match="1")
    other = "/v1/admin/preset/closed"
    await session.call(
        "operate", "a", "PUT", other, If_Match="1", Chiveledge_Operator="late"
    )
    await session.call("operate", "a", "PUT", "/v1/admin/preset/feast", If_Match="2")
    await session.call("operate", "a", "GET", "/readyz")
    session.check("preset_change")


async def test_refused_submission(deployment):
    session = await make_session(deployment)
    base = {"region": "gyeonggi", "members": 2, "accelerators": 8}
    key = {"Idempotency_Key": "j1"}
    for job in (
        base | {"members": 0},
        base | {"gpu": 1},
        base | {"accelerators": 16},
        base | {"members": 64},
        base | {"region": "mars"},
        base | {"cores": 999},
    ):
        await session.call("ask", "a", "POST", "/v1/jobs", job, **key)
    await session.call("ask", "a", "POST", "/v1/jobs", base)
    await session.call("ask", "a", "POST", "/v1/jobs", "{broken", **key)
    await session.call("ask", "a", "POST", "/v1/requests/order", {"order": "o"})
    await session.call("ask", "a", "POST", "/v1/requests/feast", {})
    await session.call(
        "ask", "a", "POST", "/v1/requests/quote", {}, Chiveledge_Deadline_Ms="soon"
    )
    await session.call("ask", "a", "POST", "/v1/jobs", base, workspace="strangers")
    await session.call("call", "a", "GET", "/v1/admin/status")
    session.check("refused_submission")


async def test_other_workspaces_jobs_are_hidden(deployment):
    session = await make_session(deployment)
    job = {"region": "gyeonggi", "accelerators": 1, "payload": '{"run_s": 60}'}
    reply = await session.call(
        "ask", "a", "POST", "/v1/jobs", job, Idempotency_Key="j1"
    )
    path = f"/v1/jobs/{reply['job_id']}"
    for method in ("GET", "DELETE"):
        await session.call("ask", "a", method, path, workspace="depots")
    session.check("other_workspace")


async def test_graceful_stop(deployment):
    await deployment.start("b", roles=("gateway",))
    session = await make_session(deployment)
    await deployment.wait_until(lambda: deployment.returns_ok("b", "/readyz"))
    # Longer than the time for which a draining process still accepts requests.
    slow = {"order": "slow", "work_s": 6.0}
    running = asyncio.create_task(
        session.call("ask", "b", "POST", "/v1/requests/blend", slow)
    )
    await deployment.wait_until(lambda: asyncio.sleep(0, is_running(deployment)))
    await session.call("operate", "b", "POST", "/v1/admin/drain")
    await session.call("call", "b", "GET", "/readyz")
    await session.call("ask", "b", "POST", "/v1/requests/quote", {"order": "late"})
    await running
    await deployment.wait_stopped("b")
    session.check("graceful_stop")
    assert sum(minion.runs["slow"] for minion in deployment.minions) == 1


def is_running(deployment):
    return any(minion.running for minion in deployment.minions)
