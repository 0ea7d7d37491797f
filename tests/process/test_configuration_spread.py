"""Propagation of configuration changes to all processes.

Guards against processes that apply different documents for one revision, or revert to
an older revision after concurrent changes, restarts or an outage of the store.
"""

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
    """Check that processes agree on each revision and apply revisions in order."""
    digests = {}
    last = {}
    for record in applied:
        revision = record["revision"]
        assert digests.setdefault(revision, record["subject"]) == record["subject"]
        assert revision > last.get(record["process"], 0)
        last[record["process"]] = revision


async def read_revision(deployment, name):
    _, _, body = await deployment.call(name, "GET", "/readyz")
    return body["revision"]


async def all_apply(deployment, names, revision):
    revisions = [await read_revision(deployment, name) for name in names]
    return all(applied >= revision for applied in revisions)


async def test_one_of_concurrent_changes_is_accepted_per_revision(deployment):
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
    await deployment.wait_until(lambda: all_apply(deployment, names, 1 + accepted))
    applied = await collect_applied(deployment, names)
    check_timeline(applied)
    assert {record["process"] for record in applied} == {f"{n}/main" for n in names}


async def test_change_survives_replacement_of_all_processes(deployment):
    await deployment.start("a")
    await deployment.configure("a", make_document(preset="ordinary"))
    await deployment.operate("a", "PUT", "/v1/admin/preset/peak", If_Match="1")
    await deployment.operate("a", "POST", "/v1/admin/drain")
    await deployment.wait_stopped("a")
    await deployment.start("b")
    await deployment.wait_until(lambda: all_apply(deployment, ["b"], 2))
    _, _, body = await deployment.operate("b", "GET", "/v1/admin/configuration")
    assert body["document"]["preset"] == "peak"


async def test_store_outage_after_acceptance_does_not_revert_change(deployment):
    names = ("a", "b")
    for name in names:
        await deployment.start(name)
    await deployment.configure("a")
    await deployment.wait_until(lambda: all_apply(deployment, names, 1))
    status, _, _ = await deployment.operate(
        "a", "PUT", "/v1/admin/preset/peak", If_Match="1"
    )
    deployment.table.faults.set({"down": True})
    assert status == 200
    await deployment.wait_until(lambda: all_apply(deployment, names, 2))
    status, _, body = await deployment.operate(
        "b", "PUT", "/v1/admin/preset/closed", If_Match="2"
    )
    assert status == 503 and body["outcome"] == "refused"
    deployment.table.faults.set({})
    await asyncio.sleep(0)
    assert await read_revision(deployment, "a") == 2


async def test_unsatisfiable_guarantee_is_refused(deployment):
    await deployment.start("a")
    document = make_document({"cafes": [(8, 2)], "depots": [(4, 1)]})
    await deployment.wait_until(lambda: lists_all_workers(deployment))
    status, _, body = await deployment.configure("a", document)
    assert status == 422
    assert "depots" in body["detail"] and "4 accelerators" in body["detail"]
    status, _, _ = await deployment.configure("a", make_document({"cafes": [(8, 2)]}))
    assert status == 200


async def lists_all_workers(deployment):
    _, _, body = await deployment.operate("a", "GET", "/v1/admin/status")
    return sum(host["role"] == "worker" for host in body["hosts"]) == 2


async def test_configuration_is_not_judged_before_the_host_list_was_read(deployment):
    # The first configuration of a demo was refused as not fitting into a region whose
    # workers were not known yet, because the host list started later.
    deployment.hosts.faults.set({"down": True})
    await deployment.start("a")
    status, headers, body = await deployment.configure("a")
    assert (status, body["reason"]) == (503, "host_list_unavailable")
    assert headers["Retry-After"] == "1"
    deployment.hosts.faults.set({})
    status, _, body = await deployment.configure("a")
    assert (status, body["revision"]) == (200, 1)
