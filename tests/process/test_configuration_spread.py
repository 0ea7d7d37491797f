"""A change is in force in all processes, never reverts, and shows in the time line."""

from __future__ import annotations

import asyncio

from chiveledge.events import merge_records
from tests.support import make_document

CHANGES = 12


async def collect_applied(deployment, names):
    records = []
    for name in names:
        _, _, body = await deployment.operate(name, "GET", "/v1/admin/timeline")
        records += body["events"]
    return [r for r in merge_records(records) if r["name"] == "applied"]


def check_timeline(applied):
    """One document a revision everywhere, and revisions that only rise."""
    digests = {}
    last = {}
    for record in applied:
        revision = record["revision"]
        assert digests.setdefault(revision, record["subject"]) == record["subject"]
        assert revision > last.get(record["process"], 0)
        last[record["process"]] = revision


async def revision_of(deployment, name):
    _, _, body = await deployment.call(name, "GET", "/readyz")
    return body["revision"]


async def in_force(deployment, names, revision):
    seen = [await revision_of(deployment, name) for name in names]
    return all(found >= revision for found in seen)


async def test_racing_changes_through_all_processes(deployment):
    names = ("a", "b", "c")
    for name in names:
        await deployment.start(name)
    await deployment.configure("a")
    accepted = 0
    for number in range(CHANGES):
        expect = str(1 + accepted)
        replies = await asyncio.gather(
            *(
                deployment.operate(
                    name,
                    "PUT",
                    f"/v1/admin/preset/{('peak', 'closed')[number % 2]}",
                    If_Match=expect,
                    Chiveledge_Operator=f"{name}{number}",
                )
                for name in names
            )
        )
        statuses = sorted(status for status, _, _ in replies)
        assert statuses == [200, 409, 409]
        accepted += 1
    await deployment.until(lambda: in_force(deployment, names, 1 + accepted))
    applied = await collect_applied(deployment, names)
    check_timeline(applied)
    assert {record["process"] for record in applied} == {f"{n}/main" for n in names}


async def test_change_survives_the_replacement_of_all_processes(deployment):
    await deployment.start("a")
    await deployment.configure("a", make_document(preset="ordinary"))
    await deployment.operate("a", "PUT", "/v1/admin/preset/peak", If_Match="1")
    await deployment.operate("a", "POST", "/v1/admin/drain")
    await deployment.wait_stopped("a")
    await deployment.start("b")
    await deployment.until(lambda: in_force(deployment, ["b"], 2))
    _, _, body = await deployment.operate("b", "GET", "/v1/admin/configuration")
    assert body["document"]["preset"] == "peak"


async def test_store_outage_right_after_acceptance_reverts_nothing(deployment):
    names = ("a", "b")
    for name in names:
        await deployment.start(name)
    await deployment.configure("a")
    await deployment.until(lambda: in_force(deployment, names, 1))
    status, _, _ = await deployment.operate(
        "a", "PUT", "/v1/admin/preset/peak", If_Match="1"
    )
    deployment.table.faults.set({"down": True})
    assert status == 200
    await deployment.until(lambda: in_force(deployment, names, 2))
    status, _, body = await deployment.operate(
        "b", "PUT", "/v1/admin/preset/closed", If_Match="2"
    )
    assert status == 503 and body["outcome"] == "refused"
    deployment.table.faults.set({})
    await asyncio.sleep(0)
    assert await revision_of(deployment, "a") == 2


async def test_guarantee_that_cannot_fit_is_refused(deployment):
    await deployment.start("a")
    document = make_document({"cafes": [(8, 2)], "depots": [(4, 1)]})
    await deployment.until(lambda: knows_workers(deployment))
    status, _, body = await deployment.configure("a", document)
    assert status == 422
    assert "depots" in body["detail"] and "4 accelerators" in body["detail"]
    status, _, _ = await deployment.configure("a", make_document({"cafes": [(8, 2)]}))
    assert status == 200


async def knows_workers(deployment):
    _, _, body = await deployment.operate("a", "GET", "/v1/admin/status")
    return sum(host["role"] == "worker" for host in body["hosts"]) == 2
